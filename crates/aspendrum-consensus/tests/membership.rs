//! Who votes: the first voters, nodes that are replaced or come back with an empty disk, and what a closed epoch may
//! still do.

mod common;

use aspendrum_consensus::membership_planner::{
    next_voters, MembershipPlanner, MembershipPolicy, NodeStatus,
};
use aspendrum_consensus::message::{Message, Request};
use aspendrum_consensus::{Command, Epoch, NodeId, Voters};
use common::{config, node, Cluster, Envelope, Variant};
use std::collections::BTreeMap;

/// Nodes that are up, each with its disk and its zone.
fn statuses(nodes: &[(u32, u64, &str)]) -> BTreeMap<NodeId, NodeStatus> {
    let status = |(number, disk, zone): &(u32, u64, &str)| {
        let status = NodeStatus {
            disk: *disk,
            zone: zone.to_string(),
            time_since_contact: 0.0,
            is_leaving: false,
        };
        (node(*number), status)
    };
    nodes.iter().map(status).collect()
}

fn voters(voters: &[(u32, u64)]) -> Voters {
    Voters(
        voters
            .iter()
            .map(|(number, disk)| (node(*number), *disk))
            .collect(),
    )
}

/// Danger: the settings name three nodes where two may be lost at once, and a majority of three is gone with them.
#[test]
fn as_many_vote_as_the_losses_require_spread_over_zones() {
    let policy = MembershipPolicy::new(2, 6000.0);
    let epoch = Epoch::founding(&[1, 2, 3].map(node));
    let mut planner = MembershipPlanner::new(node(1), policy, 0.0);
    let mut nodes = statuses(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "c")]);
    assert_eq!(
        planner.due_change(100.0, &epoch, &nodes),
        None,
        "fewer nodes are there than must vote"
    );
    nodes.extend(statuses(&[(4, 14, "a"), (5, 15, "d"), (6, 16, "a")]));
    let chosen = planner.due_change(200.0, &epoch, &nodes).unwrap();
    let expected = voters(&[(1, 11), (2, 12), (3, 13), (5, 15), (4, 14)]);
    assert_eq!(chosen, expected);
    // Nodes that do not come are not waited for without end.
    let nodes = statuses(&[(1, 11, "a"), (2, 12, "b")]);
    let chosen = planner.due_change(2600.0, &epoch, &nodes);
    assert_eq!(chosen, Some(voters(&[(1, 11), (2, 12)])));
}

/// Danger: a node that is gone keeps its vote for ever, and each further one takes a disk off the majority.
#[test]
fn a_voter_that_is_gone_is_replaced_by_a_standby() {
    let policy = MembershipPolicy::new(1, 4000.0);
    let current = voters(&[(1, 11), (2, 12), (3, 13)]);
    let mut nodes = statuses(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "a")]);
    assert_eq!(next_voters(&current, &nodes, &policy), None);
    nodes.get_mut(&node(1)).unwrap().time_since_contact = policy.replace_after;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "there is no standby"
    );
    nodes.extend(statuses(&[(4, 14, "a"), (5, 15, "c")]));
    let expected = voters(&[(5, 15), (2, 12), (3, 13)]);
    assert_eq!(next_voters(&current, &nodes, &policy), Some(expected));
    nodes.get_mut(&node(1)).unwrap().time_since_contact = policy.replace_after - 1.0;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "it may be back in a moment"
    );
    nodes.get_mut(&node(1)).unwrap().is_leaving = true;
    assert!(
        next_voters(&current, &nodes, &policy).is_some(),
        "it is shutting down"
    );
    nodes.get_mut(&node(5)).unwrap().is_leaving = true;
    nodes.get_mut(&node(4)).unwrap().time_since_contact = 1200.0;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "a node that shuts down or is silent is no standby"
    );
}

/// Danger: an empty disk answers for what it lost.
#[test]
fn a_voter_with_another_disk_is_replaced_by_itself() {
    let policy = MembershipPolicy::new(1, 4000.0);
    let current = voters(&[(1, 11), (2, 12), (3, 13)]);
    let nodes = statuses(&[(1, 21, "a"), (2, 12, "b"), (3, 13, "a"), (4, 14, "c")]);
    let expected = voters(&[(1, 21), (2, 12), (3, 13)]);
    assert_eq!(next_voters(&current, &nodes, &policy), Some(expected));
}

