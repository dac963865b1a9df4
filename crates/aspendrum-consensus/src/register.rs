//! One machine's part in holding what was taken in. After Attiya, Bar-Noy and Dolev, "Sharing Memory Robustly
//! in Message-Passing Systems" (1995): a write is done once a majority has stored it; a read takes the join of a
//! majority and sees to it that a majority holds that before it tells. What is joined needs no order between its
//! writes. Which text stands under a number is no matter of joining: a ballot decides it ([`crate::numbers`]), and a
//! read completes a ballot that it finds half done, as it completes half of a write. A voter whose disk was lost
//! neither answers nor counts until it has read from so many others that every acknowledged write is among what it
//! read; they note its new disk first, so that no earlier word of the lost disk counts beside one of theirs.

use crate::ballots::{Ballot, Bid};
use crate::founding::{Acceptor, Voters};
use crate::holdings::{Disk, Holdings, Ms, Order, Place};
use crate::numbers::{Answer, Numbers, Text};
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Whoever gave an order hears of its end under this.
pub type Ticket = u64;

/// So long does a round take at the most: an operator's call waits for a second.
const ROUND_MS: Ms = 850.0;
/// Words get lost when a link breaks; those without an answer are said again.
const AGAIN_MS: Ms = 150.0;
/// Whoever was outbid leaves the other a round trip or two to be through with it.
const PAUSE_MS: std::ops::Range<f64> = 60.0..260.0;

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
        /// The highest number above that of `held` under which a text was accepted that may be decided.
        open: Option<Box<(u32, Ballot, Text)>>,
        disks: BTreeMap<Place, Disk>,
    },
    Prepare {
        round: u64,
        number: u32,
        ballot: Ballot,
    },
    Accept {
        round: u64,
        number: u32,
        ballot: Ballot,
        text: Box<Text>,
    },
    Answered {
        round: u64,
        ballot: Ballot,
        answer: Box<Answer>,
        disk: Disk,
        disks: BTreeMap<Place, Disk>,
    },
    /// The text of that digest was decided under that number.
    Decided {
        number: u32,
        digest: u64,
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
        numbers: Box<Numbers>,
    },
    /// Something was acknowledged: whoever passes news on may want to read.
    Nudge,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A majority of disks holds it; what a majority holds in all.
    Done(Box<Holdings>),
    /// Another text was decided under its number: this one is in force nowhere and never will be.
    Taken,
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
    /// Configuration: only what was decided.
    pub held: Holdings,
    pub numbers: Numbers,
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
    Preparing,
    Accepting,
    /// Another round of this machine bids for the same number, or this one was outbid and begins anew then.
    Waiting(Ms),
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
    /// Who has promised a higher ballot.
    outbid: BTreeSet<Place>,
    /// The number that is to be decided before this ends, and the bid for it.
    bid: Option<(u32, Bid<Text>)>,
}

