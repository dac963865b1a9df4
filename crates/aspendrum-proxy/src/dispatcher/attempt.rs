//! Upstream attempts: whether an attempt may start, and how its result is reported to the decision engine.

use super::admission::{PendingRequests, RequestDecision};
use crate::endpoints::EndpointSet;
use aspendrum_core::api::{Event, LoadReport, Millis, Outcome, RequestId, ServerEntry, ServerId};

/// The result of an upstream attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the attempt succeeded, and if not, whether the request may have run.
    pub outcome: Outcome,
    /// The round-trip time in milliseconds.
    pub rtt: Millis,
    /// The load reported in the server's response.
    pub load: LoadReport,
}

impl AttemptResult {
    /// The result of an attempt whose request was never sent.
    pub const NOT_SENT: AttemptResult = AttemptResult {
        outcome: Outcome::NotSent,
        rtt: 0.0,
        load: LoadReport {
            count: 0,
            values: [0.0; 4],
        },
    };

    /// Returns the result as an event for the decision engine. `is_final` marks the last attempt of the
    /// request, and `actual_units` is the number of units consumed.
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
            attempt,
            server,
            outcome,
            rtt,
            is_final,
            metered_usage: 0,
            actual_units,
            load,
        }
    }
}

/// The effects of an attempt requested by the decision engine.
#[derive(Default)]
pub(super) struct StartedAttempt {
    /// The health change of the server to report to the decision engine.
    pub(super) health_change: Option<ServerEntry>,
    /// The result of an attempt that was not started.
    pub(super) not_sent: Option<Event<'static>>,
}

/// Starts an attempt if its server is usable and, for a retry, the retry budget has room.
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
    let health_change = reservation.health_change;
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
            health_change,
            not_sent: None,
        };
    }
    if budget_spent {
        requests.notify(id, RequestDecision::RetryBudgetSpent);
    }
    // A request without retry budget gets no further attempt.
    let not_sent = AttemptResult::NOT_SENT.event(id, next.number, server, budget_spent, 0);
    StartedAttempt {
        health_change,
        not_sent: Some(not_sent),
    }
}
