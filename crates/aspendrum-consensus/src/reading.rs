//! Reads and evacuations: a majority is read, what it holds in all is joined, changed as ordered, and written to a
//! majority unless all that answered hold it already.

use crate::ballot::Ballot;
use crate::holdings::{Holdings, Ms, Order, Place};
use crate::message::{OpenNumber, Reply, Request};
use crate::numbers::Text;
use crate::replica::{Outcome, Replica, Ticket, ORDER_MS, RESEND_MS};
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Reading,
    Writing,
    /// A number that may be decided must be, before what is in force can be told.
    Deciding(u32),
}

/// A read or an evacuation under way.
pub(crate) struct ReadRound {
    id: u64,
    begun: Ms,
    sent_at: Ms,
    phase: Phase,
    order: Order,
    ticket: Option<Ticket>,
    /// What was found, and then what is to be written.
    target: Holdings,
    /// Who answered in this phase, and the digest of what it holds.
    replies: BTreeMap<Place, u64>,
    /// The highest number that another machine may have had decided.
    open: Option<(u32, Ballot, Text)>,
}

impl Replica {
    pub(crate) fn begin_read(&mut self, order: Order, ticket: Option<Ticket>) {
        let id = self.new_round();
        self.reads.push(ReadRound {
            id,
            begun: self.now,
            sent_at: self.now,
            phase: Phase::Reading,
            order,
            ticket,
            target: Holdings::default(),
            replies: BTreeMap::new(),
            open: None,
        });
        self.request_read(id);
    }

    fn round(&self, id: u64, phase: Phase) -> Option<usize> {
        self.reads
            .iter()
            .position(|r| r.id == id && r.phase == phase)
    }

    /// Sends the request of a round's phase to the voters that have not answered.
    fn request_read(&mut self, id: u64) {
        if !self.state.epoch.serves() {
            return;
        }
        let now = self.now;
        let Some(round) = self.reads.iter_mut().find(|r| r.id == id) else {
            return;
        };
        round.sent_at = now;
        let request = match round.phase {
            Phase::Reading => Request::Read {
                round: id,
                digest: self.state.held.digest(),
            },
            Phase::Writing => Request::Write {
                round: id,
                held: Box::new(round.target.clone()),
            },
            Phase::Deciding(_) => return,
        };
        let answered: Vec<Place> = round.replies.keys().copied().collect();
        self.ask(|voter| !answered.contains(&voter), &request);
    }

    pub(crate) fn resend_reads(&mut self) {
        let due = |r: &&ReadRound| self.now - r.sent_at >= RESEND_MS;
        let ids: Vec<u64> = self.reads.iter().filter(due).map(|r| r.id).collect();
        ids.into_iter().for_each(|id| self.request_read(id));
    }

    pub(crate) fn expire_reads(&mut self) {
        let now = self.now;
        let expired = |r: &ReadRound| now - r.begun > ORDER_MS;
        for round in self
            .reads
            .iter()
            .filter(|r| expired(r))
            .filter_map(|r| r.ticket)
            .collect::<Vec<_>>()
        {
            self.end(Some(round), Outcome::NoMajority);
        }
        self.reads.retain(|r| !expired(r));
    }

    /// Begins all reads anew: who votes has changed, or a text that was decided is not here yet.
    pub(crate) fn restart_reads(&mut self, which: impl Fn(Option<u32>) -> bool) {
        for n in 0..self.reads.len() {
            let waits_for = match self.reads[n].phase {
                Phase::Deciding(number) => Some(number),
                Phase::Reading | Phase::Writing => None,
            };
            if !which(waits_for) {
                continue;
            }
            let id = self.new_round();
            let round = &mut self.reads[n];
            (round.id, round.phase) = (id, Phase::Reading);
            (round.target, round.open) = (Holdings::default(), None);
            round.replies.clear();
            self.request_read(id);
        }
    }

    pub(crate) fn answer_read(&mut self, round: u64, digest: u64) -> Reply {
        let own = self.state.held.digest();
        let held = (own != digest).then(|| Box::new(self.state.held.clone()));
        let open = self.state.numbers.open(self.state.held.config.version);
        let open = open.map(|(number, ballot, text)| {
            Box::new(OpenNumber {
                number,
                ballot,
                text,
            })
        });
        Reply::Read {
            round,
            digest: own,
            held,
            open,
        }
    }

    pub(crate) fn answer_write(&mut self, round: u64, held: &Holdings) -> Reply {
        self.join_held(held);
        Reply::Written { round }
    }

    pub(crate) fn read_told(
        &mut self,
        from: Place,
        round: u64,
        digest: u64,
        held: Option<Box<Holdings>>,
        open: Option<Box<OpenNumber>>,
    ) {
        let Some(n) = self.round(round, Phase::Reading) else {
            return;
        };
        let round = &mut self.reads[n];
        if let Some(held) = held {
            round.target.join(&held);
        }
        round.replies.insert(from, digest);
        if let Some(open) = open {
            let known = round.open.as_ref().map(|o| (o.0, o.1));
            if known.is_none_or(|known| known < (open.number, open.ballot)) {
                round.open = Some((open.number, open.ballot, open.text));
            }
            self.heard_of(open.ballot);
        }
        if self.reads[n].replies.len() >= self.quorum() {
            self.read_complete(n);
        }
    }

    /// A majority was read.
    fn read_complete(&mut self, n: usize) {
        let own = self.state.held.clone();
        let round = &mut self.reads[n];
        round.target.join(&own);
        round.target.obey(&round.order);
        let digest = round.target.digest();
        // What all of a majority hold alike is held by a majority.
        if round.replies.values().all(|d| *d == digest) {
            return self.written_complete(n);
        }
        round.phase = Phase::Writing;
        round.replies.clear();
        let id = round.id;
        self.request_read(id);
    }

    pub(crate) fn written(&mut self, from: Place, round: u64) {
        let Some(n) = self.round(round, Phase::Writing) else {
            return;
        };
        self.reads[n].replies.insert(from, 0);
        if self.reads[n].replies.len() >= self.quorum() {
            self.written_complete(n);
        }
    }

    /// What is left of a read is a number that may have been decided.
    fn written_complete(&mut self, n: usize) {
        let round = &mut self.reads[n];
        let version = round
            .target
            .config
            .version
            .max(self.state.held.config.version);
        let open = round
            .open
            .take()
            .filter(|o| round.order == Order::Read && o.0 > version);
        let Some((number, ballot, text)) = open else {
            return self.end_read(n);
        };
        round.phase = Phase::Deciding(number);
        self.complete_number(number, ballot, text);
    }

    /// Ends or goes on with the reads that waited for that number. `decided`: its text is in force here, or overtaken.
    pub(crate) fn number_closed(&mut self, number: u32, decided: bool) {
        if !decided {
            return self.restart_reads(|waits_for| waits_for == Some(number));
        }
        while let Some(n) = self
            .reads
            .iter()
            .position(|r| r.phase == Phase::Deciding(number))
        {
            let settled = self.settled.clone();
            self.reads[n].target.join(&settled);
            self.end_read(n);
        }
    }

    /// Whether some read waits for that number.
    pub(crate) fn read_waits_for(&self, number: u32) -> bool {
        self.reads
            .iter()
            .any(|r| r.phase == Phase::Deciding(number))
    }

    fn end_read(&mut self, n: usize) {
        let round = self.reads.remove(n);
        if round.order == Order::Read {
            self.as_of = Some(self.as_of.map_or(round.begun, |at| at.max(round.begun)));
        }
        self.settle(&round.target);
        let done = self.done();
        self.end(round.ticket, done);
        self.join_held(&round.target);
    }
}
