//! Proposes the texts of configuration versions: this node runs one Paxos proposer for each undecided version, and all
//! its commands for that version share it.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::effect::{CommandId, Outcome};
use crate::message::{Message, Request};
use crate::node::{Millis, NodeId};
use crate::proposer::{Phase, Proposer};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_AFTER};
use crate::replicated_state::ReplicatedState;
use crate::versions::{ConfigText, OpenVersion, VersionAnswer};
use std::collections::BTreeMap;

/// A command that waits for its version to be decided.
struct PendingCommand {
    /// None if no caller waits for the outcome.
    command_id: Option<CommandId>,
    /// The digest of the text that the command proposed.
    digest: u64,
    started_at: Millis,
}

/// The proposal for a version, and the commands that wait for the decision.
struct VersionProposal {
    proposer: Proposer<ConfigText>,
    pending: Vec<PendingCommand>,
}

/// A version whose proposal has ended. Reads that wait for the version can continue.
pub(crate) struct ClosedVersion {
    pub(crate) version: u32,
    /// Whether the decided text is in force on this node, or superseded.
    pub(crate) is_in_force: bool,
    /// Whether the durable state has changed. It is persisted after the waiting reads have been completed: their result
    /// is on a majority's disks already, so they need not wait for this disk.
    pub(crate) must_persist: bool,
}

/// All proposals of this node for configuration versions.
#[derive(Default)]
pub(crate) struct VersionProposals {
    by_version: BTreeMap<u32, VersionProposal>,
}

impl VersionProposals {
    /// Proposes a text for a version. The command ends at once if the version is known to be decided, and joins the
    /// pending proposal if there is one.
    pub(crate) fn propose(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        text: ConfigText,
        command_id: Option<CommandId>,
    ) {
        let digest = text.digest;
        if let Some(decided) = core.durable.versions.decided(version) {
            return complete_command(core, command_id, digest, Some(decided));
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
        };
        self.by_version.insert(version, proposal);
        self.send_request(core, version);
    }

    /// Completes a proposal that some voter has accepted.
    pub(crate) fn complete(&mut self, core: &mut ReplicaCore, open: OpenVersion) {
        let version = open.version;
        if self.by_version.contains_key(&version) {
            return;
        }
        let accepted = Accepted {
            ballot: open.ballot,
            value: open.text,
        };
        let proposal = VersionProposal {
            proposer: Proposer::complete(accepted, core.now),
            pending: Vec::new(),
        };
        self.by_version.insert(version, proposal);
        self.send_request(core, version);
    }

