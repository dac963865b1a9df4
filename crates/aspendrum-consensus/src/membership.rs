//! Voters and epochs. A voter is identified by a node and its disk: a node with a replaced disk is a different voter.
//! Each set of voters belongs to a numbered epoch, and the voters of an epoch decide the voters of the next one.

use crate::node::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identity of a disk: a random number that is generated when the disk is first used.
pub type DiskId = u64;

/// A placeholder for a disk id. In the [`Voters`] of an epoch it denotes the disk that the node had at the first start
/// of the system, when disk ids had not been exchanged yet. In a node's status it means that the node has no usable
/// disk.
pub const UNASSIGNED_DISK: DiskId = 0;

/// Returns the number of voters that retains a majority after the simultaneous loss of `losses` disks.
pub fn required_voters(losses: usize) -> usize {
    2 * losses + 1
}

/// The voters of an epoch: each node and its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters(pub BTreeMap<NodeId, DiskId>);

impl Voters {
    /// Returns the voters of the founding epoch: `nodes`, with unknown disk ids.
    pub fn founding(nodes: &[NodeId]) -> Voters {
        Voters(nodes.iter().map(|node| (*node, UNASSIGNED_DISK)).collect())
    }

    /// Returns the number of voters.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no voters, in which case the epoch is unknown.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Iterates over the voting nodes in ascending order.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0.keys().copied()
    }

    /// Whether `node` is a voter, regardless of its disk.
    pub fn contains_node(&self, node: NodeId) -> bool {
        self.0.contains_key(&node)
    }

    /// Whether `node` with `disk` is a voter. `is_founding_disk` states whether the node has had this disk since the
    /// first start of the system.
    pub fn contains_disk(&self, node: NodeId, disk: DiskId, is_founding_disk: bool) -> bool {
        match self.0.get(&node) {
            Some(&UNASSIGNED_DISK) => is_founding_disk,
            Some(id) => *id == disk,
            None => false,
        }
    }
}

/// A numbered set of voters.
///
/// The voters of epoch 0 are the seed nodes of the first start. They only decide epoch 1 and accept no commands. A node
/// that does not know any epoch yet has epoch 0 without voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// The epoch number: one more than that of the epoch whose voters decided this one.
    pub number: u32,
    /// The voters of this epoch.
    pub voters: Voters,
    /// The voters of the previous epoch, from which the voters of this one transfer the state.
    pub previous_voters: Voters,
}

impl Epoch {
    /// Returns the founding epoch, in which the seeds vote.
    pub fn founding(seeds: &[NodeId]) -> Epoch {
        Epoch {
            number: 0,
            voters: Voters::founding(seeds),
            previous_voters: Voters::default(),
        }
    }

    /// Returns the epoch after this one. After the last number there is none: the result does not supersede this epoch.
    pub fn next(&self, voters: Voters) -> Epoch {
        Epoch {
            number: self.number.saturating_add(1),
            voters,
            previous_voters: self.voters.clone(),
        }
    }

    /// Whether this epoch was decided after `other`, or `other` is unknown.
    pub fn supersedes(&self, other: &Epoch) -> bool {
        self.number > other.number || (other.voters.is_empty() && !self.voters.is_empty())
    }

    /// Whether the voters of this epoch accept commands. The voters of the founding epoch only decide the next epoch.
    pub fn accepts_commands(&self) -> bool {
        self.number > 0
    }
}
