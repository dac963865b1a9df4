//! What an instance remembers of a tenant: its quota as followed from the shared counter, its local count, its shares of
//! the ceiling, and the tokens that it may spend without the counter.

use crate::api::{Millis, TenantId};
use crate::spread;
use crate::state::parameters::PlanParameters;
use aspendrum_token_bucket::TokenBucket;
use std::collections::VecDeque;

/// How long the shared counter keeps a name. The longest that it allows: each rebirth hides what others added just
/// before.
const NAME_TTL: Millis = 60_000.0;
/// How much longer than its window a window's name lives: more than the way to the counter.
const WINDOW_NAME_GRACE: Millis = 1000.0;
/// Of a counter name, the low bits that hold the tenant's id; a window's number stands above them.
const TENANT_ID_BITS: u32 = 40;
const TENANT_ID_MASK: u64 = (1 << TENANT_ID_BITS) - 1;
const WINDOW_MASK: u64 = (1 << (64 - TENANT_ID_BITS)) - 1;
/// With an even share of the burst of fewer units than this, an instance sees a tenant too seldom to follow its count.
pub(crate) const LEAST_EVEN_SHARE: f64 = 1.0;
/// Of a ceiling, what is split; the rest is slack for grants that wait and go out together.
const CEILING_USED: f64 = 0.9;

/// The tenant that a counter name belongs to.
pub(crate) fn tenant_of_name(name: u64) -> TenantId {
    name & TENANT_ID_MASK
}

/// The name of a window of a sparse tenant's count, not of a tenant's whole count.
pub(crate) fn is_window_name(name: u64) -> bool {
    name >> TENANT_ID_BITS > 0
}

/// Whether counter names have room for the tenant's id.
pub(crate) fn fits_counter_name(id: TenantId) -> bool {
    id >> TENANT_ID_BITS == 0
}

/// A name in the shared counter, and how long the counter is to keep it.
pub(crate) struct CounterName {
    pub(crate) name: u64,
    pub(crate) ttl: Millis,
}

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

/// A token bucket that holds an instance's share of a tenant's ceiling. It starts empty.
#[derive(Clone, Copy, Default)]
pub(crate) struct RateLimitShare {
    pub(crate) tokens: f64,
    pub(crate) refilled_at: Millis,
}

impl RateLimitShare {
    /// Takes units out, if `reserve` of the bucket's size stays. `share`: of the whole ceiling. A plan without a
    /// ceiling always has room.
    pub(crate) fn spend(
        &mut self,
        plan: &PlanParameters,
        share: f64,
        units: f64,
        reserve: f64,
        now: Millis,
    ) -> bool {
        let share = CEILING_USED * share;
        let refill = share * plan.ceiling_rate * (now - self.refilled_at);
        let size = share * plan.ceiling_burst;
        self.tokens = (self.tokens + refill).min(size);
        self.refilled_at = now;
        let has_room =
            plan.ceiling_rate <= 0.0 || self.tokens - units >= reserve * share * plan.ceiling_burst;
        self.tokens -= if has_room { units } else { 0.0 };
        has_room
    }
}

/// A grant that the shared counter was not told of.
pub(crate) struct LoggedGrant {
    pub(crate) at: Millis,
    pub(crate) units: f64,
}

