//! The replicated state and the settling of the voters: words, bytes and processor time of each order, words
//! delivered in their order and none lost.

use crate::measure::{cpu_ms, Line, Samples};
use crate::sizes::{self, GRADES};
use aspendrum_consensus::membership::voters_tolerating;
use aspendrum_consensus::{Command, Effect, NodeId, Replica, ReplicaOptions, Voters};
use aspendrum_model::compression::compress;
use aspendrum_model::hash::digest;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// A frame's length, and the two marks of whose word it is.
const AROUND: usize = 6;
const REPEATS: usize = 9;

/// What an order came to.
#[derive(Clone, Copy, Default)]
struct Came {
    words: usize,
    bytes: usize,
    syncs: usize,
    kept: usize,
}

fn bytes<T: Serialize>(word: &T) -> usize {
    postcard::to_allocvec(word).map_or(0, |b| b.len())
}

struct World {
    all: BTreeMap<NodeId, Replica>,
    came: Came,
}

impl World {
    /// Machines that were all there at the first start, and the first epoch's voters among them.
    fn of(machines: usize, voters: usize) -> World {
        let nodes: Vec<NodeId> = (1..=machines as u32).map(NodeId::new).collect();
        let start = |node: &NodeId| {
            let options = ReplicaOptions {
                node: *node,
                is_first_start: true,
                seeds: &nodes,
                new_disk: u64::from(node.as_u32()),
                incarnation: 1 << 24,
            };
            Replica::start(options, None).0
        };
        let mut world = World {
            all: nodes.iter().map(|n| (*n, start(n))).collect(),
            came: Came::default(),
        };
        let voters = Voters(
            nodes
                .iter()
                .take(voters)
                .map(|n| (*n, u64::from(n.as_u32())))
                .collect(),
        );
        world.run(|first| first.propose_voters(0.0, voters), 0.0);
        world
    }

    /// Gives an order to the first; its processor time, all machines together.
    fn order(&mut self, now: f64, order: Command) -> f64 {
        self.run(|first| first.submit(now, order, Some(1)), now)
    }

    /// Carries out all that comes of what the first machine does.
    fn run(&mut self, begin: impl FnOnce(&mut Replica) -> Vec<Effect>, now: f64) -> f64 {
        let before = cpu_ms();
        let mut counting = 0.0;
        let Some(first) = self.all.get_mut(&NodeId::new(1)) else {
            return 0.0;
        };
        let mut effects: VecDeque<(NodeId, Effect)> = begin(first)
            .into_iter()
            .map(|e| (NodeId::new(1), e))
            .collect();
        while let Some((from, effect)) = effects.pop_front() {
            let begun = cpu_ms();
            match &effect {
                Effect::Send { to, message } if *to != from => {
                    self.came.words += 1;
                    self.came.bytes += AROUND + bytes(message);
                }
                Effect::Persist => {
                    self.came.syncs += 1;
                    self.came.kept += self.all.get(&from).map_or(0, |r| bytes(r.state()));
                }
                _ => {}
            }
            counting += cpu_ms() - begun;
            if let Effect::Send { to, message } = effect {
                let heard = self
                    .all
                    .get_mut(&to)
                    .map(|r| r.step(now, from, message))
                    .unwrap_or_default();
                effects.extend(heard.into_iter().map(|e| (to, e)));
            }
        }
        cpu_ms() - before - counting
    }
}

fn told(name: &str, voters: usize, packed: usize, mut orders: impl FnMut(usize) -> Command) {
    let mut world = World::of(voters, voters);
    let (mut now, mut spent) = (1000.0, Vec::new());
    world.order(now, orders(0));
    world.came = Came::default();
    for n in 1..=REPEATS {
        now += 1000.0;
        spent.push(world.order(now, orders(n)));
    }
    let (came, of) = (world.came, REPEATS as f64);
    let line = Line::of(name).with("voters", voters).with("packed", packed);
    let line = line
        .number("words", came.words as f64 / of)
        .number("bytes", came.bytes as f64 / of);
    let line = line
        .number("syncs", came.syncs as f64 / of)
        .number("disk_bytes", came.kept as f64 / of);
    line.ms("cpu", &Samples::of(spent)).tell();
}

/// Machines that settle who votes first.
fn founded(machines: usize, losses: usize) {
    let before = cpu_ms();
    let voters = voters_tolerating(losses).min(machines);
    let world = World::of(machines, voters);
    let line = Line::of("consensus.founding")
        .with("machines", machines)
        .with("losses", losses);
    let line = line
        .with("voters", voters)
        .with("words", world.came.words)
        .with("bytes", world.came.bytes);
    line.number("cpu_ms", cpu_ms() - before).tell();
}

pub(super) fn tell() {
    [(3, 1), (4, 1), (4, 2), (5, 2), (6, 2), (7, 3)]
        .into_iter()
        .for_each(|(n, losses)| founded(n, losses));
    for size in GRADES {
        let sent = sizes::config(&size, size.services, 1);
        let (text, digest) = (compress(sent.as_bytes()), digest(sent.as_bytes()));
        for voters in [3, 4, 5, 7] {
            let config = |n: usize| Command::SetConfig {
                version: n as u32 + 1,
                packed_text: text.clone(),
                digest,
            };
            told("consensus.config", voters, text.len(), config);
        }
    }
    for voters in [3, 4, 5, 7] {
        let evacuation = |n: usize| Command::SetEvacuation {
            zone: sizes::zone(n / 2),
            evacuated: n.is_multiple_of(2),
        };
        told("consensus.evacuation", voters, 0, evacuation);
        told("consensus.read", voters, 0, |_| Command::Read);
    }
    // A read by a machine that holds the target's configuration, as all others do.
    let sent = sizes::config(&GRADES[2], 250, 1);
    let (text, digest) = (compress(sent.as_bytes()), digest(sent.as_bytes()));
    for voters in [3, 4, 5, 7] {
        let order = |n: usize| match n {
            0 => Command::SetConfig {
                version: 1,
                packed_text: text.clone(),
                digest,
            },
            _ => Command::Read,
        };
        told("consensus.read.held", voters, text.len(), order);
    }
}
