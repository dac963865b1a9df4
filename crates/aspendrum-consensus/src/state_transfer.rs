//! How an epoch takes over from the one before. A node that learns of an epoch closes the one before for ever: it
//! answers nothing in it any more. A voter of the new epoch waits until a majority of the former voters has closed
//! theirs and takes over what they hold, or everything that one node holds which has done so already. Only then it
//! joins the epoch and answers.
//!
//! Why nothing is lost: what was acknowledged in an epoch was stored by a majority of its voters before they closed it,
//! and any majority that has closed it shares a voter with that one. This is the state transfer of Vertical Paxos
//! (Lamport, Malkhi and Zhou, 2009) with a read quorum of the former configuration.

use crate::effect::Effect;
use crate::message::{Message, SealReply};
use crate::node::{Millis, NodeId};
use crate::replica_core::{ReplicaCore, RESEND_AFTER};
use std::collections::BTreeSet;

/// What a voter of a new epoch has taken over so far.
#[derive(Default)]
pub(crate) struct StateTransfer {
    /// Voters of the epoch before that have closed it and sent what they hold.
    closed_by: BTreeSet<NodeId>,
    last_sent_at: Millis,
}

impl StateTransfer {
    /// A new epoch began: takes over the state of the one before, if this node votes.
    pub(crate) fn begin(&mut self, core: &mut ReplicaCore) {
        *self = StateTransfer::default();
        if core.is_voter() {
            self.send_seals(core);
        }
    }

    /// Asks all voters of both epochs that are still missing.
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

    /// A node has closed the epoch before and sent what it holds.
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

/// Answers a voter that takes over the state of the epoch before `epoch`. `digest`: of the state that it holds.
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
