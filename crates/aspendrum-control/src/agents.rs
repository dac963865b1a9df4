//! The agents that are connected to this control node: the updates that each was sent, the state that its proxy has
//! applied, and whether clients may be sent to that proxy.

use crate::decided::DecidedState;
use crate::event::ConnectionId;
use crate::proxy_table::ProxyEntry;
use crate::report::NodeReport;
use aspendrum_consensus::Millis;
use aspendrum_model::message::{
    FromControl, ProxyEndpoint, Readiness, StateDigest, StateSection, ToControl,
};
use aspendrum_net::frames::Link;
use aspendrum_reconcile::{
    MajorityReport, ReportValidity, SyncAssessment, SyncStatus, UpdateStream,
};
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// After this time without a message an agent counts as suspended, partitioned or without power, and its proxy with it.
const AGENT_TIMEOUT: Millis = 1000.0;
/// An agent that changes to another control node is connected there within this time.
const RECONNECT_TIME: Millis = 1200.0;

/// This node's view of the decided state, with which it answers agents' heartbeats and assesses their proxies.
#[derive(Clone, Copy)]
pub struct MajorityView<'a> {
    /// The decided state, as far as this node has published it.
    pub decided: &'a DecidedState,
    /// Whether a majority was read lately. Without that this node may be the one that is behind.
    pub is_recent: bool,
    /// How long such a reading of a majority remains valid.
    pub report_validity: ReportValidity,
    /// How long a proxy may lack the decided state before clients are sent elsewhere.
    pub max_lag: Millis,
}

/// What a message of an agent has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentChange {
    /// Nothing that others need to know.
    Unchanged,
    /// A proxy of this node has changed.
    ProxyChanged,
    /// An agent has introduced itself, and has to be sent all sections.
    Joined,
}

/// An agent and its proxy, by their connection.
struct AgentSession {
    link: Link,
    host: String,
    /// None until the agent has introduced itself.
    proxy: Option<ProxyEndpoint>,
    connected_at: Millis,
    last_received: Millis,
    /// The updates on this connection.
    updates: UpdateStream,
    /// The digest of the state that the proxy has applied.
    applied: StateDigest,
    /// How `applied` compares with the decided state.
    status: SyncStatus,
    /// Since when the proxy has not been current; none while it is.
    not_current_since: Option<Millis>,
    /// Whether the agent has announced that it moves to another control node.
    is_disconnecting: bool,
}

impl AgentSession {
    fn new(link: Link, now: Millis) -> AgentSession {
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

    /// The agent has introduced itself.
    fn introduce(&mut self, host: String, proxy_addr: SocketAddrV4, zone: String) {
        log::info!("event=agent_connected host={host} proxy={proxy_addr} zone={zone}");
        self.host = host;
        self.proxy = Some(ProxyEndpoint {
            addr: proxy_addr,
            zone,
            readiness: Readiness::Closed,
            is_current: true,
        });
    }

    /// Sends the sections that the agent does not have yet, as far as it has acknowledged those before.
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

    /// Answers a heartbeat, and records the state that the proxy has applied.
    fn on_heartbeat(
        &mut self,
        now: Millis,
        sent_at_ms: u64,
        applied: StateDigest,
        view: &MajorityView<'_>,
    ) {
        let report = view.decided.report();
        let report = report.map(|newest| self.updates.report(newest));
        self.link.send(&FromControl::Heartbeat {
            sent_at_ms,
            majority_age: report.map(|report| (now - report.as_of).max(0.0).ceil() as u32),
            decided: report.map_or(view.decided.digest(), |report| report.decided),
            control_reachable: true,
            most_agents_isolated: false,
        });
        self.applied = applied;
        if view.is_recent {
            self.assess(now, view);
        }
    }

    /// Compares what the proxy has applied with what is decided.
    fn assess(&mut self, now: Millis, view: &MajorityView<'_>) {
        let report = MajorityReport {
            decided: view.decided.digest(),
            as_of: now,
        };
        self.status =
            SyncAssessment::new(&self.applied, Some(&report), false, &view.report_validity).status;
        let lacking_since = view.decided.lacking_since(&self.applied.revision);
        self.not_current_since = match (self.status, lacking_since) {
            (SyncStatus::Current, _) => None,
            // In a storm of changes a proxy always lacks the last ones: what counts is for how long it lacks the first.
            (SyncStatus::Behind, Some(since)) => Some(since.max(self.connected_at)),
            _ => Some(self.not_current_since.unwrap_or(now)),
        };
    }

    /// Records the proxy's readiness and whether it is current. Returns whether either has changed.
    fn update_proxy(&mut self, now: Millis, readiness: Readiness, max_lag: Millis) -> bool {
        // A proxy that lacks an update for less than `max_lag` still counts as current.
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

/// A proxy whose agent is changing to another control node.
struct MovedProxy {
    proxy: ProxyEndpoint,
    /// Until when the agent is assumed to have connected there.
    until: Millis,
}

/// The agents that are connected to this node.
#[derive(Default)]
pub struct AgentSessions {
    sessions: HashMap<ConnectionId, AgentSession>,
    moved: Vec<MovedProxy>,
}

impl AgentSessions {
    /// The proxies whose agents are connected here, and those whose agents have just left for another control node.
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

    /// An agent connected.
    pub fn on_connected(&mut self, now: Millis, id: ConnectionId, link: Link) {
        self.sessions.insert(id, AgentSession::new(link, now));
    }

    /// A connection ended. Returns whether that has changed this node's proxies.
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
            let until = now + RECONNECT_TIME;
            self.moved.push(MovedProxy { proxy, until });
        }
        true
    }

    /// An agent sent a message.
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
                session.introduce(host, proxy_addr, zone);
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

    /// Marks the proxies of silent agents as closed, and forgets moved proxies whose time has passed. Returns whether
    /// that has changed this node's proxies.
    pub fn close_silent(&mut self, now: Millis) -> bool {
        let moved_before = self.moved.len();
        self.moved.retain(|moved| now < moved.until);
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

    /// Sends every agent the sections that it does not have yet, as far as it has acknowledged those before. `report`: the
    /// decided state that the sections hold.
    pub fn send_updates(
        &mut self,
        now: Millis,
        sections: &[StateSection],
        report: Option<MajorityReport>,
    ) {
        let introduced = self
            .sessions
            .values_mut()
            .filter(|session| session.proxy.is_some());
        for session in introduced {
            session.send_updates(now, sections, report);
        }
    }

    /// Whether sections wait for an agent's acknowledgement.
    pub fn has_waiting_updates(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.updates.is_waiting())
    }

    /// The nodes whose agents are connected here, by host name.
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
