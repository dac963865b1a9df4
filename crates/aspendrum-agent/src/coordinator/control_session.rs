//! The present connection to control, as the coordinator sees it.

use super::majority::{latest, STALE_AFTER};
use super::proxy_session::ProxySession;
use aspendrum_model::message::{Envelope, ToControl};
use aspendrum_net::frames::Link;
use aspendrum_reconcile::Millis;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Time-out of a control node: without a message within this time the agent connects to another one.
const SILENT_AFTER: Millis = 1100.0;

/// Why a connection is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ControlFault {
    /// The node sends nothing.
    Silent,
    /// The node answers, and has had no majority's report for too long.
    Stale,
}

/// A connection to a control node.
pub(super) struct ControlSession {
    pub(super) id: u64,
    pub(super) ip: Ipv4Addr,
    pub(super) last_received_at: Millis,
    link: Link,
    connected_at: Millis,
    /// When a majority held nothing newer, by this node's own reports.
    as_of: Option<Millis>,
    /// The proxy's address, as last sent to this node.
    announced: Option<SocketAddrV4>,
    /// The numbers of the last update that came, and of the last one that was acknowledged.
    last_update: u64,
    acknowledged_update: u64,
}

impl ControlSession {
    pub(super) fn new(id: u64, ip: Ipv4Addr, link: Link, now: Millis) -> ControlSession {
        let (as_of, announced) = (None, None);
        ControlSession {
            id,
            ip,
            last_received_at: now,
            link,
            connected_at: now,
            as_of,
            announced,
            last_update: 0,
            acknowledged_update: 0,
        }
    }

    /// The node reported that a majority held nothing newer then.
    pub(super) fn record_report(&mut self, as_of: Option<Millis>) {
        self.as_of = latest(self.as_of, as_of);
    }

    /// Why the connection is of no use, if it is.
    pub(super) fn fault(&self, now: Millis) -> Option<ControlFault> {
        let is_stale = now - self.connected_at > STALE_AFTER
            && self.as_of.is_none_or(|as_of| now - as_of > STALE_AFTER);
        if is_stale {
            Some(ControlFault::Stale)
        } else if now - self.last_received_at > SILENT_AFTER {
            Some(ControlFault::Silent)
        } else {
            None
        }
    }

    /// Ends a connection that is of no use. A node that sends nothing will not read a last message either.
    pub(super) fn end(&self, fault: ControlFault) {
        match fault {
            ControlFault::Stale => self.disconnect(),
            ControlFault::Silent => self.link.close(),
        }
    }

    /// Ends the connection for another one: until the agent is heard of there, its proxy stays where it is known.
    pub(super) fn disconnect(&self) {
        self.send(ToControl::Disconnecting);
        self.link.finish();
    }

    /// An update has come.
    pub(super) fn record_update(&mut self, number: u64) {
        self.last_update = number;
    }

    /// All updates that have come are in force at the proxy. The node sends the next ones after that.
    pub(super) fn acknowledge(&mut self) {
        if self.acknowledged_update < self.last_update {
            self.acknowledged_update = self.last_update;
            self.send(ToControl::Applied {
                number: self.last_update,
            });
        }
    }

    /// Sends a heartbeat for the proxy, behind its address if the node does not know that.
    pub(super) fn report_proxy(&mut self, now: Millis, proxy: &ProxySession, zone: &str) {
        let Some(identity) = &proxy.identity else {
            return;
        };
        let (host, address) = (&identity.host, identity.address);
        if self.announced != Some(address) {
            self.announced = Some(address);
            self.send(ToControl::Hello {
                host: host.clone(),
                proxy_addr: address,
                zone: zone.to_string(),
            });
        }
        let (readiness, applied) = (proxy.readiness_at(now), proxy.applied);
        self.send(ToControl::Heartbeat {
            sent_at_ms: now as u64,
            readiness,
            applied,
        });
    }

    fn send(&self, message: ToControl) {
        // Control tells agents' messages from those of its own nodes by the envelope.
        let envelope: Envelope = Envelope::Agent(message);
        self.link.send(&envelope);
    }
}
