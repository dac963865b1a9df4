//! The proposer of single-decree Paxos (Lamport, "Paxos Made Simple", 2001): collects promises, then acceptances, and
//! backs off when other proposers preempt it. Sends nothing itself.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::node::{Millis, NodeId};
use std::collections::BTreeSet;

/// The phase of a proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Phase 1: promises are collected.
    Preparing,
    /// Phase 2: acceptances are collected.
    Accepting,
    /// So many voters have promised higher ballots that the others form no quorum.
    BackedOff {
        /// When to try again.
        until: Millis,
    },
}

/// One node's attempt to have a value decided among the voters of an epoch.
///
/// Invariant: a value that may have been decided under a lower ballot displaces the proposer's own. Any quorum of
/// promises contains an acceptor of each decided value, and `value` is the one with the highest ballot among those that
/// the promises reported.
#[derive(Clone, Debug)]
pub(crate) struct Proposer<V> {
    ballot: Ballot,
    value: V,
    /// The ballot under which an acceptor reported `value`; none while it is the proposer's own.
    value_accepted_under: Option<Ballot>,
    phase: Phase,
    /// When the requests of this phase were sent last.
    pub(crate) last_sent_at: Millis,
    /// The voters that granted this phase's request.
    granted_by: BTreeSet<NodeId>,
    /// The voters that have promised a higher ballot.
    preempted_by: BTreeSet<NodeId>,
}

impl<V: Clone> Proposer<V> {
    /// Proposes a value of the proposer's own.
    pub(crate) fn new(ballot: Ballot, value: V, now: Millis) -> Proposer<V> {
        Proposer {
            ballot,
            value,
            value_accepted_under: None,
            phase: Phase::Preparing,
            last_sent_at: now,
            granted_by: BTreeSet::new(),
            preempted_by: BTreeSet::new(),
        }
    }

    /// Completes another node's proposal, which some voter has accepted, under that proposal's ballot. Its proposer
    /// had a quorum of promises, so no second phase 1 is needed.
    pub(crate) fn complete(accepted: Accepted<V>, now: Millis) -> Proposer<V> {
        Proposer {
            value_accepted_under: Some(accepted.ballot),
            phase: Phase::Accepting,
            ..Proposer::new(accepted.ballot, accepted.value, now)
        }
    }

    /// Proposes the same value under another ballot, from phase 1 on and without the answers received so far.
    pub(crate) fn restart(&mut self, ballot: Ballot, now: Millis) {
        *self = Proposer::new(ballot, self.value.clone(), now);
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The value that phase 2 asks the voters to accept. It is final once a quorum has promised.
    pub(crate) fn value(&self) -> &V {
        &self.value
    }

    /// Whether that voter has not yet granted the request of this phase.
    pub(crate) fn awaits(&self, voter: NodeId) -> bool {
        !self.granted_by.contains(&voter)
    }

    /// A voter promised and reported what it had accepted. Returns true if a quorum has promised now: phase 2 begins.
    pub(crate) fn on_promise(
        &mut self,
        from: NodeId,
        accepted: Option<Accepted<V>>,
        quorum: usize,
    ) -> bool {
        if self.phase != Phase::Preparing {
            return false;
        }
        if let Some(accepted) = accepted.filter(|a| Some(a.ballot) > self.value_accepted_under) {
            self.value_accepted_under = Some(accepted.ballot);
            self.value = accepted.value;
        }
        self.granted_by.insert(from);
        if self.granted_by.len() < quorum {
            return false;
        }
        self.phase = Phase::Accepting;
        self.granted_by.clear();
        self.preempted_by.clear();
        true
    }

    /// A voter accepted the value. Returns true if a quorum has accepted it: the value is decided.
    pub(crate) fn on_acceptance(&mut self, from: NodeId, quorum: usize) -> bool {
        if self.phase != Phase::Accepting {
            return false;
        }
        self.granted_by.insert(from);
        self.granted_by.len() >= quorum
    }

    /// A voter has promised a higher ballot. Backs off until `retry_at` once the other voters form no quorum any more.
    pub(crate) fn on_preempted(
        &mut self,
        from: NodeId,
        voter_count: usize,
        quorum: usize,
        retry_at: Millis,
    ) {
        if matches!(self.phase, Phase::BackedOff { .. }) {
            return;
        }
        self.preempted_by.insert(from);
        if voter_count.saturating_sub(self.preempted_by.len()) < quorum {
            self.phase = Phase::BackedOff { until: retry_at };
        }
    }
}
