//! The replica of one node. It composes the following components, each of which owns its state and returns the results
//! that affect the others: configuration version proposals (`version_proposal`), quorum reads and writes
//! (`quorum_operation`), proposals of the next epoch's voters (`membership_change`), the state transfer into an epoch
//! (`state_transfer`) and the handling of requests as a voter (`voter`).

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
use crate::version_proposal::{AnswerEffect, ClosedVersion, VersionProposals};
use crate::versions::{ConfigText, UndecidedVersion};
use crate::voter;

/// The start options of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaOptions<'a> {
    /// The local node.
    pub node: NodeId,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// The nodes that form the founding epoch at the first start.
    pub seeds: &'a [NodeId],
    /// The identity that is assigned to the disk if it is empty.
    pub new_disk_id: DiskId,
    /// A random number that is generated at each start. Its low 24 bits are zero, because request ids count up from it.
    pub incarnation: u64,
}

/// The replica of one node.
pub struct Replica {
    core: ReplicaCore,
    proposals: VersionProposals,
    operations: QuorumOperations,
    membership_change: MembershipChange,
    state_transfer: StateTransfer,
}

impl Replica {
    /// Starts a replica from the state on disk; `None` for an empty disk. Returns the replica and its first effects.
    pub fn start(
        options: ReplicaOptions<'_>,
        state: Option<DurableState>,
    ) -> (Replica, Vec<Effect>) {
        let ReplicaOptions {
            node,
            is_first_start,
            seeds,
            new_disk_id,
            incarnation,
        } = options;
        let is_disk_empty = state.is_none();
        let empty = || DurableState::empty(node, new_disk_id, is_first_start, seeds);
        let mut state = state.unwrap_or_else(empty);
        state.enter_founding_epoch(node, seeds);
        let replica = Replica {
            core: ReplicaCore::new(node, state, incarnation),
            proposals: VersionProposals::default(),
            operations: QuorumOperations::default(),
            membership_change: MembershipChange::default(),
            state_transfer: StateTransfer::default(),
        };
        let effects = if is_disk_empty {
            vec![Effect::Persist]
        } else {
            Vec::new()
        };
        (replica, effects)
    }

    /// Copies the committed state of an earlier replica of this node, when a replica is replaced within the running
    /// process.
    pub fn resume_from(&mut self, earlier: &Replica) {
        self.core.committed = earlier.core.committed.clone();
        self.core.committed_as_of = earlier.core.committed_as_of;
        self.core.now = earlier.core.now;
    }

    /// Returns the state to write on [`Effect::Persist`].
    pub fn state(&self) -> &DurableState {
        &self.core.durable
    }

    /// Returns the state that a majority of disks is known to hold.
    pub fn committed(&self) -> &ReplicatedState {
        &self.core.committed
    }

    /// Returns the last time at which a majority of disks is known to have held nothing newer than
    /// [`Replica::committed`], which thus contains everything that was acknowledged by then.
    pub fn committed_as_of(&self) -> Option<Millis> {
        self.core.committed_as_of
    }

    /// Returns the newest epoch known to this node.
    pub fn epoch(&self) -> &Epoch {
        &self.core.durable.epoch
    }

    /// Whether this node with its disk is a voter of the newest epoch known to it.
    pub fn is_voter(&self) -> bool {
        self.core.is_voter()
    }

    /// Whether this node is a voter and holds everything that was acknowledged before its epoch began.
    pub fn has_joined(&self) -> bool {
        self.core.has_joined()
    }

    /// Whether this node has a pending proposal of the voters of the next epoch.
    pub fn is_proposing_voters(&self) -> bool {
        self.membership_change.is_proposing()
    }

    /// Stops voting because the disk of this node is not writable. Commands can still be submitted; their outcomes then
    /// depend on the disks of the other nodes only, and the caller ignores [`Effect::Persist`].
    pub fn become_non_voting(&mut self) {
        self.core.is_non_voting = true;
    }

    /// Starts a command. Its outcome is reported under `command_id`; `None` if no caller waits for it.
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

