//! Deciding who votes in the next epoch: the voters of an epoch agree on the voters of the epoch after it, by Paxos.

use crate::ballot::Ballot;
use crate::membership::{Epoch, Voters};
use crate::message::{Request, SuccessorAnswer};
use crate::node::{Millis, NodeId};
use crate::proposer::{Phase, Proposer};
use crate::replica_core::{ReplicaCore, COMMAND_TIMEOUT, RESEND_AFTER};

/// How long a set of voters that this node accepted may stay undecided before this node proposes it itself. Otherwise
/// Paxos would make a much later change adopt this set, when its nodes may be gone.
const COMPLETE_AFTER: Millis = COMMAND_TIMEOUT;

/// A ballot under which this node accepted voters of the next epoch, and when that was first noticed.
#[derive(Clone, Copy)]
struct AcceptedSince {
    ballot: Ballot,
    since: Millis,
}

/// This node's attempt to have the next epoch's voters decided.
#[derive(Default)]
pub(crate) struct MembershipChange {
    proposer: Option<Proposer<Voters>>,
    accepted: Option<AcceptedSince>,
}

impl MembershipChange {
    /// Proposes the voters of the next epoch, unless this node does so already.
    pub(crate) fn propose(&mut self, core: &mut ReplicaCore, voters: Voters) {
        let is_change = !voters.is_empty() && voters != core.durable.epoch.voters;
        if self.proposer.is_none() && is_change {
            self.start(core, voters);
        }
    }

    /// Whether this node is having the next epoch decided.
    pub(crate) fn is_proposing(&self) -> bool {
        self.proposer.is_some()
    }

    /// Gives up: another epoch has begun.
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

    /// Proposes a set of voters that was accepted here a while ago, if it is still undecided.
    pub(crate) fn complete_accepted(&mut self, core: &mut ReplicaCore) {
        let accepted = core.durable.successor.accepted.clone();
        let Some(accepted) = accepted.filter(|_| core.has_joined()) else {
            self.accepted = None;
            return;
        };
        let ballot = accepted.ballot;
        let known = self.accepted.filter(|known| known.ballot == ballot);
        let since = known.map_or(core.now, |known| known.since);
        self.accepted = Some(AcceptedSince { ballot, since });
        if self.proposer.is_none() && core.now - since >= COMPLETE_AFTER {
            self.accepted = None;
            self.start(core, accepted.value);
        }
    }

    /// Sends an unanswered request again.
    pub(crate) fn resend(&mut self, core: &mut ReplicaCore) {
        let Some(proposer) = &self.proposer else {
            return;
        };
        match proposer.phase() {
            // The proposer that preempted this one may have succeeded. If not, any node that sees a reason for a change
            // proposes again.
            Phase::BackedOff { until } if core.now >= until => self.proposer = None,
            Phase::BackedOff { .. } => {}
            Phase::Preparing | Phase::Accepting => {
                if core.now - proposer.last_sent_at >= RESEND_AFTER {
                    self.send_request(core);
                }
            }
        }
    }

    /// A voter answered. Returns the next epoch once it is decided.
    pub(crate) fn on_answer(
        &mut self,
        core: &mut ReplicaCore,
        from: NodeId,
        ballot: Ballot,
        answer: SuccessorAnswer,
    ) -> Option<Epoch> {
        let voter_count = core.voter_count();
        let quorum = core.quorum();
        let retry_at = core.draw_retry_time();
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
