//! The acceptor of single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2). It is generic over the value;
//! the caller keeps track of the set of acceptors and of the quorum size.

use crate::ballot::Ballot;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The error of a request whose ballot is lower than the one that the acceptor has promised.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a higher ballot was promised: {by:?}")]
pub struct Preempted {
    /// The promised ballot.
    pub by: Ballot,
}

/// A value and the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accepted<V> {
    /// The ballot of the proposal.
    pub ballot: Ballot,
    /// The value of the proposal.
    pub value: V,
}

/// The durable state of an acceptor. The reply to a proposer is sent only after this state is synced to disk.
///
/// Invariants: `promised` never decreases, and `accepted` never has a higher ballot than `promised`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Acceptor<V> {
    /// The highest promised ballot. Proposals with a lower ballot are rejected.
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
    /// Handles phase 1: promises to reject lower ballots, and returns the proposal accepted so far, if any.
    ///
    /// # Errors
    /// [`Preempted`] if a higher ballot has been promised.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<Option<Accepted<V>>, Preempted> {
        if ballot < self.promised {
            return Err(Preempted { by: self.promised });
        }
        self.promised = ballot;
        Ok(self.accepted.clone())
    }

    /// Handles phase 2: accepts a value.
    ///
    /// # Errors
    /// [`Preempted`] if a higher ballot has been promised.
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

    /// Merges the promise and the accepted proposal of another acceptor into this one, which then answers as if it had
    /// received the requests of both.
    pub fn merge(&mut self, other: &Acceptor<V>) {
        self.promised = self.promised.max(other.promised);
        let ballot_of = |acceptor: &Acceptor<V>| acceptor.accepted.as_ref().map(|a| a.ballot);
        if ballot_of(other) > ballot_of(self) {
            self.accepted.clone_from(&other.accepted);
        }
    }
}
