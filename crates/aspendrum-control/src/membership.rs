//! This node's part in the membership of the control plane: how it describes itself to the other nodes, and when it
//! proposes other voters.

use crate::replica_driver::ReplicaDriver;
use crate::storage::DiskHealth;
use aspendrum_consensus::membership::{DiskId, Voters, FOUNDING_DISK};
use aspendrum_consensus::membership_planner::{MembershipPlanner, MembershipPolicy, NodeStatus};
use aspendrum_consensus::{Millis, NodeId, Replica};
use aspendrum_model::settings::Settings;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Decides when this node proposes other voters, and detects changes of its disk's health that it has to announce.
pub struct Membership {
    planner: MembershipPlanner,
    /// The disk's health as the other nodes know it.
    announced_health: DiskHealth,
}

impl Membership {
    /// For a node that starts now.
    pub fn new(local_node: NodeId, settings: &Settings, now: Millis) -> Membership {
        Membership {
            planner: MembershipPlanner::new(local_node, policy(settings), now),
            announced_health: DiskHealth::Healthy,
        }
    }

    /// The voters that this node should propose now, because some voters are gone or came back with an empty disk.
    /// `nodes`: the statuses of all known control nodes.
    pub fn due_voters(
        &mut self,
        now: Millis,
        replica: &Replica,
        nodes: &BTreeMap<NodeId, NodeStatus>,
    ) -> Option<Voters> {
        let due = self.planner.due_change(now, replica.epoch(), nodes);
        let may_propose = replica.has_joined() && !replica.is_proposing_voters();
        let voters = due.filter(|_| may_propose)?;
        let disks = voters.0.iter().map(|(node, disk)| (node.address(), *disk));
        let disks: BTreeMap<Ipv4Addr, DiskId> = disks.collect();
        let epoch = replica.epoch().number + 1;
        log::info!("event=voters_proposed epoch={epoch} voters={disks:?}");
        Some(voters)
    }

    /// Records the disk's health as announced. Returns whether it differs from what was announced before, so that the
    /// other nodes have to be notified.
    pub fn has_health_changed(&mut self, health: DiskHealth) -> bool {
        std::mem::replace(&mut self.announced_health, health) != health
    }
}

/// How this node describes itself to the others.
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
            FOUNDING_DISK
        },
        zone: settings.zone.clone(),
        time_since_contact: 0.0,
        // A node whose disk does not answer should be replaced as a voter too.
        is_leaving: is_shutting_down || health != DiskHealth::Healthy,
    }
}

/// The requirements of the deployment that the choice of voters rests on.
pub fn policy(settings: &Settings) -> MembershipPolicy {
    let losses = settings.tolerated_losses as usize;
    MembershipPolicy::new(losses, settings.rejoin_s * 1000.0)
}
