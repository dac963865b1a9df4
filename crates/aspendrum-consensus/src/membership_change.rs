//! Proposes the voters of the next epoch. The voters of the current epoch decide them by Paxos.

use crate::ballot::Ballot;
use crate::membership::{Epoch, Voters};
use crate::message::{Request, SuccessorAnswer};
use crate::node::{Millis, NodeId};
use crate::proposer::{Phase, Proposer};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_INTERVAL};

/// The time after which this node proposes a set of voters that it has accepted and that is still undecided. Otherwise
/// Paxos would make a much later change adopt this set, whose nodes may be gone by then.
const COMPLETION_DELAY: Millis = COMMAND_TIMEOUT;

/// A proposal of the next voters that this node has accepted as a voter.
#[derive(Clone, Copy)]
struct AcceptedProposal {
    ballot: Ballot,
    /// When the proposal was first observed in the durable state.
    first_seen_at: Millis,
}

/// The state of this node's proposal of the next epoch's voters.
#[derive(Default)]
pub(crate) struct MembershipChange {
    proposer: Option<Proposer<Voters>>,
    accepted: Option<AcceptedProposal>,
}

impl MembershipChange {
    /// Proposes the voters of the next epoch. Does nothing if this node has a pending proposal, or if the voters stay
    /// the same.
    pub(crate) fn propose(&mut self, core: &mut ReplicaCore, voters: Voters) {
        let is_change = !voters.is_empty() && voters != core.durable.epoch.voters;
        if self.proposer.is_none() && is_change {
            self.start(core, voters);
        }
    }

    /// Whether this node has a pending proposal.
    pub(crate) fn is_proposing(&self) -> bool {
        self.proposer.is_some()
    }

    /// Drops the pending proposal after a change of the epoch.
    pub(crate) fn abandon(&mut self) {
        self.proposer = None;
    }

    fn start(&mut self, core: &mut ReplicaCore, voters: Voters) {
        self.proposer = Some(Proposer::new(core.new_ballot(), voters, core.now));
        self.send_request(core);
    }

    fn send_request(&mut self, core: &mut ReplicaCore) {
        let Some(proposer) = &mut self.proposer else {
            return;
        };
        proposer.last_sent_at = core.now;
        let ballot = proposer.ballot();
        let request = match proposer.phase() {
            Phase::Preparing => Request::PrepareSuccessor { ballot },
            Phase::Accepting => Request::AcceptSuccessor {
                ballot,
                voters: proposer.value().clone(),
            },
            Phase::BackedOff { .. } => return,
        };
        core.send_to_voters(|voter| proposer.awaits(voter), &request);
    }

    /// Proposes the set of voters that this node has accepted if it stays undecided for [`COMPLETION_DELAY`].
    pub(crate) fn complete_accepted(&mut self, core: &mut ReplicaCore) {
        let accepted = core.durable.successor.accepted.clone();
        let Some(accepted) = accepted.filter(|_| core.has_joined()) else {
            self.accepted = None;
            return;
        };
        let ballot = accepted.ballot;
        let known = self.accepted.filter(|known| known.ballot == ballot);
        let first_seen_at = known.map_or(core.now, |known| known.first_seen_at);
        self.accepted = Some(AcceptedProposal {
            ballot,
            first_seen_at,
        });
        if self.proposer.is_none() && core.now - first_seen_at >= COMPLETION_DELAY {
            self.accepted = None;
            self.start(core, accepted.value);
        }
    }

    /// Resends an unanswered request, and drops a preempted proposal once its backoff has passed.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let Some(proposer) = &self.proposer else {
            return;
        };
        match proposer.phase() {
            // The proposer that preempted this one may have succeeded. Otherwise the membership planner of any voter
            // proposes the change again.
            Phase::BackedOff { until } if core.now >= until => self.proposer = None,
            Phase::BackedOff { .. } => {}
            Phase::Preparing | Phase::Accepting => {
                if core.now - proposer.last_sent_at >= RESEND_INTERVAL {
                    self.send_request(core);
                }
            }
        }
    }

    /// Handles a voter's answer. Returns the next epoch once it is decided.
    pub(crate) fn on_answer(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        ballot: Ballot,
        answer: SuccessorAnswer,
    ) -> Option<Epoch> {
        let voter_count = core.voter_count();
        let quorum = core.quorum();
        let retry_at = core.random_retry_time();
        let proposer = self.proposer.as_mut().filter(|p| p.ballot() == ballot)?;
        match answer {
            SuccessorAnswer::Promised(accepted) => {
                if proposer.on_promise(from, accepted, quorum) {
                    self.send_request(core);
                }
                None
            }
            SuccessorAnswer::Accepted => {
                let is_decided = proposer.on_acceptance(from, quorum);
                is_decided.then(|| core.durable.epoch.next(proposer.value().clone()))
            }
            SuccessorAnswer::Preempted(by) => {
                proposer.on_preempted(from, voter_count, quorum, retry_at);
                core.ballots.observe(by);
                None
            }
        }
    }
}
