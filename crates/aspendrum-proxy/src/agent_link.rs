//! The sending side of the loopback connection to the agent on this machine.

use aspendrum_model::message::{Readiness, StateDigest, ToControl};
use aspendrum_net::frames::FrameSender;
use aspendrum_net::threads::lock;
use std::sync::{Arc, Mutex};

/// The connection to the agent, if established.
#[derive(Default)]
pub struct AgentLink(Mutex<Option<Arc<FrameSender>>>);

impl AgentLink {
    /// Sends a heartbeat. The agent's reply contains `sent_at_ms`, a time of the proxy's clock in milliseconds,
    /// and the age of control's last report.
    pub fn send_heartbeat(&self, sent_at_ms: u64, readiness: Readiness, applied: StateDigest) {
        let link = lock(&self.0).clone();
        if let Some(link) = link {
            link.send(&ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            });
        }
    }

    pub(crate) fn set(&self, link: Option<Arc<FrameSender>>) {
        *lock(&self.0) = link;
    }
}
