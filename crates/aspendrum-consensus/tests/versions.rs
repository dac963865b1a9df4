//! Each version has a single text: concurrent commands, retried commands and unavailable majorities.

mod common;

use aspendrum_consensus::message::{Message, Reply, Request};
use aspendrum_consensus::versions::RETAINED_VERSIONS;
use aspendrum_consensus::{Command, CommandOutcome, Effect, NodeId};
use common::schedule::{run, Step};
use common::{config, node, Cluster, ReadResult, Variant, SEEDS};
use std::collections::BTreeSet;

/// Submits two texts for one version to two nodes concurrently, in 64 random message orders. Returns in how many of
/// them both were acknowledged.
fn count_double_acknowledgements(variant: Variant) -> usize {
    (0..64)
        .filter(|seed| both_are_acknowledged(variant, *seed))
        .count()
}

fn both_are_acknowledged(variant: Variant, seed: u64) -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cluster = Cluster::new(variant);
    cluster.submit(node(1), config(8, 1));
    cluster.submit(node(3), config(8, 2));
    for _ in 0..400 {
        if !cluster.messages.is_empty() {
            let index = rng.usize(..cluster.messages.len());
            let envelope = cluster.messages.swap_remove(index);
            cluster.deliver(envelope);
        }
        cluster.now += 1.0;
        cluster.tick(SEEDS[rng.usize(..SEEDS.len())]);
    }
    let both = cluster
        .acknowledged
        .values()
        .any(|digests| digests.len() > 1);
    let acknowledged: usize = cluster.acknowledged.values().map(BTreeSet::len).sum();
    let ended = acknowledged + cluster.rejected.len();
    assert!(
        both || ended == 2,
        "seed {seed}: one is acknowledged and the other is rejected"
    );
    assert!(both || cluster.has_one_text_per_version(), "seed {seed}");
    both
}

/// Guards against acknowledging two different texts for one version.
#[test]
fn only_one_of_two_texts_for_a_version_is_acknowledged() {
    assert_eq!(count_double_acknowledgements(Variant::Correct), 0);
    let faults = count_double_acknowledgements(Variant::IgnoresAccepted);
    assert!(faults > 0, "the message orders do not reveal the fault");
}

#[test]
fn a_node_without_a_majority_acknowledges_nothing() {
    let mut cluster = Cluster::new(Variant::Correct);
    cluster.submit(node(1), config(2, 1));
    cluster.messages.clear();
    cluster.now += 2000.0;
    let now = cluster.now;
    let effects = cluster.up.get_mut(&node(1)).unwrap().tick(now);
    let without_quorum = |effect: &Effect| {
        matches!(
            effect,
            Effect::Completed {
                outcome: CommandOutcome::NoQuorum,
                ..
            }
        )
    };
    assert!(effects.iter().any(without_quorum), "{effects:?}");
    assert_eq!(cluster.acknowledged_version, None);
}

/// If two operators set the same version, all nodes apply the same text.
#[test]
fn all_nodes_hold_the_same_text_of_a_version() {
    let mut cluster = Cluster::new(Variant::Correct);
    cluster.submit(node(1), config(8, 1));
    cluster.submit(node(3), config(8, 2));
    cluster.stabilize();
    let text = |node| cluster.up[node].state().replicated.config.as_ref();
    let texts: Vec<_> = SEEDS.iter().map(text).collect();
    assert!(texts.iter().all(Option::is_some));
    assert!(texts.windows(2).all(|pair| pair[0] == pair[1]), "{texts:?}");
}

/// Guards against a first configuration that is acknowledged and lost: each voter answered for version 0 that it was
/// dropped, which the proposer acknowledged.
#[test]
fn the_lowest_and_the_highest_version_are_decided_and_survive_a_power_loss() {
    for version in [0, u32::MAX] {
        let mut cluster = Cluster::new(Variant::Correct);
        cluster.submit(node(1), config(version, 1));
        cluster.submit(node(3), config(version, 2));
        cluster.stabilize();
        assert_eq!(cluster.acknowledged_version, Some(version));
        assert_eq!(cluster.rejected.len(), 1, "one of two texts is rejected");
        cluster.resubmit_all();
        let reads = cluster.read_after_power_loss();
        assert_eq!(reads, [ReadResult::Version(Some(version)); 4]);
        assert!(cluster.has_one_text_per_version());
    }
}

