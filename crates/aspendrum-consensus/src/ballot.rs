//! Ballot numbers of Paxos.

use crate::node::NodeId;
use serde::{Deserialize, Serialize};

/// The number of a proposal. Ballots are ordered by the counter first; node and incarnation make them unique.
///
/// Invariant: no two incarnations of a node share a ballot. A restarted node has lost the state of its proposals, and
/// must not count promises that were made to an earlier incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Increases with each attempt to preempt other proposals.
    pub counter: u32,
    /// The proposing node.
    pub node: NodeId,
    /// A random number that is generated at each start of the node.
    pub incarnation: u64,
}

impl Ballot {
    /// Returns the lowest ballot above `other` with the node and the incarnation of `self`.
    pub fn above(self, other: Ballot) -> Ballot {
        Ballot {
            counter: other.counter.saturating_add(1),
            ..self
        }
    }
}

/// Generates the ballots of one incarnation of a node, each above all observed ballots.
#[derive(Debug)]
pub(crate) struct BallotGenerator {
    /// The template for new ballots: supplies node and incarnation; its counter is unused.
    own: Ballot,
    highest_observed: Ballot,
}

impl BallotGenerator {
    /// Creates a generator. `highest_promised` is the highest ballot in the node's durable state.
    pub(crate) fn new(node: NodeId, incarnation: u64, highest_promised: Ballot) -> BallotGenerator {
        BallotGenerator {
            own: Ballot {
                counter: 0,
                node,
                incarnation,
            },
            highest_observed: highest_promised,
        }
    }

    /// Returns a new ballot above all that were observed or generated before.
    pub(crate) fn next(&mut self) -> Ballot {
        self.highest_observed = self.own.above(self.highest_observed);
        self.highest_observed
    }

    /// Records another proposer's ballot.
    pub(crate) fn observe(&mut self, ballot: Ballot) {
        self.highest_observed = self.highest_observed.max(ballot);
    }
}
