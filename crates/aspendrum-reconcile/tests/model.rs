//! Model checking of reports and assessments: three nodes, two changes, lost and delayed reports and updates, and nodes
//! that freeze and restart.
//!
//! In no reachable state does a node run a non-idempotent request with a version that was replaced longer ago than the
//! validity of a report. The same check detects a faulty variant that trusts the last update.

use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{MajorityReport, ReportValidity, SyncAssessment, SyncStatus};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const CHANGES: u8 = 2;
/// The duration of a tick in milliseconds.
const TICK: f64 = 1000.0;
const LAST_TICK: u8 = 5;
/// The validity of a report in ticks.
const VALID_TICKS: u8 = 2;
const VALIDITY: ReportValidity = ReportValidity {
    normal: VALID_TICKS as f64 * TICK,
    extended: 8.0 * TICK,
};
const MAX_DEPTH: usize = 9;
const NO_REPLACED_VERSION: &str = "no non-idempotent request by a version replaced long ago";

/// A majority report: the decided version, as of a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    version: u8,
    as_of: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    applied: u8,
    /// The latest received report.
    report: Option<Report>,
    update_in_flight: Option<u8>,
    report_in_flight: Option<Report>,
    is_frozen: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// The tick at which each version was acknowledged.
    acknowledged_at: Vec<u8>,
    nodes: Vec<Node>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Decide,
    SendUpdate(usize),
    SendReport(usize),
    ReceiveUpdate(usize),
    ReceiveReport(usize),
    LoseUpdate(usize),
    LoseReport(usize),
    FreezeOrThaw(usize),
    Restart(usize),
}

struct System {
    /// The faulty variant, which treats an update as the decided state unless a report contradicts it.
    trusts_updates: bool,
}

fn digest_of(version: u8) -> StateDigest {
    let revision = Revision {
        config: Some(u32::from(version)),
        evacuation: 0,
    };
    StateDigest {
        revision,
        digests: [u64::from(version), 0, 0, 0],
    }
}

fn runs_non_idempotent(node: &Node, now: u8, trusts_updates: bool) -> bool {
    let report = node.report.map(|report| MajorityReport {
        decided: digest_of(report.version),
        as_of: f64::from(report.as_of) * TICK,
    });
    let assessment =
        SyncAssessment::new(&digest_of(node.applied), report.as_ref(), false, &VALIDITY);
    let is_trusted = trusts_updates && assessment.status != SyncStatus::Behind;
    !node.is_frozen && (is_trusted || assessment.allows_non_idempotent(f64::from(now) * TICK))
}

fn node_actions(index: usize, node: &Node, actions: &mut Vec<Action>) {
    actions.push(Action::FreezeOrThaw(index));
    if node.update_in_flight.is_none() {
        actions.push(Action::SendUpdate(index));
    } else {
        actions.push(Action::LoseUpdate(index));
    }
    if node.report_in_flight.is_none() {
        actions.push(Action::SendReport(index));
    } else {
        actions.push(Action::LoseReport(index));
    }
    if !node.is_frozen {
        actions.push(Action::Restart(index));
        actions.extend(node.update_in_flight.map(|_| Action::ReceiveUpdate(index)));
        actions.extend(node.report_in_flight.map(|_| Action::ReceiveReport(index)));
    }
}

impl Model for System {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            acknowledged_at: vec![0],
            nodes: vec![Node::default(); NODES],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < LAST_TICK {
            actions.push(Action::Tick);
        }
        if state.acknowledged_at.len() <= usize::from(CHANGES) {
            actions.push(Action::Decide);
        }
        for (index, node) in state.nodes.iter().enumerate() {
            node_actions(index, node, actions);
        }
    }

    fn next_state(&self, state: &State, action: Action) -> Option<State> {
        let mut state = state.clone();
        let version = state.acknowledged_at.len() as u8 - 1;
        match action {
            Action::Tick => state.now += 1,
            Action::Decide => state.acknowledged_at.push(state.now),
            Action::SendUpdate(index) => state.nodes[index].update_in_flight = Some(version),
            // A report is as of the time at which control reads.
            Action::SendReport(index) => {
                state.nodes[index].report_in_flight = Some(Report {
                    version,
                    as_of: state.now,
                });
            }
            Action::ReceiveUpdate(index) => {
                let node = &mut state.nodes[index];
                node.applied = node.applied.max(node.update_in_flight.take()?);
            }
            Action::ReceiveReport(index) => {
                let node = &mut state.nodes[index];
                let received = node.report_in_flight.take()?;
                if node
                    .report
                    .is_none_or(|known| received.as_of >= known.as_of)
                {
                    node.report = Some(received);
                }
            }
            Action::LoseUpdate(index) => state.nodes[index].update_in_flight = None,
            Action::LoseReport(index) => state.nodes[index].report_in_flight = None,
            Action::FreezeOrThaw(index) => state.nodes[index].is_frozen ^= true,
            // A restart discards the received state and the messages in flight.
            Action::Restart(index) => state.nodes[index] = Node::default(),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<System>> {
        vec![
            Property::always(NO_REPLACED_VERSION, |system: &System, state: &State| {
                let runs =
                    |node: &&Node| runs_non_idempotent(node, state.now, system.trusts_updates);
                state.nodes.iter().filter(runs).all(|node| {
                    let replaced_at = state.acknowledged_at.get(usize::from(node.applied) + 1);
                    replaced_at.is_none_or(|replaced_at| state.now < replaced_at + VALID_TICKS)
                })
            }),
            Property::sometimes(
                "a node runs the newest version",
                |system: &System, state: &State| {
                    let newest = state.acknowledged_at.len() - 1;
                    let runs_newest = |node: &Node| {
                        usize::from(node.applied) == newest
                            && runs_non_idempotent(node, state.now, system.trusts_updates)
                    };
                    newest > 1 && state.nodes.iter().any(runs_newest)
                },
            ),
        ]
    }

    /// Nodes are interchangeable, so only one order of them is explored.
    fn within_boundary(&self, state: &State) -> bool {
        state
            .nodes
            .windows(2)
            .all(|pair| pair[0].applied >= pair[1].applied)
    }
}

#[test]
fn no_reachable_state_runs_a_replaced_version() {
    let checked = System {
        trusts_updates: false,
    }
    .checker()
    .target_max_depth(MAX_DEPTH)
    .spawn_bfs()
    .join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 10_000,
        "{}",
        checked.unique_state_count()
    );
}

#[test]
fn the_model_detects_a_node_that_trusts_the_last_update() {
    let checked = System {
        trusts_updates: true,
    }
    .checker()
    .target_max_depth(MAX_DEPTH)
    .spawn_bfs()
    .join();
    assert!(checked.discovery(NO_REPLACED_VERSION).is_some());
}
