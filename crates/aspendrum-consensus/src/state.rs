//! What one node keeps on its disk.

use crate::acceptor::Acceptor;
use crate::membership::{DiskId, Epoch, Voters};
use crate::node::NodeId;
use crate::replicated_state::ReplicatedState;
use crate::versions::VersionTable;
use serde::{Deserialize, Serialize};

/// Everything that a node must remember across restarts. A message that reveals a change of this state is sent only
/// after the change is synced.
/// Encoded with postcard on the disk: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// This node's copy of the replicated state. Of configurations it holds only decided ones.
    pub replicated: ReplicatedState,
    /// This node's acceptors of configuration versions.
    pub versions: VersionTable,
    /// The identity of the disk.
    pub disk: DiskId,
    /// Whether the node has had this disk since the first start of the whole system.
    pub is_founding_disk: bool,
    /// The newest epoch that is known to be decided. The node never again replies in an earlier one.
    pub epoch: Epoch,
    /// Whether this disk votes in `epoch` and holds everything that was acknowledged before the epoch began.
    pub has_joined: bool,
    /// This node's acceptor in deciding the epoch after `epoch`.
    pub successor: Acceptor<Voters>,
}

impl DurableState {
    /// The state of an empty disk. `is_first_start`: the whole system starts for the first time, on the nodes `seeds`.
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

    /// Enters the founding epoch if the node took part in the first start and knows of no epoch yet.
    pub fn enter_founding_epoch(&mut self, node: NodeId, seeds: &[NodeId]) {
        if self.is_founding_disk && self.epoch.voters.is_empty() {
            self.epoch = Epoch::founding(seeds);
            self.has_joined = self.epoch.voters.contains_node(node);
        }
    }

    /// Whether `node` with this disk is one of `voters`.
    pub fn is_voter_in(&self, voters: &Voters, node: NodeId) -> bool {
        voters.contains_disk(node, self.disk, self.is_founding_disk)
    }
}
