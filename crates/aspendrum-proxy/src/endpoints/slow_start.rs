//! Slow start: a server that has just started can handle only a few requests per second until its caches are warm. A
//! few proxies share this rate, each with its own token bucket that holds one token.

use aspendrum_core::api::Millis;
use aspendrum_model::hash::{digest, rendezvous_weight};
use std::net::Ipv4Addr;

/// The fraction of the permitted rate that all proxies together use. It is below 1 because the proxies' lists of each
/// other differ briefly when a proxy is added or removed.
const SAFETY_FACTOR: f64 = 0.8;

/// The configured slow start of a service's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// The duration after a server's start, in milliseconds.
    pub duration: Millis,
    /// The number of requests per second that a server can handle during its slow start.
    pub rate: f64,
}

/// The tolerance above the configured rate for all proxies together.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartTolerance {
    /// A multiple of the configured rate.
    pub excess: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// The inputs for one proxy's share of a server's slow start rate.
pub(super) struct SlowStartShare<'a> {
    pub(super) uid: &'a str,
    pub(super) rate: f64,
    pub(super) tolerance: &'a SlowStartTolerance,
    pub(super) proxies: &'a [Ipv4Addr],
    pub(super) local_ip: Ipv4Addr,
}

impl SlowStartShare<'_> {
    /// Returns this proxy's tokens per second. The server is shared by as many proxies as can each get two requests
    /// per second, at least one, selected by rendezvous hashing, so that all proxies together never exceed the limit,
    /// whenever they spend their tokens.
    pub(super) fn tokens_per_s(&self) -> f64 {
        let limit = (self.rate * self.tolerance.excess + self.tolerance.slack) * SAFETY_FACTOR;
        let sharers = (limit / 2.0).floor().max(1.0) as usize;
        let key = digest(self.uid.as_bytes());
        let own_rank = rendezvous_weight(key, u64::from(u32::from(self.local_ip)));
        let is_ahead = |proxy: &&Ipv4Addr| {
            **proxy != self.local_ip
                && rendezvous_weight(key, u64::from(u32::from(**proxy))) > own_rank
        };
        let ahead = self.proxies.iter().filter(is_ahead).count();
        if ahead >= sharers {
            return 0.0;
        }
        // A proxy that knows few others gets no larger share: after a restart of the whole fleet, all lists are
        // short. One request per second is kept back for the token that the bucket may already hold.
        (limit / sharers as f64 - 1.0).max(0.0)
    }
}

/// This proxy's token bucket for one server in slow start. Each token admits one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartTokens {
    tokens: f64,
    refilled_at: Millis,
}

impl SlowStartTokens {
    pub(super) fn new(now: Millis) -> SlowStartTokens {
        SlowStartTokens {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds tokens for the time since the last refill. The bucket holds at most one token, so that no burst is
    /// possible.
    pub(super) fn refill(&mut self, now: Millis, tokens_per_s: f64) {
        let more = tokens_per_s * (now - self.refilled_at) / 1000.0;
        let capacity = if tokens_per_s > 0.0 { 1.0 } else { 0.0 };
        self.tokens = (self.tokens + more).min(capacity);
        self.refilled_at = now;
    }

    /// Advances the refill time without adding tokens, while the server is not in slow start.
    pub(super) fn skip(&mut self, now: Millis) {
        self.refilled_at = now;
    }

    pub(super) fn available(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
