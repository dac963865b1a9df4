//! The agents that are connected to this control node: the updates sent to each agent, the state that its proxy has
//! applied, and whether clients may be directed to that proxy.

use crate::decided::DecidedState;
use crate::event::ConnectionId;
use crate::proxy_table::ProxyEntry;
use crate::report::NodeReport;
use aspendrum_consensus::Millis;
use aspendrum_model::message::{
    FromControl, ProxyEndpoint, Readiness, StateDigest, StateSection, ToControl,
};
use aspendrum_net::frames::FrameSender;
use aspendrum_reconcile::{
    MajorityReport, ReportValidity, SyncAssessment, SyncStatus, UpdateStream,
};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// The time without a message after which an agent and its proxy count as suspended, partitioned or powered off.
const AGENT_TIMEOUT: Millis = 1000.0;
/// The time within which an agent that moves to another control node is assumed to be connected there.
const RECONNECT_TIME: Millis = 1200.0;

/// This node's view of the decided state, used to answer heartbeats of agents and to assess their proxies.
#[derive(Clone, Copy)]
pub struct MajorityView<'a> {
    /// The decided state as published by this node.
    pub decided: &'a DecidedState,
    /// Whether the last quorum read is recent. Otherwise this node itself may be outdated.
    pub is_recent: bool,
    /// How long a majority report remains valid.
    pub report_validity: ReportValidity,
    /// The maximum time for which a proxy may be outdated before clients are directed to other proxies.
    pub max_lag: Millis,
}

/// The effect of an agent's message on the state of this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentChange {
    /// No change that has to be propagated.
    Unchanged,
    /// The entry of the agent's proxy has changed.
    ProxyChanged,
    /// The agent has identified itself and needs all sections.
    Joined,
}

/// The connection of an agent, and the state of its proxy.
struct AgentSession {
    link: FrameSender,
    host: String,
    /// `None` until the agent has identified itself.
    proxy: Option<ProxyEndpoint>,
    connected_at: Millis,
    last_received: Millis,
    /// Numbers the updates on this connection and tracks their acknowledgement.
    updates: UpdateStream,
    /// The digest of the state that the proxy has applied.
    applied: StateDigest,
    /// The result of the last comparison of `applied` with the decided state.
    status: SyncStatus,
    /// Since when the proxy has not been current; `None` while it is current.
    not_current_since: Option<Millis>,
    /// Whether the agent has announced that it is moving to another control node.
    is_disconnecting: bool,
}

impl AgentSession {
    fn new(link: FrameSender, now: Millis) -> AgentSession {
        AgentSession {
            link,
            host: String::new(),
            proxy: None,
            connected_at: now,
            last_received: now,
            updates: UpdateStream::default(),
            applied: StateDigest::default(),
            status: SyncStatus::Behind,
            not_current_since: None,
            is_disconnecting: false,
        }
    }

    /// Records the identity of the agent and its proxy.
    fn on_hello(&mut self, host: String, proxy_addr: SocketAddrV4, zone: String) {
        log::info!("event=agent_connected host={host} proxy={proxy_addr} zone={zone}");
        self.host = host;
        self.proxy = Some(ProxyEndpoint {
            addr: proxy_addr,
            zone,
            readiness: Readiness::Closed,
            is_current: true,
        });
    }

    /// Sends the sections that have changed for this agent. A section is held back while the previous one of its kind
    /// is unacknowledged, see [`UpdateStream::offer`].
    fn send_updates(
        &mut self,
        now: Millis,
        sections: &[StateSection],
        report: Option<MajorityReport>,
    ) {
        for section in sections {
            if let Some(number) = self.updates.offer(now, section) {
                self.link.send(&FromControl::Update {
                    number,
                    section: section.clone(),
                });
            }
        }
        if let Some(report) = report {
            self.updates.record_offered(report);
        }
    }

