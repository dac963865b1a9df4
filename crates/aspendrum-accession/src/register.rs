//! One machine's part in holding what was taken in. After Attiya, Bar-Noy and Dolev, "Sharing Memory Robustly
//! in Message-Passing Systems" (1995): a write is done once a majority has stored it; a read takes the join of a
//! majority and sees to it that a majority holds that before it tells. States are joined, so writes need no
//! order. A voter whose disk was lost neither answers nor counts until it has read from so many others that
//! every acknowledged write is among what it read; they note its new disk first, so that no earlier word of the
//! lost disk counts beside one of theirs.

use crate::founding::{Acceptor, Voters};
use crate::holdings::{Disk, Holdings, Ms, Order, Place};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whoever gave an order hears of its end under this.
pub type Ticket = u64;

/// So long does a round take at the most: an operator's call waits for a second.
const ROUND_MS: Ms = 850.0;
/// Words get lost when a link breaks; those without an answer are said again.
const AGAIN_MS: Ms = 150.0;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Said {
    /// What do you hold? Answered in full only if it differs from the digest.
    Ask {
        round: u64,
        digest: u64,
    },
    Told {
        round: u64,
        disk: Disk,
        digest: u64,
        held: Option<Box<Holdings>>,
        disks: BTreeMap<Place, Disk>,
    },
    Store {
        round: u64,
        held: Box<Holdings>,
    },
    Stored {
        round: u64,
        disk: Disk,
        disks: BTreeMap<Place, Disk>,
    },
    /// This disk is new: what did the old one hold?
    Heal {
        disk: Disk,
    },
    Healed {
        disk: Disk,
        held: Box<Holdings>,
    },
    /// Something was acknowledged: whoever passes news on may want to read.
    Nudge,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A majority of disks holds it; what a majority holds in all.
    Done(Box<Holdings>),
    /// No majority answered in time. It may come to be held all the same.
    NoMajority,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Onto the disk, and synced, before any act behind it.
    Keep,
    Say {
        to: Place,
        said: Said,
    },
    Ended {
        ticket: Ticket,
        outcome: Outcome,
    },
    /// What a majority holds has grown.
    News,
}

/// What one machine keeps on its disk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub held: Holdings,
    pub disk: Disk,
    /// It contains every acknowledged write that its voter was part of.
    pub whole: bool,
    /// It was there at the first start of all and has not been lost: a voter by it is whole from the beginning.
    pub first: bool,
    /// This machine's part in settling who votes.
    pub founding: Acceptor,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Asking,
    Storing,
}

struct Round {
    id: u64,
    begun: Ms,
    said_at: Ms,
    phase: Phase,
    order: Order,
    ticket: Option<Ticket>,
    /// What is to be stored, once that is known.
    target: Holdings,
    /// Who answered in this phase: its disk, what it knows of others' disks, the digest of what it holds.
    answers: BTreeMap<Place, (Disk, BTreeMap<Place, Disk>, u64)>,
}

pub struct Register {
    me: Place,
    kept: Kept,
    /// What a majority of disks is known to hold.
    settled: Holdings,
    /// When the last round began that found nothing above `settled` at a majority.
    as_of: Option<Ms>,
    rounds: Vec<Round>,
    next: u64,
    healed_by: BTreeMap<Place, Disk>,
    heal_said: Ms,
    now: Ms,
    acts: Vec<Act>,
}

