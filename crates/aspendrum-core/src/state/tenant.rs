//! The state kept about a tenant: its quota as reported by the shared counter, its local count, its
//! shares of the rate limit, and the tokens that may be spent without the counter.

use crate::api::{Millis, TenantId};
use aspendrum_token_bucket::TokenBucket;
use std::collections::VecDeque;

/// The purpose of a counter call.
#[derive(Clone, Copy)]
pub(crate) enum CounterCallPurpose {
    /// The admission of the request with that index.
    Request(usize),
    /// The settlement of units. Nothing waits for the reply.
    Settlement,
    /// A probe of the circuit breaker.
    BreakerProbe,
}

/// A call of the shared counter that is in flight.
pub(crate) struct CounterCall {
    pub(crate) purpose: CounterCallPurpose,
    /// The units that the call adds.
    pub(crate) units: f64,
    pub(crate) name: u64,
}

/// A token bucket with a share of a tenant's rate limit. It starts empty.
#[derive(Clone, Copy, Default)]
pub(crate) struct RateLimitShare {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Millis,
}

/// A grant that has not been sent to the shared counter.
pub(crate) struct LoggedGrant {
    pub(crate) at: Millis,
    pub(crate) units: f64,
}

/// A request admitted without tokens while the counter was unreachable.
#[derive(Clone, Copy, Default)]
pub(crate) struct SpareGrant {
    /// When the counter last replied before the grant.
    pub(crate) last_counter_reply_at: Option<Millis>,
    pub(crate) at: Millis,
}

/// The position of an owner's round-robin token requests to the tenant's instances.
#[derive(Clone, Copy, Default)]
pub(crate) struct TokenRequestCursor {
    pub(crate) next: u64,
    pub(crate) sent_at: Millis,
}

/// A tenant, as observed by this instance.
#[derive(Default)]
pub(crate) struct Tenant {
    pub(crate) id: TenantId,
    /// The plan's index in the settings.
    pub(crate) plan: usize,
    /// The number of instances that receive its requests.
    pub(crate) instances: f64,
    /// The number of the first of these instances; the others follow consecutively.
    pub(crate) first_instance: f64,
    /// The number of instances among which the local count is split: all of the tenant's instances,
    /// or 1 at its owner.
    pub(crate) split_among: f64,
    /// When this instance last decided as the tenant's owner.
    pub(crate) owned_at: Millis,
    /// According to its owner, the quota has no room until then.
    pub(crate) exhausted_until: Millis,
    /// The tenant is counted by window, because its plan is windowed or because it is sparse: each
    /// instance sees its requests too rarely to track its count.
    pub(crate) is_counted_by_window: bool,
    /// The number of the current window, if the tenant is counted by window.
    pub(crate) window: f64,
    /// The remaining units of the quota, according to the counter's totals.
    pub(crate) remaining: f64,
    pub(crate) remaining_at: Millis,
    /// The last total received from the counter.
    pub(crate) total: f64,
    /// A total has been received since the count was reset or the window began.
    pub(crate) total_known: bool,
    /// The units that are still to be added to the counter.
    pub(crate) unsettled: f64,
    /// The remaining units of the local count.
    pub(crate) local_tokens: f64,
    pub(crate) local_refilled_at: Millis,
    /// This instance's even share of the rate limit.
    pub(crate) rate_limit_share: RateLimitShare,
    /// The owner's share of the rate limit, which only the first owner spends.
    pub(crate) owner_rate_limit_share: RateLimitShare,
    /// The tokens that may be spent without the counter, where instances exchange datagrams.
    pub(crate) token_bucket: TokenBucket,
    pub(crate) spare_grant: SpareGrant,
    /// When this instance last received a client's request of the tenant.
    pub(crate) last_request_at: Millis,
    pub(crate) token_request: TokenRequestCursor,
    /// The grants made while the counter was unavailable, the oldest first.
    pub(crate) grant_log: VecDeque<LoggedGrant>,
    /// Counter calls in flight, the oldest first.
    pub(crate) counter_calls: VecDeque<CounterCall>,
    /// The number of its open requests that were sent to a server.
    pub(crate) in_flight: u32,
    /// The number of its open requests at this instance.
    pub(crate) open_requests: u32,
    pub(crate) last_used_at: Millis,
}

impl Tenant {
    /// Logs a grant for later replay to the counter, and removes grants that have left the window.
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

    /// Whether no request or counter call refers to the tenant and nothing is left to be settled.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_requests == 0
            && self.counter_calls.is_empty()
            && self.grant_log.is_empty()
            && self.unsettled == 0.0
    }
}