/// Guards against an older version that takes the place of a newer one, in any order of the two ends of the range.
#[test]
fn the_highest_version_wins_in_any_order() {
    for versions in [[0, 1, u32::MAX], [u32::MAX, 1, 0], [1, u32::MAX, 0]] {
        let mut cluster = Cluster::new(Variant::Correct);
        for version in versions {
            cluster.submit(node(1), config(version, 1));
            cluster.stabilize();
            assert!(cluster.acknowledged.contains_key(&version), "{versions:?}");
        }
        let reads = cluster.read_after_power_loss();
        assert_eq!(reads, [ReadResult::Version(Some(u32::MAX)); 4]);
    }
}

/// Guards against an acknowledgement on the word of a single voter: voters of the earlier program version answer that
/// version 0 was dropped.
#[test]
fn nothing_is_acknowledged_that_voters_of_an_earlier_program_do_not_store() {
    let mut cluster = Cluster::new(Variant::Correct);
    cluster.earlier_programs = cluster.nodes().into_iter().collect();
    cluster.submit(node(1), config(0, 1));
    cluster.stabilize();
    assert_eq!(cluster.acknowledged_version, None);
    assert_eq!(
        cluster.read_after_power_loss(),
        [ReadResult::Version(None); 4]
    );
    // The nodes are updated one after another. Their operator repeats the call until it is acknowledged.
    for updated in cluster.nodes() {
        cluster.cut_power(updated);
        cluster.earlier_programs.remove(&updated);
        cluster.start(updated);
        cluster.run(10);
        cluster.submit(updated, config(0, 1));
        cluster.run(10);
        if cluster.acknowledged_version.is_some() {
            let read = cluster.read(updated);
            assert_eq!(read, ReadResult::Version(Some(0)), "{updated}");
        }
    }
    assert_eq!(cluster.acknowledged_version, Some(0));
    let reads = cluster.read_after_power_loss();
    assert_eq!(reads, [ReadResult::Version(Some(0)); 4]);
}

/// Guards against a retry that is never answered because its version was dropped: it is acknowledged once a later
/// version is known to be committed.
#[test]
fn a_dropped_version_is_acknowledged_once_a_later_one_is_read() {
    let mut cluster = Cluster::new(Variant::Correct);
    let last = RETAINED_VERSIONS as u32 + 1;
    for version in 0..=last {
        cluster.submit(node(1), config(version, 1));
        cluster.run(1);
    }
    assert_eq!(cluster.acknowledged_version, Some(last));
    let versions = &cluster.up[&node(1)].state().versions;
    assert!(versions.is_compacted(0) && versions.is_compacted(1));
    assert!(!versions.is_compacted(2));
    assert_eq!(versions.len(), RETAINED_VERSIONS);
    // After a restart the node has not read anything yet.
    cluster.cut_power(node(2));
    cluster.start(node(2));
    cluster.acknowledged.clear();
    cluster.submit(node(2), config(0, 2));
    cluster.run(3);
    assert!(cluster.acknowledged.contains_key(&0));
    let reads = cluster.read_after_power_loss();
    assert_eq!(reads, [ReadResult::Version(Some(last)); 4]);
}

#[test]
fn the_last_evacuation_command_wins_regardless_of_the_node() {
    let mut cluster = Cluster::new(Variant::Correct);
    for (number, is_evacuated) in [(1, true), (4, false), (3, true), (2, true)] {
        let zone = "z".into();
        cluster.submit(node(number), Command::SetEvacuation { zone, is_evacuated });
        cluster.stabilize();
    }
    for node in cluster.nodes() {
        cluster.submit(node, Command::Read);
    }
    cluster.stabilize();
    for node in cluster.nodes() {
        let evacuated = cluster.up[&node].committed().evacuated_zones();
        assert_eq!(evacuated.revision, 3, "{node}");
        assert_eq!(evacuated.zones, ["z"], "{node}");
    }
}

