//! Drives a replica: passes events to it, carries out its effects once the state that they reveal is synced, and
//! answers the callers of commands. Effects that concern other parts of the node come out of
//! [`ReplicaDriver::next_output`].

use crate::clock::Clock;
use crate::storage::{DiskHealth, Storage, WriteCompletion, WriteResult};
use aspendrum_consensus::{
    Command, CommandId, DurableState, Effect, Epoch, Message, Millis, NodeId, Outcome, Replica,
    ReplicaOptions, Voters,
};
use crossbeam_channel::Sender;
use std::collections::{HashMap, VecDeque};

/// Request ids count up from the incarnation. This many low bits of an incarnation are zero to make room for them.
const REQUEST_ID_BITS: u32 = 24;

/// An effect that the node has to carry out.
pub enum ReplicaOutput {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// The committed state has grown.
    CommittedAdvanced,
    /// Another epoch began, or this node joined it.
    EpochChanged,
}

/// A replica, its disk, and the commands that wait for their outcomes.
pub struct ReplicaDriver {
    local_node: NodeId,
    clock: Clock,
    replica: Replica,
    storage: Storage,
    /// The effects that may be carried out now.
    ready: VecDeque<Effect>,
    waiting: HashMap<CommandId, Sender<Outcome>>,
    next_command_id: CommandId,
}

impl ReplicaDriver {
    /// A driver of `replica`. `effects`: those that [`Replica::start`] returned.
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
            ready: VecDeque::new(),
            waiting: HashMap::new(),
            next_command_id: 1,
        };
        driver.push(effects);
        driver
    }

    /// The replica, read-only.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The condition of the disk.
    pub fn disk_health(&self) -> DiskHealth {
        self.storage.health()
    }

    /// Whether some command waits for its outcome.
    pub fn has_waiting_commands(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// How long ago, in milliseconds, a majority held nothing newer than [`Replica::committed`]; none if no read has
    /// succeeded yet.
    pub fn majority_age(&self, now: Millis) -> Option<Millis> {
        let as_of = self.replica.committed_as_of();
        as_of.map(|as_of| (now - as_of).max(0.0))
    }

    /// Begins an operator's command.
    pub fn submit(&mut self, command: Command, reply: Sender<Outcome>) {
        let command_id = self.next_command_id;
        self.next_command_id += 1;
        self.waiting.insert(command_id, reply);
        let effects = self
            .replica
            .submit(self.clock.now(), command, Some(command_id));
        self.push(effects);
    }

    /// Begins a read of a majority, which updates [`Replica::committed`].
    pub fn read(&mut self, now: Millis) {
        let effects = self.replica.submit(now, Command::Read, None);
        self.push(effects);
    }

    /// Handles another node's message.
    pub fn step(&mut self, now: Millis, from: NodeId, message: Message) {
        let effects = self.replica.step(now, from, message);
        self.push(effects);
    }

    /// Another node has reported the newest epoch that it knows of.
    pub fn observe_epoch(&mut self, now: Millis, from: NodeId, epoch: Epoch) {
        let effects = self.replica.observe_epoch(now, from, epoch);
        self.push(effects);
    }

    /// Proposes the voters of the next epoch.
    pub fn propose_voters(&mut self, now: Millis, voters: Voters) {
        let effects = self.replica.propose_voters(now, voters);
        self.push(effects);
    }

    /// Sends unanswered requests again, and ends what took too long.
    pub fn tick(&mut self, now: Millis) {
        let effects = self.replica.tick(now);
        self.push(effects);
    }

    /// Tries a failed disk again, if that is due.
    pub fn retry_disk(&mut self) {
        self.storage.retry(self.replica.state());
    }

    /// A write to the disk has ended. Returns whether the replica was started again, since the disk has failed or
    /// recovered. `seeds`: the nodes of the system's first start.
    pub fn on_write_finished(&mut self, result: WriteResult, seeds: &[NodeId]) -> bool {
        match self.storage.on_write_finished(result, self.replica.state()) {
            WriteCompletion::Released(effects) => {
                self.ready.extend(effects);
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

    /// Starts over with the state that was synced last, as after a crash of this node. `is_non_voting`: the disk cannot
    /// be written, so this node does not vote.
    fn restart(&mut self, seeds: &[NodeId], is_non_voting: bool) {
        let synced = self.storage.synced().cloned();
        let disk = self.replica.state().disk;
        let empty = || DurableState::empty(self.local_node, disk, false, seeds);
        let options = ReplicaOptions {
            node: self.local_node,
            is_first_start: false,
            seeds,
            new_disk: disk,
            incarnation: new_incarnation(),
        };
        let state = synced.unwrap_or_else(empty);
        let (mut replica, effects) = Replica::start(options, Some(state));
        if is_non_voting {
            replica.become_non_voting();
        }
        replica.resume_from(&self.replica);
        self.replica = replica;
        for reply in std::mem::take(&mut self.waiting).into_values() {
            let _ = reply.try_send(Outcome::NoQuorum);
        }
        self.push(effects);
    }

    fn push(&mut self, effects: Vec<Effect>) {
        let released = self.storage.push(effects, self.replica.state());
        self.ready.extend(released);
    }

    /// Carries out the effects that are ready, up to the next one that concerns another part of the node, and returns
    /// that one. Must be called after each call of another method until it returns none.
    pub fn next_output(&mut self) -> Option<ReplicaOutput> {
        while let Some(effect) = self.ready.pop_front() {
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
                    if let Some(reply) = self.waiting.remove(&command_id) {
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

/// A random incarnation, which distinguishes the request ids and ballots of this start of a replica from those of
/// earlier starts.
pub fn new_incarnation() -> u64 {
    u64::from(fastrand::u32(..)) << REQUEST_ID_BITS
}
