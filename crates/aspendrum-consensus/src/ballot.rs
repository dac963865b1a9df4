//! Ballot numbers of Paxos.

use crate::node::NodeId;
use serde::{Deserialize, Serialize};

/// The number of a proposal. Ordered by the counter first; node and incarnation make it unique.
///
/// Invariant: no two incarnations of any node share a ballot. A restarted node has forgotten what it proposed, and must
/// not count promises that were made to its earlier incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Grows with each attempt to outbid other proposals.
    pub counter: u32,
    /// The node that proposes.
    pub node: NodeId,
    /// Drawn at random at each start of that node.
    pub incarnation: u64,
}

impl Ballot {
    /// The lowest ballot of this one's node and incarnation above `other`.
    pub fn above(self, other: Ballot) -> Ballot {
        Ballot {
            counter: other.counter.saturating_add(1),
            ..self
        }
    }
}

/// Hands out the ballots of one incarnation of a node, each above all that were observed.
#[derive(Debug)]
pub(crate) struct BallotGenerator {
    /// Carries the node and the incarnation of each ballot; its counter is not used.
    own: Ballot,
    highest_observed: Ballot,
}

impl BallotGenerator {
    /// `highest_promised`: the highest ballot that the node's durable state knows of.
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

    /// A new ballot above all that were observed or handed out.
    pub(crate) fn next(&mut self) -> Ballot {
        self.highest_observed = self.own.above(self.highest_observed);
        self.highest_observed
    }

    /// Takes note of another proposer's ballot.
    pub(crate) fn observe(&mut self, ballot: Ballot) {
        self.highest_observed = self.highest_observed.max(ballot);
    }
}
