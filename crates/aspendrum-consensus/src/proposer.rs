//! The proposer of single-decree Paxos (Lamport, "Paxos Made Simple", 2001). It collects promises and acceptances, and
//! backs off when other proposers preempt it. The caller sends the requests.

use crate::acceptor::Accepted;
use crate::ballot::Ballot;
use crate::node::{Millis, NodeId};
use std::collections::BTreeSet;

/// The phase of a proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Phase 1: collecting promises.
    Preparing,
    /// Phase 2: collecting acceptances.
    Accepting,
    /// Enough voters have promised higher ballots that the remaining ones cannot form a quorum.
    BackedOff {
        /// When to retry.
        until: Millis,
    },
}

/// The state of one node's proposal of a value to the voters of an epoch.
///
/// Invariant: a value that may have been decided under a lower ballot replaces the proposer's own. Every quorum of
/// promises includes an acceptor of each decided value, and `value` is the value with the highest ballot among those
/// reported by the promises.
#[derive(Clone, Debug)]
pub(crate) struct Proposer<V> {
    ballot: Ballot,
    value: V,
    /// The ballot under which an acceptor reported `value`; `None` if `value` is the proposer's own.
    value_accepted_under: Option<Ballot>,
    phase: Phase,
    /// When the requests of this phase were last sent.
    pub(crate) last_sent_at: Millis,
    /// The voters that granted the request of this phase.
    granted_by: BTreeSet<NodeId>,
    /// The voters that have promised a higher ballot.
    preempted_by: BTreeSet<NodeId>,
}

impl<V: Clone> Proposer<V> {
    /// Starts phase 1 of a proposal of the proposer's own value.
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

    /// Completes another node's proposal, which at least one voter has accepted, under its original ballot. Its
    /// proposer had a quorum of promises, so phase 1 need not be repeated.
    pub(crate) fn complete(accepted: Accepted<V>, now: Millis) -> Proposer<V> {
        Proposer {
            value_accepted_under: Some(accepted.ballot),
            phase: Phase::Accepting,
            ..Proposer::new(accepted.ballot, accepted.value, now)
        }
    }

    /// Restarts at phase 1 with the same value under another ballot, and discards the answers received so far.
    pub(crate) fn restart(&mut self, ballot: Ballot, now: Millis) {
        *self = Proposer::new(ballot, self.value.clone(), now);
    }

    pub(crate) fn phase(&self) -> Phase {
        self.phase
    }

    pub(crate) fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Returns the value to send in phase 2. It is final once a quorum has promised.
    pub(crate) fn value(&self) -> &V {
        &self.value
    }

    /// Whether `voter` has not yet granted the request of this phase.
    pub(crate) fn awaits(&self, voter: NodeId) -> bool {
        !self.granted_by.contains(&voter)
    }

    /// Records a promise and the proposal that the voter has accepted. Returns `true` if the promise completes a quorum
    /// and phase 2 begins.
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

    /// Records an acceptance. Returns `true` if a quorum has accepted the value, which is then decided.
    pub(crate) fn on_acceptance(&mut self, from: NodeId, quorum: usize) -> bool {
        if self.phase != Phase::Accepting {
            return false;
        }
        self.granted_by.insert(from);
        self.granted_by.len() >= quorum
    }

    /// Records that a voter has promised a higher ballot. Backs off until `retry_at` once the remaining voters cannot
    /// form a quorum.
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
