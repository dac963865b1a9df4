//! Membership changes: selection of the first voters, replacement of nodes, restarts with an empty disk, and requests
//! in a sealed epoch.

mod common;

use aspendrum_consensus::ballot::Ballot;
use aspendrum_consensus::membership_planner::{
    next_voters, MembershipPlanner, MembershipPolicy, NodeStatus,
};
use aspendrum_consensus::message::{Message, Request};
use aspendrum_consensus::replicated_state::Evacuation;
use aspendrum_consensus::{Command, CommandId, Epoch, NodeId, ReplicatedState, Voters};
use common::{config, node, Cluster, Envelope, ReadResult, Variant};
use std::collections::BTreeMap;

/// Returns the statuses of running nodes with the given disks and zones.
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

/// Guards against a set of three voters where two losses must be tolerated, which would lose the majority.
#[test]
fn voters_match_the_tolerated_losses_and_are_spread_over_zones() {
    let policy = MembershipPolicy::new(2, 6000.0);
    let epoch = Epoch::founding(&[1, 2, 3].map(node));
    let mut planner = MembershipPlanner::new(node(1), policy, 0.0);
    let mut nodes = statuses(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "c")]);
    assert_eq!(
        planner.next_proposal(100.0, &epoch, &nodes),
        None,
        "there are fewer nodes than required voters"
    );
    nodes.extend(statuses(&[(4, 14, "a"), (5, 15, "d"), (6, 16, "a")]));
    let chosen = planner.next_proposal(200.0, &epoch, &nodes).unwrap();
    let expected = voters(&[(1, 11), (2, 12), (3, 13), (5, 15), (4, 14)]);
    assert_eq!(chosen, expected);
    // The wait for missing nodes is bounded.
    let nodes = statuses(&[(1, 11, "a"), (2, 12, "b")]);
    let chosen = planner.next_proposal(2600.0, &epoch, &nodes);
    assert_eq!(chosen, Some(voters(&[(1, 11), (2, 12)])));
}

/// Guards against a panic, or a number that wraps around to "none", after a peer has sent a number at the end of its range.
#[test]
fn the_highest_numbers_from_a_peer_are_harmless() {
    let mut cluster = Cluster::new(Variant::Correct);
    let (receiver, peer) = (node(1), node(2));
    let epoch = cluster.epoch();
    let ballot = Ballot {
        counter: u32::MAX,
        node: peer,
        incarnation: u64::MAX,
    };
    let highest = Evacuation {
        revision: u64::MAX,
        has_ended: true,
    };
    let state = ReplicatedState {
        evacuations: [("z".to_string(), highest), ("y".to_string(), highest)].into(),
        ..ReplicatedState::default()
    };
    let requests = [
        Request::Prepare { version: 7, ballot },
        Request::Write {
            request_id: u64::MAX,
            state: Box::new(state),
        },
    ];
    for request in requests {
        cluster.deliver(Envelope {
            from: peer,
            to: receiver,
            message: Message::Request {
                epoch: epoch.number,
                request,
            },
        });
    }
    cluster.submit(receiver, config(8, 1));
    let command_id = cluster.submitted.len() as CommandId;
    cluster.submit(
        receiver,
        Command::SetEvacuation {
            zone: "z".into(),
            is_evacuated: true,
        },
    );
    cluster.stabilize();
    assert_eq!(
        cluster.read(receiver),
        ReadResult::Version(cluster.acknowledged_version)
    );
    let evacuated = cluster.up[&receiver].committed().evacuated_zones();
    assert_eq!((evacuated.revision, evacuated.zones), (u64::MAX, vec![]));
    assert!(!cluster.acknowledged_evacuations.contains(&command_id));
    // An epoch that cannot be followed by another one stays the newest.
    let last = Epoch {
        number: u32::MAX,
        ..epoch
    };
    assert!(last.supersedes(&cluster.epoch()));
    let next = last.next(voters(&[(1, 11)]));
    assert!(!next.supersedes(&last) && next.accepts_commands());
}

/// Guards against missing nodes that stay voters, so that each further loss reduces the remaining majority.
#[test]
fn a_voter_that_is_gone_is_replaced_by_a_standby() {
    let policy = MembershipPolicy::new(1, 4000.0);
    let current = voters(&[(1, 11), (2, 12), (3, 13)]);
    let mut nodes = statuses(&[(1, 11, "a"), (2, 12, "b"), (3, 13, "a")]);
    assert_eq!(next_voters(&current, &nodes, &policy), None);
    nodes.get_mut(&node(1)).unwrap().time_since_contact = policy.replace_timeout;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "there is no standby"
    );
    nodes.extend(statuses(&[(4, 14, "a"), (5, 15, "c")]));
    let expected = voters(&[(5, 15), (2, 12), (3, 13)]);
    assert_eq!(next_voters(&current, &nodes, &policy), Some(expected));
    nodes.get_mut(&node(1)).unwrap().time_since_contact = policy.replace_timeout - 1.0;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "the replacement timeout has not passed"
    );
    nodes.get_mut(&node(1)).unwrap().is_leaving = true;
    assert!(
        next_voters(&current, &nodes, &policy).is_some(),
        "a voter that is shutting down is replaced"
    );
    nodes.get_mut(&node(5)).unwrap().is_leaving = true;
    nodes.get_mut(&node(4)).unwrap().time_since_contact = 1200.0;
    assert_eq!(
        next_voters(&current, &nodes, &policy),
        None,
        "a node that is shutting down or silent is not a standby"
    );
}

