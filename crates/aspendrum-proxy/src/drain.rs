//! The schedule of a graceful shutdown. In the first stage new requests are still accepted, since clients use earlier
//! lookups of the directory. In the second stage no new request is accepted, and those in flight are completed. This
//! module does no I/O and reads no clock; times are milliseconds since SIGTERM.

use aspendrum_core::api::Millis;

/// The minimum duration of a shutdown in milliseconds: clients use earlier lookups of the directory.
const MIN_DRAIN: Millis = 1200.0;
/// The time without new connections, in milliseconds, after which the process may end if no connection is open.
const QUIET_PERIOD: Millis = 400.0;
/// The part of the grace period that remains unused, in milliseconds, when the process ends regardless of requests in
/// flight.
const GRACE_PERIOD_RESERVE: Millis = 400.0;
/// The minimum time for which new requests are accepted, in milliseconds. Lookups return this proxy for about
/// half of it.
const MIN_ACCEPT_TIME: Millis = 1000.0;

/// The times at which the stages of a graceful shutdown begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSchedule {
    /// The time from which no new request is accepted.
    pub accepts_until: Millis,
    /// The earliest time at which the process ends.
    pub earliest_end: Millis,
    /// The time at which the process ends at the latest.
    pub deadline: Millis,
}

impl DrainSchedule {
    /// Returns the schedule for a `grace_period`, after which the platform kills the process, and for requests
    /// that take up to `longest_request`. Each accepted request has its full time before the end, unless that
    /// conflicts with the minimum accept time, and no request is accepted in the second half of the grace
    /// period.
    pub fn new(grace_period: Millis, longest_request: Millis) -> DrainSchedule {
        let deadline = (grace_period - GRACE_PERIOD_RESERVE).max(grace_period / 2.0);
        let accepts_until = (deadline - longest_request)
            .max(MIN_ACCEPT_TIME)
            .min(grace_period / 2.0);
        DrainSchedule {
            accepts_until,
            earliest_end: MIN_DRAIN.min(accepts_until),
            deadline,
        }
    }

    /// Whether idle connections are to be closed. While requests are accepted, clients learn of the shutdown from the
    /// `Connection: close` of their next response; closing a connection could instead cross the next request on it.
    pub fn closes_idle(&self, elapsed: Millis) -> bool {
        elapsed >= self.accepts_until
    }

    /// Whether the process may end. `open_connections` counts client connections, and `quiet_for` is the time
    /// since the last new connection.
    pub fn is_finished(&self, elapsed: Millis, open_connections: usize, quiet_for: Millis) -> bool {
        let is_drained =
            open_connections == 0 && elapsed >= self.earliest_end && quiet_for >= QUIET_PERIOD;
        is_drained || elapsed >= self.deadline
    }
}