/// Voters propose in turns, so that they seldom preempt each other; other nodes never do.
#[test]
fn voters_propose_one_after_another() {
    let policy = MembershipPolicy::new(1, 4000.0);
    let epoch = Epoch {
        number: 3,
        voters: voters(&[(1, 11), (2, 12), (3, 13)]),
        ..Epoch::default()
    };
    let mut nodes = statuses(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "c"), (4, 14, "d")]);
    nodes.get_mut(&node(1)).unwrap().time_since_contact = 5000.0;
    let proposed_at = |number: u32| {
        let mut planner = MembershipPlanner::new(node(number), policy, 0.0);
        let mut times = (0..100).map(|n| f64::from(n) * 50.0);
        times.find(|now| planner.due_change(*now, &epoch, &nodes).is_some())
    };
    assert_eq!([2, 3, 4].map(proposed_at), [Some(0.0), Some(300.0), None]);
}

fn is_accept(envelope: &Envelope) -> bool {
    matches!(
        envelope.message,
        Message::Request {
            request: Request::Accept { .. },
            ..
        }
    )
}

/// Whether what was acknowledged survives the loss of a disk, after a write that was begun in an epoch whose voters
/// have changed meanwhile.
fn acknowledged_write_survives_membership_change(variant: Variant) -> bool {
    let mut cluster = Cluster::new(variant);
    let voters = cluster.voters();
    let is_standby = |node: &NodeId| !voters.contains(node);
    let standby = cluster.nodes().into_iter().find(is_standby).unwrap();
    let (proposer, slow, other) = (voters[0], voters[1], voters[2]);
    // The proposer has its version prepared and accepts the text itself; its requests to the others are on their way.
    cluster.submit(proposer, config(8, 1));
    cluster.deliver_where(|e| e.to == proposer || !is_accept(e));
    let is_late = |e: &Envelope| e.to == slow && is_accept(e);
    let late = cluster.messages.iter().position(is_late).unwrap();
    let late = cluster.messages.remove(late);
    cluster.messages.clear();
    // It shuts down, and its vote is taken over before any of these requests arrives.
    cluster.leave(proposer);
    cluster.run_partition(&[slow, other, standby], 3);
    cluster.messages.clear();
    let epoch = cluster.epoch();
    assert!(!epoch.voters.contains_node(proposer), "{epoch:?}");
    assert!(cluster.tolerates_a_loss(), "{epoch:?}");
    // Only now its request arrives.
    cluster.deliver(late);
    cluster.deliver_where(|e| e.from == slow && e.to == proposer);
    cluster.messages.clear();
    let acknowledged = cluster.acknowledged_version;
    // It ends for good, and one disk is lost, as the requirements allow; what was acknowledged must be there.
    cluster.cut_power(proposer);
    cluster.disks.remove(&proposer);
    cluster.cut_power(slow);
    cluster.disks.insert(slow, None);
    let reads = cluster.read_after_power_loss();
    reads
        .iter()
        .all(|read| read.is_some_and(|version| version >= acknowledged))
}

#[test]
fn a_closed_epoch_acknowledges_nothing() {
    assert!(acknowledged_write_survives_membership_change(
        Variant::Sound
    ));
    // Without the mechanism the same write is acknowledged by a voter of two epochs, and lost with its disk.
    assert!(!acknowledged_write_survives_membership_change(
        Variant::NoSeal
    ));
}

/// Whether a majority of which one lost its disk reports less than was acknowledged.
fn empty_disk_hides_acknowledged_write(variant: Variant) -> bool {
    let mut cluster = Cluster::new(variant);
    let voters = cluster.voters();
    let (lost, other, late) = (voters[0], voters[1], voters[2]);
    // Acknowledged by two, before the third hears of it.
    cluster.submit(lost, config(8, 1));
    cluster.deliver_where(|e| e.from != late && e.to != late);
    cluster.messages.clear();
    assert_eq!(cluster.acknowledged_version, 8);
    cluster.cut_power(lost);
    cluster.disks.insert(lost, None);
    cluster.start(lost);
    // It comes back empty while the other one is unreachable.
    let epoch = cluster.up[&late].epoch().clone();
    let now = cluster.now;
    let replica = cluster.up.get_mut(&lost).unwrap();
    let effects = replica.observe_epoch(now, late, epoch);
    cluster.carry_out(lost, effects);
    cluster.run_partition(&[lost, late], 4);
    cluster.submit(late, Command::Read);
    cluster.run_partition(&[lost, late], 4);
    let reader = &cluster.up[&late];
    assert!(cluster.up.contains_key(&other));
    reader.committed_as_of().is_some() && reader.committed().config.version < 8
}

/// Danger: an empty disk answers for what it lost.
#[test]
fn a_lost_disk_does_not_vote() {
    assert!(!empty_disk_hides_acknowledged_write(Variant::Sound));
    assert!(empty_disk_hides_acknowledged_write(Variant::SameAfterWipe));
}
