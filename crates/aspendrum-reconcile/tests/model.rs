//! A model check of word and verdict: three nodes, two changes, words and pushes that are lost or come late, nodes that
//! freeze and restart. In every state that can be reached no node runs a once-only request by a version that was
//! overtaken longer ago than the bound; a variant that trusts the last push is found.

use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{Bounds, Standing, Verdict, Word};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const CHANGES: u8 = 2;
/// Time is counted in ticks of a second; a word counts for two.
const TICK: f64 = 1000.0;
const LASTS: u8 = 2;
const LAST: u8 = 5;
const BOUNDS: Bounds = Bounds {
    lasts: LASTS as f64 * TICK,
    stretched: 8.0 * TICK,
};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    applied: u8,
    /// The last word that it took: what was decided, as of when.
    word: Option<(u8, u8)>,
    /// On their way to it: a push, and a majority's word.
    push: Option<u8>,
    beat: Option<(u8, u8)>,
    frozen: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u8,
    /// When each version was acknowledged.
    acked: Vec<u8>,
    nodes: Vec<Node>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Decide,
    Push(usize),
    Beat(usize),
    TakePush(usize),
    TakeBeat(usize),
    LosePush(usize),
    LoseBeat(usize),
    Freeze(usize),
    Restart(usize),
}

struct System {
    /// The broken variant: a push is taken for what is decided as long as no word says otherwise.
    trusts_pushes: bool,
}

fn edition(version: u8) -> StateDigest {
    StateDigest {
        revision: Revision {
            config: u32::from(version),
            evacuation: 0,
        },
        digests: [u64::from(version), 0, 0, 0],
    }
}

fn runs(node: &Node, now: u8, trusts_pushes: bool) -> bool {
    let word = node.word.map(|(v, at)| Word {
        decided: edition(v),
        as_of: f64::from(at) * TICK,
    });
    let verdict = Verdict::of(&edition(node.applied), word.as_ref(), false, &BOUNDS);
    let trusted = trusts_pushes && verdict.standing != Standing::Behind;
    !node.frozen && (trusted || verdict.runs_once_only(f64::from(now) * TICK))
}

impl Model for System {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            acked: vec![0],
            nodes: vec![Node::default(); NODES],
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < LAST {
            steps.push(Step::Tick);
        }
        if s.acked.len() <= usize::from(CHANGES) {
            steps.push(Step::Decide);
        }
        for (n, node) in s.nodes.iter().enumerate() {
            steps.push(Step::Freeze(n));
            if node.push.is_none() {
                steps.push(Step::Push(n));
            } else {
                steps.push(Step::LosePush(n));
            }
            if node.beat.is_none() {
                steps.push(Step::Beat(n));
            } else {
                steps.push(Step::LoseBeat(n));
            }
            if !node.frozen {
                steps.push(Step::Restart(n));
                steps.extend(node.push.map(|_| Step::TakePush(n)));
                steps.extend(node.beat.map(|_| Step::TakeBeat(n)));
            }
        }
    }

    fn next_state(&self, s: &State, step: Step) -> Option<State> {
        let mut s = s.clone();
        let decided = s.acked.len() as u8 - 1;
        match step {
            Step::Tick => s.now += 1,
            Step::Decide => s.acked.push(s.now),
            Step::Push(n) => s.nodes[n].push = Some(decided),
            // Control's word is of the moment when it reads.
            Step::Beat(n) => s.nodes[n].beat = Some((decided, s.now)),
            Step::TakePush(n) => {
                let node = &mut s.nodes[n];
                node.applied = node.applied.max(node.push.take()?);
            }
            Step::TakeBeat(n) => {
                let node = &mut s.nodes[n];
                let came = node.beat.take()?;
                if node.word.is_none_or(|held| came.1 >= held.1) {
                    node.word = Some(came);
                }
            }
            Step::LosePush(n) => s.nodes[n].push = None,
            Step::LoseBeat(n) => s.nodes[n].beat = None,
            Step::Freeze(n) => s.nodes[n].frozen ^= true,
            // What it was told is gone with its process; its links are new.
            Step::Restart(n) => s.nodes[n] = Node::default(),
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<System>> {
        vec![
            Property::always(
                "no once-only request by a version overtaken long ago",
                |system: &System, s: &State| {
                    s.nodes
                        .iter()
                        .filter(|n| runs(n, s.now, system.trusts_pushes))
                        .all(|n| {
                            let next = s.acked.get(usize::from(n.applied) + 1);
                            next.is_none_or(|acked| s.now < acked + LASTS)
                        })
                },
            ),
            Property::sometimes("a node runs the newest", |system: &System, s: &State| {
                let newest = |n: &Node| usize::from(n.applied) == s.acked.len() - 1;
                s.acked.len() > 2
                    && s.nodes
                        .iter()
                        .any(|n| newest(n) && runs(n, s.now, system.trusts_pushes))
            }),
        ]
    }

    /// Nodes are alike.
    fn within_boundary(&self, s: &State) -> bool {
        s.nodes.windows(2).all(|w| w[0].applied >= w[1].applied)
    }
}

#[test]
fn no_state_runs_what_was_overtaken() {
    let checked = System {
        trusts_pushes: false,
    }
    .checker()
    .target_max_depth(9)
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
fn a_node_that_trusts_the_last_push_is_found_by_the_model() {
    let checked = System {
        trusts_pushes: true,
    }
    .checker()
    .target_max_depth(9)
    .spawn_bfs()
    .join();
    assert!(checked
        .discovery("no once-only request by a version overtaken long ago")
        .is_some());
}