/// Guards against a voter that knows a decision without its text and reports no undecided version: together with a
/// wiped voter, a read then misses the acknowledged version. Random schedules reach this state only after several
/// thousand runs, so the schedule is pinned here.
#[test]
fn a_decision_without_its_text_is_not_hidden_from_reads() {
    let until_kill = [
        Step::Race(44, 232),
        Step::Race(111, 177),
        Step::Race(225, 244),
        Step::Evacuate(0, false),
        Step::Deliver(218),
        Step::Kill(41),
        Step::Deliver(187),
    ];
    let until_start = [
        Step::Submit(251),
        Step::Deliver(253),
        Step::Drop(211),
        Step::Deliver(53),
        Step::Deliver(62),
        Step::Deliver(102),
        Step::Deliver(118),
        Step::Start(121),
    ];
    let deliveries = [100, 255, 221, 176, 91, 163, 242].map(Step::Deliver);
    let steps = until_kill.into_iter().chain(until_start).chain(deliveries);
    let steps: Vec<Step> = steps.chain([Step::Wipe(72)]).collect();
    assert!(run(Variant::Correct, &steps));
}

/// Delivers the messages between these nodes that match the filter, until none is left.
fn deliver_between(cluster: &mut Cluster, nodes: [NodeId; 2], matches: fn(&Message) -> bool) {
    cluster.deliver_where(|envelope| {
        let is_between = nodes.contains(&envelope.from) && nodes.contains(&envelope.to);
        is_between && matches(&envelope.message)
    });
}

fn is_read(message: &Message) -> bool {
    matches!(
        message,
        Message::Request {
            request: Request::Read { .. },
            ..
        } | Message::Reply {
            reply: Reply::Read(_),
            ..
        }
    )
}

fn is_write(message: &Message) -> bool {
    matches!(
        message,
        Message::Request {
            request: Request::Write { .. },
            ..
        } | Message::Reply {
            reply: Reply::Written { .. },
            ..
        }
    )
}

fn is_proposal(message: &Message) -> bool {
    !is_read(message) && !is_write(message) && !matches!(message, Message::Decided { .. })
}

/// Guards against a read that returns an older version than one acknowledged before it began: the read finds that
/// version undecided, and while it writes its result back, its node stores a later version that the result lacks.
#[test]
fn a_read_awaits_an_undecided_version_though_its_node_stores_a_later_one_meanwhile() {
    let [reader, voter, proposer] = SEEDS;
    let mut cluster = Cluster::new(Variant::Correct);
    cluster.submit(proposer, config(3, 1));
    cluster.run(7);
    // The voter has an evacuation that the reader lacks, so that the read must write its result back.
    let evacuate = Command::SetEvacuation {
        zone: "z1".into(),
        is_evacuated: true,
    };
    cluster.submit(proposer, evacuate);
    deliver_between(&mut cluster, [voter, proposer], |_| true);
    cluster.submit(proposer, config(5, 2));
    deliver_between(&mut cluster, [voter, proposer], is_proposal);
    assert_eq!(cluster.acknowledged_version, Some(5));
    cluster.messages.clear();

    let read = cluster.submitted.len() as u64;
    cluster.submit(reader, Command::Read);
    deliver_between(&mut cluster, [reader, voter], is_read);
    cluster.submit(proposer, config(7, 3));
    deliver_between(&mut cluster, [voter, proposer], is_proposal);
    cluster.submit(proposer, Command::Read);
    deliver_between(&mut cluster, [reader, proposer], is_read);
    let is_from_proposer = |from: NodeId, to: NodeId| from == proposer && to == reader;
    cluster.deliver_where(|e| is_from_proposer(e.from, e.to) && is_write(&e.message));
    let stored = cluster.up[&reader].state().replicated.config_version();
    assert_eq!(stored, Some(7));

    deliver_between(&mut cluster, [reader, voter], is_write);
    cluster.run(7);
    let version = cluster.read_versions[&read];
    assert!(version >= Some(5), "the read returned {version:?}");
}
