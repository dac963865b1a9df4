//! Limits how long a reused connection may have been idle before it carries a non-idempotent request. A server
//! may drop an idle connection silently; a request sent on it is then reset, and it is unknown whether it ran.
//! When an idle connection is reset before any response byte, shorter idle times are required for a limited
//! time.
//!
//! This module does no I/O and reads no clock.

use aspendrum_core::api::Millis;

/// The limit, as a fraction of the idle time after which a connection was found dropped.
const LIMIT_FRACTION: f64 = 0.5;
/// How long a limit applies, in milliseconds. The server may have recovered afterwards, and a new connection for each
/// request is expensive.
const LIMIT_DURATION: Millis = 15_000.0;

/// The maximum idle time of connections for non-idempotent requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleConnectionLimit {
    limit: Option<Limit>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    max_idle: Millis,
    expires_at: Millis,
}

impl IdleConnectionLimit {
    /// Records that a request on a connection idle for `idle_for` milliseconds was reset before any response byte.
    pub fn record_reset(&mut self, now: Millis, idle_for: Millis) {
        let current = self.max_idle(now).unwrap_or(f64::INFINITY);
        let max_idle = current.min(idle_for * LIMIT_FRACTION);
        self.limit = Some(Limit {
            max_idle,
            expires_at: now + LIMIT_DURATION,
        });
    }

    /// Returns the maximum idle time in milliseconds, or `None` if there is no limit.
    pub fn max_idle(&self, now: Millis) -> Option<Millis> {
        self.limit
            .filter(|limit| now < limit.expires_at)
            .map(|limit| limit.max_idle)
    }
}
