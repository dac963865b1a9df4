//! What the parts of a replica share: its durable state, what it knows to be committed, and the effects that it has
//! asked for. The parts do not know each other; [`crate::replica`] composes them.

use crate::ballot::{Ballot, BallotGenerator};
use crate::effect::{CommandId, Effect, Outcome};
use crate::message::{Message, Request};
use crate::node::{Millis, NodeId};
use crate::replicated_state::ReplicatedState;
use crate::state::DurableState;
use fastrand::Rng;

/// How long a command may take. Must be less than the second that an operator's call waits for.
pub(crate) const COMMAND_TIMEOUT: Millis = 850.0;
/// After how long an unanswered request is sent again: messages get lost when a connection breaks.
pub(crate) const RESEND_AFTER: Millis = 150.0;
/// A preempted proposer leaves the other one a round trip or two to finish, by a random delay in this range.
const BACKOFF: std::ops::Range<Millis> = 60.0..260.0;

/// The state that the parts of a replica share.
pub(crate) struct ReplicaCore {
    pub(crate) local_node: NodeId,
    pub(crate) durable: DurableState,
    /// What a majority of disks is known to hold.
    pub(crate) committed: ReplicatedState,
    /// When the latest of the completed reads began: `committed` contains everything acknowledged before that time.
    pub(crate) committed_as_of: Option<Millis>,
    /// The time of the call that is being handled.
    pub(crate) now: Millis,
    /// Whether the node takes no part in any vote, as its disk cannot be written.
    pub(crate) is_non_voting: bool,
    pub(crate) ballots: BallotGenerator,
    last_request_id: u64,
    rng: Rng,
    effects: Vec<Effect>,
}

impl ReplicaCore {
    /// `incarnation`: drawn at each start. Request ids and ballots of one incarnation must not be taken for those of an
    /// earlier one.
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

    /// Whether this node and its disk are a voter of the newest known epoch.
    pub(crate) fn is_voter(&self) -> bool {
        let voters = &self.durable.epoch.voters;
        !self.is_non_voting && self.durable.is_voter_in(voters, self.local_node)
    }

    /// Whether this node votes and holds everything that was acknowledged before its epoch began.
    pub(crate) fn has_joined(&self) -> bool {
        self.durable.has_joined && self.is_voter()
    }

    pub(crate) fn voter_count(&self) -> usize {
        self.durable.epoch.voters.len()
    }

    pub(crate) fn quorum(&self) -> usize {
        self.durable.epoch.voters.quorum()
    }

    /// All voters of this epoch but this node.
    pub(crate) fn other_voters(&self) -> Vec<NodeId> {
        let voters = self.durable.epoch.voters.nodes();
        voters.filter(|voter| *voter != self.local_node).collect()
    }

    pub(crate) fn new_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    pub(crate) fn new_ballot(&mut self) -> Ballot {
        self.ballots.next()
    }

    /// When a proposer that is preempted now tries again.
    pub(crate) fn draw_retry_time(&mut self) -> Millis {
        self.now + BACKOFF.start + self.rng.f64() * (BACKOFF.end - BACKOFF.start)
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

    /// Sends a request to those voters of this epoch whose answer is wanted.
    pub(crate) fn send_to_voters(&mut self, wanted: impl Fn(NodeId) -> bool, request: &Request) {
        let epoch = self.durable.epoch.number;
        let voters = self.durable.epoch.voters.nodes();
        let mut receivers: Vec<NodeId> = voters.filter(|voter| wanted(*voter)).collect();
        // To itself last: the other voters sync their disks while this node syncs its own.
        receivers.sort_by_key(|voter| *voter == self.local_node);
        for to in receivers {
            let request = request.clone();
            self.send(to, Message::Request { epoch, request });
        }
    }

    /// Reports the outcome of a command. `command_id`: none if no caller waits for the outcome.
    pub(crate) fn complete(&mut self, command_id: Option<CommandId>, outcome: Outcome) {
        let completed = |command_id| Effect::Completed {
            command_id,
            outcome,
        };
        self.effects.extend(command_id.map(completed));
    }

    /// The outcome of a command whose effect a majority of disks holds.
    pub(crate) fn committed_outcome(&self) -> Outcome {
        Outcome::Committed(Box::new(self.committed.clone()))
    }

    /// Merges another node's state into the durable state.
    pub(crate) fn store(&mut self, state: &ReplicatedState) {
        if self.durable.replicated.merge(state) {
            let in_force = self.durable.replicated.config.version;
            self.durable.versions.discard_superseded_texts(in_force);
            self.push(Effect::Persist);
        }
    }

    /// Records that a majority of disks holds `state`, whether or not this node's disk is among them.
    pub(crate) fn commit(&mut self, state: &ReplicatedState) {
        let before = self.committed.digest();
        self.committed.merge(state);
        if self.committed.digest() != before {
            self.push(Effect::CommittedAdvanced);
        }
    }
}
