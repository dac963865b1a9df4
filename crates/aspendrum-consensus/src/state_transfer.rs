//! Transfers the state from one epoch to the next. A node that learns of an epoch closes the epoch before: it never
//! again answers a request in it. A voter of the new epoch merges the states of a majority of the former voters that
//! have closed the former epoch, or the state of one node that has joined the new epoch already. Only then does the
//! voter join the new epoch and answer requests in it.
//!
//! No acknowledged command is lost: a majority of an epoch's voters stored it before they closed the epoch, and any two
//! majorities of the same voters have a voter in common. This is the state transfer of Vertical Paxos
//! (Lamport, Malkhi and Zhou, 2009) with a read quorum of the former configuration.

use crate::effect::Effect;
use crate::message::{Message, SealReply};
use crate::node::{Millis, NodeId};
use crate::replica_core::{ReplicaCore, RESEND_AFTER};
use std::collections::BTreeSet;

/// The progress of this node's state transfer into the current epoch.
#[derive(Default)]
pub(crate) struct StateTransfer {
    /// The former epoch's voters that have closed it and sent their state.
    closed_by: BTreeSet<NodeId>,
    last_sent_at: Millis,
}

impl StateTransfer {
    /// Starts over for a new epoch, if this node votes in it.
    pub(crate) fn begin(&mut self, core: &mut ReplicaCore) {
        *self = StateTransfer::default();
        if core.is_voter() {
            self.send_seals(core);
        }
    }

    /// Sends a seal to those voters of both epochs that have not answered one.
    fn send_seals(&mut self, core: &mut ReplicaCore) {
        self.last_sent_at = core.now;
        let epoch = core.durable.epoch.clone();
        let voters = epoch.previous_voters.nodes().chain(epoch.voters.nodes());
        let missing: BTreeSet<NodeId> = voters.filter(|v| !self.closed_by.contains(v)).collect();
        let digest = core.durable.replicated.digest();
        let message = Message::Seal {
            epoch: Box::new(epoch),
            digest,
        };
        for to in missing {
            core.send(to, message.clone());
        }
    }

    /// Sends unanswered seals again.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let is_unfinished = core.is_voter() && !core.durable.has_joined;
        if is_unfinished && core.now - self.last_sent_at >= RESEND_AFTER {
            self.send_seals(core);
        }
    }

    /// A node has closed the former epoch and sent its state.
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
            self.closed_by.insert(from);
        }
        if reply.has_joined || self.closed_by.len() >= quorum {
            core.durable.has_joined = true;
            core.push(Effect::EpochChanged);
        }
        core.push(Effect::Persist);
    }
}

/// Answers a seal of `epoch`. `digest`: the digest of the sender's replicated state.
pub(crate) fn answer_seal(core: &mut ReplicaCore, from: NodeId, epoch: u32, digest: u64) {
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
