//! Forwarding of majority reports between agents, with delays, lost datagrams, restarts and multiple hops.

use aspendrum_gossip::{GossipAction, GossipMessage, GossipNode};
use aspendrum_model::message::{Revision, StateDigest};
use std::net::Ipv4Addr;

const LOCAL: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const NEIGHBOUR: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const OLD: StateDigest = StateDigest {
    revision: Revision {
        config: Some(4),
        evacuation: 1,
    },
    digests: [4, 0, 0, 0],
};
const NEW: StateDigest = StateDigest {
    revision: Revision {
        config: Some(7),
        evacuation: 1,
    },
    digests: [7, 0, 0, 0],
};

fn digest_of_version(version: u32) -> StateDigest {
    StateDigest {
        revision: Revision {
            config: Some(version),
            evacuation: 0,
        },
        digests: [9, 0, 0, 0],
    }
}

fn node() -> GossipNode {
    let mut node = GossipNode::new(LOCAL, 1);
    node.add_known_agents(&[NEIGHBOUR]);
    node
}

fn report(sent_at: u64, age: u32, decided: StateDigest) -> GossipMessage {
    GossipMessage::Report {
        sent_at,
        age,
        decided,
    }
}

fn report_requests(actions: &[GossipAction]) -> usize {
    let is_request = |action: &&GossipAction| {
        matches!(
            action,
            GossipAction::Send {
                message: GossipMessage::ReportRequest { .. },
                ..
            }
        )
    };
    actions.iter().filter(is_request).count()
}

#[test]
fn no_report_is_requested_while_control_is_reachable() {
    let mut node = node();
    assert_eq!(report_requests(&node.tick(0.0, false)), 0);
    // The shuffle removed the only neighbour until it replies; control's list adds it again.
    node.add_known_agents(&[NEIGHBOUR]);
    assert_eq!(report_requests(&node.tick(300.0, true)), 1);
    assert_eq!(
        report_requests(&node.tick(400.0, true)),
        0,
        "the request interval has not passed"
    );
}

/// Guards against a report whose age decreases in transit, with which two agents could keep a revoked key valid
/// indefinitely by forwarding the report to each other.
#[test]
fn the_age_of_a_report_includes_the_delay_of_each_hop() {
    let (mut sender, mut requester) = (node(), node());
    // The sender holds a report as of 1,000 on its clock, and receives the request at 1,400.
    let request = GossipMessage::ReportRequest { sent_at: 50 };
    let replies = sender.handle(1400.0, LOCAL, request, &NEW, Some(1000.0));
    assert_eq!(
        replies,
        [GossipAction::Send {
            to: LOCAL,
            message: report(50, 400, NEW)
        }]
    );
    // The requester sent its request at 50 on its own clock. The reply arrives 700 ms later; the age counts from 50.
    let actions = requester.handle(750.0, NEIGHBOUR, report(50, 400, NEW), &NEW, None);
    assert_eq!(actions, [GossipAction::ConfirmedAsOf(-350.0)]);
}

/// The same as above, for two agents that request reports from each other alternately for two minutes.
#[test]
fn a_report_passed_back_and_forth_never_becomes_younger() {
    let (mut sender, mut requester) = (node(), node());
    let mut confirmed_as_of = [0.0, -350.0];
    for round in 0..400_usize {
        let now = 800.0 + round as f64 * 300.0;
        let (from, to) = (round % 2, (round + 1) % 2);
        let request = GossipMessage::ReportRequest {
            sent_at: now as u64,
        };
        let replies = sender.handle(now, LOCAL, request, &NEW, Some(confirmed_as_of[from]));
        let [GossipAction::Send { ref message, .. }] = replies[..] else {
            panic!("{replies:?}")
        };
        let known = Some(confirmed_as_of[to]);
        let actions = requester.handle(now + 5.0, NEIGHBOUR, message.clone(), &NEW, known);
        if let [GossipAction::ConfirmedAsOf(as_of)] = actions[..] {
            confirmed_as_of[to] = confirmed_as_of[to].max(as_of);
        }
        assert!(
            confirmed_as_of.iter().all(|as_of| *as_of <= 0.0),
            "{confirmed_as_of:?}"
        );
    }
}

