//! A simulated cluster of replicas in one process. Nodes crash between any two effects, disks are lost, nodes are
//! permanently replaced, and messages are dropped, duplicated and reordered.

// Each test binary uses a different part of this module.
#![allow(dead_code)]

mod earlier_program;
pub(crate) mod schedule;

use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::membership_planner::{MembershipPlanner, MembershipPolicy, NodeStatus};
use aspendrum_consensus::message::{Message, Reply, Request};
use aspendrum_consensus::versions::VersionAnswer;
use aspendrum_consensus::{
    Command, CommandId, CommandOutcome, DurableState, Effect, Epoch, NodeId, Replica,
    ReplicaOptions,
};
use std::collections::{BTreeMap, BTreeSet};

/// The seed nodes of the first start. A fourth node starts in addition.
pub(crate) const SEEDS: [NodeId; 3] = [NodeId::new(1), NodeId::new(2), NodeId::new(3)];
/// The membership policy of the cluster.
pub(crate) const POLICY: MembershipPolicy = MembershipPolicy {
    voters: 3,
    replace_timeout: 1600.0,
};
/// The interval between two ticks of all nodes, in milliseconds.
const TICK_MS: f64 = 160.0;
/// The number of ticks after which a command has completed.
const COMMAND_TICKS: usize = 7;
/// The number of ticks with all nodes up after which missing voters have been replaced.
const STABILIZE_TICKS: usize = 40;

/// Returns the node with this number.
pub(crate) fn node(number: u32) -> NodeId {
    NodeId::new(number)
}

/// Returns the start options of a replica with a non-empty disk.
fn restart_options(node: NodeId, incarnation: u64) -> ReplicaOptions<'static> {
    ReplicaOptions {
        node,
        is_first_start: false,
        seeds: &[],
        new_disk_id: 0,
        incarnation,
    }
}

/// The correct protocol, or a faulty variant that lacks one of its mechanisms. The tests must detect the faulty ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Variant {
    Correct,
    /// The state is persisted only at the next tick, so that a node sends messages before it has synced.
    DelayedSync,
    /// A proposer ignores the proposals that voters have accepted under lower ballots.
    IgnoresAccepted,
    /// A voter continues to answer in an epoch that it has sealed.
    NoSeal,
    /// A voter of a new epoch answers before the state transfer from the previous epoch.
    JoinsBeforeTransfer,
    /// A node that restarts with an empty disk keeps its disk id, and so remains the same voter.
    KeepsDiskId,
}

