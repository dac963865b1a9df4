//! Attempts to run requests at servers: whether one may start now, and how its end is reported to the decision engine.

use super::admission::{PendingRequests, RequestDecision};
use crate::endpoints::EndpointSet;
use aspendrum_core::api::{Event, LoadReport, Millis, Outcome, RequestId, ServerEntry, ServerId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether it succeeded, and whether it may have run.
    pub outcome: Outcome,
    /// Its round-trip time.
    pub rtt: Millis,
    /// The load that the server reported with its answer.
    pub load: LoadReport,
}

impl AttemptResult {
    /// It never left.
    pub const NOT_SENT: AttemptResult = AttemptResult {
        outcome: Outcome::NotSent,
        rtt: 0.0,
        load: LoadReport {
            count: 0,
            values: [0.0; 4],
        },
    };

    /// As an event for the decision engine. `is_final`: the request is over;
    /// `actual_units`: what was spent on it.
    pub(super) fn event(
        &self,
        id: RequestId,
        attempt: u8,
        server: ServerId,
        is_final: bool,
        actual_units: u16,
    ) -> Event<'static> {
        let AttemptResult { outcome, rtt, load } = *self;
        Event::AttemptEnded {
            id,
            forward: attempt,
            server,
            outcome,
            rtt,
            is_final,
            metered: 0,
            actual_units,
            load,
        }
    }
}

/// What follows from an attempt that the decision engine wants.
#[derive(Default)]
pub(super) struct StartedAttempt {
    /// The server's health changed for the decision engine.
    pub(super) change: Option<ServerEntry>,
    /// The end of an attempt that did not start.
    pub(super) not_sent: Option<Event<'static>>,
}

/// Lets an attempt start, if its server may be used and, for a retry, the budget of retries allows it.
pub(super) fn start_attempt(
    now: Millis,
    id: RequestId,
    server: ServerId,
    requests: &mut PendingRequests,
    endpoints: &mut EndpointSet,
) -> StartedAttempt {
    let Some(next) = requests.next_attempt(id) else {
        return StartedAttempt::default();
    };
    let reservation = endpoints.reserve(now, server);
    let change = reservation.change;
    let is_retry = next.number > 0;
    let budget_spent = reservation.granted && is_retry && !endpoints.reserve_retry(now, next.pool);
    if reservation.granted && !budget_spent {
        requests.notify(
            id,
            RequestDecision::Forward {
                attempt: next.number,
                server,
            },
        );
        return StartedAttempt {
            change,
            not_sent: None,
        };
    }
    if budget_spent {
        requests.notify(id, RequestDecision::RetryBudgetSpent);
    }
    // Without the budget for it the request is over.
    let not_sent = AttemptResult::NOT_SENT.event(id, next.number, server, budget_spent, 0);
    StartedAttempt {
        change,
        not_sent: Some(not_sent),
    }
}
