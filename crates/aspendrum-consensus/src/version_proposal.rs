//! Proposes the texts of configuration versions. This node runs one Paxos proposer per undecided version, which all
//! commands for that version share.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::effect::{CommandId, CommandOutcome};
use crate::message::{Message, Request};
use crate::node::{Millis, NodeId};
use crate::proposer::{Phase, Proposer};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_INTERVAL};
use crate::replicated_state::ReplicatedState;
use crate::versions::{ConfigText, UndecidedVersion, VersionAnswer};
use std::collections::BTreeMap;

/// A command that waits for the decision of its version.
struct PendingCommand {
    /// `None` if no caller waits for the outcome.
    command_id: Option<CommandId>,
    /// The digest of the text that the command proposed.
    digest: u64,
    started_at: Millis,
}

/// The proposal for a version and the commands that wait for its decision.
struct VersionProposal {
    proposer: Proposer<ConfigText>,
    pending: Vec<PendingCommand>,
    /// Whether a voter has answered that it dropped the version. The proposal ends once a later version is known to be
    /// committed.
    is_reported_compacted: bool,
}

/// The final state of a version.
#[derive(Clone, Copy)]
enum VersionFate {
    /// The text with this digest was decided.
    Decided(u64),
    /// A later version is committed, and the decision of this one has been dropped. Whichever text was decided, the later
    /// version has replaced it.
    Superseded,
}

/// The consequence of a voter's answer to a proposal.
pub(crate) enum AnswerEffect {
    /// The proposal continues.
    None,
    /// The proposal has ended.
    Closed(ClosedVersion),
    /// A voter has dropped the version. A read must show whether a later version is committed.
    ReadRequired,
}

/// A version whose proposal has ended. Reads that wait for the version can proceed.
pub(crate) struct ClosedVersion {
    pub(crate) version: u32,
    /// Whether this node's configuration is at this version or a later one.
    pub(crate) is_reached: bool,
    /// Whether the durable state has changed. It is persisted after the waiting reads have completed: their result is
    /// already stored by a majority, so they need not wait for this disk.
    pub(crate) must_persist: bool,
}

/// The pending proposals of this node, by configuration version.
#[derive(Default)]
pub(crate) struct VersionProposals {
    by_version: BTreeMap<u32, VersionProposal>,
}

impl VersionProposals {
    /// Proposes a text for a version. The command completes immediately if the decision is known, and joins the pending
    /// proposal for the version if there is one.
    pub(crate) fn propose(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        text: ConfigText,
        command_id: Option<CommandId>,
    ) {
        let digest = text.digest;
        if let Some(decided) = core.durable.versions.decided(version) {
            let fate = VersionFate::Decided(decided);
            return complete_command(core, command_id, digest, fate);
        }
        let command = PendingCommand {
            command_id,
            digest,
            started_at: core.now,
        };
        if let Some(proposal) = self.by_version.get_mut(&version) {
            proposal.pending.push(command);
            return;
        }
        let proposal = VersionProposal {
            proposer: Proposer::new(core.new_ballot(), text, core.now),
            pending: vec![command],
            is_reported_compacted: false,
        };
        self.by_version.insert(version, proposal);
        self.send_request(core, version);
    }

    /// Completes a proposal that at least one voter has accepted.
    pub(crate) fn complete(&mut self, core: &mut ReplicaCore, undecided: UndecidedVersion) {
        let version = undecided.version;
        if self.by_version.contains_key(&version) {
            return;
        }
        let accepted = Accepted {
            ballot: undecided.ballot,
            value: undecided.text,
        };
        let proposal = VersionProposal {
            proposer: Proposer::complete(accepted, core.now),
            pending: Vec::new(),
            is_reported_compacted: false,
        };
        self.by_version.insert(version, proposal);
        self.send_request(core, version);
    }