impl Register {
    /// `kept`: what the disk held, none for an empty one. `first`: this is the first start of all. `founders`: the
    /// voters, where they are known by then. `id`: drawn anew for each empty disk.
    pub fn start(
        me: Place,
        kept: Option<Kept>,
        first: bool,
        founders: &[Place],
        id: u64,
        begin: u64,
    ) -> (Register, Vec<Act>) {
        let new = kept.is_none();
        let founds = founders.contains(&me);
        let kept = kept.unwrap_or_else(|| {
            let held = Holdings { voters: founders.iter().copied().collect(), ..Holdings::default() };
            let disk = Disk { generation: u32::from(first), id };
            Kept { held, disk, whole: founds, first, founding: Acceptor::default() }
        });
        let (settled, as_of, rounds, healed_by) = (Holdings::default(), None, Vec::new(), BTreeMap::new());
        let (heal_said, now, acts) = (f64::NEG_INFINITY, 0.0, if new { vec![Act::Keep] } else { Vec::new() });
        // Rounds of one life must not be taken for those of an earlier one.
        let mut own =
            Register { me, kept, settled, as_of, rounds, next: begin, healed_by, heal_said, now, acts };
        let acts = std::mem::take(&mut own.acts);
        (own, acts)
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn settled(&self) -> &Holdings {
        &self.settled
    }

    /// As of when `settled` is known to hold all that was acknowledged.
    pub fn as_of(&self) -> Option<Ms> {
        self.as_of
    }

    pub fn votes(&self) -> bool {
        self.kept.held.voters.contains(&self.me)
    }

    pub fn whole(&self) -> bool {
        self.kept.whole && self.votes()
    }

    /// Who votes, once that is settled or another says so, for whoever does not know yet.
    pub fn introduce(&mut self, voters: &Voters) -> Vec<Act> {
        if self.kept.held.voters.is_empty() && !voters.is_empty() {
            self.kept.held.voters.clone_from(voters);
            self.kept.whole |= self.kept.first && self.votes();
            self.acts.push(Act::Keep);
        }
        std::mem::take(&mut self.acts)
    }

    /// What is to be on the disk of this machine's part in settling who votes.
    pub fn founding(&mut self, part: &Acceptor) -> Vec<Act> {
        self.kept.founding = part.clone();
        vec![Act::Keep]
    }

    /// Begins a round for an order; `ticket` hears of its end.
    pub fn order(&mut self, now: Ms, order: Order, ticket: Option<Ticket>) -> Vec<Act> {
        self.now = now;
        self.next += 1;
        let mut round = Round {
            id: self.next,
            begun: now,
            said_at: now,
            phase: Phase::Asking,
            order,
            ticket,
            target: Holdings::default(),
            answers: BTreeMap::new(),
        };
        // A configuration brings its own number: nothing needs to be read first.
        if matches!(round.order, Order::Config { .. }) {
            round.target = self.kept.held.clone();
            round.target.obey(&round.order);
            round.phase = Phase::Storing;
        }
        self.rounds.push(round);
        self.say(self.rounds.len() - 1, false);
        std::mem::take(&mut self.acts)
    }

    pub fn hear(&mut self, now: Ms, from: Place, said: Said) -> Vec<Act> {
        self.now = now;
        match said {
            Said::Ask { round, digest } => self.asked(from, round, digest),
            Said::Told { round, disk, digest, held, disks } => {
                if let Some(n) = self.round(round, Phase::Asking, from) {
                    if let Some(held) = held {
                        self.rounds[n].target.join(&held);
                    }
                    self.rounds[n].answers.insert(from, (disk, disks, digest));
                    self.look(n);
                }
            }
            Said::Store { round, held } => {
                self.join(&held);
                if self.whole() {
                    let (disk, disks) = (self.kept.disk, self.kept.held.disks.clone());
                    self.tell(from, Said::Stored { round, disk, disks });
                }
            }
            Said::Stored { round, disk, disks } => {
                if let Some(n) = self.round(round, Phase::Storing, from) {
                    self.rounds[n].answers.insert(from, (disk, disks, 0));
                    self.look(n);
                }
            }
            Said::Heal { disk } => self.heal(from, disk),
            Said::Healed { disk, held } => self.healed(from, disk, &held),
            Said::Nudge => {}
        }
        std::mem::take(&mut self.acts)
    }

    /// Says again what found no answer, ends rounds that took too long, and asks for what a lost disk held.
    pub fn beat(&mut self, now: Ms) -> Vec<Act> {
        self.now = now;
        let (over, on) = std::mem::take(&mut self.rounds).into_iter().partition(|r| now - r.begun > ROUND_MS);
        self.rounds = on;
        let over: Vec<Round> = over;
        for ticket in over.iter().filter_map(|r| r.ticket) {
            self.acts.push(Act::Ended { ticket, outcome: Outcome::NoMajority });
        }
        let quiet = |r: &&Round| now - r.said_at >= AGAIN_MS;
        let again: Vec<u64> = self.rounds.iter().filter(quiet).map(|r| r.id).collect();
        for id in again {
            // Saying one to this machine itself may end it, and move the others.
            if let Some(n) = self.rounds.iter().position(|r| r.id == id) {
                self.say(n, true);
            }
        }
        let blank = self.votes() && !self.kept.whole;
        if blank && now - self.heal_said >= AGAIN_MS {
            self.heal_said = now;
            let disk = self.kept.disk;
            for to in self.others() {
                self.tell(to, Said::Heal { disk });
            }
        }
        std::mem::take(&mut self.acts)
    }

    fn others(&self) -> Vec<Place> {
        self.kept.held.voters.iter().copied().filter(|v| *v != self.me).collect()
    }

    fn tell(&mut self, to: Place, said: Said) {
        if to == self.me {
            let now = self.now;
            let more = std::mem::take(&mut self.acts);
            let own = self.hear(now, to, said);
            self.acts = more;
            self.acts.extend(own);
        } else {
            self.acts.push(Act::Say { to, said });
        }
    }

    /// Takes in; a voter's disk holds it before anything is said of it.
    fn join(&mut self, held: &Holdings) {
        if self.kept.held.join(held) {
            self.acts.push(Act::Keep);
        }
    }

    fn round(&self, id: u64, phase: Phase, from: Place) -> Option<usize> {
        let votes = self.kept.held.voters.contains(&from);
        self.rounds.iter().position(|r| r.id == id && r.phase == phase && votes)
    }

    /// Says a round's words to all voters, or to those that have not answered.
    fn say(&mut self, n: usize, again: bool) {
        self.rounds[n].said_at = self.now;
        let (id, phase) = (self.rounds[n].id, self.rounds[n].phase);
        let silent = |to: &Place| !again || !self.rounds[n].answers.contains_key(to);
        let mut to: Vec<Place> = self.kept.held.voters.iter().copied().filter(silent).collect();
        // Its own disk last: the others' work meanwhile.
        to.sort_by_key(|p| *p == self.me);
        for to in to {
            let said = match phase {
                Phase::Asking => Said::Ask { round: id, digest: self.kept.held.digest() },
                Phase::Storing => {
                    let Some(round) = self.rounds.iter().find(|r| r.id == id) else { return };
                    Said::Store { round: id, held: Box::new(round.target.clone()) }
                }
            };
            self.tell(to, said);
        }
    }

    fn asked(&mut self, from: Place, round: u64, digest: u64) {
        if !self.whole() {
            return;
        }
        let own = self.kept.held.digest();
        let held = (own != digest).then(|| Box::new(self.kept.held.clone()));
        let (disk, disks) = (self.kept.disk, self.kept.held.disks.clone());
        self.tell(from, Said::Told { round, disk, digest: own, held, disks });
    }

    /// Whether a majority answered, none with a disk that another of them knows to be lost.
    fn majority(&self, n: usize) -> bool {
        let answers = &self.rounds[n].answers;
        let sound = |place: &Place, disk: &Disk| {
            let newest = answers.values().filter_map(|a| a.1.get(place)).max();
            newest.is_none_or(|known| *known <= *disk)
        };
        let counted = answers.iter().filter(|(place, answer)| sound(place, &answer.0)).count();
        !self.kept.held.voters.is_empty() && counted >= self.kept.held.quorum()
    }

    fn look(&mut self, n: usize) {
        if !self.majority(n) {
            return;
        }
        if self.rounds[n].phase == Phase::Storing {
            return self.end(n);
        }
        // All that a majority holds is in the target now; what all of it hold alike is held by a majority.
        let own = self.kept.held.clone();
        let round = &mut self.rounds[n];
        round.target.join(&own);
        round.target.obey(&round.order);
        let digest = round.target.digest();
        if round.answers.values().all(|a| a.2 == digest) {
            return self.end(n);
        }
        (round.phase, round.answers) = (Phase::Storing, BTreeMap::new());
        self.say(n, false);
    }

    fn end(&mut self, n: usize) {
        let round = self.rounds.remove(n);
        let (old, read) = (self.settled.digest(), !matches!(round.order, Order::Config { .. }));
        self.settled.join(&round.target);
        if read {
            self.as_of = Some(self.as_of.map_or(round.begun, |at| at.max(round.begun)));
        }
        self.join(&round.target);
        if self.settled.digest() != old {
            self.acts.push(Act::News);
        }
        if let Some(ticket) = round.ticket {
            let outcome = Outcome::Done(Box::new(self.settled.clone()));
            self.acts.push(Act::Ended { ticket, outcome });
        }
    }

    /// Notes that a voter came back with another disk, then tells what is held here.
    fn heal(&mut self, from: Place, disk: Disk) {
        if !self.whole() || !self.kept.held.voters.contains(&from) {
            return;
        }
        let known = self.kept.held.disks.get(&from).copied().unwrap_or_default();
        if known.id != disk.id {
            let generation = known.generation.max(1) + 1;
            self.kept.held.disks.insert(from, Disk { generation, id: disk.id });
            self.acts.push(Act::Keep);
        }
        let noted = self.kept.held.disks[&from];
        let held = Box::new(self.kept.held.clone());
        self.tell(from, Said::Healed { disk: noted, held });
    }

    fn healed(&mut self, from: Place, disk: Disk, held: &Holdings) {
        if self.kept.whole || disk.id != self.kept.disk.id || !held.voters.contains(&from) {
            return;
        }
        self.join(held);
        self.kept.disk.generation = self.kept.disk.generation.max(disk.generation);
        self.healed_by.insert(from, disk);
        if self.healed_by.len() >= self.kept.held.healers() && self.votes() {
            self.kept.whole = true;
            self.acts.push(Act::Keep);
        }
    }
}
