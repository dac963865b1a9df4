//! The acceptor of single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2). The type of the value, the
//! set of acceptors and the size of a quorum are the caller's concern.

use crate::ballot::Ballot;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The acceptor has promised a higher ballot than the one that it was asked about.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a higher ballot was promised: {by:?}")]
pub struct Preempted {
    /// The ballot that was promised.
    pub by: Ballot,
}

/// A value and the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted<V> {
    /// The proposal's number.
    pub ballot: Ballot,
    /// The proposal's value.
    pub value: V,
}

/// What an acceptor keeps on its disk. It replies to a proposer only once this is synced.
///
/// Invariants: `promised` never falls, and `accepted` never has a higher ballot than `promised`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor<V> {
    /// No proposal with a lower ballot is accepted any more.
    pub promised: Ballot,
    /// The accepted proposal with the highest ballot.
    pub accepted: Option<Accepted<V>>,
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
    /// Phase 1: promises to accept no lower ballot, and returns what was accepted so far.
    ///
    /// # Errors
    /// [`Preempted`] if a higher ballot was promised before.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<Accepted<V>>, Preempted> {
        if ballot < self.promised {
            return Err(Preempted { by: self.promised });
        }
        self.promised = ballot;
        Ok(self.accepted.clone())
    }

    /// Phase 2: accepts a value.
    ///
    /// # Errors
    /// [`Preempted`] if a higher ballot was promised before.
    pub fn accept(&mut self, ballot: Ballot, value: V) -> Result<(), Preempted> {
        if ballot < self.promised {
            return Err(Preempted { by: self.promised });
        }
        *self = Acceptor {
            promised: ballot,
            accepted: Some(Accepted { ballot, value }),
        };
        Ok(())
    }

    /// Takes over the promises and the accepted value of another acceptor. The two then answer as one would that had
    /// received the requests of both.
    pub fn merge(&mut self, other: &Acceptor<V>) {
        self.promised = self.promised.max(other.promised);
        let ballot_of = |acceptor: &Acceptor<V>| acceptor.accepted.as_ref().map(|a| a.ballot);
        if ballot_of(other) > ballot_of(self) {
            self.accepted.clone_from(&other.accepted);
        }
    }
}
