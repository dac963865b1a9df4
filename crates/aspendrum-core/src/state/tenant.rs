//! What an instance remembers of a tenant: its quota as followed from the shared counter, its local count, its shares of
//! the rate limit, and the tokens that it may spend without the counter.

use crate::api::{Millis, TenantId};
use aspendrum_token_bucket::TokenBucket;
use std::collections::VecDeque;

/// Who waits for a counter call's answer.
#[derive(Clone, Copy)]
pub(crate) enum CounterCallOwner {
    /// The request of that index.
    Request(usize),
    /// Nobody: the call settles units.
    Settlement,
    /// The circuit breaker.
    BreakerProbe,
}

/// A call of the shared counter without an answer yet.
pub(crate) struct CounterCall {
    pub(crate) owner: CounterCallOwner,
    /// The units that it adds.
    pub(crate) units: f64,
    pub(crate) name: u64,
}

/// A token bucket that holds an instance's share of a tenant's rate limit. It starts empty.
#[derive(Clone, Copy, Default)]
pub(crate) struct RateLimitShare {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Millis,
}

/// A grant that the shared counter has not counted.
pub(crate) struct LoggedGrant {
    pub(crate) at: Millis,
    pub(crate) units: f64,
}

/// A request admitted without tokens while the counter was unreachable.
#[derive(Clone, Copy, Default)]
pub(crate) struct SpareGrant {
    /// The counter's last sign of life before the grant.
    pub(crate) counter_heard_at: Option<Millis>,
    pub(crate) at: Millis,
}

/// Whom of its instances a tenant's owner asks next for tokens.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenRequestCursor {
    pub(crate) next: u64,
    pub(crate) asked_at: Millis,
}

/// A tenant as this instance knows it.
#[derive(Default)]
pub(crate) struct Tenant {
    pub(crate) id: TenantId,
    /// The plan's index in the settings.
    pub(crate) plan: usize,
    /// How many instances its requests come through.
    pub(crate) instances: f64,
    /// The first of them; the others follow it in the order of their numbers.
    pub(crate) first_instance: f64,
    /// Among how many instances the local count is split: all of the tenant's, or 1 at its owner.
    pub(crate) split_among: f64,
    /// When this instance last decided as the tenant's owner.
    pub(crate) owned_at: Millis,
    /// Its owner said that the quota has no room until then.
    pub(crate) exhausted_until: Millis,
    /// Each of its instances sees it too seldom to follow its count, which is kept by windows then.
    pub(crate) is_sparse: bool,
    /// The number of the window that is counted, if sparse.
    pub(crate) window: f64,
    /// Units left of the quota, followed from the counter's totals.
    pub(crate) remaining: f64,
    pub(crate) remaining_at: Millis,
    /// The counter's last total.
    pub(crate) total: f64,
    /// `total` is known.
    pub(crate) total_known: bool,
    /// Units that are still to be added to the counter.
    pub(crate) unsettled: f64,
    /// Units left by the local count.
    pub(crate) local_tokens: f64,
    pub(crate) local_refilled_at: Millis,
    /// This instance's even share of the rate limit.
    pub(crate) rate_limit_share: RateLimitShare,
    /// The owner's share of the rate limit, spent at the owner alone.
    pub(crate) owner_rate_limit_share: RateLimitShare,
    /// What it may spend without the counter, where instances talk to each other.
    pub(crate) token_bucket: TokenBucket,
    pub(crate) spare_grant: SpareGrant,
    /// When a client's request last came here.
    pub(crate) last_request_at: Millis,
    pub(crate) token_request: TokenRequestCursor,
    /// Grants while the circuit breaker was open, the oldest first.
    pub(crate) grant_log: VecDeque<LoggedGrant>,
    /// Counter calls in flight, the oldest first.
    pub(crate) counter_calls: VecDeque<CounterCall>,
    /// Its requests at servers.
    pub(crate) in_flight: u32,
    /// Its requests that are remembered here.
    pub(crate) open_requests: u32,
    pub(crate) last_used_at: Millis,
}

impl Tenant {
    /// Logs a grant that is to be replayed to the counter later, and forgets those that have left the window.
    pub(crate) fn log_grant(&mut self, units: f64, window: Millis, now: Millis) {
        self.grant_log.push_back(LoggedGrant { at: now, units });
        while self
            .grant_log
            .front()
            .is_some_and(|grant| grant.at < now - window)
        {
            self.grant_log.pop_front();
        }
    }

    /// Nothing refers to it and nothing is to be settled.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests == 0
            && self.counter_calls.is_empty()
            && self.grant_log.is_empty()
            && self.unsettled == 0.0
    }
}
