//! The faults of a simulated night.

use aspendrum_reconcile::Millis;
use fastrand::Rng;

/// How many kinds of faults [`FaultKind::draw`] chooses from.
const KINDS: usize = 8;
/// A fault lasts between this and a thousand times as long, evenly on a logarithmic scale.
const SHORTEST_FAULT: Millis = 1000.0;
/// Control loses its majority for this long at most.
const LONGEST_CONTROL_OUTAGE: Millis = 60_000.0;

#[derive(Clone, Copy)]
pub(crate) enum FaultKind {
    /// The agent cannot reach control.
    ControlLink,
    /// The agent can reach neither control nor other agents.
    AllLinks,
    /// All processes of the machine stand still.
    Frozen,
    /// The agent's process is down.
    AgentDown,
    /// Configurations are lost on the way to the agent, heartbeats are not.
    UpdatesToAgent,
    /// Configurations are lost on the way to the proxy, heartbeats are not.
    UpdatesToProxy,
    /// The proxy's tables change without an update.
    CorruptTables,
    /// Control has no majority; nothing is decided meanwhile.
    ControlMajority,
}

impl FaultKind {
    pub(crate) fn draw(rng: &mut Rng) -> FaultKind {
        match rng.usize(0..KINDS) {
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

pub(crate) fn draw_duration(rng: &mut Rng) -> Millis {
    SHORTEST_FAULT * 10f64.powf(3.0 * rng.f64())
}

pub(crate) fn draw_control_outage(rng: &mut Rng) -> Millis {
    LONGEST_CONTROL_OUTAGE * rng.f64()
}

/// How many nodes a fault strikes at once.
pub(crate) fn draw_affected_nodes(rng: &mut Rng, nodes: usize) -> usize {
    [1, 1, 1, 2, 5, nodes / 3][rng.usize(0..6)]
}

/// When each fault of one node ends; it is over before that fault began.
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

    /// Whether the agent exchanges datagrams with other agents.
    pub(crate) fn agent_reachable(&self, now: Millis) -> bool {
        now >= self.all_links_until && now >= self.frozen_until && now >= self.agent_down_until
    }
}
