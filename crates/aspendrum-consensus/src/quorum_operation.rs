//! Quorum reads and writes of the replicated state: reads and evacuation commands. Implements the algorithm of Attiya,
//! Bar-Noy and Dolev, "Sharing Memory Robustly in Message-Passing Systems" (1995): the node reads from a majority,
//! merges the replies, applies the command, and writes the result back to a majority unless all replies contain it
//! already.
//!
//! Invariant: when an operation completes, a majority holds its result. Every later operation reads from a majority,
//! and any two majorities intersect, so its result is never older (linearizability).

use crate::effect::{CommandId, CommandOutcome};
use crate::message::{ReadReply, Request};
use crate::node::{Millis, NodeId};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_INTERVAL};
use crate::replicated_state::{Command, ReplicatedState};
use crate::versions::UndecidedVersion;
use std::collections::{BTreeMap, BTreeSet};

/// The phase of an operation.
enum Phase {
    /// Reading from a majority.
    Reading {
        /// The digests of the states of the voters that have replied.
        digests: BTreeMap<NodeId, u64>,
    },
    /// Writing the result back to a majority.
    Writing {
        /// The voters that have stored the result.
        stored_by: BTreeSet<NodeId>,
    },
    /// Waiting for the decision of a version above the active one: at least one voter has accepted a text for it, which
    /// may have been decided. Until the decision is known, the read cannot determine the active configuration.
    AwaitingDecision {
        /// The version.
        version: u32,
    },
}

impl Phase {
    fn reading() -> Phase {
        Phase::Reading {
            digests: BTreeMap::new(),
        }
    }

    fn writing() -> Phase {
        Phase::Writing {
            stored_by: BTreeSet::new(),
        }
    }
}

/// An operation in progress.
struct QuorumOperation {
    request_id: u64,
    started_at: Millis,
    last_sent_at: Millis,
    phase: Phase,
    command: Command,
    /// `None` if no caller waits for the outcome.
    command_id: Option<CommandId>,
    /// The merged replies; after the read phase, the state that is written back.
    result: ReplicatedState,
    /// The highest version that a voter reported as accepted but not known to be decided.
    undecided: Option<UndecidedVersion>,
}

impl QuorumOperation {
    fn awaits_decision_of(&self, version: u32) -> bool {
        matches!(&self.phase, Phase::AwaitingDecision { version: v } if *v == version)
    }

    /// Restarts the operation under a new request id, so that late replies to the old one are ignored.
    fn restart(&mut self, request_id: u64) {
        self.request_id = request_id;
        self.phase = Phase::reading();
        self.result = ReplicatedState::default();
        self.undecided = None;
    }
}

/// The operations of this node that are in progress, oldest first.
#[derive(Default)]
pub(crate) struct QuorumOperations {
    operations: Vec<QuorumOperation>,
}

impl QuorumOperations {
    /// Starts an operation: a read or an evacuation command.
    pub(crate) fn begin(
        &mut self,
        core: &mut ReplicaCore,
        command: Command,
        command_id: Option<CommandId>,
    ) {
        let operation = QuorumOperation {
            request_id: core.new_request_id(),
            started_at: core.now,
            last_sent_at: core.now,
            phase: Phase::reading(),
            command,
            command_id,
            result: ReplicatedState::default(),
            undecided: None,
        };
        self.operations.push(operation);
        self.send_request(core, self.operations.len() - 1);
    }

    /// Sends the request of an operation's phase to the voters that have not replied to it.
    fn send_request(&mut self, core: &mut ReplicaCore, index: usize) {
        if !core.durable.epoch.accepts_commands() {
            return;
        }
        let operation = &mut self.operations[index];
        operation.last_sent_at = core.now;
        let request_id = operation.request_id;
        match &operation.phase {
            Phase::Reading { digests } => {
                let digest = core.durable.replicated.digest();
                let request = Request::Read { request_id, digest };
                core.send_to_voters(|voter| !digests.contains_key(&voter), &request);
            }
            Phase::Writing { stored_by } => {
                let state = Box::new(operation.result.clone());
                let request = Request::Write { request_id, state };
                core.send_to_voters(|voter| !stored_by.contains(&voter), &request);
            }
            Phase::AwaitingDecision { .. } => {}
        }
    }