/// Guards against an agent with an older state that applies a report to that state, and so accepts revoked keys.
#[test]
fn an_agent_with_older_state_fetches_a_snapshot_before_it_uses_a_report() {
    let mut node = node();
    let fetch = [GossipAction::FetchSnapshot(NEIGHBOUR)];
    assert_eq!(
        node.handle(1000.0, NEIGHBOUR, report(900, 100, NEW), &OLD, None),
        fetch
    );
    let repeated = node.handle(1100.0, NEIGHBOUR, report(900, 100, NEW), &OLD, None);
    assert_eq!(repeated, [], "a snapshot fetch is pending");
    let confirmed = node.handle(1200.0, NEIGHBOUR, report(1150, 100, NEW), &NEW, None);
    assert_eq!(confirmed, [GossipAction::ConfirmedAsOf(1050.0)]);
    // An evacuation revision is compared like a configuration version.
    let evacuated = StateDigest {
        revision: Revision {
            evacuation: 2,
            ..NEW.revision
        },
        ..NEW
    };
    assert_eq!(
        node.handle(2000.0, NEIGHBOUR, report(1900, 0, evacuated), &NEW, None),
        fetch
    );
}

/// Guards against an agent without a configuration that ignores a report of version 0 as another text of its own
/// version.
#[test]
fn an_agent_without_a_configuration_fetches_the_lowest_version() {
    let (none, lowest) = (StateDigest::default(), digest_of_version(0));
    assert_eq!(
        node().handle(1000.0, NEIGHBOUR, report(900, 100, lowest), &none, None),
        [GossipAction::FetchSnapshot(NEIGHBOUR)]
    );
}

/// Guards against a reply to a request of an earlier process, which would confirm a time in the future.
#[test]
fn a_reply_to_an_earlier_process_is_ignored() {
    assert_eq!(
        node().handle(500.0, NEIGHBOUR, report(90_000, 0, OLD), &OLD, None),
        []
    );
}

/// Guards against two agents with different contents under one revision that confirm each other's state.
#[test]
fn a_report_with_different_contents_under_the_same_revision_is_ignored() {
    let other = StateDigest {
        digests: [8, 0, 0, 0],
        ..NEW
    };
    assert_eq!(
        node().handle(1000.0, NEIGHBOUR, report(900, 10, other), &NEW, None),
        []
    );
}

/// Guards against a small partitioned group of agents that mistakes itself for the majority of the fleet.
#[test]
fn most_agents_count_as_isolated_only_if_half_of_the_requests_confirm_it() {
    let others: Vec<Ipv4Addr> = (2..10).map(|host| Ipv4Addr::new(10, 0, 0, host)).collect();
    for (answering, expected) in [(8, true), (4, true), (1, false), (0, false)] {
        let mut node = GossipNode::new(LOCAL, 3);
        for round in 0..40 {
            let now = 1000.0 + f64::from(round) * 300.0;
            node.add_known_agents(&others);
            for action in node.tick(now, true) {
                let GossipAction::Send {
                    to,
                    message: GossipMessage::ReportRequest { sent_at },
                } = action
                else {
                    continue;
                };
                if to.octets()[3] < 2 + answering {
                    let reply = GossipMessage::NoReport { sent_at };
                    assert_eq!(node.handle(now + 1.0, to, reply, &OLD, None), []);
                }
            }
        }
        assert_eq!(
            node.half_of_agents_isolated(12_800.0),
            expected,
            "{answering} of 8 answer"
        );
        assert!(
            !node.half_of_agents_isolated(20_000.0),
            "no recent requests"
        );
    }
}

#[test]
fn an_isolated_agent_replies_that_it_has_no_report() {
    let request = GossipMessage::ReportRequest { sent_at: 1 };
    let reply = GossipAction::Send {
        to: NEIGHBOUR,
        message: GossipMessage::NoReport { sent_at: 1 },
    };
    assert_eq!(
        node().handle(500.0, NEIGHBOUR, request, &OLD, None),
        [reply]
    );
}