    /// Sends the request of a proposal's phase to the voters that have not granted it.
    fn send_request(&mut self, core: &mut ReplicaCore, version: u32) {
        if !core.durable.epoch.takes_commands() {
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

    /// Sends unanswered requests again, and starts proposals over whose backoff has passed.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let now = core.now;
        let is_due = |proposer: &Proposer<ConfigText>| match proposer.phase() {
            Phase::BackedOff { until } => now >= until,
            Phase::Preparing | Phase::Accepting => now - proposer.last_sent_at >= RESEND_AFTER,
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

    /// Starts a proposal over, above all ballots that were observed.
    fn restart(&mut self, core: &mut ReplicaCore, version: u32) {
        let ballot = core.new_ballot();
        if let Some(proposal) = self.by_version.get_mut(&version) {
            proposal.proposer.restart(ballot, core.now);
            self.send_request(core, version);
        }
    }

    /// Starts all proposals over: the voters have changed, and answers of the former ones do not count.
    pub(crate) fn restart_all(&mut self, core: &mut ReplicaCore) {
        let versions: Vec<u32> = self.by_version.keys().copied().collect();
        for version in versions {
            self.restart(core, version);
        }
    }

    /// Ends the commands that have waited too long, and drops the proposals that nobody waits for. `awaited_by_read`:
    /// whether some read waits for that version.
    pub(crate) fn expire(&mut self, core: &mut ReplicaCore, awaited_by_read: impl Fn(u32) -> bool) {
        let now = core.now;
        for proposal in self.by_version.values_mut() {
            let expired = |command: &mut PendingCommand| now - command.started_at > COMMAND_TIMEOUT;
            for command in proposal.pending.extract_if(.., expired) {
                core.complete(command.command_id, Outcome::NoQuorum);
            }
        }
        self.by_version
            .retain(|version, proposal| !proposal.pending.is_empty() || awaited_by_read(*version));
    }

    /// A voter answered. Returns the version if its proposal has ended.
    pub(crate) fn on_answer(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        version: u32,
        ballot: Ballot,
        answer: VersionAnswer,
    ) -> Option<ClosedVersion> {
        let voter_count = core.voter_count();
        let quorum = core.quorum();
        let retry_at = core.draw_retry_time();
        let proposal = self.by_version.get_mut(&version);
        let proposal = proposal.filter(|p| p.proposer.ballot() == ballot)?;
        let proposer = &mut proposal.proposer;
        match answer {
            VersionAnswer::Promised(accepted) => {
                if proposer.on_promise(from, accepted, quorum) {
                    self.send_request(core, version);
                }
                None
            }
            VersionAnswer::Accepted => {
                let is_decided = proposer.on_acceptance(from, quorum);
                let text = is_decided.then(|| proposer.value().clone())?;
                Some(self.announce_decision(core, version, text))
            }
            VersionAnswer::Preempted(by) => {
                proposer.on_preempted(from, voter_count, quorum, retry_at);
                core.ballots.observe(by);
                None
            }
            VersionAnswer::Decided(digest) => {
                let own = proposer.value().clone();
                let text = own.compressed.filter(|_| own.digest == digest);
                Some(self.learn(core, version, digest, text))
            }
            // The version was superseded long ago: whichever text was decided for it, the command would change nothing.
            VersionAnswer::Compacted => {
                self.close(core, version, None);
                Some(ClosedVersion {
                    version,
                    is_in_force: false,
                    must_persist: false,
                })
            }
        }
    }

    /// Announces to the other voters that a majority has accepted `text`, which decides the version.
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

    /// Records a decision that this node or another one has found. `compressed_text`: the decided text, if this node has
    /// it. Waiting commands end at once: their outcome is on a majority's disks and need not wait for this node's.
    pub(crate) fn learn(
        &mut self,
        core: &mut ReplicaCore,
        version: u32,
        digest: u64,
        compressed_text: Option<Vec<u8>>,
    ) -> ClosedVersion {
        let must_persist = record_decision(core, version, digest, compressed_text);
        let config = core.durable.replicated.config.clone();
        let decided =
            ReplicatedState::default().with_config(config.version, config.compressed_text);
        core.commit(&decided);
        self.close(core, version, Some(digest));
        ClosedVersion {
            version,
            is_in_force: core.durable.replicated.config.version >= version,
            must_persist,
        }
    }

    /// Removes a version's proposal and ends the commands that waited for it. `decided`: the digest of the decided
    /// text; none if the version was superseded so long ago that the decision is not remembered.
    fn close(&mut self, core: &mut ReplicaCore, version: u32, decided: Option<u64>) {
        let Some(proposal) = self.by_version.remove(&version) else {
            return;
        };
        for command in proposal.pending {
            complete_command(core, command.command_id, command.digest, decided);
        }
    }
}

/// Records a decision in the durable state. Returns whether that changed it.
fn record_decision(
    core: &mut ReplicaCore,
    version: u32,
    digest: u64,
    compressed_text: Option<Vec<u8>>,
) -> bool {
    let durable = &mut core.durable;
    let compressed_text =
        compressed_text.or_else(|| durable.versions.accepted_text(version, digest));
    let is_newer = version > durable.replicated.config.version;
    let mut has_changed = false;
    if let Some(compressed_text) = compressed_text.filter(|_| is_newer) {
        let decided = ReplicatedState::default().with_config(version, compressed_text);
        has_changed |= durable.replicated.merge(&decided);
        durable.versions.discard_superseded_texts(version);
    }
    let in_force = durable.replicated.config.version;
    has_changed |= durable.versions.decide(version, digest, in_force);
    has_changed
}

/// Ends a command whose version is closed. `digest`: of the text that the command proposed. `decided`: the digest of
/// the decided text, if it is remembered.
fn complete_command(
    core: &mut ReplicaCore,
    command_id: Option<CommandId>,
    digest: u64,
    decided: Option<u64>,
) {
    let takes_effect = decided.is_none_or(|decided| decided == digest);
    let outcome = if takes_effect {
        core.committed_outcome()
    } else {
        Outcome::VersionConflict
    };
    core.complete(command_id, outcome);
}
