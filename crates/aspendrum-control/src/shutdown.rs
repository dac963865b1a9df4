//! The shutdown of a control node: it hands its vote over to another node first, so that no disk is missing from the
//! majority meanwhile.

use aspendrum_consensus::membership_planner::{next_voters, MembershipPolicy, NodeStatus};
use aspendrum_consensus::{Millis, NodeId, Replica};
use crossbeam_channel::Sender;
use std::collections::BTreeMap;

/// A shutdown under way.
pub struct Shutdown {
    requested_at: Millis,
    /// Whether the node was a voter when the shutdown was requested.
    was_voter: bool,
    /// Notified when the process may end.
    ready: Sender<()>,
}

impl Shutdown {
    /// Begins a shutdown. `ready` is notified when the process may end.
    pub fn new(now: Millis, replica: &Replica, ready: Sender<()>) -> Shutdown {
        let was_voter = replica.is_voter();
        log::info!("event=shutdown_requested votes={was_voter}");
        Shutdown {
            requested_at: now,
            was_voter,
            ready,
        }
    }

    /// Notifies that the process may end if another node has taken over this node's vote, or if none can. `nodes`: the
    /// statuses of all known control nodes.
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
        if handed_over || is_unreplaceable || !replica.epoch().takes_commands() {
            log::info!("event=shutdown_ready handed_over={handed_over}");
            let _ = self.ready.try_send(());
        }
    }

    fn is_handed_over(&self, replica: &Replica) -> bool {
        // A read that began after the request and ended without this node's vote shows that the new voters hold
        // everything that was acknowledged.
        let as_of = replica.committed_as_of();
        let has_read_since = as_of.is_some_and(|as_of| as_of > self.requested_at);
        !replica.is_voter() && (has_read_since || !self.was_voter)
    }
}
