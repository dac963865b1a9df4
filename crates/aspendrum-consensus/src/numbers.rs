//! One number, one text. Of the texts that operators send under one number at most one is ever decided, by a ballot of
//! its own for each number; what was decided is remembered for the newest numbers, so that the same order, sent again,
//! is acknowledged again and another text under its number is refused, also after higher numbers and restarts.

use crate::ballot::{Acceptor, Ballot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many numbers up to the one in force are remembered; at 440 changes a day that is more than two days.
pub const REMEMBERED: usize = 1024;
/// So many numbers above the one in force may be undecided at once.
pub const UNDECIDED: usize = 64;

/// A configuration's text, or only the digest that tells it from others once its number has been overtaken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Text {
    /// Of the text as it was sent, however it is packed.
    pub digest: u64,
    pub packed: Option<Vec<u8>>,
}

/// What one machine knows of a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Slot {
    pub acceptor: Acceptor<Text>,
    /// The digest of the text that was decided, once that is known here.
    pub decided: Option<u64>,
}

/// How an acceptor answers a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    Promised(Option<(Ballot, Text)>),
    Accepted,
    /// It has promised a higher ballot, or too many numbers are undecided.
    Outbid(Ballot),
    /// It is decided, whoever asks under whatever ballot.
    Known(u64),
    /// The number is older than all that are remembered, and long overtaken.
    Forgotten,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Numbers {
    slots: BTreeMap<u32, Slot>,
    /// Nothing is remembered of this number and those below it.
    floor: u32,
}

impl Numbers {
    pub fn prepare(&mut self, number: u32, ballot: Ballot, in_force: u32) -> Answer {
        self.answer(number, in_force, |a| {
            a.prepare(ballot).map(Answer::Promised)
        })
    }

    pub fn accept(&mut self, number: u32, ballot: Ballot, text: Text, in_force: u32) -> Answer {
        let text = if number <= in_force {
            Text {
                packed: None,
                ..text
            }
        } else {
            text
        };
        self.answer(number, in_force, |a| {
            a.accept(ballot, text).map(|()| Answer::Accepted)
        })
    }

    fn answer(
        &mut self,
        number: u32,
        in_force: u32,
        ask: impl FnOnce(&mut Acceptor<Text>) -> Result<Answer, Ballot>,
    ) -> Answer {
        if number <= self.floor {
            return Answer::Forgotten;
        }
        if let Some(digest) = self.decided(number) {
            return Answer::Known(digest);
        }
        let crowded = || self.slots.range(in_force.saturating_add(1)..).count() >= UNDECIDED;
        if number > in_force && !self.slots.contains_key(&number) && crowded() {
            return Answer::Outbid(Ballot::default());
        }
        let slot = self.slots.entry(number).or_default();
        let answer = ask(&mut slot.acceptor).unwrap_or_else(Answer::Outbid);
        self.forget(in_force);
        answer
    }

    /// A text that a disk of the version before held: accepted below every ballot, the higher rank first.
    pub fn held_before(&mut self, number: u32, rank: u64, text: Text) {
        let ballot = Ballot {
            life: rank,
            ..Ballot::default()
        };
        let acceptor = Acceptor {
            promised: ballot,
            accepted: Some((ballot, text)),
        };
        self.slots.insert(
            number,
            Slot {
                acceptor,
                decided: None,
            },
        );
    }

    /// The highest ballot that was promised here.
    pub fn promised(&self) -> Ballot {
        self.slots
            .values()
            .map(|s| s.acceptor.promised)
            .max()
            .unwrap_or_default()
    }

    pub fn decided(&self, number: u32) -> Option<u64> {
        self.slots.get(&number)?.decided
    }

    pub fn forgotten(&self, number: u32) -> bool {
        number <= self.floor
    }

    /// The text of that digest, if it was accepted here.
    pub fn accepted(&self, number: u32, digest: u64) -> Option<Vec<u8>> {
        let accepted = self.slots.get(&number)?.acceptor.accepted.as_ref()?;
        accepted
            .1
            .packed
            .clone()
            .filter(|_| accepted.1.digest == digest)
    }

    /// It is decided, and in force here or overtaken: whoever knows of a decision without its text must not say that
    /// nothing is open. True: that is new here.
    pub fn decide(&mut self, number: u32, digest: u64, in_force: u32) -> bool {
        if number <= self.floor || number > in_force {
            return false;
        }
        let slot = self.slots.entry(number).or_default();
        let new = slot.decided.replace(digest).is_none();
        slot.acceptor = Acceptor::default();
        self.forget(in_force);
        new
    }

    /// What was accepted and is not known to be decided, of the highest number above that.
    pub fn open(&self, above: u32) -> Option<(u32, Ballot, Text)> {
        let mut slots = self.slots.range(above.saturating_add(1)..).rev();
        slots.find_map(|(n, s)| {
            let (ballot, text) = s
                .acceptor
                .accepted
                .clone()
                .filter(|_| s.decided.is_none())?;
            Some((*n, ballot, text))
        })
    }

    /// A number overtakes those below it: their texts are not needed any more, what was decided by them is.
    pub fn overtaken(&mut self, in_force: u32) {
        for slot in self.slots.range_mut(..=in_force).map(|s| s.1) {
            if let Some((_, text)) = &mut slot.acceptor.accepted {
                text.packed = None;
            }
        }
        self.forget(in_force);
    }

    fn forget(&mut self, in_force: u32) {
        let mut over = self
            .slots
            .range(..=in_force)
            .count()
            .saturating_sub(REMEMBERED);
        while over > 0 {
            let Some((number, _)) = self.slots.pop_first() else {
                return;
            };
            (self.floor, over) = (self.floor.max(number), over - 1);
        }
    }

    /// Takes over what another machine knows, as if this one had been in its place.
    pub fn inherit(&mut self, other: &Numbers) {
        self.floor = self.floor.max(other.floor);
        for (number, theirs) in &other.slots {
            let ours = self.slots.entry(*number).or_default();
            ours.acceptor.inherit(&theirs.acceptor);
            ours.decided = ours.decided.or(theirs.decided);
        }
        let floor = self.floor;
        self.slots.retain(|n, _| *n > floor);
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
