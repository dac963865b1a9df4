//! Replicas in one process under a schedule: machines fail between any two of their effects, disks are lost, machines
//! are replaced for good, messages are dropped, doubled and reordered.

#![allow(dead_code)]

use aspendrum_consensus::holdings::Place;
use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::message::{Message, Reply, Request};
use aspendrum_consensus::numbers::Answer;
use aspendrum_consensus::reconfigure::{Presence, Reconfigure, Rules};
use aspendrum_consensus::{Effect, Epoch, Order, Outcome, Replica, State};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) const SEEDS: [Place; 3] = [1, 2, 3];
/// Milliseconds that pass with each step of a schedule.
const STEP_MS: f64 = 7.0;
/// An order has ended after so many beats.
const ORDER_BEATS: usize = 7;
/// A voter that is not there for so long is replaced.
const RULES: Rules = Rules {
    voters: 3,
    away: 1600.0,
};

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Order(u8),
    /// Two texts under one number, at two machines or one.
    Race(u8, u8),
    /// An order of before again, at whatever machine.
    Resend(u8, u8),
    Evacuate(u8, bool),
    Deliver(u8),
    Drop(u8),
    Double(u8),
    Beat(u8),
    /// So much time passes that voters that are down count as away.
    Wait,
    Kill(u8),
    /// The machine ends in the middle of what it does next, behind so many effects of it.
    Crash(u8, u8),
    Power(u8),
    Wipe(u8),
    /// A machine goes for good, and a new one comes at another address.
    Replace(u8),
    /// A machine is told to end.
    Leave(u8),
    Start(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 40 {
            0 => Step::Order(n),
            1..=2 => Step::Race(n, u8::arbitrary(g)),
            3 => Step::Resend(n, u8::arbitrary(g)),
            4 => Step::Evacuate(n, bool::arbitrary(g)),
            5..=21 => Step::Deliver(n),
            22 => Step::Drop(n),
            23 => Step::Double(n),
            24..=28 => Step::Beat(n),
            29 => Step::Wait,
            30 => Step::Kill(n),
            31 => Step::Crash(n, u8::arbitrary(g) % 6),
            32 => Step::Power(n),
            33..=34 => Step::Wipe(n),
            35..=36 => Step::Replace(n),
            37 => Step::Leave(n),
            _ => Step::Start(n),
        }
    }
}

/// With all mechanisms, or without one: the schedules must tell these apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Variant {
    Sound,
    /// What is kept reaches the disk only with the next beat: a machine speaks before it has synced.
    LateSync,
    /// A proposer does not hear what was accepted before its own ballot.
    DeafProposer,
    /// A voter goes on answering in an epoch that it was asked to close.
    NoSeal,
    /// A voter of a new epoch answers before it has learned what was acknowledged before.
    EagerJoin,
    /// A machine that comes back with an empty disk takes itself for the voter it was.
    SameAfterWipe,
}

pub(crate) fn config(version: u32, digest: u64) -> Order {
    Order::Config {
        version,
        text: digest.to_le_bytes().to_vec(),
        digest,
    }
}

pub(crate) struct World {
    pub variant: Variant,
    pub now: f64,
    pub up: BTreeMap<Place, Replica>,
    reconfigure: BTreeMap<Place, Reconfigure>,
    /// All machines that are not gone for good, and what is on their disks.
    pub disks: BTreeMap<Place, Option<State>>,
    unsynced: BTreeMap<Place, State>,
    pub messages: Vec<(Place, Place, Message)>,
    leaving: BTreeSet<Place>,
    /// Since when a machine is down.
    down_since: BTreeMap<Place, f64>,
    crash_behind: BTreeMap<Place, u8>,
    lives: u64,
    next_place: Place,
    pub version: u32,
    pub asked: BTreeMap<u64, Order>,
    /// Acknowledged: the highest configuration, and the texts under each number; the texts that were refused.
    pub config: u32,
    pub acked: BTreeMap<u32, BTreeSet<u64>>,
    pub refused: BTreeSet<(u32, u64)>,
    /// The last acknowledged order about the zone and whether another one was given since.
    pub evacuated: Option<bool>,
    init: bool,
    rng: fastrand::Rng,
}

