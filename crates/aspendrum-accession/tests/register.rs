//! The register under schedules drawn by quickcheck: machines die, disks are lost, words are dropped, doubled
//! and reordered. What was acknowledged is never gone.

use aspendrum_accession::holdings::Place;
use aspendrum_accession::register::{Kept, Register};
use aspendrum_accession::{Act, Order, Outcome, Said};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::BTreeMap;

const VOTERS: [Place; 3] = [1, 2, 3];
/// A machine that joined later: it takes orders and votes nowhere.
const GUEST: Place = 9;
const ALL: [Place; 4] = [1, 2, 3, GUEST];

#[derive(Clone, Debug)]
enum Step {
    Order(u8),
    Evacuate(u8, bool),
    Deliver(u8),
    Drop(u8),
    Double(u8),
    Beat(u8),
    Kill(u8),
    Power(u8),
    Wipe(u8),
    Start(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=2 => Step::Order(n),
            3 => Step::Evacuate(n, bool::arbitrary(g)),
            4..=13 => Step::Deliver(n),
            14 => Step::Drop(n),
            15 => Step::Double(n),
            16..=18 => Step::Beat(n),
            19 => Step::Kill(n),
            20 => Step::Power(n),
            21 => Step::Wipe(n),
            _ => Step::Start(n),
        }
    }
}

/// Whether a machine syncs before it speaks.
#[derive(Clone, Copy, PartialEq)]
enum Disk {
    Synced,
    /// The broken variant: what is kept reaches the disk only with the next beat.
    Late,
}

struct World {
    disk: Disk,
    now: f64,
    up: BTreeMap<Place, Register>,
    disks: BTreeMap<Place, Option<Kept>>,
    unsynced: BTreeMap<Place, Kept>,
    words: Vec<(Place, Place, Said)>,
    lives: u64,
    version: u32,
    asked: BTreeMap<u64, Order>,
    /// Acknowledged: the highest configuration, and each zone's last order.
    config: u32,
    first: bool,
}

impl World {
    fn new(disk: Disk) -> World {
        let mut world = World {
            disk,
            now: 0.0,
            up: BTreeMap::new(),
            disks: ALL.iter().map(|p| (*p, None)).collect(),
            unsynced: BTreeMap::new(),
            words: Vec::new(),
            lives: 0,
            version: 0,
            asked: BTreeMap::new(),
            config: 0,
            first: true,
        };
        ALL.iter().for_each(|p| world.start(*p));
        world.first = false;
        world
    }

    fn start(&mut self, me: Place) {
        if self.up.contains_key(&me) {
            return;
        }
        self.lives += 1;
        let founders: &[Place] = if self.first { &VOTERS } else { &[] };
        let (kept, life) = (self.disks[&me].clone(), self.lives);
        let (mut register, acts) = Register::start(me, kept, self.first, founders, life, life << 32);
        // The first word of any link says who votes.
        let more = register.introduce(&VOTERS.into());
        self.up.insert(me, register);
        self.act(me, acts.into_iter().chain(more).collect());
    }

