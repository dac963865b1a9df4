//! Steps that disturb the fake servers.

use super::ScenarioRun;
use crate::system::scenario::{Step, What, Who};
use aspendrum_fake_services::origin::OriginServer;
use std::sync::Arc;

impl ScenarioRun {
    /// The servers of `of` fail in the way of the step.
    pub(super) fn disturb_servers(&self, step: &Step, of: &[Who]) {
        for origin in self.origins(of) {
            match step.what {
                What::Die => origin.kill(),
                What::Drain => origin.change_faults(|faults| faults.is_draining = true),
                What::Fail => origin.change_faults(|faults| faults.error_share = step.share),
                What::Reset => origin.change_faults(|faults| faults.late_reset_share = step.share),
                What::Hang => origin.change_faults(|faults| faults.no_response_share = step.share),
                What::Deaf => origin.change_faults(|faults| faults.early_reset_share = step.share),
                What::Slow => origin.change_faults(|faults| faults.slowdown = step.times),
                What::Full => origin.change_faults(|faults| faults.is_full = true),
                What::Stall => origin.change_faults(|faults| faults.is_stalled = true),
                _ => {}
            }
        }
    }

    /// They no longer fail in that way.
    pub(super) async fn restore_servers(&self, step: &Step, of: &[Who]) {
        for origin in self.origins(of) {
            if step.what == What::Die {
                if let Err(e) = origin.restart().await {
                    self.record_failure(&format!("a server: {e}"));
                }
            }
            // It may fail in other ways still.
            origin.change_faults(|faults| match step.what {
                What::Drain => faults.is_draining = false,
                What::Fail => faults.error_share = 0.0,
                What::Reset => faults.late_reset_share = 0.0,
                What::Hang => faults.no_response_share = 0.0,
                What::Deaf => faults.early_reset_share = 0.0,
                What::Slow => faults.slowdown = 1.0,
                What::Full => faults.is_full = false,
                What::Stall => faults.is_stalled = false,
                _ => *faults = Default::default(),
            });
        }
    }

    fn origins(&self, of: &[Who]) -> Vec<Arc<OriginServer>> {
        let origin = |who: &Who| match who {
            Who::Origin(number) => Some(self.fleet.origins[*number].clone()),
            _ => None,
        };
        of.iter().filter_map(origin).collect()
    }
}
