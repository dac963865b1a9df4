//! Deciding one value for ever among a few acceptors, whoever proposes and whoever fails: single-decree Paxos (Lamport,
//! "Paxos Made Simple", 2001). What the value is about, who the acceptors are and how many of them form a quorum is the
//! caller's concern; this module holds the rules for ballots and values alone.

use crate::holdings::Place;
use serde::{Deserialize, Serialize};

/// The number of a proposal. No two lives of any machine share one: a promise to an earlier life says nothing to a
/// later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    pub count: u32,
    pub place: Place,
    /// Drawn at each start of the machine.
    pub life: u64,
}

impl Ballot {
    /// The lowest ballot of this machine and life above another.
    pub fn above(self, other: Ballot) -> Ballot {
        Ballot {
            count: other.count.saturating_add(1),
            ..self
        }
    }
}

/// What an acceptor keeps on its disk. It answers only once that is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor<V> {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, V)>,
}

impl<V> Default for Acceptor<V> {
    fn default() -> Acceptor<V> {
        Acceptor {
            promised: Ballot::default(),
            accepted: None,
        }
    }
}

impl<V: Clone> Acceptor<V> {
    /// Promises to take part in no lower ballot. The error is the higher ballot that was promised before.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<(Ballot, V)>, Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(self.accepted.clone())
    }

    /// Accepts a value. The error is the higher ballot that was promised before.
    pub fn accept(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        *self = Acceptor {
            promised: ballot,
            accepted: Some((ballot, value)),
        };
        Ok(())
    }

    /// Takes over what another acceptor kept, as if it had been in its place.
    pub fn inherit(&mut self, other: &Acceptor<V>) {
        self.promised = self.promised.max(other.promised);
        if other.accepted.as_ref().map(|a| a.0) > self.accepted.as_ref().map(|a| a.0) {
            self.accepted.clone_from(&other.accepted);
        }
    }
}

/// A value as it is proposed under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal<V> {
    pub ballot: Ballot,
    /// The proposer's own value, until a promise tells of one that may have been decided already.
    value: V,
    /// The ballot under which `value` was accepted elsewhere.
    accepted_under: Option<Ballot>,
}

impl<V: Clone> Proposal<V> {
    /// A proposal of the proposer's own value.
    pub fn new(ballot: Ballot, value: V) -> Proposal<V> {
        Proposal {
            ballot,
            value,
            accepted_under: None,
        }
    }

    /// Takes over another machine's proposal under its own ballot, as a read completes a write that it finds half done.
    pub fn complete(ballot: Ballot, value: V) -> Proposal<V> {
        Proposal {
            ballot,
            value,
            accepted_under: Some(ballot),
        }
    }

    /// An acceptor promised, and told what it had accepted before.
    pub fn promised(&mut self, accepted: Option<(Ballot, V)>) {
        if let Some((under, value)) = accepted.filter(|a| Some(a.0) > self.accepted_under) {
            (self.accepted_under, self.value) = (Some(under), value);
        }
    }

    /// What is to be accepted once a quorum has promised, and decided once a quorum has accepted it.
    pub fn value(&self) -> &V {
        &self.value
    }

    /// The same value under a higher ballot, unless the promises to that tell of another.
    pub fn again(&self, ballot: Ballot) -> Proposal<V> {
        Proposal {
            ballot,
            value: self.value.clone(),
            accepted_under: None,
        }
    }
}
