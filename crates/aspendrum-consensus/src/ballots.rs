//! Deciding one value for ever among a few acceptors, whoever proposes and whoever dies: single-decree Paxos (Lamport,
//! "Paxos Made Simple", 2001). What it is about, who the acceptors are and how many of them are a majority is the
//! caller's matter; here is the rule for ballots and values alone.

use crate::holdings::Place;
use serde::{Deserialize, Serialize};

/// The number of a proposal. No two lives of any machine share one: a promise to an earlier life says nothing to a
/// later one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub count: u32,
    pub place: Place,
    /// Drawn anew at each start of the machine.
    pub life: u64,
}

impl Ballot {
    /// One above all that was heard of.
    pub fn above(self, heard: Ballot) -> Ballot {
        Ballot { count: heard.count.saturating_add(1), ..self }
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
        Acceptor { promised: Ballot::default(), accepted: None }
    }
}

impl<V: Clone> Acceptor<V> {
    /// Takes part in no lower ballot from now on. The error is the higher ballot that was promised.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<(Ballot, V)>, Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        self.promised = ballot;
        Ok(self.accepted.clone())
    }

    pub fn accept(&mut self, ballot: Ballot, value: V) -> Result<(), Ballot> {
        if ballot < self.promised {
            return Err(self.promised);
        }
        *self = Acceptor { promised: ballot, accepted: Some((ballot, value)) };
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

/// A proposer's part in one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bid<V> {
    pub ballot: Ballot,
    /// What is proposed: its own, until a promise tells of a value that may have been decided already.
    value: V,
    /// The ballot under which `value` was accepted elsewhere.
    under: Option<Ballot>,
}

impl<V: Clone> Bid<V> {
    pub fn new(ballot: Ballot, own: V) -> Bid<V> {
        Bid { ballot, value: own, under: None }
    }

    /// Goes on with a proposal of another machine, as a read that sees half of a write completes it.
    pub fn behind(ballot: Ballot, value: V) -> Bid<V> {
        Bid { ballot, value, under: Some(ballot) }
    }

    /// An acceptor promised, and told what it had accepted.
    pub fn promised(&mut self, accepted: Option<(Ballot, V)>) {
        if let Some((under, value)) = accepted.filter(|a| Some(a.0) > self.under) {
            (self.under, self.value) = (Some(under), value);
        }
    }

    /// What is to be accepted, once a majority has promised; what is decided, once a majority has accepted it.
    pub fn value(&self) -> &V {
        &self.value
    }

    /// It was outbid: the same value under a higher ballot, unless promises to that tell of another.
    pub fn again(&self, ballot: Ballot) -> Bid<V> {
        Bid { ballot, value: self.value.clone(), under: None }
    }
}
