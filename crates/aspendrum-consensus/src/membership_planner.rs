//! Plans changes of the voters. Every voter plans independently, based on its own view of the other nodes; Paxos
//! ensures that a single set is decided. Proposals are staggered so that voters do not preempt each other.

use crate::membership::{required_voters, DiskId, Epoch, Voters, UNASSIGNED_DISK};
use crate::node::{Millis, NodeId};
use std::collections::BTreeMap;

/// The maximum time to wait for all seeds and for [`MembershipPolicy::voters`] nodes before the first voters are
/// selected.
const MAX_FOUNDING_WAIT: Millis = 2500.0;
/// The delay between the proposals of two voters for the same change.
const PROPOSAL_STAGGER: Millis = 300.0;
/// The replacement timeout as a fraction of the sync time. The remainder is reserved for the membership change and the
/// state transfer.
const REPLACE_TIMEOUT_FRACTION: f64 = 0.4;
/// The time without contact after which a node is considered down, and the lower bound of the replacement timeout. It
/// allows for three missed heartbeats, which are sent every half second.
const MIN_REPLACE_TIMEOUT: Millis = 1600.0;
/// A node without contact for this time is not eligible as a new voter.
const CANDIDATE_TIMEOUT: Millis = 1000.0;

/// The status of a control node as observed by the local node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The disk that the node can vote with; [`UNASSIGNED_DISK`] if it has none.
    pub disk: DiskId,
    /// The zone of the node.
    pub zone: String,
    /// The time since the last message from the node.
    pub time_since_contact: Millis,
    /// Whether the node is shutting down.
    pub is_leaving: bool,
}

impl NodeStatus {
    fn is_up(&self) -> bool {
        self.time_since_contact < MIN_REPLACE_TIMEOUT
    }

    fn is_candidate(&self) -> bool {
        self.time_since_contact < CANDIDATE_TIMEOUT
            && !self.is_leaving
            && self.disk != UNASSIGNED_DISK
    }
}

/// The parameters for the selection of voters.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPolicy {
    /// The target number of voters.
    pub voters: usize,
    /// The time without contact after which a voter is replaced by a standby.
    pub replace_timeout: Millis,
}

impl MembershipPolicy {
    /// Creates a policy that tolerates the simultaneous loss of `losses` disks. `sync_time` is the time
    /// after the start of a node during which it still counts as lost.
    pub fn new(losses: usize, sync_time: Millis) -> MembershipPolicy {
        MembershipPolicy {
            voters: required_voters(losses),
            replace_timeout: (REPLACE_TIMEOUT_FRACTION * sync_time).max(MIN_REPLACE_TIMEOUT),
        }
    }
}

/// A change of the voters that is due according to this node.
#[derive(Debug)]
struct PlannedChange {
    /// The number of the epoch whose voters change.
    epoch: u32,
    voters: Voters,
    /// When this node first planned the change.
    planned_at: Millis,
}

/// Decides when this node proposes the voters of the next epoch, and selects them.
#[derive(Debug)]
pub struct MembershipPlanner {
    local_node: NodeId,
    policy: MembershipPolicy,
    started_at: Millis,
    planned: Option<PlannedChange>,
}

impl MembershipPlanner {
    /// Creates the planner of the local node. `now` is the start of the node.
    pub fn new(local_node: NodeId, policy: MembershipPolicy, now: Millis) -> MembershipPlanner {
        MembershipPlanner {
            local_node,
            policy,
            started_at: now,
            planned: None,
        }
    }

    /// Returns the voters that this node should propose now, if any. `nodes` contains all control nodes that this node
    /// has ever learned of, including itself.
    pub fn next_proposal(
        &mut self,
        now: Millis,
        epoch: &Epoch,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let next = if epoch.accepts_commands() {
            next_voters(&epoch.voters, nodes, &self.policy)
        } else {
            self.first_voters(now, &epoch.voters, nodes)
        };
        let Some(voters) = next else {
            self.planned = None;
            return None;
        };
        let planned = self.planned.take();
        let planned = planned.filter(|p| p.epoch == epoch.number && p.voters == voters);
        let planned_at = planned.map_or(now, |planned| planned.planned_at);
        self.planned = Some(PlannedChange {
            epoch: epoch.number,
            voters: voters.clone(),
            planned_at,
        });
        let position = self.proposal_position(&epoch.voters, nodes)?;
        (now - planned_at >= PROPOSAL_STAGGER * position as Millis).then_some(voters)
    }

