//! How long a kept connection may have been idle before a request that must run at most once goes over it. A server may
//! drop an idle connection without a word: what is sent over it next is reset, and whether it ran is not known. So a
//! reset of an unread, idle connection tells how long is too long, for a while.
//!
//! Nothing in this module does I/O or reads a clock.

use aspendrum_core::api::Millis;

/// Of the idle time after which a connection was found dropped, the share that is still trusted.
const TRUSTED_SHARE: f64 = 0.5;
/// How long the limit holds: after that the server may have recovered, and a new connection for each request is expensive.
const LIMIT_LASTS: Millis = 15_000.0;

/// The longest idle time that is trusted.
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
    /// A request on a connection that had been idle for that long was reset before a byte came back.
    pub fn record_reset(&mut self, now: Millis, idle_for: Millis) {
        let current = self.max_idle(now).unwrap_or(f64::INFINITY);
        let max_idle = current.min(idle_for * TRUSTED_SHARE);
        self.limit = Some(Limit {
            max_idle,
            expires_at: now + LIMIT_LASTS,
        });
    }

    /// The longest idle time that is trusted, in milliseconds; `None`: any.
    pub fn max_idle(&self, now: Millis) -> Option<Millis> {
        self.limit
            .filter(|limit| now < limit.expires_at)
            .map(|limit| limit.max_idle)
    }
}
