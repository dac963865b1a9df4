//! A tenant's quota as counted by one instance: a local token bucket, corrected by the shared
//! counter's totals.

use super::counter_name::CounterName;
use super::parameters::PlanParameters;
use crate::api::Millis;
use crate::spread;
use crate::state::tenant::Tenant;

/// The minimum even share of the burst, in units. With less than this, an instance sees a tenant's
/// requests too rarely to track its count.
pub(crate) const MIN_EVEN_SHARE: f64 = 1.0;

impl Tenant {
    /// Converts a time to a number of quota windows. Each tenant's windows have a different offset,
    /// so that they do not all begin at once.
    pub(crate) fn window_position(&self, now: Millis, plan: &PlanParameters) -> f64 {
        now / plan.window.max(1.0) + spread::phase(self.id as f64)
    }

    /// Resets the count of a tenant that is counted by window, if a new window has begun by `now`.
    pub(crate) fn enter_window(&mut self, now: Millis, plan: &PlanParameters) {
        let window = self.window_position(now, plan).floor();
        if self.is_counted_by_window && window != self.window {
            self.window = window;
            self.unsettled = 0.0;
            self.total_known = false;
        }
    }

    /// Refills the local count and returns whether it has room. The local count is a token bucket
    /// with an even share of rate and burst. A counter total may raise it above that share, unless
    /// the tenant is counted by window.
    pub(crate) fn refill_and_check_room(
        &mut self,
        plan: &PlanParameters,
        units: f64,
        now: Millis,
    ) -> bool {
        let share = plan.burst / self.split_among;
        let size = if self.is_counted_by_window {
            share
        } else {
            share.max(self.local_tokens)
        };
        let refill = plan.rate / self.split_among * (now - self.local_refilled_at);
        self.local_tokens = (self.local_tokens + refill).min(size.max(units));
        self.local_refilled_at = now;
        self.local_tokens >= units
    }

    /// Splits the local count among `instances` instances. The count is reset, since an instance
    /// that takes it over or hands it back does not know the others' usage. A windowed plan's count
    /// is kept: otherwise each change in the number of instances would grant another share.
    pub(crate) fn split_local_count(&mut self, plan: &PlanParameters, instances: f64, now: Millis) {
        let keeps_count = plan.is_windowed && self.split_among > 0.0;
        self.split_among = instances;
        self.is_counted_by_window = plan.is_windowed || plan.burst < MIN_EVEN_SHARE * instances;
        if keeps_count {
            return;
        }
        // Shares of less than one request would reject everything. Each instance of a sparse tenant
        // may send one: `refill_and_check_room` caps these tokens at the larger of its share and
        // the request.
        self.local_tokens = if self.is_counted_by_window {
            plan.burst
        } else {
            plan.burst / instances
        };
        self.local_refilled_at = now;
        self.remaining = plan.burst;
        self.remaining_at = now;
        self.total_known = false;
        self.total = 0.0;
        self.unsettled = 0.0;
        self.window = 0.0;
    }

    /// Returns the name of the tenant's count in the shared counter. A tenant that is counted
    /// by window has one name per window.
    pub(crate) fn counter_name(&mut self, now: Millis, plan: &PlanParameters) -> CounterName {
        self.enter_window(now, plan);
        if self.is_counted_by_window {
            CounterName::of_window(self.id, self.window, plan.window)
        } else {
            CounterName::of_tenant(self.id)
        }
    }
}

/// Updates from the shared counter's totals. `added` is the number of units that the call itself
/// added; it is included in `total`.
impl Tenant {
    /// Updates a tenant that is counted by window. The total includes all units used in the window.
    pub(crate) fn update_from_window_total(
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

    /// Updates the whole count kept by the owner. Only units added by other instances are deducted.
    pub(crate) fn update_from_total_as_owner(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        now: Millis,
    ) {
        let added_by_others = total - self.total - added;
        self.refill_and_check_room(plan, 0.0, now);
        let max_added = if self.total_known {
            f64::INFINITY
        } else {
            plan.burst / 2.0
        };
        self.local_tokens -= added_by_others.clamp(0.0, max_added);
        self.remaining = self.local_tokens;
        self.remaining_at = now;
        self.total = total;
        self.total_known = true;
    }

    /// Updates the count of one of several instances. The difference between two totals gives the
    /// units added by the others. `noise` is the amount by which returned units may lower a total.
    pub(crate) fn update_from_total_as_member(
        &mut self,
        plan: &PlanParameters,
        added: f64,
        total: f64,
        noise: f64,
        now: Millis,
    ) {
        let mut added_by_others = total - self.total - added;
        // A total far below the last one means that the counter has lost the name. The local
        // estimate of the remaining quota is kept.
        let was_reset = !self.total_known || added_by_others < -noise;
        if was_reset {
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
        // Traffic is uneven, so up to twice the even share may be used until the next total.
        self.local_tokens = self.remaining.max(0.0) * 2.0 / (self.split_among + 1.0);
        self.local_refilled_at = now;
    }
}
