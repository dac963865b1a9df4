//! The durable state of a node.

use crate::acceptor::Acceptor;
use crate::membership::{DiskId, Epoch, Voters};
use crate::node::NodeId;
use crate::replicated_state::ReplicatedState;
use crate::versions::VersionTable;
use serde::{Deserialize, Serialize};

/// The state that a node preserves across restarts. A message that depends on a change of this state is sent only after
/// the change is synced.
///
/// Encoded with postcard on disk: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// This node's copy of the replicated state. It contains only decided configurations.
    pub replicated: ReplicatedState,
    /// This node's acceptors of configuration versions.
    pub versions: VersionTable,
    /// The identity of the disk.
    pub disk: DiskId,
    /// Whether the node has had this disk since the first start of the system.
    pub is_founding_disk: bool,
    /// The newest epoch known to be decided. The node does not reply in earlier epochs.
    pub epoch: Epoch,
    /// Whether this disk votes in `epoch` and holds everything that was acknowledged before the epoch began.
    pub has_joined: bool,
    /// This node's acceptor of the voters of the epoch after `epoch`.
    pub successor: Acceptor<Voters>,
}

impl DurableState {
    /// Returns the initial state of an empty disk. `is_first_start` states whether this is the first start of the whole
    /// system, whose founding epoch consists of the nodes `seeds`.
    pub fn empty(
        node: NodeId,
        disk: DiskId,
        is_first_start: bool,
        seeds: &[NodeId],
    ) -> DurableState {
        let mut state = DurableState {
            replicated: ReplicatedState::default(),
            versions: VersionTable::default(),
            disk,
            is_founding_disk: is_first_start,
            epoch: Epoch::default(),
            has_joined: false,
            successor: Acceptor::default(),
        };
        state.enter_founding_epoch(node, seeds);
        state
    }

    /// Enters the founding epoch if the node has had its disk since the first start and does not know any epoch yet.
    pub fn enter_founding_epoch(&mut self, node: NodeId, seeds: &[NodeId]) {
        if self.is_founding_disk && self.epoch.voters.is_empty() {
            self.epoch = Epoch::founding(seeds);
            self.has_joined = self.epoch.voters.contains_node(node);
        }
    }

    /// Whether `node` with this disk is among `voters`.
    pub fn is_voter_in(&self, voters: &Voters, node: NodeId) -> bool {
        voters.contains_disk(node, self.disk, self.is_founding_disk)
    }
}
