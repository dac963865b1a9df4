//! The register and the settling of the voters: words, bytes and processor time of each order, words
//! delivered in their order and none lost.

use crate::measure::{cpu_ms, Line, Samples};
use crate::sizes::{self, GRADES};
use aspendrum_consensus::founding::{self, Founding};
use aspendrum_consensus::{Act, Order, Place, Register};
use aspendrum_model::hash::digest;
use aspendrum_model::packed::pack;
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
    all: BTreeMap<Place, Register>,
    came: Came,
}

impl World {
    fn of(voters: usize) -> World {
        let places: Vec<Place> = (1..=voters as Place).collect();
        let start = |me: &Place| Register::start(*me, None, true, &places, u64::from(*me), 1 << 24).0;
        World { all: places.iter().map(|p| (*p, start(p))).collect(), came: Came::default() }
    }

    /// Gives an order to the first, and carries all that comes of it; its processor time, all machines
    /// together.
    fn order(&mut self, now: f64, order: Order) -> f64 {
        let before = cpu_ms();
        let mut counting = 0.0;
        let mut acts: VecDeque<(Place, Act)> = VecDeque::new();
        let Some(first) = self.all.get_mut(&1) else { return 0.0 };
        acts.extend(first.order(now, order, Some(1)).into_iter().map(|a| (1, a)));
        while let Some((from, act)) = acts.pop_front() {
            let begun = cpu_ms();
            match &act {
                Act::Say { said, .. } => {
                    self.came.words += 1;
                    self.came.bytes += AROUND + bytes(said);
                }
                Act::Keep => {
                    self.came.syncs += 1;
                    self.came.kept += self.all.get(&from).map_or(0, |r| bytes(r.kept()));
                }
                Act::Ended { .. } | Act::News => {}
            }
            counting += cpu_ms() - begun;
            if let Act::Say { to, said } = act {
                let heard = self.all.get_mut(&to).map(|r| r.hear(now, from, said)).unwrap_or_default();
                acts.extend(heard.into_iter().map(|a| (to, a)));
            }
        }
        cpu_ms() - before - counting
    }
}

fn told(name: &str, voters: usize, packed: usize, mut orders: impl FnMut(usize) -> Order) {
    let mut world = World::of(voters);
    let (mut now, mut spent) = (1000.0, Vec::new());
    world.order(now, orders(0));
    world.came = Came::default();
    for n in 1..=REPEATS {
        now += 1000.0;
        spent.push(world.order(now, orders(n)));
    }
    let (came, of) = (world.came, REPEATS as f64);
    let line = Line::of(name).with("voters", voters).with("packed", packed);
    let line = line.number("words", came.words as f64 / of).number("bytes", came.bytes as f64 / of);
    let line = line.number("syncs", came.syncs as f64 / of).number("disk_bytes", came.kept as f64 / of);
    line.ms("cpu", &Samples::of(spent)).tell();
}

/// Machines that settle who votes, three of them seeds.
fn founded(machines: usize, losses: usize) {
    let places: Vec<Place> = (1..=machines as Place).collect();
    let seeds: Vec<Place> = places.iter().copied().take(3).collect();
    let there: BTreeMap<Place, String> = places.iter().map(|p| (*p, sizes::zone(*p as usize))).collect();
    let mut all: BTreeMap<Place, Founding> =
        places.iter().map(|p| (*p, Founding::new(*p, &seeds, losses, None))).collect();
    let (mut words, mut size, mut voters, before) = (0, 0, 0, cpu_ms());
    let mut acts: VecDeque<(Place, founding::Act)> = VecDeque::new();
    for (me, own) in &mut all {
        acts.extend(own.beat(0.0, &there).into_iter().map(|a| (*me, a)));
    }
    while let Some((from, act)) = acts.pop_front() {
        match act {
            founding::Act::Say { to, word } => {
                (words, size) = (words + 1, size + AROUND + bytes(&word));
                let heard = all.get_mut(&to).map(|f| f.hear(from, word)).unwrap_or_default();
                acts.extend(heard.into_iter().map(|a| (to, a)));
            }
            founding::Act::Founded(set) => voters = set.len(),
            founding::Act::Keep => {}
        }
    }
    let line = Line::of("consensus.founding").with("machines", machines).with("losses", losses);
    let line = line.with("voters", voters);
    line.with("words", words).with("bytes", size).number("cpu_ms", cpu_ms() - before).tell();
}

pub fn tell() {
    [(3, 1), (4, 1), (4, 2), (5, 2), (6, 2), (7, 3)].into_iter().for_each(|(n, losses)| founded(n, losses));
    for size in GRADES {
        let sent = sizes::config(&size, size.services, 1);
        let (text, digest) = (pack(sent.as_bytes()), digest(sent.as_bytes()));
        for voters in [3, 4, 5, 7] {
            let config = |n: usize| Order::Config { version: n as u32 + 1, text: text.clone(), digest };
            told("consensus.config", voters, text.len(), config);
        }
    }
    for voters in [3, 4, 5, 7] {
        let evacuation = |n: usize| Order::Evacuation { zone: sizes::zone(n / 2), on: n.is_multiple_of(2) };
        told("consensus.evacuation", voters, 0, evacuation);
        told("consensus.read", voters, 0, |_| Order::Read);
    }
    // A read by a machine that holds the target's configuration, as all others do.
    let sent = sizes::config(&GRADES[2], 250, 1);
    let (text, digest) = (pack(sent.as_bytes()), digest(sent.as_bytes()));
    for voters in [3, 4, 5, 7] {
        let order = |n: usize| match n {
            0 => Order::Config { version: 1, text: text.clone(), digest },
            _ => Order::Read,
        };
        told("consensus.read.held", voters, text.len(), order);
    }
}