/// A request let through while the counter was silent, though nothing was in hand.
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
    /// Units that the counter is still to be told of.
    pub(crate) unsettled: f64,
    /// Units left by the local count.
    pub(crate) local_tokens: f64,
    pub(crate) local_refilled_at: Millis,
    /// This instance's even share of the ceiling.
    pub(crate) ceiling_share: RateLimitShare,
    /// The owner's share of the ceiling, spent at the owner alone.
    pub(crate) owner_ceiling_share: RateLimitShare,
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
    /// The time in windows of its quota. Each tenant's windows turn at another moment, lest all do at once.
    pub(crate) fn window_position(&self, now: Millis, plan: &PlanParameters) -> f64 {
        now / plan.window.max(1.0) + spread::phase(self.id as f64)
    }

    /// Begins the window of that moment, if it is sparse and another one is counted.
    pub(crate) fn enter_window(&mut self, now: Millis, plan: &PlanParameters) {
        let window = self.window_position(now, plan).floor();
        if self.is_sparse && window != self.window {
            self.window = window;
            self.unsettled = 0.0;
            self.total_known = false;
        }
    }

    /// Whether the local count has room: a token bucket of an even share of rate and burst, and of whatever the last
    /// total left it.
    pub(crate) fn has_local_room(
        &mut self,
        plan: &PlanParameters,
        units: f64,
        now: Millis,
    ) -> bool {
        let share = plan.burst / self.split_among;
        let size = if self.is_sparse {
            share
        } else {
            share.max(self.local_tokens)
        };
        let refill = plan.rate / self.split_among * (now - self.local_refilled_at);
        self.local_tokens = (self.local_tokens + refill).min(size.max(units));
        self.local_refilled_at = now;
        self.local_tokens >= units
    }

    /// Splits the local count among that many instances. It starts anew: an instance that takes it over, or gives it
    /// back, knows nothing yet of what the others used.
    pub(crate) fn split_local_count(&mut self, plan: &PlanParameters, among: f64, now: Millis) {
        let keeps_count = plan.is_windowed && self.split_among > 0.0;
        self.split_among = among;
        self.is_sparse = plan.is_windowed || plan.burst < LEAST_EVEN_SHARE * among;
        if keeps_count {
            return; // Instances that come and go hand nobody a fresh share.
        }
        // Shares of less than one request would let nobody send: each instance of a sparse tenant may send one.
        self.local_tokens = if self.is_sparse {
            plan.burst
        } else {
            plan.burst / among
        };
        self.local_refilled_at = now;
        self.remaining = plan.burst;
        self.remaining_at = now;
        self.total_known = false;
        self.total = 0.0;
        self.unsettled = 0.0;
        self.window = 0.0;
    }

    /// The name of its count in the shared counter: one a window if it is sparse.
    pub(crate) fn counter_name(&mut self, now: Millis, plan: &PlanParameters) -> CounterName {
        self.enter_window(now, plan);
        if self.is_sparse {
            let window = (self.window as u64 + 1) & WINDOW_MASK;
            CounterName {
                name: window << TENANT_ID_BITS | self.id,
                ttl: plan.window + WINDOW_NAME_GRACE,
            }
        } else {
            CounterName {
                name: self.id,
                ttl: NAME_TTL,
            }
        }
    }

    /// Remembers a grant that the counter is to be told of later, and forgets those that have left the window.
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

/// What the shared counter's total says of the quota. `added`: the units of the call that brought it, part of `total`.
impl Tenant {
    /// The total of a window counts all that was used in it.
    pub(crate) fn follow_window_total(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        now: Millis,
    ) {
        self.remaining = plan.burst - total + added;
        self.total_known = true;
        if self.remaining <= 0.0 {
            self.local_tokens = 0.0;
            self.local_refilled_at = now;
        }
    }

    /// At its owner the local count is the tenant's: the total tells what others added beside it.
    pub(crate) fn follow_total_as_owner(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        now: Millis,
    ) {
        let added_by_others = total - self.total - added;
        self.has_local_room(plan, 0.0, now);
        let most = if self.total_known {
            f64::INFINITY
        } else {
            plan.burst / 2.0
        };
        self.local_tokens -= added_by_others.clamp(0.0, most);
        self.remaining = self.local_tokens;
        self.remaining_at = now;
        self.total = total;
        self.total_known = true;
    }

    /// One of several instances knows what the others added from the difference between two totals. `noise`: by how
    /// much a total may fall through units that are returned.
    pub(crate) fn follow_total_among_others(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        noise: f64,
        now: Millis,
    ) {
        let mut added_by_others = total - self.total - added;
        // A total far below the last one betrays a name that the counter has lost: the count goes on.
        let is_reborn = !self.total_known || added_by_others < -noise;
        if is_reborn {
            added_by_others = (total - added).max(0.0);
        }
        if !self.total_known && added_by_others > plan.burst {
            added_by_others = plan.burst / 2.0;
        }
        let refill = plan.rate * (now - self.remaining_at);
        self.remaining = (self.remaining + refill - added_by_others).clamp(-noise, plan.burst);
        self.remaining_at = now;
        self.total = total;
        self.total_known = true;
        // Traffic is uneven and the next total soon: up to twice the even share until then.
        self.local_tokens = self.remaining.max(0.0) * 2.0 / (self.split_among + 1.0);
        self.local_refilled_at = now;
    }
}
