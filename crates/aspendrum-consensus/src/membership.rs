//! Who votes. A voter is a node together with its disk: a node that lost its disk is another voter. Voters belong to a
//! numbered epoch, and the voters of an epoch decide who votes in the next one.

use crate::node::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identity of a disk, drawn at random when it is first used.
pub type DiskId = u64;

/// Among the [`Voters`] of an epoch: the disk that a node had at the first start of the whole system, when the nodes
/// did not know each other's disk ids yet. In a node's status: the node has no usable disk.
pub const FOUNDING_DISK: DiskId = 0;

/// How many voters are needed so that a majority remains after the loss of `losses` disks at once.
pub fn voters_tolerating(losses: usize) -> usize {
    2 * losses + 1
}

/// The voters of an epoch: each node and its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters(pub BTreeMap<NodeId, DiskId>);

impl Voters {
    /// The voters of the founding epoch: `nodes`, whose disk ids are not known yet.
    pub fn founding(nodes: &[NodeId]) -> Voters {
        Voters(nodes.iter().map(|node| (*node, FOUNDING_DISK)).collect())
    }

    /// The number of voters.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no voters, which means that the epoch is not known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// The nodes that vote, in order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.keys().copied()
    }

    /// Whether `node` is a voter, with whichever disk.
    pub fn contains_node(&self, node: NodeId) -> bool {
        self.0.contains_key(&node)
    }

    /// Whether `node` with `disk` is a voter. `is_founding_disk`: the node has had this disk since the system's first
    /// start.
    pub fn contains_disk(&self, node: NodeId, disk: DiskId, is_founding_disk: bool) -> bool {
        match self.0.get(&node) {
            Some(&FOUNDING_DISK) => is_founding_disk,
            Some(id) => *id == disk,
            None => false,
        }
    }
}

/// A set of voters and its number in the sequence of such sets.
///
/// Epoch 0 consists of the nodes that the settings of the first start name. Its voters only decide epoch 1; they take
/// no commands. A node that knows of no epoch yet has epoch 0 without voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// One more than that of the epoch whose voters decided this one.
    pub number: u32,
    /// Who votes in this epoch.
    pub voters: Voters,
    /// The voters of the epoch before, from whom this one's take over the state.
    pub previous_voters: Voters,
}

impl Epoch {
    /// The epoch that begins the sequence.
    pub fn founding(seeds: &[NodeId]) -> Epoch {
        Epoch {
            number: 0,
            voters: Voters::founding(seeds),
            previous_voters: Voters::default(),
        }
    }

    /// The epoch after this one.
    pub fn next(&self, voters: Voters) -> Epoch {
        Epoch {
            number: self.number + 1,
            voters,
            previous_voters: self.voters.clone(),
        }
    }

    /// Whether this epoch was decided after `other`, or `other` is unknown.
    pub fn supersedes(&self, other: &Epoch) -> bool {
        self.number > other.number || (other.voters.is_empty() && !self.voters.is_empty())
    }

    /// Whether the epoch's voters take commands. Those of the founding epoch only decide the next epoch.
    pub fn takes_commands(&self) -> bool {
        self.number > 0
    }
}
