//! The graceful shutdown of a control node. The node first hands over its vote to another node, so that the number of
//! voting disks does not decrease.

use aspendrum_consensus::membership_planner::{next_voters, MembershipPolicy, NodeStatus};
use aspendrum_consensus::{Millis, NodeId, Replica};
use crossbeam_channel::Sender;
use std::collections::BTreeMap;

/// A shutdown in progress.
pub struct Shutdown {
    requested_at: Millis,
    /// Whether the node was a voter when the shutdown was requested.
    was_voter: bool,
    /// Notified when the process may exit.
    ready: Sender<()>,
}

impl Shutdown {
    /// Starts a shutdown. `ready` is notified when the process may exit.
    pub fn new(now: Millis, replica: &Replica, ready: Sender<()>) -> Shutdown {
        let was_voter = replica.is_voter();
        log::info!("event=shutdown_requested votes={was_voter}");
        Shutdown {
            requested_at: now,
            was_voter,
            ready,
        }
    }

    /// Notifies `ready` if this node's vote has been handed over, if no other node can take it over, or if the voters
    /// of the current epoch do not accept commands. `nodes` are the statuses of all known control nodes.
    pub fn finish_if_ready(
        &self,
        replica: &Replica,
        nodes: &BTreeMap<NodeId, NodeStatus>,
        policy: &MembershipPolicy,
    ) {
        let handed_over = self.is_handed_over(replica);
        let is_unreplaceable = replica.is_voter()
            && !replica.is_proposing_voters()
            && next_voters(&replica.epoch().voters, nodes, policy).is_none();
        if handed_over || is_unreplaceable || !replica.epoch().accepts_commands() {
            log::info!("event=shutdown_ready handed_over={handed_over}");
            let _ = self.ready.try_send(());
        }
    }

    fn is_handed_over(&self, replica: &Replica) -> bool {
        // A quorum read that started after the request and completed without this node's vote shows that the new
        // voters hold everything that was acknowledged.
        let as_of = replica.committed_as_of();
        let has_read_since = as_of.is_some_and(|as_of| as_of > self.requested_at);
        !replica.is_voter() && (has_read_since || !self.was_voter)
    }
}
