//! Invariants 1 and 2: whether a request may be retried, and which local reply it may get. All such
//! decisions are made here.

use super::{DecisionEngine, TICK_INTERVAL};
use crate::api::{Millis, RepeatGroup, Semantics};
use crate::state::request::{Attempt, ExecutionStatus, Request, RequestStage};

/// No attempt is sent within this time before a deadline or before the end of a repeat window.
pub(super) const DEADLINE_MARGIN: Millis = 2.0 * TICK_INTERVAL;

/// The servers to which a request may be sent next.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum RetryScope {
    /// Any server to which it was not sent before.
    Anywhere,
    /// The servers that recognize a repeat of the request.
    RepeatGroup,
    /// No server.
    Nowhere,
}

/// The reply to a request that no server will answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum LocalReply {
    /// A rejection: the client may safely retry.
    Shed,
    /// `Shed` if all servers recognize repeats, otherwise `Drop`.
    ShedIfAllDeduplicate,
    /// An error. The client must not assume that the request was not executed.
    Drop,
}

struct Rule(Semantics, ExecutionStatus, RetryScope, LocalReply);

const RULES: [Rule; 9] = {
    use ExecutionStatus as Status;
    [
        Rule(
            Semantics::Idempotent,
            Status::NotExecuted,
            RetryScope::Anywhere,
            LocalReply::Shed,
        ),
        Rule(
            Semantics::Idempotent,
            Status::MayHaveExecuted,
            RetryScope::Anywhere,
            LocalReply::Shed,
        ),
        Rule(
            Semantics::Idempotent,
            Status::InFlight,
            RetryScope::Nowhere,
            LocalReply::Shed,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::NotExecuted,
            RetryScope::Anywhere,
            LocalReply::Shed,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::MayHaveExecuted,
            RetryScope::RepeatGroup,
            LocalReply::ShedIfAllDeduplicate,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::InFlight,
            RetryScope::Nowhere,
            LocalReply::ShedIfAllDeduplicate,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::NotExecuted,
            RetryScope::Anywhere,
            LocalReply::Shed,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::MayHaveExecuted,
            RetryScope::Nowhere,
            LocalReply::Drop,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::InFlight,
            RetryScope::Nowhere,
            LocalReply::Drop,
        ),
    ]
};

impl DecisionEngine {
    fn rule(&self, request: &Request) -> (RetryScope, LocalReply) {
        let semantics = self.params.groups[request.group].semantics;
        let status = request.execution_status();
        let rule = RULES
            .iter()
            .find(|rule| rule.0 == semantics && rule.1 == status);
        rule.map_or((RetryScope::Nowhere, LocalReply::Drop), |rule| {
            (rule.2, rule.3)
        })
    }

    /// Whether the request is at its deadline, less the margin.
    pub(super) fn is_expiring(&self, request: &Request) -> bool {
        self.now >= request.deadline - DEADLINE_MARGIN
    }

    /// The servers to which the request may be sent now.
    pub(super) fn retry_scope(&self, request: &Request) -> RetryScope {
        let max_attempts = self.params.max_attempts.min(request.max_attempts);
        let is_final = request.stage == RequestStage::Finished
            || request.is_streaming
            || request.attempts().len() >= max_attempts
            || self.is_expiring(request);
        if is_final {
            RetryScope::Nowhere
        } else {
            self.rule(request).0
        }
    }

    /// Whether the server with that index is in the request's retry scope.
    pub(super) fn is_in_scope(&self, request: &Request, scope: RetryScope, server: usize) -> bool {
        match scope {
            RetryScope::Anywhere => request
                .attempts()
                .iter()
                .all(|attempt| attempt.server != server),
            RetryScope::RepeatGroup => request
                .attempts()
                .iter()
                .all(|attempt| self.recognizes_repeat(request, attempt, server)),
            RetryScope::Nowhere => false,
        }
    }

    /// Whether the server would recognize a repeat of that attempt, or the attempt was never
    /// executed.
    fn recognizes_repeat(&self, request: &Request, attempt: &Attempt, server: usize) -> bool {
        let group = &self.params.groups[request.group];
        let (previous, candidate) = (&self.servers[attempt.server], &self.servers[server]);
        let share_repeats = match group.repeat_group {
            RepeatGroup::All => true,
            RepeatGroup::Zone => previous.zone == candidate.zone,
            RepeatGroup::Cell => previous.cell == candidate.cell,
        };
        let within_window = self.now < attempt.sent_at + group.repeat_window - DEADLINE_MARGIN;
        !attempt.may_have_executed() || share_repeats && within_window
    }

    /// Whether the local reply to the request is a rejection that permits a retry.
    pub(super) fn may_shed(&self, request: &Request) -> bool {
        match self.rule(request).1 {
            LocalReply::Shed => true,
            LocalReply::ShedIfAllDeduplicate => {
                self.params.groups[request.group].repeat_group == RepeatGroup::All
            }
            LocalReply::Drop => false,
        }
    }
}