    /// Replies to a heartbeat and records the state that the proxy has applied.
    fn on_heartbeat(
        &mut self,
        now: Millis,
        sent_at_ms: u64,
        applied: StateDigest,
        view: &MajorityView<'_>,
    ) {
        let report = view.decided.report();
        let report = report.map(|newest| self.updates.report(newest));
        self.link.send(&FromControl::HeartbeatReply {
            sent_at_ms,
            majority_age: report.map(|report| (now - report.as_of).max(0.0).ceil() as u32),
            decided: report.map_or(view.decided.digest(), |report| report.decided),
            control_reachable: true,
            half_of_agents_isolated: false,
        });
        self.applied = applied;
        if view.is_recent {
            self.assess(now, view);
        }
    }

    /// Compares the state that the proxy has applied with the decided state.
    fn assess(&mut self, now: Millis, view: &MajorityView<'_>) {
        let report = MajorityReport {
            decided: view.decided.digest(),
            as_of: now,
        };
        self.status =
            SyncAssessment::new(&self.applied, Some(&report), false, &view.report_validity).status;
        let outdated_since = view.decided.outdated_since(&self.applied.revision);
        self.not_current_since = match (self.status, outdated_since) {
            (SyncStatus::Current, _) => None,
            // During a burst of changes every proxy is missing the latest ones, so the time is counted from the oldest
            // change that it is missing.
            (SyncStatus::Behind, Some(since)) => Some(since.max(self.connected_at)),
            _ => Some(self.not_current_since.unwrap_or(now)),
        };
    }

    /// Updates the readiness of the proxy and whether it is current. Returns whether either has changed.
    fn update_proxy(&mut self, now: Millis, readiness: Readiness, max_lag: Millis) -> bool {
        // A proxy that has been outdated for less than `max_lag` still counts as current.
        let is_current = self
            .not_current_since
            .is_none_or(|since| now - since < max_lag);
        let Some(proxy) = &mut self.proxy else {
            return false;
        };
        let addr = proxy.addr;
        let status = self.status.as_str();
        if proxy.readiness != readiness {
            let event = if readiness == Readiness::Ready {
                "proxy_ready"
            } else {
                "proxy_not_ready"
            };
            log::info!("event={event} proxy={addr} is={readiness:?}");
        }
        if proxy.is_current != is_current {
            log::info!("event=proxy_sync_status proxy={addr} is={status}");
        }
        let has_changed = proxy.readiness != readiness || proxy.is_current != is_current;
        proxy.readiness = readiness;
        proxy.is_current = is_current;
        has_changed
    }

    fn report(&self, now: Millis) -> Option<NodeReport> {
        let proxy = self.proxy.as_ref()?;
        let not_current = self.not_current_since.map_or(0.0, |since| now - since);
        Some(NodeReport {
            host: self.host.clone(),
            proxy: proxy.addr.to_string(),
            zone: proxy.zone.clone(),
            is_ready: proxy.is_ready(),
            status: self.status,
            not_current_ms: not_current.max(0.0) as u64,
            applied: self.applied,
            sent_update: self.updates.last_number(),
            acknowledged_update: self.updates.acknowledged(),
        })
    }
}

/// A proxy whose agent is moving to another control node.
struct MovedProxy {
    proxy: ProxyEndpoint,
    /// The time at which this entry expires; the agent should be connected to the other node by then.
    expires_at: Millis,
}

/// The agents that are connected to this node.
#[derive(Default)]
pub struct AgentSessions {
    sessions: HashMap<ConnectionId, AgentSession>,
    moved: Vec<MovedProxy>,
}

impl AgentSessions {
    /// Returns the proxies whose agents are connected to this node, and those whose agents have just left it for
    /// another control node.
    pub fn proxy_entries(&self) -> Vec<ProxyEntry> {
        let connected = self
            .sessions
            .values()
            .filter_map(|session| session.proxy.clone());
        let connected = connected.map(|proxy| ProxyEntry {
            proxy,
            is_connected: true,
        });
        let moved = self.moved.iter().map(|moved| ProxyEntry {
            proxy: moved.proxy.clone(),
            is_connected: false,
        });
        connected.chain(moved).collect()
    }

