//! The faults of a simulated night.

use aspendrum_reconcile::Millis;
use fastrand::Rng;

/// The number of fault kinds that [`FaultKind::random`] selects from.
const FAULT_KINDS: usize = 8;
/// The minimum duration of a fault. Durations are log-uniform between this value and a thousand times as much.
const MIN_FAULT_DURATION: Millis = 1000.0;
/// The maximum duration of the loss of the control majority.
const MAX_CONTROL_OUTAGE: Millis = 60_000.0;

#[derive(Clone, Copy)]
pub(crate) enum FaultKind {
    /// The agent cannot reach control.
    ControlLink,
    /// The agent can reach neither control nor other agents.
    AllLinks,
    /// All processes of the machine are suspended.
    Frozen,
    /// The agent's process is down.
    AgentDown,
    /// Configuration updates to the agent are lost, but heartbeats are not.
    UpdatesToAgent,
    /// Configuration updates to the proxy are lost, but heartbeats are not.
    UpdatesToProxy,
    /// The proxy's tables change without an update.
    CorruptTables,
    /// Control has no majority, so nothing is decided.
    ControlMajority,
}

impl FaultKind {
    pub(crate) fn random(rng: &mut Rng) -> FaultKind {
        match rng.usize(0..FAULT_KINDS) {
            0 => FaultKind::ControlLink,
            1 => FaultKind::AllLinks,
            2 => FaultKind::Frozen,
            3 => FaultKind::AgentDown,
            4 => FaultKind::UpdatesToAgent,
            5 => FaultKind::UpdatesToProxy,
            6 => FaultKind::CorruptTables,
            _ => FaultKind::ControlMajority,
        }
    }
}

pub(crate) fn random_duration(rng: &mut Rng) -> Millis {
    MIN_FAULT_DURATION * 10f64.powf(3.0 * rng.f64())
}

pub(crate) fn random_control_outage(rng: &mut Rng) -> Millis {
    MAX_CONTROL_OUTAGE * rng.f64()
}

/// Returns the number of nodes that a fault affects.
pub(crate) fn random_affected_nodes(rng: &mut Rng, nodes: usize) -> usize {
    [1, 1, 1, 2, 5, nodes / 3][rng.usize(0..6)]
}

/// The end time of each fault of a node. A time in the past means that the fault is inactive.
#[derive(Clone, Default)]
pub(crate) struct NodeFaults {
    pub(crate) control_link_until: Millis,
    pub(crate) all_links_until: Millis,
    pub(crate) frozen_until: Millis,
    pub(crate) agent_down_until: Millis,
    pub(crate) updates_to_agent_until: Millis,
    pub(crate) updates_to_proxy_until: Millis,
}

impl NodeFaults {
    pub(crate) fn all(&self) -> [Millis; 6] {
        [
            self.control_link_until,
            self.all_links_until,
            self.frozen_until,
            self.agent_down_until,
            self.updates_to_agent_until,
            self.updates_to_proxy_until,
        ]
    }

    pub(crate) fn end_by(&mut self, time: Millis) {
        for until in [
            &mut self.control_link_until,
            &mut self.all_links_until,
            &mut self.frozen_until,
            &mut self.agent_down_until,
            &mut self.updates_to_agent_until,
            &mut self.updates_to_proxy_until,
        ] {
            *until = until.min(time);
        }
    }

    /// Whether the agent can exchange datagrams with other agents.
    pub(crate) fn agent_reachable(&self, now: Millis) -> bool {
        now >= self.all_links_until && now >= self.frozen_until && now >= self.agent_down_until
    }
}