    fn act(&mut self, me: Place, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Keep => {
                    let kept = self.up[&me].kept().clone();
                    match self.disk {
                        Disk::Synced => drop(self.disks.insert(me, Some(kept))),
                        Disk::Late => drop(self.unsynced.insert(me, kept)),
                    }
                }
                Act::Say { to, said } => self.words.push((me, to, said)),
                Act::Ended { ticket, outcome: Outcome::Done(held) } => {
                    if let Some(Order::Config { version, .. }) = self.asked.get(&ticket) {
                        assert!(held.config.version >= *version);
                        self.config = self.config.max(*version);
                    }
                }
                Act::Ended { .. } | Act::News => {}
            }
        }
    }

    /// At most one voter is lost at a time, as the terms say: down, or back with an empty disk and not whole.
    fn may_lose(&self, me: Place) -> bool {
        let sound = |p: &Place| self.up.get(p).is_some_and(|r| r.whole());
        VOTERS.iter().filter(|p| **p != me).all(sound)
    }

    fn step(&mut self, step: &Step) {
        self.now += 7.0;
        let place = |n: &u8| ALL[usize::from(*n) % ALL.len()];
        match step {
            Step::Order(n) => {
                self.version += 1;
                let order = Order::Config { version: self.version, text: vec![*n] };
                self.order(place(n), order);
            }
            Step::Evacuate(n, on) => self.order(place(n), Order::Evacuation { zone: "z".into(), on: *on }),
            Step::Deliver(n) => {
                if !self.words.is_empty() {
                    let at = usize::from(*n) % self.words.len();
                    let (from, to, said) = self.words.swap_remove(at);
                    self.deliver(from, to, said);
                }
            }
            Step::Drop(n) if !self.words.is_empty() => {
                let at = usize::from(*n) % self.words.len();
                self.words.swap_remove(at);
            }
            Step::Double(n) if !self.words.is_empty() => {
                let at = usize::from(*n) % self.words.len();
                self.words.push(self.words[at].clone());
            }
            Step::Drop(_) | Step::Double(_) => {}
            Step::Beat(n) => self.beat(place(n)),
            Step::Kill(n) => {
                if self.may_lose(place(n)) {
                    self.down(place(n));
                }
            }
            Step::Power(n) => {
                if self.may_lose(place(n)) {
                    self.unsynced.remove(&place(n));
                    self.down(place(n));
                }
            }
            Step::Wipe(n) => {
                if self.may_lose(place(n)) {
                    self.down(place(n));
                    self.unsynced.remove(&place(n));
                    self.disks.insert(place(n), None);
                }
            }
            Step::Start(n) => self.start(place(n)),
        }
    }

    fn order(&mut self, me: Place, order: Order) {
        let ticket = self.asked.len() as u64;
        self.asked.insert(ticket, order.clone());
        if let Some(register) = self.up.get_mut(&me) {
            let acts = register.order(self.now, order, Some(ticket));
            self.act(me, acts);
        }
    }

    fn deliver(&mut self, from: Place, to: Place, said: Said) {
        if let Some(register) = self.up.get_mut(&to) {
            let acts = register.hear(self.now, from, said);
            self.act(to, acts);
        }
    }

    fn beat(&mut self, me: Place) {
        if let Some(register) = self.up.get_mut(&me) {
            if let Some(kept) = self.unsynced.remove(&me) {
                self.disks.insert(me, Some(kept));
            }
            let acts = register.beat(self.now);
            self.act(me, acts);
        }
    }

    fn down(&mut self, me: Place) {
        self.up.remove(&me);
        self.words.retain(|w| w.0 != me && w.1 != me);
    }

    /// All power is lost, everything comes back and is heard; then each machine reads.
    fn read_back(&mut self) -> Vec<Option<u32>> {
        let all: Vec<Place> = self.up.keys().copied().collect();
        all.iter().for_each(|p| self.down(*p));
        self.unsynced.clear();
        ALL.iter().for_each(|p| self.start(*p));
        self.calm();
        ALL.iter()
            .map(|p| {
                let (ticket, mut read) = (self.asked.len() as u64, None);
                self.asked.insert(ticket, Order::Read);
                let acts = self.up.get_mut(p).unwrap().order(self.now, Order::Read, Some(ticket));
                self.act(*p, acts);
                self.calm();
                if self.up[p].as_of().is_some() {
                    read = Some(self.up[p].settled().config.version);
                }
                read
            })
            .collect()
    }

    fn calm(&mut self) {
        for _ in 0..40 {
            self.now += 160.0;
            ALL.iter().for_each(|p| self.beat(*p));
            while !self.words.is_empty() {
                let (from, to, said) = self.words.remove(0);
                self.deliver(from, to, said);
            }
        }
    }
}

fn play(disk: Disk, steps: &[Step]) -> bool {
    let mut world = World::new(disk);
    steps.iter().for_each(|s| world.step(s));
    let acknowledged = world.config;
    world.read_back().iter().all(|read| read.is_some_and(|version| version >= acknowledged))
}

quickcheck! {
    fn what_was_acknowledged_is_never_gone(steps: Vec<Step>) -> bool {
        play(Disk::Synced, &steps)
    }
}

/// The schedules find a machine that speaks before its disk is synced: else they would prove nothing.
#[test]
fn a_machine_that_speaks_before_its_sync_is_found() {
    let mut g = Gen::new(120);
    let found = (0..2000).any(|_| !play(Disk::Late, &Vec::<Step>::arbitrary(&mut g)));
    assert!(found);
}

fn world_with(version: u32) -> World {
    let mut world = World::new(Disk::Synced);
    world.version = version - 1;
    world.step(&Step::Order(0));
    while let Some((from, to, said)) = world.words.pop() {
        world.deliver(from, to, said);
    }
    assert_eq!(world.config, version);
    world
}

