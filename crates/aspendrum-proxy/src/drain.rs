//! The stages of a graceful shutdown. At first new requests are still taken, since clients hold old answers of the
//! directory; then no more are, and those in flight are finished. Nothing in this module does I/O or reads a clock;
//! times are milliseconds since SIGTERM.

use aspendrum_core::api::Millis;

/// The process does not end sooner: clients hold old answers of the directory.
const MIN_DRAIN: Millis = 1200.0;
/// After the last new connection it may end once no connection is open.
const QUIET: Millis = 400.0;
/// What is left of the grace period when the process ends whatever is in flight.
const RESERVE: Millis = 400.0;
/// The least time for which new requests are accepted: lookups name this proxy for about half of it.
const MIN_ACCEPTS: Millis = 1000.0;

/// When each stage of a graceful shutdown begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSchedule {
    /// From then on no new request is taken.
    pub accepts_until: Millis,
    /// The process does not end before.
    pub ends_after: Millis,
    /// Then the process ends.
    pub ends_at: Millis,
}

impl DrainSchedule {
    /// `grace_period`: the platform kills the process after that. `longest_request`: the longest time that a request may take. Whatever
    /// is taken has its full time before the end, and nothing is taken in the second half of the grace period.
    pub fn new(grace_period: Millis, longest_request: Millis) -> DrainSchedule {
        let ends_at = (grace_period - RESERVE).max(grace_period / 2.0);
        let accepts_until = (ends_at - longest_request)
            .max(MIN_ACCEPTS)
            .min(grace_period / 2.0);
        DrainSchedule {
            accepts_until,
            ends_after: MIN_DRAIN.min(accepts_until),
            ends_at,
        }
    }

    /// Idle connections are to be closed. While requests are taken their clients learn of the shutdown with their next answer,
    /// which is the last one: a connection that is closed instead may cross the next request on it.
    pub fn closes_idle(&self, elapsed: Millis) -> bool {
        elapsed >= self.accepts_until
    }

    /// The process may end. `open_connections`: of clients; `quiet_for`: since the last new connection.
    pub fn is_finished(&self, elapsed: Millis, open_connections: usize, quiet_for: Millis) -> bool {
        let is_drained = open_connections == 0 && elapsed >= self.ends_after && quiet_for >= QUIET;
        is_drained || elapsed >= self.ends_at
    }
}
