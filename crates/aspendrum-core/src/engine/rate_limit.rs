//! Invariant 5: rate limits hold under any failure. Each of a tenant's instances holds an even
//! share of the rate limit, and the tenant's first quota owner holds an additional share.

use super::parameters::{PlanParameters, OWNER_RATE_LIMIT_SHARE};
use super::DecisionEngine;
use crate::api::Millis;
use crate::state::request::Request;
use crate::state::tenant::RateLimitShare;

/// The fraction of a rate limit that is handed out. The rest is slack for granted requests that
/// wait in the queue and are sent together.
const USABLE_SHARE: f64 = 0.9;

impl RateLimitShare {
    /// Refills the bucket, and takes out the units if at least the fraction `reserve` of its size
    /// remains. `share` is this bucket's fraction of the whole rate limit. A plan without a rate
    /// limit always has room.
    pub(super) fn spend(
        &mut self,
        plan: &PlanParameters,
        share: f64,
        units: f64,
        reserve: f64,
        now: Millis,
    ) -> bool {
        let share = USABLE_SHARE * share;
        let refill = share * plan.rate_limit * (now - self.refilled_at);
        let size = share * plan.rate_limit_burst;
        self.tokens = (self.tokens + refill).min(size);
        self.refilled_at = now;
        let has_room = plan.rate_limit <= 0.0
            || self.tokens - units >= reserve * share * plan.rate_limit_burst;
        self.tokens -= if has_room { units } else { 0.0 };
        has_room
    }
}

impl DecisionEngine {
    /// Charges a request to the tenant's rate limit. Returns false if it has no room. A peer's
    /// request is charged to the owner's share, and only if the peer's own share is exhausted.
    pub(super) fn charge_rate_limit(&mut self, slot: usize) -> bool {
        let request = &self.requests[slot];
        match request.peer_origin {
            Some(_) => {
                !request.charges_owner_rate_limit || self.charge_owner_rate_limit_share(slot)
            }
            None => {
                request.rate_limit_charged
                    || self.charge_rate_limit_share(slot)
                    || self.charge_owner_rate_limit_share(slot)
            }
        }
    }

    /// Charges a request to this instance's even share. Returns false if it has no room.
    pub(super) fn charge_rate_limit_share(&mut self, slot: usize) -> bool {
        let Request { tenant, units, .. } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let share = self.params.split_rate_limit_share / tenant.instances;
        tenant
            .rate_limit_share
            .spend(plan, share, units, 0.0, self.now)
    }

    /// Charges a request to the owner's share. Returns false if it has no room, or if this instance
    /// is not the first of the tenant's owners.
    fn charge_owner_rate_limit_share(&mut self, slot: usize) -> bool {
        let Request {
            tenant: index,
            units,
            ..
        } = self.requests[slot];
        if self.quota_owners(index).next() != Some(self.params.instance) {
            return false;
        }
        let tenant = &mut self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        tenant
            .owner_rate_limit_share
            .spend(plan, OWNER_RATE_LIMIT_SHARE, units, 0.0, self.now)
    }
}