/// Danger: its answer would complete a majority that holds nothing of what its old disk acknowledged.
#[test]
fn a_wiped_voter_does_not_answer_before_it_has_read_from_two() {
    let mut world = world_with(5);
    world.step(&Step::Wipe(0));
    world.step(&Step::Start(0));
    world.words.clear();
    world.deliver(2, 1, Said::Ask { round: 77, digest: 0 });
    assert!(world.words.is_empty(), "{:?}", world.words);
    // One of the others alone may be the one that the acknowledgement was not part of.
    world.now += 200.0;
    world.beat(1);
    let heal = world.words.iter().position(|w| w.0 == 1 && w.1 == 2).unwrap();
    let (from, to, said) = world.words.remove(heal);
    world.deliver(from, to, said);
    let healed = world.words.iter().position(|w| w.0 == 2 && w.1 == 1).unwrap();
    let (from, to, said) = world.words.remove(healed);
    world.deliver(from, to, said);
    assert!(!world.up[&1].whole());
    world.calm();
    assert!(world.up[&1].whole());
    assert_eq!(world.up[&1].kept().held.config.version, 5);
}

/// Danger: an answer given before the disk was lost, counted together with one given after the loss was read
/// past, acknowledges what only one disk holds.
#[test]
fn an_answer_of_a_lost_disk_does_not_count_beside_one_that_knows_of_the_new() {
    let mut world = World::new(Disk::Synced);
    world.order(GUEST, Order::Config { version: 3, text: vec![3] });
    // Voter 1 stores it and answers; its disk is lost; the new one reads from 2 and 3, which hold nothing yet.
    let to_1 = world.words.iter().position(|w| w.1 == 1).unwrap();
    let (from, to, said) = world.words.remove(to_1);
    world.deliver(from, to, said);
    let late: Vec<_> = std::mem::take(&mut world.words);
    world.down(1);
    world.disks.insert(1, None);
    world.start(1);
    world.words.clear();
    world.now += 200.0;
    world.beat(1);
    while let Some((from, to, said)) = world.words.pop() {
        world.deliver(from, to, said);
    }
    assert!(world.up[&1].whole());
    // Now the old answer reaches the asker, and voter 2 stores it.
    let old = late.iter().position(|w| w.0 == 1 && w.1 == GUEST).unwrap();
    world.deliver(1, GUEST, late[old].2.clone());
    let to_2 = late.iter().position(|w| w.1 == 2).unwrap();
    world.deliver(GUEST, 2, late[to_2].2.clone());
    let answer = world.words.iter().position(|w| w.0 == 2 && w.1 == GUEST).unwrap();
    let (from, to, said) = world.words.remove(answer);
    world.deliver(from, to, said);
    assert_eq!(world.config, 0, "acknowledged by one disk");
}

#[test]
fn a_machine_without_a_majority_acknowledges_nothing() {
    let mut world = World::new(Disk::Synced);
    world.order(1, Order::Config { version: 2, text: vec![1] });
    world.words.clear();
    world.now += 2000.0;
    let acts = world.up.get_mut(&1).unwrap().beat(world.now);
    assert!(acts.iter().any(|a| matches!(a, Act::Ended { outcome: Outcome::NoMajority, .. })), "{acts:?}");
    assert_eq!(world.config, 0);
}

/// Two operators on one number: one text is in force, the same everywhere.
#[test]
fn of_two_texts_under_one_number_all_hold_one() {
    let mut world = World::new(Disk::Synced);
    world.order(1, Order::Config { version: 8, text: b"left".to_vec() });
    world.order(3, Order::Config { version: 8, text: b"right".to_vec() });
    world.calm();
    let texts: Vec<_> = VOTERS.iter().map(|p| world.up[p].kept().held.config.text.clone()).collect();
    assert!(texts.windows(2).all(|w| w[0] == w[1]), "{texts:?}");
}

#[test]
fn an_evacuation_ends_by_the_last_order_whoever_takes_it() {
    let mut world = World::new(Disk::Synced);
    for (place, on) in [(1, true), (GUEST, false), (3, true), (2, true)] {
        world.order(place, Order::Evacuation { zone: "z".into(), on });
        world.calm();
    }
    for place in ALL {
        world.order(place, Order::Read);
    }
    world.calm();
    for place in ALL {
        assert_eq!(world.up[&place].settled().evacuated(), (3, vec!["z".to_string()]), "{place}");
    }
}
