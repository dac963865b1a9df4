//! Transfers the state from one epoch to the next. A node that learns of a new epoch seals the previous one: it no
//! longer answers requests of that epoch. A voter of the new epoch merges the states of a majority of the previous
//! voters that have sealed the previous epoch, or the state of one node that has already joined the new epoch. Only
//! then does the voter join the new epoch and answer its requests.
//!
//! No acknowledged command is lost: a majority of an epoch's voters stored it before they sealed the epoch, and any two
//! majorities of the same voters intersect. This corresponds to the state transfer of Vertical Paxos (Lamport, Malkhi
//! and Zhou, 2009) with a read quorum of the previous configuration.

use crate::effect::Effect;
use crate::message::{Message, SealReply};
use crate::node::{Millis, NodeId};
use crate::replica_core::{ReplicaCore, RESEND_INTERVAL};
use std::collections::BTreeSet;

/// The progress of this node's state transfer into the current epoch.
#[derive(Default)]
pub(crate) struct StateTransfer {
    /// The voters of the previous epoch that have sealed it and sent their state.
    sealed_by: BTreeSet<NodeId>,
    last_sent_at: Millis,
}

impl StateTransfer {
    /// Resets the transfer for a new epoch, and starts it if this node is a voter of that epoch.
    pub(crate) fn begin(&mut self, core: &mut ReplicaCore) {
        *self = StateTransfer::default();
        if core.is_voter() {
            self.send_seals(core);
        }
    }

    /// Sends a seal to the voters of both epochs, except those that have replied as voters of the previous one.
    fn send_seals(&mut self, core: &mut ReplicaCore) {
        self.last_sent_at = core.now;
        let epoch = core.durable.epoch.clone();
        let voters = epoch.previous_voters.nodes().chain(epoch.voters.nodes());
        let receivers: BTreeSet<NodeId> = voters.filter(|v| !self.sealed_by.contains(v)).collect();
        let digest = core.durable.replicated.digest();
        let message = Message::Seal {
            epoch: Box::new(epoch),
            digest,
        };
        for to in receivers {
            core.send(to, message.clone());
        }
    }

    /// Resends unanswered seals.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let is_unfinished = core.is_voter() && !core.durable.has_joined;
        if is_unfinished && core.now - self.last_sent_at >= RESEND_INTERVAL {
            self.send_seals(core);
        }
    }

    /// Handles the state of a node that has sealed the previous epoch.
    pub(crate) fn on_seal_reply(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        reply: &SealReply,
    ) {
        let epoch = &core.durable.epoch;
        if core.durable.has_joined || reply.epoch != epoch.number || !core.is_voter() {
            return;
        }
        let quorum = epoch.previous_voters.quorum();
        if let Some(state) = &reply.state {
            core.store(state);
        }
        core.durable.versions.merge(&reply.versions);
        if reply.was_voter {
            self.sealed_by.insert(from);
        }
        if reply.has_joined || self.sealed_by.len() >= quorum {
            core.durable.has_joined = true;
            core.push(Effect::EpochChanged);
        }
        core.push(Effect::Persist);
    }
}

/// Replies to a seal of `epoch`. `digest` is the digest of the sender's replicated state.
pub(crate) fn handle_seal(core: &mut ReplicaCore, from: NodeId, epoch: u32, digest: u64) {
    let durable = &core.durable;
    if durable.epoch.number != epoch || core.is_non_voting {
        return;
    }
    let differs = durable.replicated.digest() != digest;
    let reply = SealReply {
        epoch,
        was_voter: durable.is_voter_in(&durable.epoch.previous_voters, core.local_node),
        has_joined: core.has_joined(),
        state: differs.then(|| durable.replicated.clone()),
        versions: durable.versions.clone(),
    };
    core.send(from, Message::Sealed(Box::new(reply)));
}