/// Guards against an empty disk that counts as the voter whose state it lost.
#[test]
fn a_voter_with_a_new_disk_votes_with_that_disk() {
    let policy = MembershipPolicy::new(1, 4000.0);
    let current = voters(&[(1, 11), (2, 12), (3, 13)]);
    let nodes = statuses(&[(1, 21, "a"), (2, 12, "b"), (3, 13, "a"), (4, 14, "c")]);
    let expected = voters(&[(1, 21), (2, 12), (3, 13)]);
    assert_eq!(next_voters(&current, &nodes, &policy), Some(expected));
}

/// Proposals are staggered so that voters rarely preempt each other; nodes without a vote do not propose.
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
        times.find(|now| planner.next_proposal(*now, &epoch, &nodes).is_some())
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

/// Whether acknowledged writes survive the loss of a disk if the write was started in an epoch whose voters have
/// changed before it completed.
fn acknowledged_write_survives_membership_change(variant: Variant) -> bool {
    let mut cluster = Cluster::new(variant);
    let voters = cluster.voters();
    let is_standby = |node: &NodeId| !voters.contains(node);
    let standby = cluster.nodes().into_iter().find(is_standby).unwrap();
    let (proposer, slow, other) = (voters[0], voters[1], voters[2]);
    // The proposer has completed phase 1 and accepts the text itself; its requests to the other voters are in flight.
    cluster.submit(proposer, config(8, 1));
    cluster.deliver_where(|e| e.to == proposer || !is_accept(e));
    let is_late = |e: &Envelope| e.to == slow && is_accept(e);
    let late = cluster.messages.iter().position(is_late).unwrap();
    let late = cluster.messages.remove(late);
    cluster.messages.clear();
    // The proposer shuts down and is replaced as a voter before any of these requests arrives.
    cluster.leave(proposer);
    cluster.run_partition(&[slow, other, standby], 3);
    cluster.messages.clear();
    let epoch = cluster.epoch();
    assert!(!epoch.voters.contains_node(proposer), "{epoch:?}");
    assert!(cluster.tolerates_disk_loss(), "{epoch:?}");
    // The request arrives after the membership change.
    cluster.deliver(late);
    cluster.deliver_where(|e| e.from == slow && e.to == proposer);
    cluster.messages.clear();
    let acknowledged = cluster.acknowledged_version;
    // The proposer is removed and one disk is lost, which the requirements allow. Acknowledged writes must survive.
    cluster.cut_power(proposer);
    cluster.disks.remove(&proposer);
    cluster.cut_power(slow);
    cluster.disks.insert(slow, None);
    let reads = cluster.read_after_power_loss();
    reads.iter().all(|read| read.includes(acknowledged))
}

#[test]
fn a_sealed_epoch_acknowledges_nothing() {
    assert!(acknowledged_write_survives_membership_change(
        Variant::Correct
    ));
    // Without sealing, a voter of both epochs acknowledges the same write, which is lost with its disk.
    assert!(!acknowledged_write_survives_membership_change(
        Variant::NoSeal
    ));
}

/// Whether a majority that includes a voter with a lost disk misses an acknowledged write.
fn empty_disk_hides_acknowledged_write(variant: Variant) -> bool {
    let mut cluster = Cluster::new(variant);
    let voters = cluster.voters();
    let (lost, other, late) = (voters[0], voters[1], voters[2]);
    // Two voters acknowledge the write before the third receives it.
    cluster.submit(lost, config(8, 1));
    cluster.deliver_where(|e| e.from != late && e.to != late);
    cluster.messages.clear();
    assert_eq!(cluster.acknowledged_version, Some(8));
    cluster.cut_power(lost);
    cluster.disks.insert(lost, None);
    cluster.start(lost);
    // The wiped node restarts while the other voter that holds the write is unreachable.
    let epoch = cluster.up[&late].epoch().clone();
    let now = cluster.now;
    let replica = cluster.up.get_mut(&lost).unwrap();
    let effects = replica.observe_epoch(now, late, epoch);
    cluster.perform_effects(lost, effects);
    cluster.run_partition(&[lost, late], 4);
    cluster.submit(late, Command::Read);
    cluster.run_partition(&[lost, late], 4);
    let reader = &cluster.up[&late];
    assert!(cluster.up.contains_key(&other));
    reader.committed_as_of().is_some() && reader.committed().config_version() < Some(8)
}

/// Guards against an empty disk that counts as the voter whose state it lost.
#[test]
fn a_lost_disk_does_not_vote() {
    assert!(!empty_disk_hides_acknowledged_write(Variant::Correct));
    assert!(empty_disk_hides_acknowledged_write(Variant::KeepsDiskId));
}
