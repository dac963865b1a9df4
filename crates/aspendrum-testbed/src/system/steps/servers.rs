//! Steps that disturb the fake servers.

use super::ScenarioRun;
use crate::system::scenario::{Step, StepKind, Target};
use aspendrum_fake_services::origin::OriginServer;
use std::sync::Arc;

impl ScenarioRun {
    /// Makes the servers of `of` fail in the way that the step describes.
    pub(super) fn disturb_servers(&self, step: &Step, of: &[Target]) {
        for origin in self.origins(of) {
            match step.what {
                StepKind::Die => origin.kill(),
                StepKind::Drain => origin.change_faults(|faults| faults.is_draining = true),
                StepKind::Fail => origin.change_faults(|faults| faults.error_share = step.share),
                StepKind::Reset => {
                    origin.change_faults(|faults| faults.late_reset_share = step.share)
                }
                StepKind::Hang => {
                    origin.change_faults(|faults| faults.no_response_share = step.share)
                }
                StepKind::Deaf => {
                    origin.change_faults(|faults| faults.early_reset_share = step.share)
                }
                StepKind::Early => {
                    origin.change_faults(|faults| faults.early_answer_share = step.share)
                }
                StepKind::Slow => origin.change_faults(|faults| faults.slowdown = step.times),
                StepKind::Full => origin.change_faults(|faults| faults.is_full = true),
                StepKind::Stall => origin.change_faults(|faults| faults.is_stalled = true),
                _ => {}
            }
        }
    }

    /// Ends the failure that the step describes.
    pub(super) async fn restore_servers(&self, step: &Step, of: &[Target]) {
        for origin in self.origins(of) {
            if step.what == StepKind::Die {
                if let Err(e) = origin.restart().await {
                    self.record_failure(&format!("failed to restart a server: {e}"));
                }
            }
            // Other steps may still have faults set on the server, so only this one is reset.
            origin.change_faults(|faults| match step.what {
                StepKind::Drain => faults.is_draining = false,
                StepKind::Fail => faults.error_share = 0.0,
                StepKind::Reset => faults.late_reset_share = 0.0,
                StepKind::Hang => faults.no_response_share = 0.0,
                StepKind::Deaf => faults.early_reset_share = 0.0,
                StepKind::Early => faults.early_answer_share = 0.0,
                StepKind::Slow => faults.slowdown = 1.0,
                StepKind::Full => faults.is_full = false,
                StepKind::Stall => faults.is_stalled = false,
                _ => *faults = Default::default(),
            });
        }
    }

    /// Returns the servers among the targets.
    fn origins(&self, of: &[Target]) -> Vec<Arc<OriginServer>> {
        let origin = |target: &Target| match target {
            Target::Origin(number) => Some(self.fleet.origins[*number].clone()),
            _ => None,
        };
        of.iter().filter_map(origin).collect()
    }
}
