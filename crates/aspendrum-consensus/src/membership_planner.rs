//! Plans changes of the voters. Every voter plans by itself, from what it knows of the other nodes; Paxos makes sure
//! that a single set is decided. Voters propose in turn, so that they do not preempt each other.

use crate::membership::{voters_tolerating, DiskId, Epoch, Voters, FOUNDING_DISK};
use crate::node::{Millis, NodeId};
use std::collections::BTreeMap;

/// The first voters are chosen once all seeds and [`MembershipPolicy::voters`] nodes are up, or after this time.
const MAX_FOUNDING_WAIT: Millis = 2500.0;
/// Voters propose one after another, this far apart.
const PROPOSAL_TURN: Millis = 300.0;
/// After which share of the sync time a silent voter is replaced. The rest is left for the change of the voters and the
/// transfer of the state.
const REPLACE_SHARE: f64 = 0.4;
/// No voter counts as lost before this time without contact: three heartbeats, one each half second, may be missed.
const MIN_REPLACE_AFTER: Millis = 1600.0;
/// A node without contact for this time is not chosen as a voter.
const CANDIDATE_TIMEOUT: Millis = 1000.0;

/// What this node knows of a control node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The disk that the node may vote with; [`FOUNDING_DISK`] if it has none.
    pub disk: DiskId,
    /// The zone that the node runs in.
    pub zone: String,
    /// The time since the last message from the node.
    pub time_since_contact: Millis,
    /// Whether the node is shutting down.
    pub is_leaving: bool,
}

impl NodeStatus {
    fn is_up(&self) -> bool {
        self.time_since_contact < MIN_REPLACE_AFTER
    }

    fn may_become_voter(&self) -> bool {
        self.time_since_contact < CANDIDATE_TIMEOUT
            && !self.is_leaving
            && self.disk != FOUNDING_DISK
    }
}

/// The requirements of a deployment that the choice of voters rests on.
#[derive(Clone, Copy, Debug)]
pub struct MembershipPolicy {
    /// The number of nodes that should vote.
    pub voters: usize,
    /// A voter without contact for this time is replaced by a standby.
    pub replace_after: Millis,
}

impl MembershipPolicy {
    /// `losses`: how many disks may be lost at once. `sync_time`: how long after its start a node still counts as lost.
    pub fn new(losses: usize, sync_time: Millis) -> MembershipPolicy {
        MembershipPolicy {
            voters: voters_tolerating(losses),
            replace_after: (REPLACE_SHARE * sync_time).max(MIN_REPLACE_AFTER),
        }
    }
}

/// A change of the voters that this node has found due.
#[derive(Debug)]
struct PlannedChange {
    /// The number of the epoch whose voters would change.
    epoch: u32,
    voters: Voters,
    since: Millis,
}

/// Decides when this node proposes the voters of the next epoch, and which.
#[derive(Debug)]
pub struct MembershipPlanner {
    local_node: NodeId,
    policy: MembershipPolicy,
    started_at: Millis,
    planned: Option<PlannedChange>,
}

impl MembershipPlanner {
    /// A planner for this node that starts now.
    pub fn new(local_node: NodeId, policy: MembershipPolicy, now: Millis) -> MembershipPlanner {
        MembershipPlanner {
            local_node,
            policy,
            started_at: now,
            planned: None,
        }
    }

    /// The voters that this node should propose now, if any. `nodes`: all control nodes that this node ever heard of,
    /// itself included.
    pub fn due_change(
        &mut self,
        now: Millis,
        epoch: &Epoch,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let wanted = if epoch.takes_commands() {
            next_voters(&epoch.voters, nodes, &self.policy)
        } else {
            self.first_voters(now, &epoch.voters, nodes)
        };
        let Some(voters) = wanted else {
            self.planned = None;
            return None;
        };
        let planned = self.planned.take();
        let planned = planned.filter(|p| p.epoch == epoch.number && p.voters == voters);
        let since = planned.map_or(now, |planned| planned.since);
        self.planned = Some(PlannedChange {
            epoch: epoch.number,
            voters: voters.clone(),
            since,
        });
        let position = self.proposal_position(&epoch.voters, nodes)?;
        (now - since >= PROPOSAL_TURN * position as Millis).then_some(voters)
    }