impl Round {
    fn bids(&self, number: u32) -> bool {
        let active = matches!(self.phase, Phase::Preparing | Phase::Accepting);
        active && self.bid.as_ref().is_some_and(|b| b.0 == number)
    }
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
    /// This life's ballots, and the highest that it heard of.
    life: Ballot,
    heard: Ballot,
    rng: Rng,
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
            let (numbers, founding) = (Numbers::default(), Acceptor::default());
            Kept { held, numbers, disk, whole: founds, first, founding }
        });
        let (settled, as_of, rounds, healed_by) = (Holdings::default(), None, Vec::new(), BTreeMap::new());
        let (heal_said, now, acts) = (f64::NEG_INFINITY, 0.0, if new { vec![Act::Keep] } else { Vec::new() });
        // Rounds and ballots of one life must not be taken for those of an earlier one.
        let life = Ballot { count: 0, place: me, life: begin };
        let (heard, rng, next) = (kept.numbers.promised(), Rng::with_seed(begin), begin);
        let mut own = Register {
            me,
            kept,
            settled,
            as_of,
            rounds,
            next,
            healed_by,
            heal_said,
            now,
            life,
            heard,
            rng,
            acts,
        };
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
            outbid: BTreeSet::new(),
            bid: None,
        };
        // A configuration brings its own number: nothing needs to be read first.
        if let Order::Config { version, text, digest } = &round.order {
            if let Some(known) = self.kept.numbers.decided(*version) {
                let outcome = self.outcome(known == *digest);
                self.acts.extend(ticket.map(|ticket| Act::Ended { ticket, outcome }));
                return std::mem::take(&mut self.acts);
            }
            let text = Text { digest: *digest, packed: Some(text.clone()) };
            (round.phase, round.bid) = (Phase::Waiting(now), Some((*version, Bid::new(self.life, text))));
        }
        self.rounds.push(round);
        let n = self.rounds.len() - 1;
        if self.rounds[n].bid.is_some() {
            self.bid(n);
        } else {
            self.say(n, false);
        }
        std::mem::take(&mut self.acts)
    }

    fn outcome(&self, done: bool) -> Outcome {
        if done {
            Outcome::Done(Box::new(self.settled.clone()))
        } else {
            Outcome::Taken
        }
    }

    pub fn hear(&mut self, now: Ms, from: Place, said: Said) -> Vec<Act> {
        self.now = now;
        // A machine that stood still must not go on with what nobody waits for any more.
        self.expire();
        match said {
            Said::Ask { round, digest } => self.asked(from, round, digest),
            Said::Told { round, disk, digest, held, open, disks } => {
                if let Some(n) = self.round(round, Phase::Asking, from) {
                    if let Some(held) = held {
                        self.rounds[n].target.join(&held);
                    }
                    if let Some((number, ballot, text)) = open.map(|o| *o) {
                        self.saw(n, number, ballot, text);
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
            Said::Prepare { round, number, ballot } => {
                self.heard = self.heard.max(ballot);
                let in_force = self.kept.held.config.version;
                self.answer(from, round, ballot, |numbers| numbers.prepare(number, ballot, in_force));
            }
            Said::Accept { round, number, ballot, text } => {
                self.heard = self.heard.max(ballot);
                let in_force = self.kept.held.config.version;
                self.answer(from, round, ballot, |numbers| numbers.accept(number, ballot, *text, in_force));
            }
            Said::Answered { round, ballot, answer, disk, disks } => {
                self.answered(from, round, ballot, *answer, (disk, disks));
            }
            Said::Decided { number, digest } => {
                self.learn(number, digest, None);
            }
            Said::Heal { disk } => self.heal(from, disk),
            Said::Healed { disk, held, numbers } => self.healed(from, disk, &held, &numbers),
            Said::Nudge => {}
        }
        std::mem::take(&mut self.acts)
    }

    /// Says again what found no answer, ends rounds that took too long, and asks for what a lost disk held.
    pub fn beat(&mut self, now: Ms) -> Vec<Act> {
        self.now = now;
        self.expire();
        for id in self.rounds.iter().map(|r| r.id).collect::<Vec<u64>>() {
            // Saying one to this machine itself may end it, and move the others.
            let Some(n) = self.rounds.iter().position(|r| r.id == id) else { continue };
            match self.rounds[n].phase {
                Phase::Waiting(until) if now >= until => self.bid(n),
                Phase::Waiting(_) => {}
                _ if now - self.rounds[n].said_at >= AGAIN_MS => self.say(n, true),
                _ => {}
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

    fn expire(&mut self) {
        let now = self.now;
        let (over, on) = std::mem::take(&mut self.rounds).into_iter().partition(|r| now - r.begun > ROUND_MS);
        self.rounds = on;
        let over: Vec<Round> = over;
        for ticket in over.iter().filter_map(|r| r.ticket) {
            self.acts.push(Act::Ended { ticket, outcome: Outcome::NoMajority });
        }
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
            self.kept.numbers.overtaken(self.kept.held.config.version);
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
            // What it says to this machine itself comes last, and may have moved the others or ended it.
            let Some(round) = self.rounds.iter().find(|r| r.id == id && r.phase == phase) else { return };
            let bid = round.bid.as_ref().map(|(number, bid)| (*number, bid.ballot, bid.value().clone()));
            let said = match (phase, bid) {
                (Phase::Asking, _) => Said::Ask { round: id, digest: self.kept.held.digest() },
                (Phase::Storing, _) => Said::Store { round: id, held: Box::new(round.target.clone()) },
                (Phase::Preparing, Some((number, ballot, _))) => Said::Prepare { round: id, number, ballot },
                (Phase::Accepting, Some((number, ballot, text))) => {
                    Said::Accept { round: id, number, ballot, text: Box::new(text) }
                }
                (Phase::Waiting(_) | Phase::Preparing | Phase::Accepting, _) => return,
            };
            self.tell(to, said);
        }
    }

    /// A number that another machine may have had decided: the highest matters, and of that the highest ballot.
    fn saw(&mut self, n: usize, number: u32, ballot: Ballot, text: Text) {
        self.heard = self.heard.max(ballot);
        let round = &mut self.rounds[n];
        let known = round.bid.as_ref().map(|(number, bid)| (*number, bid.ballot));
        if round.order == Order::Read && known.is_none_or(|known| known < (number, ballot)) {
            round.bid = Some((number, Bid::behind(ballot, text)));
        }
    }

    /// Bids anew above all that was heard of, unless another round of this machine does so already.
    fn bid(&mut self, n: usize) {
        let Some((number, bid)) = &self.rounds[n].bid else { return };
        let number = *number;
        if self.rounds.iter().any(|r| r.bids(number)) {
            return;
        }
        let ballot = self.life.above(self.heard);
        self.heard = ballot;
        let bid = bid.again(ballot);
        self.rounds[n].bid = Some((number, bid));
        self.enter(n, Phase::Preparing);
    }

    fn enter(&mut self, n: usize, phase: Phase) {
        let round = &mut self.rounds[n];
        (round.phase, round.answers, round.outbid) = (phase, BTreeMap::new(), BTreeSet::new());
        self.say(n, false);
    }

    /// A voter's answer to a proposer, on its disk before it is said.
    fn answer(&mut self, to: Place, round: u64, ballot: Ballot, ask: impl FnOnce(&mut Numbers) -> Answer) {
        if !self.whole() {
            return;
        }
        let answer = Box::new(ask(&mut self.kept.numbers));
        if matches!(*answer, Answer::Promised(_) | Answer::Accepted) {
            self.acts.push(Act::Keep);
        }
        let (disk, disks) = (self.kept.disk, self.kept.held.disks.clone());
        self.tell(to, Said::Answered { round, ballot, answer, disk, disks });
    }

    fn answered(
        &mut self,
        from: Place,
        round: u64,
        ballot: Ballot,
        answer: Answer,
        (disk, disks): (Disk, BTreeMap<Place, Disk>),
    ) {
        let votes = self.kept.held.voters.contains(&from);
        let asked = |r: &Round| r.id == round && r.bid.as_ref().is_some_and(|b| b.1.ballot == ballot);
        let Some(n) = self.rounds.iter().position(|r| votes && asked(r)) else { return };
        let phase = self.rounds[n].phase;
        let Some((number, bid)) = &mut self.rounds[n].bid else { return };
        let number = *number;
        match (answer, phase) {
            (Answer::Promised(accepted), Phase::Preparing) => {
                bid.promised(accepted);
                self.rounds[n].answers.insert(from, (disk, disks, 0));
                if self.majority(n) {
                    self.enter(n, Phase::Accepting);
                }
            }
            (Answer::Accepted, Phase::Accepting) => {
                let text = bid.value().clone();
                self.rounds[n].answers.insert(from, (disk, disks, 0));
                if self.majority(n) {
                    self.decided(number, text);
                }
            }
            (Answer::Outbid(by), Phase::Preparing | Phase::Accepting) => {
                self.heard = self.heard.max(by);
                self.rounds[n].outbid.insert(from);
                // The others may be a majority yet.
                if self.kept.held.voters.len() - self.rounds[n].outbid.len() >= self.kept.held.quorum() {
                    return;
                }
                let pause = PAUSE_MS.start + self.rng.f64() * (PAUSE_MS.end - PAUSE_MS.start);
                self.rounds[n].phase = Phase::Waiting(self.now + pause);
            }
            (Answer::Known(digest), _) => {
                let own = Some(bid.value().clone()).filter(|text| text.digest == digest);
                self.learn(number, digest, own.and_then(|text| text.packed));
            }
            // Overtaken for long, by whatever text: it changes nothing.
            (Answer::Forgotten, _) => self.close(number, None),
            (Answer::Promised(_) | Answer::Accepted | Answer::Outbid(_), _) => {}
        }
    }

    /// A majority has accepted that text: it stands under that number for ever.
    fn decided(&mut self, number: u32, text: Text) {
        let digest = text.digest;
        self.learn(number, digest, text.packed);
        for to in self.others() {
            self.tell(to, Said::Decided { number, digest });
        }
    }

    /// What was decided under that number, whoever found it out. `text`: if it is at hand.
    fn learn(&mut self, number: u32, digest: u64, text: Option<Vec<u8>>) {
        let text = text.or_else(|| self.kept.numbers.accepted(number, digest));
        if let Some(text) = text.filter(|_| number > self.kept.held.config.version) {
            self.kept.held.join(&Holdings::default().with(number, text));
            self.kept.numbers.overtaken(number);
        }
        if self.kept.numbers.decide(number, digest, self.kept.held.config.version) {
            self.acts.push(Act::Keep);
        }
        let held =
            Holdings::default().with(self.kept.held.config.version, self.kept.held.config.text.clone());
        self.take(&held);
        self.close(number, Some(digest));
    }

    /// Takes in what was decided.
    fn take(&mut self, held: &Holdings) {
        self.join(held);
        let old = self.settled.digest();
        self.settled.join(held);
        if self.settled.digest() != old {
            self.acts.push(Act::News);
        }
    }

    /// Ends or goes on with all rounds that waited for that number.
    fn close(&mut self, number: u32, digest: Option<u64>) {
        let waits = |r: &Round| r.bid.as_ref().is_some_and(|b| b.0 == number);
        let asks = |r: &Round| matches!(r.phase, Phase::Asking | Phase::Storing);
        while let Some(n) = self.rounds.iter().position(|r| waits(r) && !asks(r)) {
            let round = &mut self.rounds[n];
            round.bid = None;
            match round.order {
                Order::Config { digest: own, .. } => {
                    let outcome = self.outcome(digest.is_none_or(|digest| digest == own));
                    let ticket = self.rounds.remove(n).ticket;
                    self.acts.extend(ticket.map(|ticket| Act::Ended { ticket, outcome }));
                }
                // Decided, and the text is elsewhere.
                _ if digest.is_some() && self.kept.held.config.version < number => {
                    self.rounds[n].target = Holdings::default();
                    self.enter(n, Phase::Asking);
                }
                Order::Read | Order::Evacuation { .. } => {
                    let decided = self.settled.clone();
                    self.rounds[n].target.join(&decided);
                    self.end(n);
                }
            }
        }
    }

    fn asked(&mut self, from: Place, round: u64, digest: u64) {
        if !self.whole() {
            return;
        }
        let own = self.kept.held.digest();
        let held = (own != digest).then(|| Box::new(self.kept.held.clone()));
        let (disk, disks) = (self.kept.disk, self.kept.held.disks.clone());
        let open = self.kept.numbers.open(self.kept.held.config.version).map(Box::new);
        self.tell(from, Said::Told { round, disk, digest: own, held, open, disks });
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
            return self.complete(n);
        }
        // All that a majority holds is in the target now; what all of it hold alike is held by a majority.
        let own = self.kept.held.clone();
        let round = &mut self.rounds[n];
        round.target.join(&own);
        round.target.obey(&round.order);
        let digest = round.target.digest();
        if round.answers.values().all(|a| a.2 == digest) {
            return self.complete(n);
        }
        self.enter(n, Phase::Storing);
    }

    /// What is left of a read is a number that may have been decided: under the ballot that it was accepted under.
    fn complete(&mut self, n: usize) {
        let round = &mut self.rounds[n];
        let version = round.target.config.version.max(self.kept.held.config.version);
        if round.bid.as_ref().is_none_or(|b| b.0 <= version) {
            return self.end(n);
        }
        let number = round.bid.as_ref().map_or(0, |b| b.0);
        if self.rounds.iter().any(|r| r.bids(number)) {
            self.rounds[n].phase = Phase::Waiting(self.now);
        } else {
            self.enter(n, Phase::Accepting);
        }
    }

    fn end(&mut self, n: usize) {
        let round = self.rounds.remove(n);
        if round.order == Order::Read {
            self.as_of = Some(self.as_of.map_or(round.begun, |at| at.max(round.begun)));
        }
        self.take(&round.target);
        if let Some(ticket) = round.ticket {
            let outcome = self.outcome(true);
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
        let numbers = Box::new(self.kept.numbers.clone());
        self.tell(from, Said::Healed { disk: noted, held, numbers });
    }

    fn healed(&mut self, from: Place, disk: Disk, held: &Holdings, numbers: &Numbers) {
        if self.kept.whole || disk.id != self.kept.disk.id || !held.voters.contains(&from) {
            return;
        }
        self.join(held);
        self.kept.numbers.inherit(numbers);
        self.acts.push(Act::Keep);
        self.kept.disk.generation = self.kept.disk.generation.max(disk.generation);
        self.healed_by.insert(from, disk);
        if self.healed_by.len() >= self.kept.held.healers() && self.votes() {
            self.kept.whole = true;
            self.acts.push(Act::Keep);
        }
    }
}
