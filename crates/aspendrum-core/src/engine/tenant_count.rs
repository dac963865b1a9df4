//! A tenant's quota as an instance counts it: by a local token bucket, and by the shared counter's
//! totals.

use super::counter_name::CounterName;
use super::parameters::PlanParameters;
use crate::api::Millis;
use crate::spread;
use crate::state::tenant::Tenant;

/// With an even share of the burst of fewer units than this, an instance sees a tenant too seldom
/// to follow its count.
pub(crate) const LEAST_EVEN_SHARE: f64 = 1.0;

impl Tenant {
    /// The time in windows of its quota. Each tenant's windows begin at another moment, so that not
    /// all begin at once.
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

    /// Whether the local count has room: a token bucket of an even share of rate and burst, and of
    /// whatever the last total left it.
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

    /// Splits the local count among `instances` instances. It starts anew: an instance that takes it over, or gives it
    /// back, knows nothing yet of what the others used.
    pub(crate) fn split_local_count(&mut self, plan: &PlanParameters, among: f64, now: Millis) {
        let keeps_count = plan.is_windowed && self.split_among > 0.0;
        self.split_among = among;
        self.is_sparse = plan.is_windowed || plan.burst < LEAST_EVEN_SHARE * among;
        if keeps_count {
            return; // Instances that come and go hand nobody a fresh share.
        }
        // Shares of less than one request would let nobody send: each instance of a sparse tenant
        // may send one.
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
            CounterName::of_window(self.id, self.window, plan.window)
        } else {
            CounterName::of_tenant(self.id)
        }
    }
}

/// What the shared counter's total says of the quota. `added`: the units of the call that brought
/// it, part of `total`.
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

    /// One of several instances knows what the others added from the difference between two totals.
    /// `noise`: by how much a total may fall through units that are returned.
    pub(crate) fn follow_total_among_others(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        noise: f64,
        now: Millis,
    ) {
        let mut added_by_others = total - self.total - added;
        // A total far below the last one betrays a name that the counter has lost: the count goes
        // on.
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
