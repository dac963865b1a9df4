//! One node's replica. It composes the parts, each of which owns its state and returns what concerns the others:
//! versions that are to be decided (`version_proposal`), reads and writes by majorities (`quorum_operation`), the
//! voters of the next epoch (`membership_change`), the take-over of an epoch's state (`state_transfer`) and the answers
//! to other nodes' requests (`voter`).

use crate::acceptor::Acceptor;
use crate::effect::{CommandId, Effect};
use crate::membership::{DiskId, Epoch, Voters};
use crate::membership_change::MembershipChange;
use crate::message::{Message, Reply, Request};
use crate::node::{Millis, NodeId};
use crate::quorum_operation::QuorumOperations;
use crate::replica_core::ReplicaCore;
use crate::replicated_state::{Command, ReplicatedState};
use crate::state::DurableState;
use crate::state_transfer::{self, StateTransfer};
use crate::version_proposal::{ClosedVersion, VersionProposals};
use crate::versions::{ConfigText, OpenVersion};
use crate::voter;

/// How a replica starts.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaOptions<'a> {
    /// The node that it runs on.
    pub node: NodeId,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// The nodes that take part in the first start.
    pub seeds: &'a [NodeId],
    /// The identity that the disk gets if it is empty.
    pub new_disk: DiskId,
    /// Drawn at random at each start. Its low 24 bits are zero: request ids count up from it.
    pub incarnation: u64,
}

/// One node's part in the replicated state.
pub struct Replica {
    core: ReplicaCore,
    proposals: VersionProposals,
    operations: QuorumOperations,
    membership_change: MembershipChange,
    state_transfer: StateTransfer,
}

impl Replica {
    /// Starts with what the disk holds; none for an empty disk. Returns the first effects with the replica.
    pub fn start(
        options: ReplicaOptions<'_>,
        state: Option<DurableState>,
    ) -> (Replica, Vec<Effect>) {
        let ReplicaOptions {
            node,
            is_first_start,
            seeds,
            new_disk,
            incarnation,
        } = options;
        let is_empty = state.is_none();
        let empty = || DurableState::empty(node, new_disk, is_first_start, seeds);
        let mut state = state.unwrap_or_else(empty);
        state.enter_founding_epoch(node, seeds);
        let replica = Replica {
            core: ReplicaCore::new(node, state, incarnation),
            proposals: VersionProposals::default(),
            operations: QuorumOperations::default(),
            membership_change: MembershipChange::default(),
            state_transfer: StateTransfer::default(),
        };
        let effects = if is_empty {
            vec![Effect::Persist]
        } else {
            Vec::new()
        };
        (replica, effects)
    }

    /// Takes over what an earlier replica of this node knew to be committed, when a replica is replaced in the running
    /// process.
    pub fn resume_from(&mut self, earlier: &Replica) {
        self.core.committed = earlier.core.committed.clone();
        self.core.committed_as_of = earlier.core.committed_as_of;
        self.core.now = earlier.core.now;
    }

    /// The state that has to be written on [`Effect::Persist`].
    pub fn state(&self) -> &DurableState {
        &self.core.durable
    }

    /// What a majority of disks is known to hold.
    pub fn committed(&self) -> &ReplicatedState {
        &self.core.committed
    }

    /// The time as of which [`Replica::committed`] is known to contain everything that was acknowledged.
    pub fn committed_as_of(&self) -> Option<Millis> {
        self.core.committed_as_of
    }

    /// The newest epoch that this node knows of.
    pub fn epoch(&self) -> &Epoch {
        &self.core.durable.epoch
    }

    /// Whether this node and its disk are a voter of the newest epoch that it knows of.
    pub fn is_voter(&self) -> bool {
        self.core.is_voter()
    }

    /// Whether this node votes and holds everything that was acknowledged before its epoch began.
    pub fn has_joined(&self) -> bool {
        self.core.has_joined()
    }

    /// Whether this node is having the voters of the next epoch decided.
    pub fn is_proposing_voters(&self) -> bool {
        self.membership_change.is_proposing()
    }

    /// Stops voting, as this node's disk cannot be written. The node still submits commands, whose outcomes then depend
    /// on the other nodes' disks alone; the caller ignores [`Effect::Persist`].
    pub fn become_non_voting(&mut self) {
        self.core.is_non_voting = true;
    }

    /// Begins a command. Its outcome is reported under `command_id`.
    pub fn submit(
        &mut self,
        now: Millis,
        command: Command,
        command_id: Option<CommandId>,
    ) -> Vec<Effect> {
        self.core.now = now;
        match command {
            Command::SetConfig {
                version,
                compressed_text,
                digest,
            } => {
                let compressed = Some(compressed_text);
                let text = ConfigText { digest, compressed };
                self.proposals
                    .propose(&mut self.core, version, text, command_id);
            }
            Command::SetEvacuation { .. } | Command::Read => {
                self.operations.begin(&mut self.core, command, command_id);
            }
        }
        self.core.take_effects()
    }

    /// Handles a message of another node, or of this one to itself.
    pub fn step(&mut self, now: Millis, from: NodeId, message: Message) -> Vec<Effect> {
        self.core.now = now;
        // After a suspension of the process the message may answer an operation whose time-out has passed meanwhile.
        self.expire();
        self.handle(from, message);
        self.core.take_effects()
    }