    /// Returns this node's position among the voters that can propose; `None` if this node is not a voter.
    fn proposal_position(
        &self,
        voters: &Voters,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<usize> {
        let is_eligible = |(node, disk): &(&NodeId, &DiskId)| {
            let has_that_disk =
                |status: &NodeStatus| **disk == UNASSIGNED_DISK || status.disk == **disk;
            let can_propose =
                |status: &NodeStatus| status.is_up() && !status.is_leaving && has_that_disk(status);
            **node == self.local_node || nodes.get(node).is_some_and(can_propose)
        };
        let mut eligible = voters.0.iter().filter(is_eligible);
        eligible.position(|(node, _)| *node == self.local_node)
    }

    /// Selects the voters of the first epoch that accepts commands: all available seeds, plus nodes of the zones with
    /// the fewest voters up to [`MembershipPolicy::voters`]. Returns `None` while nodes are still awaited.
    fn first_voters(
        &self,
        now: Millis,
        seeds: &Voters,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let is_candidate = |status: &&NodeStatus| status.is_candidate();
        let disk_of = |seed: NodeId| {
            let status = nodes.get(&seed).filter(is_candidate);
            status.map(|status| status.disk)
        };
        let candidate_count = nodes.values().filter(is_candidate).count();
        let all_seeds_up = seeds.nodes().all(|seed| disk_of(seed).is_some());
        let is_complete = all_seeds_up && candidate_count >= self.policy.voters;
        if !is_complete && now - self.started_at < MAX_FOUNDING_WAIT {
            return None;
        }
        let present_seeds = seeds
            .nodes()
            .filter_map(|seed| Some((seed, disk_of(seed)?)));
        let mut voters = Voters(present_seeds.collect());
        while voters.len() < self.policy.voters {
            let Some((node, disk)) = select_standby(&voters, nodes) else {
                break;
            };
            voters.0.insert(node, disk);
        }
        Some(voters).filter(|voters| !voters.is_empty())
    }
}

/// Selects a standby from the zone with the fewest voters, which minimizes the number of voters that are lost with a
/// zone.
fn select_standby(
    voters: &Voters,
    nodes: &BTreeMap<NodeId, NodeStatus>,
) -> Option<(NodeId, DiskId)> {
    let zone_of = |node: NodeId| nodes.get(&node).map(|status| status.zone.as_str());
    let voters_in = |zone: &str| voters.nodes().filter(|n| zone_of(*n) == Some(zone)).count();
    let standbys = nodes
        .iter()
        .filter(|(node, status)| status.is_candidate() && !voters.contains_node(**node));
    let (node, status) = standbys.min_by_key(|(node, s)| (voters_in(&s.zone), **node))?;
    Some((*node, status.disk))
}

/// Returns the voters after the next change, if one is due. Changes are considered in this order:
///
/// 1. A voter that returned with another disk votes with that disk.
/// 2. A standby is added if there are fewer voters than [`MembershipPolicy::voters`].
/// 3. A standby replaces a voter that is shutting down or has been without contact for
///    [`MembershipPolicy::replace_timeout`].
pub fn next_voters(
    voters: &Voters,
    nodes: &BTreeMap<NodeId, NodeStatus>,
    policy: &MembershipPolicy,
) -> Option<Voters> {
    let mut next = voters.clone();
    if let Some((node, disk)) = find_changed_disk(voters, nodes) {
        next.0.insert(node, disk);
        return Some(next);
    }
    if voters.len() < policy.voters {
        let (node, disk) = select_standby(voters, nodes)?;
        next.0.insert(node, disk);
        return Some(next);
    }
    let needs_replacement = |node: &NodeId| {
        let status = nodes.get(node);
        status.is_none_or(|s| s.is_leaving || s.time_since_contact >= policy.replace_timeout)
    };
    let replaced = voters.nodes().find(needs_replacement)?;
    next.0.remove(&replaced);
    let (node, disk) = select_standby(&next, nodes).filter(|(node, _)| *node != replaced)?;
    next.0.insert(node, disk);
    Some(next)
}

/// Returns a voter that has returned with another disk, and that disk.
fn find_changed_disk(
    voters: &Voters,
    nodes: &BTreeMap<NodeId, NodeStatus>,
) -> Option<(NodeId, DiskId)> {
    voters.0.iter().find_map(|(node, disk)| {
        let status = nodes.get(node).filter(|status| status.is_candidate())?;
        (status.disk != *disk).then_some((*node, status.disk))
    })
}