    /// Adds a session for a new connection of an agent.
    pub fn on_connected(&mut self, now: Millis, id: ConnectionId, link: FrameSender) {
        self.sessions.insert(id, AgentSession::new(link, now));
    }

    /// Removes the session of a closed connection. Returns whether this has changed the proxies of this node.
    pub fn on_disconnected(&mut self, now: Millis, id: ConnectionId) -> bool {
        let Some(session) = self.sessions.remove(&id) else {
            return false;
        };
        let Some(proxy) = session.proxy else {
            return false;
        };
        let is_moving = session.is_disconnecting;
        log::info!(
            "event=agent_disconnected proxy={} moving={is_moving}",
            proxy.addr
        );
        if is_moving {
            let expires_at = now + RECONNECT_TIME;
            self.moved.push(MovedProxy { proxy, expires_at });
        }
        true
    }

    /// Handles a message from an agent.
    pub fn on_message(
        &mut self,
        now: Millis,
        id: ConnectionId,
        message: ToControl,
        view: &MajorityView<'_>,
    ) -> AgentChange {
        let Some(session) = self.sessions.get_mut(&id) else {
            return AgentChange::Unchanged;
        };
        session.last_received = now;
        match message {
            ToControl::Hello {
                host,
                proxy_addr,
                zone,
            } => {
                session.on_hello(host, proxy_addr, zone);
                AgentChange::Joined
            }
            ToControl::Heartbeat {
                sent_at_ms,
                readiness,
                applied,
            } => {
                session.on_heartbeat(now, sent_at_ms, applied, view);
                if session.update_proxy(now, readiness, view.max_lag) {
                    AgentChange::ProxyChanged
                } else {
                    AgentChange::Unchanged
                }
            }
            ToControl::Disconnecting => {
                session.is_disconnecting = true;
                AgentChange::Unchanged
            }
            ToControl::Applied { number } => {
                session.updates.acknowledge(number);
                AgentChange::Unchanged
            }
        }
    }

    /// Marks the proxies of agents without a message for [`AGENT_TIMEOUT`] as closed, and removes expired entries of
    /// moved proxies. Returns whether this has changed the proxies of this node.
    pub fn expire_silent(&mut self, now: Millis) -> bool {
        let moved_before = self.moved.len();
        self.moved.retain(|moved| now < moved.expires_at);
        let mut has_changed = self.moved.len() != moved_before;
        let silent = self.sessions.values_mut();
        let silent = silent.filter(|session| now - session.last_received > AGENT_TIMEOUT);
        for proxy in silent.filter_map(|session| session.proxy.as_mut()) {
            if proxy.readiness != Readiness::Closed {
                proxy.readiness = Readiness::Closed;
                has_changed = true;
                log::info!("event=proxy_silent proxy={}", proxy.addr);
            }
        }
        has_changed
    }

    /// Sends every agent the sections that have changed for it, at the pace of its acknowledgements. `report` describes
    /// the decided state that the sections contain.
    pub fn send_updates(
        &mut self,
        now: Millis,
        sections: &[StateSection],
        report: Option<MajorityReport>,
    ) {
        let identified = self
            .sessions
            .values_mut()
            .filter(|session| session.proxy.is_some());
        for session in identified {
            session.send_updates(now, sections, report);
        }
    }

    /// Returns whether any update is held back until an agent acknowledges an earlier one.
    pub fn has_pending_updates(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.updates.has_pending())
    }

    /// Returns a report of each node whose agent is connected here, sorted by host name.
    pub fn report(&self, now: Millis) -> Vec<NodeReport> {
        let reports = self
            .sessions
            .values()
            .filter_map(|session| session.report(now));
        let mut reports: Vec<NodeReport> = reports.collect();
        reports.sort_by(|a, b| a.host.cmp(&b.host));
        reports
    }
}
