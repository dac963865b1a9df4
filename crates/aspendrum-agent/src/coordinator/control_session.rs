//! The coordinator's state of the current connection to a control node.

use super::majority::{latest, MAJORITY_REPORT_TIMEOUT};
use super::proxy_session::ProxySession;
use aspendrum_model::message::{Envelope, ToControl};
use aspendrum_net::frames::FrameSender;
use aspendrum_reconcile::Millis;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The agent abandons a control node from which it has received no message for this long.
const RECEIVE_TIMEOUT: Millis = 1100.0;

/// The reason for abandoning a connection to a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControlFault {
    /// No message was received within [`RECEIVE_TIMEOUT`].
    Unresponsive,
    /// The node has delivered no majority report within [`MAJORITY_REPORT_TIMEOUT`].
    Stale,
}

/// A connection to a control node.
pub(super) struct ControlSession {
    pub(super) id: u64,
    pub(super) ip: Ipv4Addr,
    pub(super) last_received_at: Millis,
    link: FrameSender,
    connected_at: Millis,
    /// The most recent time, according to this node's reports, at which a majority held nothing newer.
    as_of: Option<Millis>,
    /// The proxy address last sent to this node.
    announced_proxy_addr: Option<SocketAddrV4>,
    /// The number of the last received update.
    last_update: u64,
    /// The number of the last acknowledged update.
    acknowledged_update: u64,
}

impl ControlSession {
    pub(super) fn new(id: u64, ip: Ipv4Addr, link: FrameSender, now: Millis) -> ControlSession {
        let (as_of, announced_proxy_addr) = (None, None);
        ControlSession {
            id,
            ip,
            last_received_at: now,
            link,
            connected_at: now,
            as_of,
            announced_proxy_addr,
            last_update: 0,
            acknowledged_update: 0,
        }
    }

    /// Records a report that a majority held nothing newer at `as_of`.
    pub(super) fn record_majority_report(&mut self, as_of: Option<Millis>) {
        self.as_of = latest(self.as_of, as_of);
    }

    /// Returns the reason for abandoning the connection, if there is one.
    pub(super) fn fault(&self, now: Millis) -> Option<ControlFault> {
        let is_stale = now - self.connected_at > MAJORITY_REPORT_TIMEOUT
            && self
                .as_of
                .is_none_or(|as_of| now - as_of > MAJORITY_REPORT_TIMEOUT);
        if is_stale {
            Some(ControlFault::Stale)
        } else if now - self.last_received_at > RECEIVE_TIMEOUT {
            Some(ControlFault::Unresponsive)
        } else {
            None
        }
    }

    /// Ends a faulty connection. An unresponsive node is not sent a disconnect message, since it is unlikely to read
    /// it.
    pub(super) fn terminate(&self, fault: ControlFault) {
        match fault {
            ControlFault::Stale => self.disconnect(),
            ControlFault::Unresponsive => self.link.close(),
        }
    }

    /// Announces that the agent moves to another control node, and closes the connection. This node keeps the proxy
    /// listed until another node receives messages from the agent.
    pub(super) fn disconnect(&self) {
        self.send(ToControl::Disconnecting);
        self.link.close_after_flush();
    }

    /// Records the number of a received update.
    pub(super) fn record_update(&mut self, number: u64) {
        self.last_update = number;
    }

    /// Acknowledges all received updates, so that the node sends the next ones.
    pub(super) fn acknowledge(&mut self) {
        if self.acknowledged_update < self.last_update {
            self.acknowledged_update = self.last_update;
            self.send(ToControl::Applied {
                number: self.last_update,
            });
        }
    }

    /// Sends a heartbeat with the state of the proxy, preceded by a `Hello` if the node has not been sent the current
    /// proxy address.
    pub(super) fn send_heartbeat(&mut self, now: Millis, proxy: &ProxySession, zone: &str) {
        let Some(identity) = &proxy.identity else {
            return;
        };
        let (host, address) = (&identity.host, identity.address);
        if self.announced_proxy_addr != Some(address) {
            self.announced_proxy_addr = Some(address);
            self.send(ToControl::Hello {
                host: host.clone(),
                proxy_addr: address,
                zone: zone.to_string(),
            });
        }
        let (readiness, applied) = (proxy.effective_readiness(now), proxy.applied);
        self.send(ToControl::Heartbeat {
            sent_at_ms: now as u64,
            readiness,
            applied,
        });
    }

    fn send(&self, message: ToControl) {
        // The envelope distinguishes messages of agents from those of other control nodes.
        let envelope: Envelope = Envelope::Agent(message);
        self.link.send(&envelope);
    }
}