    /// Sends unanswered requests again, and ends what took too long. To be called several times a second.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        self.core.now = now;
        self.expire();
        self.operations.resend(&mut self.core);
        self.proposals.resend(&mut self.core);
        self.membership_change.complete_accepted(&mut self.core);
        self.membership_change.resend(&mut self.core);
        self.state_transfer.resend(&mut self.core);
        self.core.take_effects()
    }

    /// Proposes the voters of the next epoch, unless this node does so already. Paxos decides a single set, also when
    /// several nodes propose.
    pub fn propose_voters(&mut self, now: Millis, voters: Voters) -> Vec<Effect> {
        self.core.now = now;
        self.membership_change.propose(&mut self.core, voters);
        self.core.take_effects()
    }

    /// Another node has reported the newest epoch that it knows of.
    pub fn observe_epoch(&mut self, now: Millis, from: NodeId, epoch: Epoch) -> Vec<Effect> {
        self.core.now = now;
        self.compare_epoch(from, epoch);
        self.core.take_effects()
    }

    fn handle(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Request { epoch, request } => self.handle_request(from, epoch, request),
            Message::Reply { epoch, reply } => self.handle_reply(from, epoch, reply),
            Message::Epoch(epoch) => self.compare_epoch(from, *epoch),
            Message::Seal { epoch, digest } => {
                let number = epoch.number;
                self.compare_epoch(from, *epoch);
                state_transfer::answer_seal(&mut self.core, from, number, digest);
            }
            Message::Sealed(reply) => {
                self.state_transfer
                    .on_seal_reply(&mut self.core, from, &reply);
            }
            Message::Decided { version, digest } => {
                let closed = self.proposals.learn(&mut self.core, version, digest, None);
                self.on_version_closed(&closed);
            }
            Message::CommitNotice => {}
        }
    }

    fn handle_request(&mut self, from: NodeId, epoch: u32, request: Request) {
        if epoch != self.core.durable.epoch.number {
            return self.send_epoch(from);
        }
        if let Some(reply) = voter::answer(&mut self.core, request) {
            self.core.send(from, Message::Reply { epoch, reply });
        }
    }

    /// Ignores replies of another epoch, and of nodes that do not vote in this one.
    fn handle_reply(&mut self, from: NodeId, epoch: u32, reply: Reply) {
        let own_epoch = &self.core.durable.epoch;
        if epoch != own_epoch.number || !own_epoch.voters.contains_node(from) {
            return;
        }
        match reply {
            Reply::Read(reply) => {
                let open = self.operations.on_read_reply(&mut self.core, from, reply);
                self.complete_open_version(open);
            }
            Reply::Written { request_id } => {
                let open = self
                    .operations
                    .on_write_reply(&mut self.core, from, request_id);
                self.complete_open_version(open);
            }
            Reply::Version {
                version,
                ballot,
                answer,
            } => {
                let core = &mut self.core;
                let closed = self
                    .proposals
                    .on_answer(core, from, version, ballot, *answer);
                if let Some(closed) = closed {
                    self.on_version_closed(&closed);
                }
            }
            Reply::Successor { ballot, answer } => {
                let core = &mut self.core;
                let decided = self.membership_change.on_answer(core, from, ballot, answer);
                if let Some(epoch) = decided {
                    self.announce_epoch(epoch);
                }
            }
        }
    }

    fn expire(&mut self) {
        let operations = &self.operations;
        self.proposals.expire(&mut self.core, |version| {
            operations.awaits_decision_of(version)
        });
        self.operations.expire(&mut self.core);
    }

    /// Completes a version that a read has found and that may have been decided: the read waits for the decision.
    fn complete_open_version(&mut self, open: Option<OpenVersion>) {
        if let Some(open) = open {
            self.proposals.complete(&mut self.core, open);
        }
    }

    fn on_version_closed(&mut self, closed: &ClosedVersion) {
        let core = &mut self.core;
        self.operations
            .on_version_closed(core, closed.version, closed.is_in_force);
        if closed.must_persist {
            core.push(Effect::Persist);
        }
    }

    /// Enters the other node's epoch if it is the newer one; sends this node's epoch if that is the newer one.
    fn compare_epoch(&mut self, from: NodeId, epoch: Epoch) {
        if epoch.supersedes(&self.core.durable.epoch) {
            self.enter_epoch(epoch);
        } else if self.core.durable.epoch.supersedes(&epoch) {
            self.send_epoch(from);
        }
    }

    /// Sends this node's epoch, even if it has no voters yet: a receiver in a newer epoch answers with that.
    fn send_epoch(&mut self, to: NodeId) {
        let epoch = Box::new(self.core.durable.epoch.clone());
        self.core.send(to, Message::Epoch(epoch));
    }

    /// Enters an epoch that was decided, which closes the one before on this node.
    fn enter_epoch(&mut self, epoch: Epoch) {
        let core = &mut self.core;
        core.durable.epoch = epoch;
        core.durable.has_joined = false;
        core.durable.successor = Acceptor::default();
        core.push(Effect::Persist);
        core.push(Effect::EpochChanged);
        self.membership_change.abandon();
        self.state_transfer.begin(core);
        self.proposals.restart_all(core);
        self.operations.restart_all(core);
    }

    /// Enters an epoch that this node's proposal has decided, and sends it to the voters of both epochs.
    fn announce_epoch(&mut self, epoch: Epoch) {
        let voters = epoch.voters.nodes().chain(epoch.previous_voters.nodes());
        let others: Vec<NodeId> = voters.filter(|v| *v != self.core.local_node).collect();
        self.enter_epoch(epoch.clone());
        for to in others {
            self.core.send(to, Message::Epoch(Box::new(epoch.clone())));
        }
    }
}
