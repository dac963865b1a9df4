//! Slow start: a server that has just started bears a few requests a second until its caches are warm. A few proxies
//! share what it bears, each with tokens of its own (a token bucket of one token).

use aspendrum_core::api::Millis;
use aspendrum_model::hash::{digest, rank};
use std::net::Ipv4Addr;

/// Of what a server in slow start bears by the limits, the share that all proxies together send: their lists of proxies
/// differ for a moment when one comes or goes.
const SAFETY: f64 = 0.8;

/// The slow start of a service's servers, as configured.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// How long it lasts after a server's start, in milliseconds.
    pub duration: Millis,
    /// Requests a second that a server bears meanwhile.
    pub rate: f64,
}

/// What all proxies together may send to a server in slow start, above its configured rate.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartTolerance {
    /// Times the configured rate.
    pub excess: f64,
    /// Requests a second.
    pub slack: f64,
}

/// One proxy's share of a server's slow start.
pub(super) struct SlowStartShare<'a> {
    pub(super) uid: &'a str,
    pub(super) rate: f64,
    pub(super) tolerance: &'a SlowStartTolerance,
    pub(super) proxies: &'a [Ipv4Addr],
    pub(super) local_ip: Ipv4Addr,
}

impl SlowStartShare<'_> {
    /// This proxy's tokens a second: as few proxies as can each have a whole token share the server, ranked by rendezvous
    /// hashing, so that all together never pass the limit, at whatever moment they spend them.
    pub(super) fn tokens_per_s(&self) -> f64 {
        let limit = (self.rate * self.tolerance.excess + self.tolerance.slack) * SAFETY;
        let sharers = (limit / 2.0).floor().max(1.0) as usize;
        let key = digest(self.uid.as_bytes());
        let own_rank = rank(key, u64::from(u32::from(self.local_ip)));
        let is_ahead = |proxy: &&Ipv4Addr| {
            **proxy != self.local_ip && rank(key, u64::from(u32::from(**proxy))) > own_rank
        };
        let ahead = self.proxies.iter().filter(is_ahead).count();
        if ahead >= sharers {
            return 0.0;
        }
        // Not more where fewer proxies are known: after a start of all, each knows of few.
        (limit / sharers as f64 - 1.0).max(0.0)
    }
}

/// Tokens of this proxy for one server in slow start; each admits one request.
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

    /// At most one token is kept: more would let a burst through.
    pub(super) fn refill(&mut self, now: Millis, tokens_per_s: f64) {
        let more = tokens_per_s * (now - self.refilled_at) / 1000.0;
        let capacity = if tokens_per_s > 0.0 { 1.0 } else { 0.0 };
        self.tokens = (self.tokens + more).min(capacity);
        self.refilled_at = now;
    }

    /// The server is not in slow start: time passes without tokens.
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
