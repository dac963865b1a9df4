//! One machine of control: what it holds, what it has asked of the voters, and how it answers. Registers follow Attiya,
//! Bar-Noy and Dolev, "Sharing Memory Robustly in Message-Passing Systems" (1995): a write is done once a majority has
//! stored it; a read joins what a majority holds and sees to it that a majority holds that before it returns. What is
//! joined needs no order between its writes. The text under a number is no matter of joining: a ballot decides it.
//!
//! The parts: [`crate::reading`] (reads and evacuations), [`crate::deciding`] (numbers), [`crate::changing`] (the voters
//! of the next epoch) and [`crate::joining`] (how a voter of a new epoch comes to hold what was acknowledged before).

use crate::ballot::Ballot;
use crate::campaign::Campaign;
use crate::deciding::NumberCampaign;
use crate::holdings::{Holdings, Ms, Order, Place};
use crate::joining::Joining;
use crate::membership::{DiskId, Epoch, Voters};
use crate::message::{Message, Reply, Request};
use crate::reading::ReadRound;
use crate::state::State;
use fastrand::Rng;
use std::collections::BTreeMap;

/// Whoever gave an order hears of its end under this.
pub type Ticket = u64;

/// No order takes longer: an operator's call waits for a second.
pub(crate) const ORDER_MS: Ms = 850.0;
/// Messages get lost when a connection breaks; those without an answer are sent again.
pub(crate) const RESEND_MS: Ms = 150.0;
/// Whoever was outbid leaves the other a round trip or two to finish.
const BACKOFF_MS: std::ops::Range<f64> = 60.0..260.0;

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

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The state goes onto the disk and is synced before any effect behind this one, of this event or a later one.
    Persist,
    /// Also to this machine itself: its own vote counts only once it is synced.
    Send {
        to: Place,
        message: Message,
    },
    Ended {
        ticket: Ticket,
        outcome: Outcome,
    },
    /// What a majority holds has grown.
    News,
    /// Another epoch began, or this machine joined it.
    EpochChanged,
}

/// One machine's part in the replicated state.
pub struct Replica {
    pub(crate) me: Place,
    pub(crate) state: State,
    /// What a majority of disks is known to hold.
    pub(crate) settled: Holdings,
    /// When the last read began that found nothing above `settled` at a majority.
    pub(crate) as_of: Option<Ms>,
    pub(crate) reads: Vec<ReadRound>,
    pub(crate) campaigns: BTreeMap<u32, NumberCampaign>,
    /// This machine's attempt to have the next epoch's voters decided.
    pub(crate) change: Option<Campaign<Voters>>,
    /// The ballot under which this machine accepted voters of the next epoch, and when it was first seen so.
    pub(crate) accepted_since: Option<(Ballot, Ms)>,
    pub(crate) joining: Joining,
    pub(crate) now: Ms,
    next_round: u64,
    /// This life's ballots, and the highest ballot that it heard of.
    life: Ballot,
    highest: Ballot,
    rng: Rng,
    pub(crate) effects: Vec<Effect>,
    /// It takes no part in any vote: its disk cannot be written.
    guest: bool,
}

impl Replica {
    /// `state`: what the disk holds, none for an empty one. `init`: this is the first start of the whole system, and
    /// `seeds` are its first machines. `disk`: the id of an empty disk. `life`: drawn at each start.
    pub fn start(
        me: Place,
        state: Option<State>,
        init: bool,
        seeds: &[Place],
        disk: DiskId,
        life: u64,
    ) -> (Replica, Vec<Effect>) {
        let empty = state.is_none();
        let mut state = state.unwrap_or_else(|| State::empty(me, disk, init, seeds));
        state.found(me, seeds);
        let highest = state.numbers.promised().max(state.successor.promised);
        let effects = if empty {
            vec![Effect::Persist]
        } else {
            Vec::new()
        };
        let replica = Replica {
            me,
            state,
            settled: Holdings::default(),
            as_of: None,
            reads: Vec::new(),
            campaigns: BTreeMap::new(),
            change: None,
            accepted_since: None,
            joining: Joining::default(),
            now: 0.0,
            // Rounds and ballots of one life must not be taken for those of an earlier one.
            next_round: life,
            life: Ballot {
                count: 0,
                place: me,
                life,
            },
            highest,
            rng: Rng::with_seed(life),
            effects: Vec::new(),
            guest: false,
        };
        (replica, effects)
    }