    /// Handles a message from another node or from this node to itself.
    pub fn step(&mut self, now: Millis, from: NodeId, message: Message) -> Vec<Effect> {
        self.core.now = now;
        // After a suspension of the process the message may belong to an operation whose timeout has passed meanwhile.
        self.expire();
        self.handle(from, message);
        self.close_superseded_versions();
        self.core.take_effects()
    }

    /// Resends unanswered requests and expires commands. Must be called several times a second.
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

    /// Proposes the voters of the next epoch, unless this node has a pending proposal. Paxos decides a single set even
    /// if several nodes propose.
    pub fn propose_voters(&mut self, now: Millis, voters: Voters) -> Vec<Effect> {
        self.core.now = now;
        self.membership_change.propose(&mut self.core, voters);
        self.core.take_effects()
    }

    /// Handles the newest epoch known to another node: enters it if it is newer, and otherwise sends a newer epoch of
    /// this node back.
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
                state_transfer::handle_seal(&mut self.core, from, number, digest);
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

    /// Handles a reply. Ignores replies from another epoch and from nodes that are not voters of the current one.
    fn handle_reply(&mut self, from: NodeId, epoch: u32, reply: Reply) {
        let own_epoch = &self.core.durable.epoch;
        if epoch != own_epoch.number || !own_epoch.voters.contains_node(from) {
            return;
        }
        match reply {
            Reply::Read(reply) => {
                let undecided = self.operations.on_read_reply(&mut self.core, from, reply);
                self.complete_undecided_version(undecided);
            }
            Reply::Written { request_id } => {
                let undecided = self
                    .operations
                    .on_write_reply(&mut self.core, from, request_id);
                self.complete_undecided_version(undecided);
            }
            Reply::Version {
                version,
                ballot,
                answer,
            } => {
                let core = &mut self.core;
                let proposals = &mut self.proposals;
                match proposals.on_answer(core, from, version, ballot, *answer) {
                    AnswerEffect::None => {}
                    AnswerEffect::Closed(closed) => self.on_version_closed(&closed),
                    AnswerEffect::ReadRequired => self.operations.begin(core, Command::Read, None),
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

    /// Ends the proposals for versions that a later one has replaced.
    fn close_superseded_versions(&mut self) {
        for closed in self.proposals.close_superseded(&mut self.core) {
            self.on_version_closed(&closed);
        }
    }

    /// Completes the proposal of a version that a read found undecided. The read waits for the decision.
    fn complete_undecided_version(&mut self, undecided: Option<UndecidedVersion>) {
        if let Some(undecided) = undecided {
            self.proposals.complete(&mut self.core, undecided);
        }
    }

    fn on_version_closed(&mut self, closed: &ClosedVersion) {
        let core = &mut self.core;
        self.operations
            .on_version_closed(core, closed.version, closed.is_reached);
        if closed.must_persist {
            core.push(Effect::Persist);
        }
    }

    /// Enters the other node's epoch if it is newer; sends this node's epoch if that one is newer.
    fn compare_epoch(&mut self, from: NodeId, epoch: Epoch) {
        if epoch.supersedes(&self.core.durable.epoch) {
            self.enter_epoch(epoch);
        } else if self.core.durable.epoch.supersedes(&epoch) {
            self.send_epoch(from);
        }
    }

    /// Sends this node's epoch, even if it has no voters yet: a receiver in a newer epoch replies with its own.
    fn send_epoch(&mut self, to: NodeId) {
        let epoch = Box::new(self.core.durable.epoch.clone());
        self.core.send(to, Message::Epoch(epoch));
    }

    /// Enters a decided epoch, which seals the previous epochs on this node.
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

    /// Enters an epoch that was decided by this node's proposal, and sends it to the voters of both epochs.
    fn announce_epoch(&mut self, epoch: Epoch) {
        let voters = epoch.voters.nodes().chain(epoch.previous_voters.nodes());
        let others: Vec<NodeId> = voters.filter(|v| *v != self.core.local_node).collect();
        self.enter_epoch(epoch.clone());
        for to in others {
            self.core.send(to, Message::Epoch(Box::new(epoch.clone())));
        }
    }
}