impl World {
    /// Three seeds and one machine more, all started for the first time; the first voters are settled.
    pub(crate) fn new(variant: Variant) -> World {
        let mut world = World {
            variant,
            now: 0.0,
            up: BTreeMap::new(),
            reconfigure: BTreeMap::new(),
            disks: BTreeMap::new(),
            unsynced: BTreeMap::new(),
            messages: Vec::new(),
            leaving: BTreeSet::new(),
            down_since: BTreeMap::new(),
            crash_behind: BTreeMap::new(),
            lives: 0,
            next_place: 5,
            version: 0,
            asked: BTreeMap::new(),
            config: 0,
            acked: BTreeMap::new(),
            refused: BTreeSet::new(),
            evacuated: None,
            init: true,
            rng: fastrand::Rng::with_seed(1),
        };
        for place in 1..=4 {
            world.disks.insert(place, None);
            world.start(place);
        }
        world.init = false;
        world.calm();
        assert_eq!(world.epoch().number, 1);
        world
    }

    pub(crate) fn places(&self) -> Vec<Place> {
        self.disks.keys().copied().collect()
    }

    fn place(&self, n: u8) -> Place {
        let all = self.places();
        all[usize::from(n) % all.len()]
    }

    /// The newest epoch that any machine knows of.
    pub(crate) fn epoch(&self) -> Epoch {
        let on_disks = self.disks.values().flatten().map(|s| &s.epoch);
        let all = self.up.values().map(Replica::epoch).chain(on_disks);
        all.max_by_key(|e| e.number).cloned().unwrap_or_default()
    }

    pub(crate) fn start(&mut self, me: Place) {
        if self.up.contains_key(&me) || !self.disks.contains_key(&me) {
            return;
        }
        self.lives += 1;
        let (state, life) = (self.disks[&me].clone(), self.lives);
        let id: DiskId = if self.variant == Variant::SameAfterWipe {
            u64::from(me)
        } else {
            life
        };
        let (replica, effects) = Replica::start(me, state, self.init, &SEEDS, id, life << 32);
        self.up.insert(me, replica);
        self.leaving.remove(&me);
        self.down_since.remove(&me);
        self.reconfigure
            .insert(me, Reconfigure::new(me, RULES, self.now));
        self.act(me, effects);
    }