    /// Sends the request of a proposal's current phase to the voters that have not granted it.
    fn send_request(&mut self, core: &mut ReplicaCore, version: u32) {
        if !core.durable.epoch.accepts_commands() {
            return;
        }
        let Some(proposal) = self.by_version.get_mut(&version) else {
            return;
        };
        let proposer = &mut proposal.proposer;
        proposer.last_sent_at = core.now;
        let ballot = proposer.ballot();
        let request = match proposer.phase() {
            Phase::Preparing => Request::Prepare { version, ballot },
            Phase::Accepting => Request::Accept {
                version,
                ballot,
                text: Box::new(proposer.value().clone()),
            },
            Phase::BackedOff { .. } => return,
        };
        core.send_to_voters(|voter| proposer.awaits(voter), &request);
    }

    /// Resends unanswered requests, and restarts the proposals whose backoff has passed.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let now = core.now;
        let is_due = |proposer: &Proposer<ConfigText>| match proposer.phase() {
            Phase::BackedOff { until } => now >= until,
            Phase::Preparing | Phase::Accepting => now - proposer.last_sent_at >= RESEND_INTERVAL,
        };
        let due = self.by_version.iter().filter(|(_, p)| is_due(&p.proposer));
        let due: Vec<(u32, Phase)> = due.map(|(v, p)| (*v, p.proposer.phase())).collect();
        for (version, phase) in due {
            match phase {
                Phase::BackedOff { .. } => self.restart(core, version),
                Phase::Preparing | Phase::Accepting => self.send_request(core, version),
            }
        }
    }

    /// Restarts a proposal with a ballot above all observed ones.
    fn restart(&mut self, core: &mut ReplicaCore, version: u32) {
        let ballot = core.new_ballot();
        if let Some(proposal) = self.by_version.get_mut(&version) {
            proposal.proposer.restart(ballot, core.now);
            self.send_request(core, version);
        }
    }

    /// Restarts all proposals after a change of the voters: answers of the previous voters do not count.
    pub(crate) fn restart_all(&mut self, core: &mut ReplicaCore) {
        let versions: Vec<u32> = self.by_version.keys().copied().collect();
        for version in versions {
            self.restart(core, version);
        }
    }

    /// Completes the commands that have exceeded [`COMMAND_TIMEOUT`] with [`CommandOutcome::NoQuorum`], and drops the
    /// proposals without waiting commands or reads. `awaited_by_read` returns whether a read waits for a version.
    pub(crate) fn expire(&mut self, core: &mut ReplicaCore, awaited_by_read: impl Fn(u32) -> bool) {
        let now = core.now;
        for proposal in self.by_version.values_mut() {
            let expired = |command: &mut PendingCommand| now - command.started_at > COMMAND_TIMEOUT;
            for command in proposal.pending.extract_if(.., expired) {
                core.complete(command.command_id, CommandOutcome::NoQuorum);
            }
        }
        self.by_version
            .retain(|version, proposal| !proposal.pending.is_empty() || awaited_by_read(*version));
    }

    /// Handles a voter's answer.
    pub(crate) fn on_answer(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        version: u32,
        ballot: Ballot,
        answer: VersionAnswer,
    ) -> AnswerEffect {
        let voter_count = core.voter_count();
        let quorum = core.quorum();
        let retry_at = core.random_retry_time();
        let proposal = self.by_version.get_mut(&version);
        let Some(proposal) = proposal.filter(|p| p.proposer.ballot() == ballot) else {
            return AnswerEffect::None;
        };
        let proposer = &mut proposal.proposer;
        match answer {
            VersionAnswer::Promised(accepted) => {
                if proposer.on_promise(from, accepted, quorum) {
                    self.send_request(core, version);
                }
                AnswerEffect::None
            }
            VersionAnswer::Accepted => {
                if !proposer.on_acceptance(from, quorum) {
                    return AnswerEffect::None;
                }
                let text = proposer.value().clone();
                AnswerEffect::Closed(self.announce_decision(core, version, text))
            }
            VersionAnswer::Preempted(by) => {
                proposer.on_preempted(from, voter_count, quorum, retry_at);
                core.ballots.observe(by);
                AnswerEffect::None
            }
            VersionAnswer::Decided(digest) => {
                let own = proposer.value().clone();
                let text = own.compressed.filter(|_| own.digest == digest);
                AnswerEffect::Closed(self.learn(core, version, digest, text))
            }
            VersionAnswer::Compacted => {
                let was_reported = std::mem::replace(&mut proposal.is_reported_compacted, true);
                let is_superseded = Some(version) < core.committed.config_version();
                if was_reported || is_superseded {
                    AnswerEffect::None
                } else {
                    AnswerEffect::ReadRequired
                }
            }
        }
    }

    /// Ends the proposals for versions that a voter has dropped, if a later version is committed. A voter's answer alone
    /// is no evidence: their commands must not be acknowledged unless something is in force.
    pub(crate) fn close_superseded(&mut self, core: &mut ReplicaCore) -> Vec<ClosedVersion> {
        let committed = core.committed.config_version();
        let is_superseded = |(version, proposal): &(&u32, &VersionProposal)| {
            proposal.is_reported_compacted && Some(**version) < committed
        };
        let superseded = self.by_version.iter().filter(is_superseded);
        let superseded: Vec<u32> = superseded.map(|(version, _)| *version).collect();
        let close = |version| {
            self.close(core, version, VersionFate::Superseded);
            ClosedVersion {
                version,
                is_reached: false,
                must_persist: false,
            }
        };
        superseded.into_iter().map(close).collect()
    }

    /// Announces the decision of `text`, which a majority has accepted, to the other voters and records it.
    fn announce_decision(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        text: ConfigText,
    ) -> ClosedVersion {
        let digest = text.digest;
        for to in core.other_voters() {
            core.send(to, Message::Decided { version, digest });
        }
        self.learn(core, version, digest, text.compressed)
    }

    /// Records a decision that was reached by this node or another one. `compressed_text` is the decided text, if
    /// known. Waiting commands complete immediately: a majority has stored their outcome, so they need not wait for
    /// this node's disk.
    pub(crate) fn learn(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        digest: u64,
        compressed_text: Option<Vec<u8>>,
    ) -> ClosedVersion {
        let must_persist = record_decision(core, version, digest, compressed_text);
        let decided = ReplicatedState {
            config: core.durable.replicated.config.clone(),
            ..ReplicatedState::default()
        };
        core.commit(&decided);
        self.close(core, version, VersionFate::Decided(digest));
        ClosedVersion {
            version,
            is_reached: core.durable.replicated.config_version() >= Some(version),
            must_persist,
        }
    }

    /// Removes the proposal for a version and completes the commands that wait for it.
    fn close(&mut self, core: &mut ReplicaCore, version: u32, fate: VersionFate) {
        let Some(proposal) = self.by_version.remove(&version) else {
            return;
        };
        for command in proposal.pending {
            complete_command(core, command.command_id, command.digest, fate);
        }
    }
}