    /// The number of voters whose turn to propose comes before this node's; none if this node does not vote.
    fn proposal_position(
        &self,
        voters: &Voters,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<usize> {
        let is_able = |(node, disk): &(&NodeId, &DiskId)| {
            let has_that_disk =
                |status: &NodeStatus| **disk == FOUNDING_DISK || status.disk == **disk;
            let can_propose =
                |status: &NodeStatus| status.is_up() && !status.is_leaving && has_that_disk(status);
            **node == self.local_node || nodes.get(node).is_some_and(can_propose)
        };
        let mut able = voters.0.iter().filter(is_able);
        able.position(|(node, _)| *node == self.local_node)
    }

    /// The seeds that are up, filled up to the wanted number with the nodes whose zones have the fewest voters.
    fn first_voters(
        &self,
        now: Millis,
        seeds: &Voters,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let able = |status: &&NodeStatus| status.may_become_voter();
        let disk_of = |seed: NodeId| nodes.get(&seed).filter(able).map(|status| status.disk);
        let able_count = nodes.values().filter(able).count();
        let all_seeds_up = seeds.nodes().all(|seed| disk_of(seed).is_some());
        let is_complete = all_seeds_up && able_count >= self.policy.voters;
        if !is_complete && now - self.started_at < MAX_FOUNDING_WAIT {
            return None;
        }
        let present_seeds = seeds
            .nodes()
            .filter_map(|seed| Some((seed, disk_of(seed)?)));
        let mut voters = Voters(present_seeds.collect());
        while voters.len() < self.policy.voters {
            let Some((node, disk)) = best_standby(&voters, nodes) else {
                break;
            };
            voters.0.insert(node, disk);
        }
        Some(voters).filter(|voters| !voters.is_empty())
    }
}

/// Of the nodes that do not vote, the one whose zone has the fewest voters: the loss of a zone then takes as few of
/// them as possible.
fn best_standby(voters: &Voters, nodes: &BTreeMap<NodeId, NodeStatus>) -> Option<(NodeId, DiskId)> {
    let zone_of = |node: NodeId| nodes.get(&node).map(|status| status.zone.as_str());
    let voters_in = |zone: &str| voters.nodes().filter(|n| zone_of(*n) == Some(zone)).count();
    let standbys = nodes
        .iter()
        .filter(|(node, status)| status.may_become_voter() && !voters.contains_node(**node));
    let (node, status) = standbys.min_by_key(|(node, s)| (voters_in(&s.zone), **node))?;
    Some((*node, status.disk))
}

/// The voters after one change, if one is due. In this order: a voter that came back with another disk votes with that
/// disk; a standby is added where voters are too few; a standby replaces a voter that shuts down or that has been
/// without contact for [`MembershipPolicy::replace_after`].
pub fn next_voters(
    voters: &Voters,
    nodes: &BTreeMap<NodeId, NodeStatus>,
    policy: &MembershipPolicy,
) -> Option<Voters> {
    let mut next = voters.clone();
    if let Some((node, disk)) = find_replaced_disk(voters, nodes) {
        next.0.insert(node, disk);
        return Some(next);
    }
    if voters.len() < policy.voters {
        let (node, disk) = best_standby(voters, nodes)?;
        next.0.insert(node, disk);
        return Some(next);
    }
    let is_gone = |node: &NodeId| {
        let status = nodes.get(node);
        status.is_none_or(|s| s.is_leaving || s.time_since_contact >= policy.replace_after)
    };
    let gone = voters.nodes().find(is_gone)?;
    next.0.remove(&gone);
    let (node, disk) = best_standby(&next, nodes).filter(|(node, _)| *node != gone)?;
    next.0.insert(node, disk);
    Some(next)
}

/// A voter whose node came back with another disk, and that disk.
fn find_replaced_disk(
    voters: &Voters,
    nodes: &BTreeMap<NodeId, NodeStatus>,
) -> Option<(NodeId, DiskId)> {
    voters.0.iter().find_map(|(node, disk)| {
        let status = nodes.get(node).filter(|status| status.may_become_voter())?;
        (status.disk != *disk).then_some((*node, status.disk))
    })
}
