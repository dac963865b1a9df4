//! The state that the components of a replica share: the durable state, the committed state and the pending effects.
//! The components do not depend on each other; [`crate::replica`] composes them.

use crate::ballot::{Ballot, BallotGenerator};
use crate::effect::{CommandId, CommandOutcome, Effect};
use crate::message::{Message, Request};
use crate::node::{Millis, NodeId};
use crate::replicated_state::ReplicatedState;
use crate::state::DurableState;
use fastrand::Rng;
use std::ops::Range;

/// The timeout of a command. Must be less than the timeout of an operator's call, which is 1 s.
pub(crate) const COMMAND_TIMEOUT: Millis = 850.0;
/// The interval at which unanswered requests are resent: messages are lost when a connection breaks.
pub(crate) const RESEND_INTERVAL: Millis = 150.0;
/// The range of the random backoff of a preempted proposer, which leaves the other proposer time for one or two round
/// trips.
const PREEMPTION_BACKOFF: Range<Millis> = 60.0..260.0;

/// The shared state of the components of a replica.
pub(crate) struct ReplicaCore {
    pub(crate) local_node: NodeId,
    pub(crate) durable: DurableState,
    /// The state that a majority of disks is known to hold.
    pub(crate) committed: ReplicatedState,
    /// The latest start time of all completed reads. `committed` contains everything that was acknowledged before it.
    pub(crate) committed_as_of: Option<Millis>,
    /// The time of the current call.
    pub(crate) now: Millis,
    /// Whether the node does not vote because its disk is not writable.
    pub(crate) is_non_voting: bool,
    pub(crate) ballots: BallotGenerator,
    last_request_id: u64,
    rng: Rng,
    effects: Vec<Effect>,
}

impl ReplicaCore {
    /// Creates the shared state. `incarnation` is a random number that is generated at each start, so that request ids
    /// and ballots differ from those of earlier incarnations.
    pub(crate) fn new(local_node: NodeId, durable: DurableState, incarnation: u64) -> ReplicaCore {
        let promised = durable.versions.highest_promised();
        let highest_promised = promised.max(durable.successor.promised);
        ReplicaCore {
            local_node,
            durable,
            committed: ReplicatedState::default(),
            committed_as_of: None,
            now: 0.0,
            is_non_voting: false,
            ballots: BallotGenerator::new(local_node, incarnation, highest_promised),
            last_request_id: incarnation,
            rng: Rng::with_seed(incarnation),
            effects: Vec::new(),
        }
    }

    /// Whether this node with its disk is a voter of the newest known epoch.
    pub(crate) fn is_voter(&self) -> bool {
        let voters = &self.durable.epoch.voters;
        !self.is_non_voting && self.durable.is_voter_in(voters, self.local_node)
    }

    /// Whether this node is a voter and holds everything that was acknowledged before its epoch began.
    pub(crate) fn has_joined(&self) -> bool {
        self.durable.has_joined && self.is_voter()
    }

    pub(crate) fn voter_count(&self) -> usize {
        self.durable.epoch.voters.len()
    }

    pub(crate) fn quorum(&self) -> usize {
        self.durable.epoch.voters.quorum()
    }

    /// Returns all voters of the current epoch except this node.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.durable.epoch.voters.nodes();
        voters.filter(|voter| *voter != self.local_node).collect()
    }

    pub(crate) fn new_request_id(&mut self) -> u64 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }

    pub(crate) fn new_ballot(&mut self) -> Ballot {
        self.ballots.next()
    }

    /// Returns the randomized time at which a proposer that is preempted now retries.
    pub(crate) fn random_retry_time(&mut self) -> Millis {
        let Range { start, end } = PREEMPTION_BACKOFF;
        self.now + start + self.rng.f64() * (end - start)
    }

    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a request to the voters of the current epoch that match `is_receiver`.
    pub(crate) fn send_to_voters(
        &mut self,
        is_receiver: impl Fn(NodeId) -> bool,
        request: &Request,
    ) {
        let epoch = self.durable.epoch.number;
        let voters = self.durable.epoch.voters.nodes();
        let mut receivers: Vec<NodeId> = voters.filter(|voter| is_receiver(*voter)).collect();
        // The local node is last, so that the other voters sync their disks while this node syncs its own.
        receivers.sort_by_key(|voter| *voter == self.local_node);
        for to in receivers {
            let request = request.clone();
            self.send(to, Message::Request { epoch, request });
        }
    }

    /// Reports the outcome of a command. `command_id` is `None` if no caller waits for the outcome.
    pub(crate) fn complete(&mut self, command_id: Option<CommandId>, outcome: CommandOutcome) {
        let completed = |command_id| Effect::Completed {
            command_id,
            outcome,
        };
        self.effects.extend(command_id.map(completed));
    }

    /// Returns the outcome of a command whose effect is held by a majority of disks.
    pub(crate) fn committed_outcome(&self) -> CommandOutcome {
        CommandOutcome::Committed(Box::new(self.committed.clone()))
    }

    /// Merges another node's state into the durable state.
    pub(crate) fn store(&mut self, state: &ReplicatedState) {
        if self.durable.replicated.merge(state) {
            let active_version = self.durable.replicated.config_version();
            let versions = &mut self.durable.versions;
            versions.discard_superseded_texts(active_version);
            self.push(Effect::Persist);
        }
    }

    /// Records that a majority of disks, which need not include this node's disk, holds `state`.
    pub(crate) fn commit(&mut self, state: &ReplicatedState) {
        let before = self.committed.digest();
        self.committed.merge(state);
        if self.committed.digest() != before {
            self.push(Effect::CommittedAdvanced);
        }
    }
}