    pub(crate) fn act(&mut self, me: Place, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(left) = self.crash_behind.get_mut(&me) {
                if *left == 0 {
                    self.crash_behind.remove(&me);
                    return self.down(me);
                }
                *left -= 1;
            }
            self.carry_out(me, effect);
        }
    }

    fn carry_out(&mut self, me: Place, effect: Effect) {
        match effect {
            Effect::Persist => {
                let Some(state) = self.up.get(&me).map(|r| r.state().clone()) else {
                    return;
                };
                if self.variant == Variant::LateSync {
                    self.unsynced.insert(me, state);
                } else {
                    self.disks.insert(me, Some(state));
                }
            }
            Effect::Send { to, mut message } => {
                if let (
                    Message::Reply {
                        reply: Reply::Number { answer, .. },
                        ..
                    },
                    Variant::DeafProposer,
                ) = (&mut message, self.variant)
                {
                    if let Answer::Promised(accepted) = &mut **answer {
                        *accepted = None;
                    }
                }
                self.messages.push((me, to, message));
            }
            Effect::Ended { ticket, outcome } => self.ended(ticket, &outcome),
            Effect::News | Effect::EpochChanged => {}
        }
    }

    fn ended(&mut self, ticket: u64, outcome: &Outcome) {
        match (self.asked.get(&ticket), outcome) {
            (
                Some(Order::Config {
                    version, digest, ..
                }),
                Outcome::Done(_),
            ) => {
                self.config = self.config.max(*version);
                self.acked.entry(*version).or_default().insert(*digest);
            }
            (
                Some(Order::Config {
                    version, digest, ..
                }),
                Outcome::Taken,
            ) => {
                self.refused.insert((*version, *digest));
            }
            (Some(Order::Evacuation { on, .. }), Outcome::Done(_)) => self.evacuated = Some(*on),
            _ => {}
        }
    }

    /// All voters of the newest epoch are there with their disks and hold what was acknowledged, and no other voters
    /// are being decided on: one machine may be lost. By the terms so much is done within `sync-s`.
    pub(crate) fn healed(&self) -> bool {
        let accepted = |s: &State| s.epoch == self.epoch() && s.successor.accepted.is_some();
        let under_way = |m: &Message| {
            matches!(
                m,
                Message::Request {
                    request: Request::AcceptSuccessor { .. },
                    ..
                }
            )
        };
        if self.disks.values().flatten().any(accepted)
            || self.up.values().any(Replica::proposes)
            || self.messages.iter().any(|m| under_way(&m.2))
        {
            return false;
        }
        let epoch = self.epoch();
        let sound = |p: Place| {
            let state = self.disks.get(&p).and_then(|d| d.as_ref());
            state.is_some_and(|s| s.epoch == epoch && s.joined && s.votes_among(&epoch.voters, p))
        };
        let places: Vec<Place> = epoch.voters.places().collect();
        places.into_iter().all(sound)
    }

    pub(crate) fn step(&mut self, step: &Step) {
        self.now += STEP_MS;
        match step {
            Step::Order(n) => {
                self.version += 1;
                self.order(self.place(*n), config(self.version, u64::from(*n)));
            }
            Step::Race(n, m) => {
                self.version += 1;
                self.order(self.place(*n), config(self.version, 1));
                self.order(self.place(*m), config(self.version, 2));
            }
            Step::Resend(n, m) => self.resend(*n, *m),
            Step::Evacuate(n, on) => {
                self.order(
                    self.place(*n),
                    Order::Evacuation {
                        zone: "z".into(),
                        on: *on,
                    },
                );
            }
            Step::Deliver(n) => {
                if let Some((from, to, message)) = self.take(*n) {
                    self.deliver(from, to, message);
                }
            }
            Step::Drop(n) => drop(self.take(*n)),
            Step::Double(n) => {
                if let Some(message) = self.take(*n) {
                    self.messages.extend([message.clone(), message]);
                }
            }
            Step::Beat(n) => self.beat(self.place(*n)),
            Step::Wait => self.now += RULES.away,
            Step::Kill(n) => self.down(self.place(*n)),
            Step::Crash(n, k) => drop(self.crash_behind.insert(self.place(*n), *k)),
            Step::Power(n) => self.power(self.place(*n)),
            Step::Wipe(n) => {
                if self.healed() {
                    let place = self.place(*n);
                    self.power(place);
                    self.disks.insert(place, None);
                }
            }
            Step::Replace(n) => {
                if self.healed() {
                    self.replace(self.place(*n));
                }
            }
            Step::Leave(n) => self.leave(self.place(*n)),
            Step::Start(n) => self.start(self.place(*n)),
        }
    }

    fn resend(&mut self, n: u8, m: u8) {
        let orders: Vec<Order> = self
            .asked
            .values()
            .filter(|o| **o != Order::Read)
            .cloned()
            .collect();
        if !orders.is_empty() {
            self.order(self.place(m), orders[usize::from(n) % orders.len()].clone());
        }
    }

    fn take(&mut self, n: u8) -> Option<(Place, Place, Message)> {
        (!self.messages.is_empty()).then(|| {
            self.messages
                .swap_remove(usize::from(n) % self.messages.len())
        })
    }

    pub(crate) fn order(&mut self, me: Place, order: Order) {
        let ticket = self.asked.len() as u64;
        self.asked.insert(ticket, order.clone());
        if let Some(replica) = self.up.get_mut(&me) {
            let effects = replica.order(self.now, order, Some(ticket));
            self.act(me, effects);
        }
    }

    pub(crate) fn deliver(&mut self, from: Place, to: Place, message: Message) {
        let broken = match (&message, self.variant) {
            (Message::Request { epoch, request }, Variant::NoSeal) => {
                self.answer_after_closing(from, to, *epoch, request.clone())
            }
            _ => false,
        };
        if broken {
            return;
        }
        if let Some(replica) = self.up.get_mut(&to) {
            let effects = replica.hear(self.now, from, message);
            self.act(to, effects);
        }
        if self.variant == Variant::EagerJoin {
            self.join_at_once(to);
        }
    }

    /// The variant without sealing: a request of the epoch before is answered as if that were still open.
    fn answer_after_closing(
        &mut self,
        from: Place,
        to: Place,
        epoch: u32,
        request: Request,
    ) -> bool {
        let Some(replica) = self.up.get(&to) else {
            return false;
        };
        let state = replica.state().clone();
        let voted = state.votes_among(&state.epoch.previous, to);
        if epoch + 1 != state.epoch.number || epoch == 0 || !voted {
            return false;
        }
        let mut before = state.clone();
        before.epoch = Epoch {
            number: epoch,
            voters: state.epoch.previous.clone(),
            ..Epoch::default()
        };
        before.joined = true;
        let (mut stale, _) = Replica::start(to, Some(before), false, &[], 0, self.lives << 32);
        let effects = stale.hear(self.now, from, Message::Request { epoch, request });
        let mut after = stale.state().clone();
        (after.epoch, after.joined, after.successor) = (state.epoch, state.joined, state.successor);
        self.lives += 1;
        let (replica, _) = Replica::start(to, Some(after.clone()), false, &[], 0, self.lives << 32);
        self.up.insert(to, replica);
        self.disks.insert(to, Some(after));
        let replies = effects
            .into_iter()
            .filter(|e| matches!(e, Effect::Send { .. }));
        self.act(to, replies.collect());
        true
    }

    /// The variant without learning: whoever votes in a new epoch counts at once.
    fn join_at_once(&mut self, me: Place) {
        let Some(replica) = self.up.get(&me) else {
            return;
        };
        if replica.votes() && !replica.joined() {
            let mut state = replica.state().clone();
            state.joined = true;
            self.lives += 1;
            let (replica, _) =
                Replica::start(me, Some(state.clone()), false, &[], 0, self.lives << 32);
            self.up.insert(me, replica);
            self.disks.insert(me, Some(state));
        }
    }

    pub(crate) fn beat(&mut self, me: Place) {
        if let Some(state) = self.unsynced.remove(&me) {
            if self.disks.contains_key(&me) {
                self.disks.insert(me, Some(state));
            }
        }
        let present = self.present();
        let (Some(replica), Some(reconfigure)) =
            (self.up.get_mut(&me), self.reconfigure.get_mut(&me))
        else {
            return;
        };
        let mut effects = replica.beat(self.now);
        if let Some(voters) = reconfigure.due(self.now, replica.epoch(), &present) {
            effects.extend(replica.propose(self.now, voters));
        }
        self.act(me, effects);
    }

    /// What every machine knows of the others: who is up, with which disk.
    pub(crate) fn present(&self) -> BTreeMap<Place, Presence> {
        let mut all = BTreeMap::new();
        for place in self.epoch().voters.places().chain(self.places()) {
            let replica = self.up.get(&place);
            let silent = match (replica, self.down_since.get(&place)) {
                (Some(_), _) => 0.0,
                (None, Some(since)) => self.now - since,
                (None, None) => f64::INFINITY,
            };
            let disk = replica.map_or(0, |r| r.state().disk);
            let leaving = self.leaving.contains(&place);
            all.insert(
                place,
                Presence {
                    disk,
                    zone: format!("z{place}"),
                    silent,
                    leaving,
                },
            );
        }
        all
    }

    /// Delivers messages, the oldest first, until none is left that the filter lets through.
    pub(crate) fn deliver_where(&mut self, passes: impl Fn(Place, Place, &Message) -> bool) {
        while let Some(n) = self.messages.iter().position(|m| passes(m.0, m.1, &m.2)) {
            let (from, to, message) = self.messages.remove(n);
            self.deliver(from, to, message);
        }
    }

    /// So many beats of these machines, which alone hear each other.
    pub(crate) fn pass_among(&mut self, among: &[Place], beats: usize) {
        for _ in 0..beats {
            self.now += 160.0;
            among.iter().for_each(|p| self.beat(*p));
            self.deliver_where(|from, to, _| among.contains(&from) && among.contains(&to));
        }
    }

    /// That machine was told to end: others take its place.
    pub(crate) fn leave(&mut self, me: Place) {
        self.leaving.insert(me);
    }

    /// The process ends; its disk stays as it is.
    pub(crate) fn down(&mut self, me: Place) {
        if self.up.remove(&me).is_some() {
            self.down_since.insert(me, self.now);
        }
        self.messages.retain(|m| m.0 != me && m.1 != me);
    }

    /// What was not synced is lost.
    pub(crate) fn power(&mut self, me: Place) {
        self.unsynced.remove(&me);
        self.down(me);
    }

    /// The machine goes for good, and an empty one comes at another address.
    pub(crate) fn replace(&mut self, me: Place) -> Place {
        self.power(me);
        self.disks.remove(&me);
        let new = self.next_place;
        self.next_place += 1;
        self.disks.insert(new, None);
        self.start(new);
        // The first message of any connection tells the epoch.
        let known = self
            .up
            .values()
            .map(Replica::epoch)
            .max_by_key(|e| e.number)
            .cloned();
        if let (Some(known), Some(replica)) = (known, self.up.get_mut(&new)) {
            let effects = replica.heard_epoch_from(self.now, new, known);
            self.act(new, effects);
        }
        new
    }

    /// Everybody is up and heard, for long enough that voters which are gone are replaced.
    pub(crate) fn calm(&mut self) {
        self.crash_behind.clear();
        self.leaving.clear();
        self.places().iter().for_each(|p| self.start(*p));
        self.pass(40);
    }

    /// So many beats of all, and every message arrives.
    pub(crate) fn pass(&mut self, beats: usize) {
        for _ in 0..beats {
            self.now += 160.0;
            // Signs of life tell the epoch.
            let all: Vec<Place> = self.up.keys().copied().collect();
            for from in &all {
                let epoch = self.up[from].epoch().clone();
                for to in all.iter().filter(|to| *to != from) {
                    let effects = self.up.get_mut(to).unwrap().heard_epoch_from(
                        self.now,
                        *from,
                        epoch.clone(),
                    );
                    self.act(*to, effects);
                }
            }
            all.iter().for_each(|p| self.beat(*p));
            while !self.messages.is_empty() {
                // In any order: a majority may be any.
                let n = self.rng.usize(..self.messages.len());
                let (from, to, message) = self.messages.swap_remove(n);
                self.deliver(from, to, message);
            }
        }
    }

    /// All power is lost and everything comes back; then each machine reads. None: it could not.
    pub(crate) fn read_back(&mut self) -> Vec<Option<u32>> {
        let all = self.places();
        all.iter().for_each(|p| self.power(*p));
        self.calm();
        let read = |world: &mut World, place: &Place| {
            let ticket = world.asked.len() as u64;
            world.asked.insert(ticket, Order::Read);
            let effects = world
                .up
                .get_mut(place)?
                .order(world.now, Order::Read, Some(ticket));
            world.act(*place, effects);
            world.pass(ORDER_BEATS);
            let replica = world.up.get(place)?;
            replica
                .as_of()
                .is_some()
                .then(|| replica.settled().config.version)
        };
        all.iter().map(|place| read(self, place)).collect()
    }

    /// Sends every configuration that was ever sent again, each to some machine.
    pub(crate) fn send_all_again(&mut self) {
        let config = |o: &&Order| matches!(o, Order::Config { .. });
        let orders: Vec<Order> = self.asked.values().filter(config).cloned().collect();
        for (n, order) in orders.into_iter().enumerate() {
            let all = self.places();
            self.order(all[n % all.len()], order);
            self.pass(ORDER_BEATS);
        }
    }

    /// One number, one text; what was acknowledged is never refused, and what was refused is never in force.
    pub(crate) fn one_text_under_each(&self) -> bool {
        let acked = self
            .acked
            .iter()
            .flat_map(|(v, all)| all.iter().map(|d| (*v, *d)));
        self.acked.values().all(|texts| texts.len() == 1)
            && acked.into_iter().all(|a| !self.refused.contains(&a))
            // A loser hears so only once the other text is decided, which then is acknowledged when sent again.
            && self.refused.iter().all(|r| self.acked.contains_key(&r.0))
            && self.up.values().all(|replica| {
                let held = &replica.settled().config;
                let text = |d: &u64| d.to_le_bytes().as_slice() == held.text;
                self.acked.get(&held.version).is_none_or(|texts| texts.iter().all(text))
            })
    }
}

/// Plays a schedule; in the end what was acknowledged must be there, whoever is asked.
pub(crate) fn play(variant: Variant, steps: &[Step]) -> bool {
    let mut world = World::new(variant);
    steps.iter().for_each(|s| world.step(s));
    let acknowledged = world.config;
    let there = world
        .read_back()
        .iter()
        .all(|read| read.is_some_and(|version| version >= acknowledged));
    world.send_all_again();
    there && world.one_text_under_each()
}

/// Drawn from one seed: the same schedules at every run. SCHEDULES_SEED and QUICKCHECK_TESTS ask for others and more.
pub(crate) fn drawn(size: usize) -> Gen {
    let seed = std::env::var("SCHEDULES_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    Gen::from_size_and_seed(size, seed.unwrap_or(2))
}
