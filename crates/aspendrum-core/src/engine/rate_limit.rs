//! Rule 5: rate limits, which hold whatever fails. Each of a tenant's instances has an even share of the rate limit, and the
//! tenant's first quota owner has one more.

use super::parameters::{PlanParameters, OWNER_CEILING_SHARE};
use super::DecisionEngine;
use crate::api::Millis;
use crate::state::request::Request;
use crate::state::tenant::RateLimitShare;

/// Of a rate limit, what is split; the rest is slack for grants that wait and go out together.
const CEILING_USED: f64 = 0.9;

impl RateLimitShare {
    /// Takes units out, if `reserve` of the bucket's size stays. `share`: of the whole rate limit. A plan without a
    /// rate limit always has room.
    pub(super) fn spend(
        &mut self,
        plan: &PlanParameters,
        share: f64,
        units: f64,
        reserve: f64,
        now: Millis,
    ) -> bool {
        let share = CEILING_USED * share;
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
    /// Takes a request's units out of the tenant's rate limit; false if it has no room. A peer's request is charged to the
    /// owner's share, and only where the peer's own is spent.
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

    /// Takes the request's units out of this instance's share; false if it has no room.
    pub(super) fn charge_rate_limit_share(&mut self, slot: usize) -> bool {
        let Request { tenant, units, .. } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let share = self.params.split_rate_limit_share / tenant.instances;
        tenant
            .rate_limit_share
            .spend(plan, share, units, 0.0, self.now)
    }

    /// Takes the request's units out of the owner's share, which only the first of the tenant's owners has; false if
    /// this instance is another one or the share has no room.
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
            .spend(plan, OWNER_CEILING_SHARE, units, 0.0, self.now)
    }
}