/// Returns a command that sets a configuration with this version and digest.
pub(crate) fn config(version: u32, digest: u64) -> Command {
    Command::SetConfig {
        version,
        compressed_text: digest.to_le_bytes().to_vec(),
        digest,
    }
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReadResult {
    /// The read failed.
    Failed,
    /// The version that was read; `None` if no configuration was decided.
    Version(Option<u32>),
}

impl ReadResult {
    /// Whether the read succeeded and returned this version or a later one.
    pub(crate) fn includes(self, version: Option<u32>) -> bool {
        matches!(self, ReadResult::Version(read) if read >= version)
    }
}

/// A message in flight.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: NodeId,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

pub(crate) struct Cluster {
    pub(crate) variant: Variant,
    pub(crate) now: f64,
    /// The replicas of the nodes that are up.
    pub(crate) up: BTreeMap<NodeId, Replica>,
    planners: BTreeMap<NodeId, MembershipPlanner>,
    /// The disks of all nodes that have not been permanently removed.
    pub(crate) disks: BTreeMap<NodeId, Option<DurableState>>,
    unsynced: BTreeMap<NodeId, DurableState>,
    pub(crate) messages: Vec<Envelope>,
    leaving: BTreeSet<NodeId>,
    /// The nodes that run the program version before version 0 was distinguished from "no configuration".
    pub(crate) earlier_programs: BTreeSet<NodeId>,
    /// The time since which a node has been down.
    down_since: BTreeMap<NodeId, f64>,
    /// The number of further effects after which a node crashes.
    crash_after: BTreeMap<NodeId, u8>,
    incarnations: u64,
    next_node: u32,
    /// The version that the next step of a schedule submits.
    pub(crate) next_version: u32,
    /// All submitted commands.
    pub(crate) submitted: BTreeMap<CommandId, Command>,
    /// The highest acknowledged version.
    pub(crate) acknowledged_version: Option<u32>,
    /// The digests of the acknowledged texts of each version.
    pub(crate) acknowledged: BTreeMap<u32, BTreeSet<u64>>,
    /// The evacuation commands that were acknowledged.
    pub(crate) acknowledged_evacuations: BTreeSet<CommandId>,
    /// The versions and digests that were rejected with a conflict.
    pub(crate) rejected: BTreeSet<(u32, u64)>,
    /// The versions that completed reads returned.
    pub(crate) read_versions: BTreeMap<CommandId, Option<u32>>,
    is_first_start: bool,
    rng: fastrand::Rng,
}

impl Cluster {
    /// Creates a cluster of three seeds and one further node, and runs it until the first voters are decided.
    pub(crate) fn new(variant: Variant) -> Cluster {
        let mut cluster = Cluster {
            variant,
            now: 0.0,
            up: BTreeMap::new(),
            planners: BTreeMap::new(),
            disks: BTreeMap::new(),
            unsynced: BTreeMap::new(),
            messages: Vec::new(),
            leaving: BTreeSet::new(),
            earlier_programs: BTreeSet::new(),
            down_since: BTreeMap::new(),
            crash_after: BTreeMap::new(),
            incarnations: 0,
            next_node: 5,
            next_version: 0,
            submitted: BTreeMap::new(),
            acknowledged_version: None,
            acknowledged: BTreeMap::new(),
            acknowledged_evacuations: BTreeSet::new(),
            rejected: BTreeSet::new(),
            read_versions: BTreeMap::new(),
            is_first_start: true,
            rng: fastrand::Rng::with_seed(1),
        };
        for number in 1..=4 {
            cluster.disks.insert(node(number), None);
            cluster.start(node(number));
        }
        cluster.is_first_start = false;
        cluster.stabilize();
        assert_eq!(cluster.epoch().number, 1);
        cluster
    }

    /// Returns all nodes that have not been permanently removed.
    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.disks.keys().copied().collect()
    }

    /// Returns the newest epoch known to any node.
    pub(crate) fn epoch(&self) -> Epoch {
        let on_disks = self.disks.values().flatten().map(|state| &state.epoch);
        let all = self.up.values().map(Replica::epoch).chain(on_disks);
        all.max_by_key(|epoch| epoch.number)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the voters of the newest epoch.
    pub(crate) fn voters(&self) -> Vec<NodeId> {
        self.epoch().voters.nodes().collect()
    }

    fn new_incarnation(&mut self) -> u64 {
        self.incarnations += 1;
        self.incarnations << 32
    }

    pub(crate) fn start(&mut self, node: NodeId) {
        if self.up.contains_key(&node) || !self.disks.contains_key(&node) {
            return;
        }
        let incarnation = self.new_incarnation();
        let new_disk_id: DiskId = if self.variant == Variant::KeepsDiskId {
            u64::from(node.as_u32())
        } else {
            self.incarnations
        };
        let options = ReplicaOptions {
            node,
            is_first_start: self.is_first_start,
            seeds: &SEEDS,
            new_disk_id,
            incarnation,
        };
        let (replica, effects) = Replica::start(options, self.disks[&node].clone());
        self.up.insert(node, replica);
        self.leaving.remove(&node);
        self.down_since.remove(&node);
        let planner = MembershipPlanner::new(node, POLICY, self.now);
        self.planners.insert(node, planner);
        self.perform_effects(node, effects);
    }

    /// Replaces the replica and the disk of a running node with the given state.
    fn restart_with(&mut self, node: NodeId, state: DurableState) {
        let incarnation = self.new_incarnation();
        let options = restart_options(node, incarnation);
        let (replica, _) = Replica::start(options, Some(state.clone()));
        self.up.insert(node, replica);
        self.disks.insert(node, Some(state));
    }

    pub(crate) fn perform_effects(&mut self, node: NodeId, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(left) = self.crash_after.get_mut(&node) {
                if *left == 0 {
                    self.crash_after.remove(&node);
                    return self.kill(node);
                }
                *left -= 1;
            }
            self.perform_effect(node, effect);
        }
    }

    fn perform_effect(&mut self, node: NodeId, effect: Effect) {
        match effect {
            Effect::Persist => {
                let Some(state) = self.up.get(&node).map(|r| r.state().clone()) else {
                    return;
                };
                if self.variant == Variant::DelayedSync {
                    self.unsynced.insert(node, state);
                } else {
                    self.disks.insert(node, Some(state));
                }
            }
            Effect::Send { to, mut message } => {
                if self.variant == Variant::IgnoresAccepted {
                    remove_accepted(&mut message);
                }
                self.messages.push(Envelope {
                    from: node,
                    to,
                    message,
                });
            }
            Effect::Completed {
                command_id,
                outcome,
            } => self.record_outcome(command_id, &outcome),
            Effect::CommittedAdvanced | Effect::EpochChanged => {}
        }
    }

    fn record_outcome(&mut self, command_id: CommandId, outcome: &CommandOutcome) {
        let is_committed = matches!(outcome, CommandOutcome::Committed(_));
        let (version, digest) = match self.submitted.get(&command_id) {
            Some(Command::SetConfig {
                version, digest, ..
            }) => (version, digest),
            Some(Command::SetEvacuation { .. }) if is_committed => {
                self.acknowledged_evacuations.insert(command_id);
                return;
            }
            Some(Command::Read) => {
                if let CommandOutcome::Committed(state) = outcome {
                    self.read_versions
                        .insert(command_id, state.config_version());
                }
                return;
            }
            _ => return,
        };
        match outcome {
            CommandOutcome::Committed(_) => {
                self.acknowledged_version = self.acknowledged_version.max(Some(*version));
                self.acknowledged
                    .entry(*version)
                    .or_default()
                    .insert(*digest);
            }
            CommandOutcome::VersionConflict => {
                self.rejected.insert((*version, *digest));
            }
            CommandOutcome::NoQuorum => {}
        }
    }

    /// Whether one node may be lost now: all voters of the newest epoch have their disks and have joined the epoch, and
    /// no change of the voters is in progress. The requirements allow `sync-s` until this holds again.
    pub(crate) fn tolerates_disk_loss(&self) -> bool {
        let epoch = self.epoch();
        let has_accepted = |s: &DurableState| s.epoch == epoch && s.successor.accepted.is_some();
        let is_change = |envelope: &Envelope| {
            matches!(
                envelope.message,
                Message::Request {
                    request: Request::AcceptSuccessor { .. },
                    ..
                }
            )
        };
        if self.disks.values().flatten().any(has_accepted)
            || self.up.values().any(Replica::is_proposing_voters)
            || self.messages.iter().any(is_change)
        {
            return false;
        }
        let is_synced = |node: NodeId| {
            let state = self.disks.get(&node).and_then(|disk| disk.as_ref());
            state.is_some_and(|s| {
                s.epoch == epoch && s.has_joined && s.is_voter_in(&epoch.voters, node)
            })
        };
        let mut voters = epoch.voters.nodes();
        voters.all(is_synced)
    }

    pub(crate) fn submit(&mut self, node: NodeId, command: Command) {
        let command_id = self.submitted.len() as CommandId;
        self.submitted.insert(command_id, command.clone());
        if let Some(replica) = self.up.get_mut(&node) {
            let effects = replica.submit(self.now, command, Some(command_id));
            self.perform_effects(node, effects);
        }
    }

    pub(crate) fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        if let (Message::Request { epoch, request }, Variant::NoSeal) = (&message, self.variant) {
            if self.answer_in_sealed_epoch(from, to, *epoch, request.clone()) {
                return;
            }
        }
        let is_earlier = self.earlier_programs.contains(&to);
        let message = match is_earlier {
            true => earlier_program::handle(&message),
            false => earlier_program::Handling::Pass(message),
        };
        match message {
            earlier_program::Handling::Pass(message) => self.handle(to, from, message),
            earlier_program::Handling::Answer(message) => self.messages.push(Envelope {
                from: to,
                to: from,
                message,
            }),
        }
        if self.variant == Variant::JoinsBeforeTransfer {
            self.join_without_transfer(to);
        }
    }

    fn handle(&mut self, node: NodeId, from: NodeId, message: Message) {
        if let Some(replica) = self.up.get_mut(&node) {
            let effects = replica.step(self.now, from, message);
            self.perform_effects(node, effects);
        }
    }

    /// Answers a request of the previous epoch as if that epoch were not sealed ([`Variant::NoSeal`]).
    fn answer_in_sealed_epoch(
        &mut self,
        from: NodeId,
        to: NodeId,
        epoch: u32,
        request: Request,
    ) -> bool {
        let Some(replica) = self.up.get(&to) else {
            return false;
        };
        let state = replica.state().clone();
        let was_voter = state.is_voter_in(&state.epoch.previous_voters, to);
        if epoch + 1 != state.epoch.number || epoch == 0 || !was_voter {
            return false;
        }
        let mut before = state.clone();
        before.epoch = Epoch {
            number: epoch,
            voters: state.epoch.previous_voters.clone(),
            ..Epoch::default()
        };
        before.has_joined = true;
        let incarnation = self.incarnations << 32;
        let (mut stale, _) = Replica::start(restart_options(to, incarnation), Some(before));
        let effects = stale.step(self.now, from, Message::Request { epoch, request });
        let mut after = stale.state().clone();
        after.epoch = state.epoch;
        after.has_joined = state.has_joined;
        after.successor = state.successor;
        self.restart_with(to, after);
        let replies = effects
            .into_iter()
            .filter(|e| matches!(e, Effect::Send { .. }));
        self.perform_effects(to, replies.collect());
        true
    }

    /// Makes a voter of a new epoch join it without a state transfer ([`Variant::JoinsBeforeTransfer`]).
    fn join_without_transfer(&mut self, node: NodeId) {
        let Some(replica) = self.up.get(&node) else {
            return;
        };
        if replica.is_voter() && !replica.has_joined() {
            let mut state = replica.state().clone();
            state.has_joined = true;
            self.restart_with(node, state);
        }
    }

    pub(crate) fn tick(&mut self, node: NodeId) {
        if let Some(state) = self.unsynced.remove(&node) {
            if self.disks.contains_key(&node) {
                self.disks.insert(node, Some(state));
            }
        }
        let nodes = self.node_statuses();
        let (Some(replica), Some(planner)) = (self.up.get_mut(&node), self.planners.get_mut(&node))
        else {
            return;
        };
        let mut effects = replica.tick(self.now);
        if let Some(voters) = planner.next_proposal(self.now, replica.epoch(), &nodes) {
            effects.extend(replica.propose_voters(self.now, voters));
        }
        self.perform_effects(node, effects);
    }

    /// Returns the status of all nodes, as observed by every node.
    fn node_statuses(&self) -> BTreeMap<NodeId, NodeStatus> {
        let status = |node: NodeId| {
            let replica = self.up.get(&node);
            let time_since_contact = match (replica, self.down_since.get(&node)) {
                (Some(_), _) => 0.0,
                (None, Some(since)) => self.now - since,
                (None, None) => f64::INFINITY,
            };
            NodeStatus {
                disk: replica.map_or(0, |replica| replica.state().disk),
                zone: format!("z{}", node.as_u32()),
                time_since_contact,
                is_leaving: self.leaving.contains(&node),
            }
        };
        let nodes = self.voters().into_iter().chain(self.nodes());
        nodes.map(|node| (node, status(node))).collect()
    }

    /// Delivers the messages that match the filter, oldest first, until none is left.
    pub(crate) fn deliver_where(&mut self, passes: impl Fn(&Envelope) -> bool) {
        while let Some(index) = self.messages.iter().position(&passes) {
            let envelope = self.messages.remove(index);
            self.deliver(envelope);
        }
    }

    /// Runs these nodes for a number of ticks, isolated from all others.
    pub(crate) fn run_partition(&mut self, nodes: &[NodeId], ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK_MS;
            nodes.iter().for_each(|node| self.tick(*node));
            self.deliver_where(|e| nodes.contains(&e.from) && nodes.contains(&e.to));
        }
    }

    /// Marks a node as shutting down, so that its vote is transferred.
    pub(crate) fn leave(&mut self, node: NodeId) {
        self.leaving.insert(node);
    }

    /// Ends the process of a node. Its disk is unchanged.
    pub(crate) fn kill(&mut self, node: NodeId) {
        if self.up.remove(&node).is_some() {
            self.down_since.insert(node, self.now);
        }
        self.messages.retain(|e| e.from != node && e.to != node);
    }

    /// Ends the process of a node and discards its unsynced state.
    pub(crate) fn cut_power(&mut self, node: NodeId) {
        self.unsynced.remove(&node);
        self.kill(node);
    }

    /// Permanently removes a node and starts an empty one at another address.
    pub(crate) fn replace(&mut self, node: NodeId) {
        self.cut_power(node);
        self.disks.remove(&node);
        let new = NodeId::new(self.next_node);
        self.next_node += 1;
        self.disks.insert(new, None);
        self.start(new);
        // The first message on each connection contains the epoch.
        let epochs = self.up.values().map(Replica::epoch);
        let known = epochs.max_by_key(|epoch| epoch.number).cloned();
        if let (Some(known), Some(replica)) = (known, self.up.get_mut(&new)) {
            let effects = replica.observe_epoch(self.now, new, known);
            self.perform_effects(new, effects);
        }
    }

    /// Starts all nodes and runs them without faults until missing voters have been replaced.
    pub(crate) fn stabilize(&mut self) {
        self.crash_after.clear();
        self.leaving.clear();
        self.nodes().iter().for_each(|node| self.start(*node));
        self.run(STABILIZE_TICKS);
    }

    /// Runs all nodes for a number of ticks, and delivers all messages between them.
    pub(crate) fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK_MS;
            let nodes: Vec<NodeId> = self.up.keys().copied().collect();
            self.exchange_epochs(&nodes);
            nodes.iter().for_each(|node| self.tick(*node));
            while !self.messages.is_empty() {
                // Messages are delivered in random order, so that any majority may reply first.
                let index = self.rng.usize(..self.messages.len());
                let envelope = self.messages.swap_remove(index);
                self.deliver(envelope);
            }
        }
    }

    /// Sends the epoch of each node to every other node, as heartbeats do.
    fn exchange_epochs(&mut self, nodes: &[NodeId]) {
        for from in nodes {
            let epoch = self.up[from].epoch().clone();
            for to in nodes.iter().filter(|to| *to != from) {
                let receiver = self.up.get_mut(to).unwrap();
                let effects = receiver.observe_epoch(self.now, *from, epoch.clone());
                self.perform_effects(*to, effects);
            }
        }
    }

    /// Cuts the power of all nodes, restarts them, and reads from each.
    pub(crate) fn read_after_power_loss(&mut self) -> Vec<ReadResult> {
        let nodes = self.nodes();
        nodes.iter().for_each(|node| self.cut_power(*node));
        self.stabilize();
        nodes.iter().map(|node| self.read(*node)).collect()
    }

    /// Reads from a node.
    pub(crate) fn read(&mut self, node: NodeId) -> ReadResult {
        let command_id = self.submitted.len() as CommandId;
        self.submitted.insert(command_id, Command::Read);
        let Some(replica) = self.up.get_mut(&node) else {
            return ReadResult::Failed;
        };
        let effects = replica.submit(self.now, Command::Read, Some(command_id));
        self.perform_effects(node, effects);
        self.run(COMMAND_TICKS);
        match self.up.get(&node) {
            Some(replica) if replica.committed_as_of().is_some() => {
                ReadResult::Version(replica.committed().config_version())
            }
            _ => ReadResult::Failed,
        }
    }

    /// Resubmits all configurations that have been submitted, to alternating nodes.
    pub(crate) fn resubmit_all(&mut self) {
        let is_config = |command: &&Command| matches!(command, Command::SetConfig { .. });
        let commands = self.submitted.values().filter(is_config);
        let commands: Vec<Command> = commands.cloned().collect();
        for (n, command) in commands.into_iter().enumerate() {
            let nodes = self.nodes();
            self.submit(nodes[n % nodes.len()], command);
            self.run(COMMAND_TICKS);
        }
    }

    /// Whether each version has a single text: no acknowledged text was rejected, and no rejected text is active.
    pub(crate) fn has_one_text_per_version(&self) -> bool {
        let was_rejected = |version: &u32, digests: &BTreeSet<u64>| {
            digests
                .iter()
                .any(|digest| self.rejected.contains(&(*version, *digest)))
        };
        let has_acknowledged_text = |replica: &Replica| {
            let Some(config) = &replica.committed().config else {
                return true;
            };
            let is_text = |digest: &u64| digest.to_le_bytes().as_slice() == config.compressed_text;
            let acknowledged = self.acknowledged.get(&config.version);
            acknowledged.is_none_or(|digests| digests.iter().all(is_text))
        };
        self.acknowledged.values().all(|digests| digests.len() == 1)
            && !self.acknowledged.iter().any(|(version, digests)| was_rejected(version, digests))
            // A command is rejected only after the other text is decided, which is acknowledged when it is
            // resubmitted.
            && self.rejected.iter().all(|(version, _)| self.acknowledged.contains_key(version))
            && self.up.values().all(has_acknowledged_text)
    }
}

/// Removes the accepted proposal from a promise ([`Variant::IgnoresAccepted`]).
fn remove_accepted(message: &mut Message) {
    let Message::Reply {
        reply: Reply::Version { answer, .. },
        ..
    } = message
    else {
        return;
    };
    if let VersionAnswer::Promised(accepted) = &mut **answer {
        *accepted = None;
    }
}