    /// Goes on with what another life of this machine's replica knew of others' disks.
    pub fn resume(&mut self, before: &Replica) {
        self.settled = before.settled.clone();
        self.as_of = before.as_of;
        self.now = before.now;
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// What a majority of disks is known to hold.
    pub fn settled(&self) -> &Holdings {
        &self.settled
    }

    /// As of when `settled` is known to hold all that was acknowledged.
    pub fn as_of(&self) -> Option<Ms> {
        self.as_of
    }

    pub fn epoch(&self) -> &Epoch {
        &self.state.epoch
    }

    /// This machine and its disk are a voter of the newest epoch that it knows of.
    pub fn votes(&self) -> bool {
        !self.guest && self.state.votes_among(&self.state.epoch.voters, self.me)
    }

    /// From now on it only asks: its disk cannot be written. What it says then rests on others' disks alone, and
    /// [`Effect::Persist`] has no meaning.
    pub fn become_guest(&mut self) {
        self.guest = true;
    }

    /// It votes, and holds all that was acknowledged before its epoch began.
    pub fn joined(&self) -> bool {
        self.state.joined && self.votes()
    }

    pub(crate) fn is_guest(&self) -> bool {
        self.guest
    }

    /// Begins an order; `ticket` hears of its end.
    pub fn order(&mut self, now: Ms, order: Order, ticket: Option<Ticket>) -> Vec<Effect> {
        self.now = now;
        match order {
            Order::Config {
                version,
                text,
                digest,
            } => self.decide_number(version, text, digest, ticket),
            Order::Evacuation { .. } | Order::Read => self.begin_read(order, ticket),
        }
        self.finish()
    }

    /// A message of another machine.
    pub fn hear(&mut self, now: Ms, from: Place, message: Message) -> Vec<Effect> {
        self.now = now;
        // A machine that stood still must not go on with what nobody waits for any more.
        self.expire();
        self.handle(from, message);
        self.finish()
    }

    /// Sends again what found no answer, and ends what took too long.
    pub fn beat(&mut self, now: Ms) -> Vec<Effect> {
        self.now = now;
        self.expire();
        self.resend_reads();
        self.resend_numbers();
        self.complete_change();
        self.resend_change();
        self.resend_seals();
        self.finish()
    }

    pub(crate) fn finish(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, from: Place, message: Message) {
        match message {
            Message::Request { epoch, request } if epoch == self.state.epoch.number => {
                self.answer(from, request);
            }
            Message::Request { .. } => self.tell_epoch(from),
            Message::Reply { epoch, reply } => {
                let voter = self.state.epoch.voters.names(from);
                if epoch == self.state.epoch.number && voter {
                    self.replied(from, reply);
                }
            }
            Message::Epoch(epoch) => self.heard_epoch(from, *epoch),
            Message::Seal { epoch, digest } => self.seal(from, *epoch, digest),
            Message::Sealed(sealed) => self.sealed(from, *sealed),
            Message::Decided { number, digest } => self.learn(number, digest, None),
            Message::Nudge => {}
        }
    }

    /// A request in this machine's own epoch. Only a voter that has joined it answers.
    fn answer(&mut self, from: Place, request: Request) {
        if !self.joined() {
            return;
        }
        let reply = match request {
            Request::Read { .. } | Request::Write { .. } if !self.state.epoch.serves() => return,
            Request::Prepare { .. } | Request::Accept { .. } if !self.state.epoch.serves() => {
                return
            }
            Request::Read { round, digest } => self.answer_read(round, digest),
            Request::Write { round, held } => self.answer_write(round, &held),
            Request::Prepare { number, ballot } => self.answer_prepare(number, ballot),
            Request::Accept {
                number,
                ballot,
                text,
            } => self.answer_accept(number, ballot, *text),
            Request::PrepareSuccessor { ballot } => self.answer_successor(ballot, None),
            Request::AcceptSuccessor { ballot, voters } => {
                self.answer_successor(ballot, Some(voters))
            }
        };
        let epoch = self.state.epoch.number;
        self.send(from, Message::Reply { epoch, reply });
    }

    fn replied(&mut self, from: Place, reply: Reply) {
        match reply {
            Reply::Read {
                round,
                digest,
                held,
                open,
            } => self.read_told(from, round, digest, held, open),
            Reply::Written { round } => self.written(from, round),
            Reply::Number {
                number,
                ballot,
                answer,
            } => self.number_answered(from, number, ballot, *answer),
            Reply::Successor { ballot, answer } => self.successor_answered(from, ballot, answer),
        }
    }

    fn expire(&mut self) {
        self.expire_numbers();
        self.expire_reads();
    }

    pub(crate) fn send(&mut self, to: Place, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a request to the voters of this epoch of whom an answer is wanted.
    pub(crate) fn ask(&mut self, wanted: impl Fn(Place) -> bool, request: &Request) {
        let epoch = self.state.epoch.number;
        let mut to: Vec<Place> = self
            .state
            .epoch
            .voters
            .places()
            .filter(|p| wanted(*p))
            .collect();
        // Its own disk last: the others work meanwhile.
        to.sort_by_key(|place| *place == self.me);
        for place in to {
            self.send(
                place,
                Message::Request {
                    epoch,
                    request: request.clone(),
                },
            );
        }
    }

    /// All voters of this epoch but this machine.
    pub(crate) fn other_voters(&self) -> Vec<Place> {
        self.state
            .epoch
            .voters
            .places()
            .filter(|p| *p != self.me)
            .collect()
    }

    pub(crate) fn quorum(&self) -> usize {
        self.state.epoch.voters.quorum()
    }

    pub(crate) fn new_round(&mut self) -> u64 {
        self.next_round += 1;
        self.next_round
    }

    /// A ballot above all that were heard of.
    pub(crate) fn new_ballot(&mut self) -> Ballot {
        self.highest = self.life.above(self.highest);
        self.highest
    }

    pub(crate) fn heard_of(&mut self, ballot: Ballot) {
        self.highest = self.highest.max(ballot);
    }

    /// When to begin anew after having been outbid.
    pub(crate) fn backoff(&mut self) -> Ms {
        self.now + BACKOFF_MS.start + self.rng.f64() * (BACKOFF_MS.end - BACKOFF_MS.start)
    }

    pub(crate) fn end(&mut self, ticket: Option<Ticket>, outcome: Outcome) {
        self.effects
            .extend(ticket.map(|ticket| Effect::Ended { ticket, outcome }));
    }

    pub(crate) fn done(&self) -> Outcome {
        Outcome::Done(Box::new(self.settled.clone()))
    }

    /// Takes in what another machine holds; a voter's disk has it before anything is said of it.
    pub(crate) fn join_held(&mut self, held: &Holdings) {
        if self.state.held.join(held) {
            self.state.numbers.overtaken(self.state.held.config.version);
            self.effects.push(Effect::Persist);
        }
    }

    /// A majority holds that. It rests on others' disks, and is news before it is on this one.
    pub(crate) fn settle(&mut self, held: &Holdings) {
        let before = self.settled.digest();
        self.settled.join(held);
        if self.settled.digest() != before {
            self.effects.push(Effect::News);
        }
    }
}
