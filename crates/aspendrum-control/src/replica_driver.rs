//! Drives a [`Replica`]: feeds it events, executes its effects once the state that they depend on is durable, and
//! replies to the callers of commands. Effects that concern the rest of the node are returned by
//! [`ReplicaDriver::next_output`].

use crate::clock::Clock;
use crate::storage::{DiskHealth, Storage, WriteCompletion, WriteResult};
use aspendrum_consensus::{
    Command, CommandId, CommandOutcome, DurableState, Effect, Epoch, Message, Millis, NodeId,
    Replica, ReplicaOptions, Voters,
};
use crossbeam_channel::Sender;
use std::collections::{HashMap, VecDeque};

/// The number of low bits of an incarnation that are zero. Request ids count up from the incarnation and use these
/// bits.
const REQUEST_ID_BITS: u32 = 24;

/// An effect that the node has to execute.
pub enum ReplicaOutput {
    /// Send a message to another control node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// The committed state has advanced.
    CommittedAdvanced,
    /// A new epoch began, or this node joined the current one.
    EpochChanged,
}

/// A replica with its storage and the reply channels of pending commands.
pub struct ReplicaDriver {
    local_node: NodeId,
    clock: Clock,
    replica: Replica,
    storage: Storage,
    /// The effects that may be executed now.
    ready_effects: VecDeque<Effect>,
    pending_replies: HashMap<CommandId, Sender<CommandOutcome>>,
    next_command_id: CommandId,
}

impl ReplicaDriver {
    /// Creates a driver for `replica`. `effects` are the effects that [`Replica::start`] returned.
    pub fn new(
        local_node: NodeId,
        clock: Clock,
        replica: Replica,
        storage: Storage,
        effects: Vec<Effect>,
    ) -> ReplicaDriver {
        let mut driver = ReplicaDriver {
            local_node,
            clock,
            replica,
            storage,
            ready_effects: VecDeque::new(),
            pending_replies: HashMap::new(),
            next_command_id: 1,
        };
        driver.push(effects);
        driver
    }

    /// Returns the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the health of the disk.
    pub fn disk_health(&self) -> DiskHealth {
        self.storage.health()
    }

    /// Returns whether any command is still without an outcome.
    pub fn has_pending_commands(&self) -> bool {
        !self.pending_replies.is_empty()
    }

    /// Returns the time in milliseconds since the last time at which a majority of disks held nothing newer than
    /// [`Replica::committed`]; `None` before the first quorum read.
    pub fn majority_age(&self, now: Millis) -> Option<Millis> {
        let as_of = self.replica.committed_as_of();
        as_of.map(|as_of| (now - as_of).max(0.0))
    }

    /// Submits an operator's command. Its outcome is sent to `reply`.
    pub fn submit(&mut self, command: Command, reply: Sender<CommandOutcome>) {
        let command_id = self.next_command_id;
        self.next_command_id += 1;
        self.pending_replies.insert(command_id, reply);
        let effects = self
            .replica
            .submit(self.clock.now(), command, Some(command_id));
        self.push(effects);
    }

    /// Starts a quorum read, which updates [`Replica::committed`].
    pub fn read(&mut self, now: Millis) {
        let effects = self.replica.submit(now, Command::Read, None);
        self.push(effects);
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: Millis, from: NodeId, message: Message) {
        let effects = self.replica.step(now, from, message);
        self.push(effects);
    }

    /// Handles the newest epoch that another node has reported.
    pub fn observe_epoch(&mut self, now: Millis, from: NodeId, epoch: Epoch) {
        let effects = self.replica.observe_epoch(now, from, epoch);
        self.push(effects);
    }

    /// Proposes the voters of the next epoch.
    pub fn propose_voters(&mut self, now: Millis, voters: Voters) {
        let effects = self.replica.propose_voters(now, voters);
        self.push(effects);
    }

    /// Resends unanswered requests and expires operations that have timed out.
    pub fn tick(&mut self, now: Millis) {
        let effects = self.replica.tick(now);
        self.push(effects);
    }

    /// Retries a failed disk if a retry is due.
    pub fn retry_disk(&mut self) {
        self.storage.retry(self.replica.state());
    }

    /// Handles the result of a write to the disk. Returns whether the replica was restarted because the disk failed or
    /// recovered. `seeds` are the nodes that take part in the first start of the system.
    pub fn on_write_finished(&mut self, result: WriteResult, seeds: &[NodeId]) -> bool {
        match self.storage.on_write_finished(result, self.replica.state()) {
            WriteCompletion::Released(effects) => {
                self.ready_effects.extend(effects);
                false
            }
            WriteCompletion::Failed(error) => {
                log::error!("event=disk_failed why=\"{error}\"");
                self.restart(seeds, true);
                true
            }
            WriteCompletion::Recovered => {
                log::info!("event=disk_recovered");
                self.restart(seeds, false);
                true
            }
        }
    }

    /// Restarts the replica from the last durable state, as after a crash of this node. All pending commands end with
    /// [`CommandOutcome::NoQuorum`]. `is_non_voting` is set if the disk cannot be written: the node must not vote then.
    fn restart(&mut self, seeds: &[NodeId], is_non_voting: bool) {
        let synced = self.storage.synced().cloned();
        let disk = self.replica.state().disk;
        let empty = || DurableState::empty(self.local_node, disk, false, seeds);
        let options = ReplicaOptions {
            node: self.local_node,
            is_first_start: false,
            seeds,
            new_disk_id: disk,
            incarnation: new_incarnation(),
        };
        let state = synced.unwrap_or_else(empty);
        let (mut replica, effects) = Replica::start(options, Some(state));
        if is_non_voting {
            replica.become_non_voting();
        }
        replica.resume_from(&self.replica);
        self.replica = replica;
        for reply in std::mem::take(&mut self.pending_replies).into_values() {
            let _ = reply.try_send(CommandOutcome::NoQuorum);
        }
        self.push(effects);
    }

    fn push(&mut self, effects: Vec<Effect>) {
        let released = self.storage.push(effects, self.replica.state());
        self.ready_effects.extend(released);
    }

    /// Executes ready effects up to the first one that concerns the rest of the node, and returns that one. After any
    /// call that may produce effects, this must be called until it returns `None`.
    pub fn next_output(&mut self) -> Option<ReplicaOutput> {
        while let Some(effect) = self.ready_effects.pop_front() {
            match effect {
                Effect::Persist => {}
                Effect::Send { to, message } if to == self.local_node => {
                    let effects = self.replica.step(self.clock.now(), to, message);
                    if !effects.is_empty() {
                        self.push(effects);
                    }
                }
                Effect::Send { to, message } => return Some(ReplicaOutput::Send { to, message }),
                Effect::Completed {
                    command_id,
                    outcome,
                } => {
                    if let Some(reply) = self.pending_replies.remove(&command_id) {
                        let _ = reply.try_send(outcome);
                    }
                }
                Effect::CommittedAdvanced => return Some(ReplicaOutput::CommittedAdvanced),
                Effect::EpochChanged => return Some(ReplicaOutput::EpochChanged),
            }
        }
        None
    }
}

/// Returns a random incarnation. It distinguishes the request ids and ballots of this start of a replica from those of
/// earlier starts.
pub fn new_incarnation() -> u64 {
    u64::from(fastrand::u32(..)) << REQUEST_ID_BITS
}
