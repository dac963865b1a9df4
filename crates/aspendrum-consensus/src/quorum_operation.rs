//! Operations on the replicated state by majorities: reads, and the commands about evacuations. After Attiya, Bar-Noy
//! and Dolev, "Sharing Memory Robustly in Message-Passing Systems" (1995): the node reads a majority, merges the
//! answers, applies the command, and writes the result back to a majority unless all that answered hold it already.
//!
//! Invariant: when an operation ends, a majority holds its result. Any later operation reads a majority, and any two
//! majorities have a voter in common, so its result is never older (linearizability).

use crate::effect::{CommandId, Outcome};
use crate::message::{ReadReply, Request};
use crate::node::{Millis, NodeId};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_AFTER};
use crate::replicated_state::{Command, ReplicatedState};
use crate::versions::OpenVersion;
use std::collections::{BTreeMap, BTreeSet};

/// The phase of an operation.
enum Phase {
    /// A majority is read.
    Reading {
        /// The voters that have answered, and the digests of their states.
        digests: BTreeMap<NodeId, u64>,
    },
    /// The result is written back to a majority.
    Writing {
        /// The voters that have stored the result.
        stored_by: BTreeSet<NodeId>,
    },
    /// Some voter has accepted a text for a version above the one in force, which may have been decided. The read ends
    /// once it is known which text was: until then the configuration in force is uncertain.
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

/// An operation under way.
struct QuorumOperation {
    request_id: u64,
    started_at: Millis,
    last_sent_at: Millis,
    phase: Phase,
    command: Command,
    /// None if no caller waits for the outcome.
    command_id: Option<CommandId>,
    /// The merged answers so far; after the read phase, the state that is written back.
    result: ReplicatedState,
    /// The highest version that a voter reported as accepted but not known to be decided.
    open: Option<OpenVersion>,
}

impl QuorumOperation {
    fn awaits_decision_of(&self, version: u32) -> bool {
        matches!(&self.phase, Phase::AwaitingDecision { version: v } if *v == version)
    }

    /// Begins again under a new request id, so that late answers to the old one do not count.
    fn restart(&mut self, request_id: u64) {
        self.request_id = request_id;
        self.phase = Phase::reading();
        self.result = ReplicatedState::default();
        self.open = None;
    }
}

/// All operations of this node that are under way, the oldest first.
#[derive(Default)]
pub(crate) struct QuorumOperations {
    operations: Vec<QuorumOperation>,
}

impl QuorumOperations {
    /// Begins an operation: a read, or a command about an evacuation.
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
            open: None,
        };
        self.operations.push(operation);
        self.send_request(core, self.operations.len() - 1);
    }

    /// Sends the request of an operation's phase to the voters that have not answered it.
    fn send_request(&mut self, core: &mut ReplicaCore, index: usize) {
        if !core.durable.epoch.takes_commands() {
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

    /// Sends unanswered requests again.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        for index in 0..self.operations.len() {
            if core.now - self.operations[index].last_sent_at >= RESEND_AFTER {
                self.send_request(core, index);
            }
        }
    }

    /// Ends the operations that have taken too long.
    pub(crate) fn expire(&mut self, core: &mut ReplicaCore) {
        let now = core.now;
        let expired =
            |operation: &mut QuorumOperation| now - operation.started_at > COMMAND_TIMEOUT;
        for operation in self.operations.extract_if(.., expired) {
            core.complete(operation.command_id, Outcome::NoQuorum);
        }
    }

    /// Starts all operations over: the voters have changed, and answers of the former ones do not count.
    pub(crate) fn restart_all(&mut self, core: &mut ReplicaCore) {
        self.restart_where(core, |_| true);
    }

    fn restart_where(&mut self, core: &mut ReplicaCore, which: impl Fn(&QuorumOperation) -> bool) {
        for index in 0..self.operations.len() {
            if which(&self.operations[index]) {
                self.operations[index].restart(core.new_request_id());
                self.send_request(core, index);
            }
        }
    }

    /// A voter reported its state. Returns a version that must be decided before the operation can end.
    pub(crate) fn on_read_reply(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        reply: ReadReply,
    ) -> Option<OpenVersion> {
        let is_asked = |o: &QuorumOperation| {
            o.request_id == reply.request_id && matches!(o.phase, Phase::Reading { .. })
        };
        let index = self.operations.iter().position(is_asked)?;
        let operation = &mut self.operations[index];
        if let Some(state) = reply.state {
            operation.result.merge(&state);
        }
        if let Some(open) = reply.open {
            core.ballots.observe(open.ballot);
            let known = operation.open.as_ref().map(|o| (o.version, o.ballot));
            if known.is_none_or(|known| known < (open.version, open.ballot)) {
                operation.open = Some(*open);
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

    fn on_majority_read(&mut self, core: &mut ReplicaCore, index: usize) -> Option<OpenVersion> {
        let operation = &mut self.operations[index];
        operation.result.merge(&core.durable.replicated);
        operation.result.apply(&operation.command);
        let result_digest = operation.result.digest();
        let Phase::Reading { digests } = &operation.phase else {
            return None;
        };
        // The write phase may be skipped: a majority holds the result already.
        if digests.values().all(|digest| *digest == result_digest) {
            return self.on_majority_holds_result(core, index);
        }
        operation.phase = Phase::writing();
        self.send_request(core, index);
        None
    }

    /// A voter stored a result. Returns a version that must be decided before the operation can end.
    pub(crate) fn on_write_reply(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        request_id: u64,
    ) -> Option<OpenVersion> {
        let is_asked = |o: &QuorumOperation| {
            o.request_id == request_id && matches!(o.phase, Phase::Writing { .. })
        };
        let index = self.operations.iter().position(is_asked)?;
        let Phase::Writing { stored_by } = &mut self.operations[index].phase else {
            return None;
        };
        stored_by.insert(from);
        if stored_by.len() < core.quorum() {
            return None;
        }
        self.on_majority_holds_result(core, index)
    }

    /// Ends the operation, unless it is a read that found a version which may have been decided: such a version is
    /// returned and must be decided first.
    fn on_majority_holds_result(
        &mut self,
        core: &mut ReplicaCore,
        index: usize,
    ) -> Option<OpenVersion> {
        let operation = &mut self.operations[index];
        let in_force = core.durable.replicated.config.version;
        let in_force = operation.result.config.version.max(in_force);
        let is_read = operation.command == Command::Read;
        let open = operation.open.take();
        let open = open.filter(|open| is_read && open.version > in_force);
        match &open {
            Some(open) => {
                operation.phase = Phase::AwaitingDecision {
                    version: open.version,
                }
            }
            None => self.finish(core, index),
        }
        open
    }

    /// Whether some operation waits for that version to be decided.
    pub(crate) fn awaits_decision_of(&self, version: u32) -> bool {
        let mut operations = self.operations.iter();
        operations.any(|operation| operation.awaits_decision_of(version))
    }

    /// The proposal for a version has ended: the operations that waited for it end too if the decided text is in force
    /// on this node, or superseded; otherwise they start over.
    pub(crate) fn on_version_closed(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        is_in_force: bool,
    ) {
        if !is_in_force {
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
