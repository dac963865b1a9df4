//! Membership of this node in the control plane: the status that it announces to the other nodes, and when it proposes
//! a new set of voters.

use crate::replica_driver::ReplicaDriver;
use crate::storage::DiskHealth;
use aspendrum_consensus::membership::{DiskId, Voters, UNASSIGNED_DISK};
use aspendrum_consensus::membership_planner::{MembershipPlanner, MembershipPolicy, NodeStatus};
use aspendrum_consensus::{Millis, NodeId, Replica};
use aspendrum_model::settings::Settings;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Decides when this node proposes new voters, and tracks which disk health it has announced.
pub struct Membership {
    planner: MembershipPlanner,
    /// The disk health that was last announced to the other nodes.
    announced_health: DiskHealth,
}

impl Membership {
    /// Creates the membership of a node that starts at `now`.
    pub fn new(local_node: NodeId, settings: &Settings, now: Millis) -> Membership {
        Membership {
            planner: MembershipPlanner::new(local_node, policy(settings), now),
            announced_health: DiskHealth::Healthy,
        }
    }

    /// Returns the voters that this node should propose now because current voters are lost or were restarted with an
    /// empty disk; `None` if no change is due. `nodes` are the statuses of all known control nodes.
    pub fn due_voters(
        &mut self,
        now: Millis,
        replica: &Replica,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let due = self.planner.next_proposal(now, replica.epoch(), nodes);
        let may_propose = replica.has_joined() && !replica.is_proposing_voters();
        let voters = due.filter(|_| may_propose)?;
        let disks = voters.0.iter().map(|(node, disk)| (node.address(), *disk));
        let disks: BTreeMap<Ipv4Addr, DiskId> = disks.collect();
        let epoch = replica.epoch().number.saturating_add(1);
        log::info!("event=voters_proposed epoch={epoch} voters={disks:?}");
        Some(voters)
    }

    /// Records `health` as announced. Returns whether it differs from the last announced health; the caller must then
    /// notify the other nodes.
    pub fn update_announced_health(&mut self, health: DiskHealth) -> bool {
        std::mem::replace(&mut self.announced_health, health) != health
    }
}

/// Returns the status of this node as it is announced to the other nodes.
pub fn local_status(
    settings: &Settings,
    replica: &ReplicaDriver,
    is_shutting_down: bool,
) -> NodeStatus {
    let health = replica.disk_health();
    let may_vote = settings.data_dir.is_some() && health != DiskHealth::Failed;
    NodeStatus {
        disk: if may_vote {
            replica.replica().state().disk
        } else {
            UNASSIGNED_DISK
        },
        zone: settings.zone.clone(),
        time_since_contact: 0.0,
        // A node whose disk is stalled or has failed should be replaced as a voter, like one that shuts down.
        is_leaving: is_shutting_down || health != DiskHealth::Healthy,
    }
}

/// Returns the deployment's requirements on the choice of voters.
pub fn policy(settings: &Settings) -> MembershipPolicy {
    let losses = settings.tolerated_losses as usize;
    MembershipPolicy::new(losses, settings.rejoin_s * 1000.0)
}
