//! Rules 1 and 2: whether a request may be sent to another server, and how it may be given up.
//! Nothing else decides on either.

use super::{DecisionEngine, TICK};
use crate::api::{Millis, RepeatGroup, Semantics};
use crate::state::request::{Attempt, ExecutionStatus, Request, RequestStage};

/// How long before a deadline, and before the end of a repeat window, nothing is sent any more.
pub(super) const DEADLINE_MARGIN: Millis = 2.0 * TICK;

/// The servers that a request may be sent to next.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum RetryScope {
    /// Any that it was not sent to before.
    Anywhere,
    /// Those that recognize a repeat of it.
    RepeatGroup,
    /// None.
    Nowhere,
}

/// How a request may be given up.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum GiveUpAction {
    /// The response tells its client that a retry is safe.
    Shed,
    /// As `Shed` if all servers recognize repeats, else as `Drop`.
    ShedIfAllDeduplicate,
    /// The response tells its client of an error.
    Drop,
}

struct Rule(Semantics, ExecutionStatus, RetryScope, GiveUpAction);

const RULES: [Rule; 9] = {
    use ExecutionStatus as Status;
    [
        Rule(
            Semantics::Idempotent,
            Status::NotExecuted,
            RetryScope::Anywhere,
            GiveUpAction::Shed,
        ),
        Rule(
            Semantics::Idempotent,
            Status::MayHaveExecuted,
            RetryScope::Anywhere,
            GiveUpAction::Shed,
        ),
        Rule(
            Semantics::Idempotent,
            Status::InFlight,
            RetryScope::Nowhere,
            GiveUpAction::Shed,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::NotExecuted,
            RetryScope::Anywhere,
            GiveUpAction::Shed,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::MayHaveExecuted,
            RetryScope::RepeatGroup,
            GiveUpAction::ShedIfAllDeduplicate,
        ),
        Rule(
            Semantics::Deduplicated,
            Status::InFlight,
            RetryScope::Nowhere,
            GiveUpAction::ShedIfAllDeduplicate,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::NotExecuted,
            RetryScope::Anywhere,
            GiveUpAction::Shed,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::MayHaveExecuted,
            RetryScope::Nowhere,
            GiveUpAction::Drop,
        ),
        Rule(
            Semantics::NonIdempotent,
            Status::InFlight,
            RetryScope::Nowhere,
            GiveUpAction::Drop,
        ),
    ]
};

impl DecisionEngine {
    fn rule(&self, request: &Request) -> (RetryScope, GiveUpAction) {
        let semantics = self.params.groups[request.group].semantics;
        let status = request.execution_status();
        let rule = RULES
            .iter()
            .find(|rule| rule.0 == semantics && rule.1 == status);
        rule.map_or((RetryScope::Nowhere, GiveUpAction::Drop), |rule| {
            (rule.2, rule.3)
        })
    }

    /// Its client is about to give up.
    pub(super) fn is_expiring(&self, request: &Request) -> bool {
        self.now >= request.deadline - DEADLINE_MARGIN
    }

    /// Where the request may be sent now.
    pub(super) fn retry_scope(&self, request: &Request) -> RetryScope {
        let max_attempts = self.params.max_attempts.min(request.max_attempts);
        let is_over = request.stage == RequestStage::Finished
            || request.is_streaming
            || request.attempts().len() >= max_attempts
            || self.is_expiring(request);
        if is_over {
            RetryScope::Nowhere
        } else {
            self.rule(request).0
        }
    }

    /// Whether the server of that index is one of those that the request may be sent to.
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

    /// The server would recognize a repeat of that attempt, or the attempt was never executed.
    fn recognizes_repeat(&self, request: &Request, attempt: &Attempt, server: usize) -> bool {
        let group = &self.params.groups[request.group];
        let (first, next) = (&self.servers[attempt.server], &self.servers[server]);
        let share_repeats = match group.repeat_group {
            RepeatGroup::All => true,
            RepeatGroup::Zone => first.zone == next.zone,
            RepeatGroup::Cell => first.cell == next.cell,
        };
        let within_window = self.now < attempt.sent_at + group.repeat_window - DEADLINE_MARGIN;
        !attempt.may_have_executed() || share_repeats && within_window
    }

    /// Whether a request that is given up is shed, not dropped.
    pub(super) fn may_shed(&self, request: &Request) -> bool {
        match self.rule(request).1 {
            GiveUpAction::Shed => true,
            GiveUpAction::ShedIfAllDeduplicate => {
                self.params.groups[request.group].repeat_group == RepeatGroup::All
            }
            GiveUpAction::Drop => false,
        }
    }
}