/// Records a decision in the durable state. Returns whether the state changed.
fn record_decision(
    core: &mut ReplicaCore,
    version: u32,
    digest: u64,
    compressed_text: Option<Vec<u8>>,
) -> bool {
    let durable = &mut core.durable;
    let compressed_text =
        compressed_text.or_else(|| durable.versions.accepted_text(version, digest));
    let is_newer = Some(version) > durable.replicated.config_version();
    let mut has_changed = false;
    if let Some(compressed_text) = compressed_text.filter(|_| is_newer) {
        let decided = ReplicatedState::of_config(version, compressed_text);
        has_changed |= durable.replicated.merge(&decided);
        durable.versions.discard_superseded_texts(Some(version));
    }
    let active_version = durable.replicated.config_version();
    has_changed |= durable.versions.decide(version, digest, active_version);
    has_changed
}

/// Completes a command whose version is closed. `digest` is the digest of the text that the command proposed.
fn complete_command(
    core: &mut ReplicaCore,
    command_id: Option<CommandId>,
    digest: u64,
    fate: VersionFate,
) {
    let outcome = match fate {
        VersionFate::Decided(decided) if decided != digest => CommandOutcome::VersionConflict,
        VersionFate::Decided(_) | VersionFate::Superseded => core.committed_outcome(),
    };
    core.complete(command_id, outcome);
}