    /// Resends unanswered requests.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        for index in 0..self.operations.len() {
            if core.now - self.operations[index].last_sent_at >= RESEND_INTERVAL {
                self.send_request(core, index);
            }
        }
    }

    /// Completes the operations that have exceeded [`COMMAND_TIMEOUT`] with [`CommandOutcome::NoQuorum`].
    pub(crate) fn expire(&mut self, core: &mut ReplicaCore) {
        let now = core.now;
        let expired =
            |operation: &mut QuorumOperation| now - operation.started_at > COMMAND_TIMEOUT;
        for operation in self.operations.extract_if(.., expired) {
            core.complete(operation.command_id, CommandOutcome::NoQuorum);
        }
    }

    /// Restarts all operations after a change of the voters: replies of the previous voters do not count.
    pub(crate) fn restart_all(&mut self, core: &mut ReplicaCore) {
        self.restart_where(core, |_| true);
    }

    fn restart_where(
        &mut self,
        core: &mut ReplicaCore,
        matches: impl Fn(&QuorumOperation) -> bool,
    ) {
        for index in 0..self.operations.len() {
            if matches(&self.operations[index]) {
                self.operations[index].restart(core.new_request_id());
                self.send_request(core, index);
            }
        }
    }

    /// Handles a voter's reply to a read. Returns a version that must be decided before the operation can complete.
    pub(crate) fn on_read_reply(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        reply: ReadReply,
    ) -> Option<UndecidedVersion> {
        let is_awaiting_reply = |o: &QuorumOperation| {
            o.request_id == reply.request_id && matches!(o.phase, Phase::Reading { .. })
        };
        let index = self.operations.iter().position(is_awaiting_reply)?;
        let operation = &mut self.operations[index];
        if let Some(state) = reply.state {
            operation.result.merge(&state);
        }
        if let Some(undecided) = reply.undecided {
            core.ballots.observe(undecided.ballot);
            let known = operation.undecided.as_ref();
            let known = known.map(|known| (known.version, known.ballot));
            if known.is_none_or(|known| known < (undecided.version, undecided.ballot)) {
                operation.undecided = Some(*undecided);
            }
        }
        let Phase::Reading { digests } = &mut operation.phase else {
            return None;
        };
        digests.insert(from, reply.digest);
        if digests.len() < core.quorum() {
            return None;
        }
        self.on_majority_read(core, index)
    }

    fn on_majority_read(
        &mut self,
        core: &mut ReplicaCore,
        index: usize,
    ) -> Option<UndecidedVersion> {
        let operation = &mut self.operations[index];
        operation.result.merge(&core.durable.replicated);
        if operation.result.apply(&operation.command).is_err() {
            // Nothing that is written could take effect, so the command must not be acknowledged.
            let operation = self.operations.remove(index);
            core.complete(operation.command_id, CommandOutcome::NoQuorum);
            return None;
        }
        let result_digest = operation.result.digest();
        let Phase::Reading { digests } = &operation.phase else {
            return None;
        };
        // The write phase can be skipped, because a majority holds the result already.
        if digests.values().all(|digest| *digest == result_digest) {
            return self.on_result_stored(core, index);
        }
        operation.phase = Phase::writing();
        self.send_request(core, index);
        None
    }

    /// Handles a voter's reply to a write. Returns a version that must be decided before the operation can complete.
    pub(crate) fn on_write_reply(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        request_id: u64,
    ) -> Option<UndecidedVersion> {
        let is_awaiting_reply = |o: &QuorumOperation| {
            o.request_id == request_id && matches!(o.phase, Phase::Writing { .. })
        };
        let index = self.operations.iter().position(is_awaiting_reply)?;
        let Phase::Writing { stored_by } = &mut self.operations[index].phase else {
            return None;
        };
        stored_by.insert(from);
        if stored_by.len() < core.quorum() {
            return None;
        }
        self.on_result_stored(core, index)
    }

    /// Completes the operation, unless it is a read that found a version which may have been decided. Such a version is
    /// returned and must be decided first.
    fn on_result_stored(
        &mut self,
        core: &mut ReplicaCore,
        index: usize,
    ) -> Option<UndecidedVersion> {
        let operation = &mut self.operations[index];
        // Only what the outcome will contain supersedes the undecided version. The durable state may hold a later
        // version that was stored after the read phase, and which the outcome lacks.
        let committed_version = core.committed.config_version();
        let outcome_version = operation.result.config_version().max(committed_version);
        let is_read = operation.command == Command::Read;
        let undecided = operation.undecided.take();
        let undecided = undecided.filter(|u| is_read && Some(u.version) > outcome_version);
        match &undecided {
            Some(undecided) => {
                operation.phase = Phase::AwaitingDecision {
                    version: undecided.version,
                }
            }
            None => self.finish(core, index),
        }
        undecided
    }

    /// Whether any operation waits for the decision of this version.
    pub(crate) fn awaits_decision_of(&self, version: u32) -> bool {
        let mut operations = self.operations.iter();
        operations.any(|operation| operation.awaits_decision_of(version))
    }

    /// Handles the end of the proposal for a version. If this node has applied the decision or a later version, the
    /// operations that wait for it complete; otherwise they restart.
    pub(crate) fn on_version_closed(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        is_reached: bool,
    ) {
        if !is_reached {
            return self.restart_where(core, |operation| operation.awaits_decision_of(version));
        }
        let waiting = |operations: &[QuorumOperation]| {
            operations
                .iter()
                .position(|o| o.awaits_decision_of(version))
        };
        while let Some(index) = waiting(&self.operations) {
            self.operations[index].result.merge(&core.committed);
            self.finish(core, index);
        }
    }

    fn finish(&mut self, core: &mut ReplicaCore, index: usize) {
        let operation = self.operations.remove(index);
        if operation.command == Command::Read {
            let as_of = core.committed_as_of.unwrap_or(operation.started_at);
            core.committed_as_of = Some(as_of.max(operation.started_at));
        }
        core.commit(&operation.result);
        let outcome = core.committed_outcome();
        core.complete(operation.command_id, outcome);
        core.store(&operation.result);
    }
}
