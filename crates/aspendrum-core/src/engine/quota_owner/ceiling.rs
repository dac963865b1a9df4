//! Shares of a tenant's ceiling: an even one for each of its instances, and one for its first quota owner.

use super::super::DecisionEngine;
use crate::state::parameters::OWNER_CEILING_SHARE;
use crate::state::request::Request;

impl DecisionEngine {
    /// Takes the request's units out of this instance's share; false if it has no room.
    pub(in crate::engine) fn pay_ceiling_share(&mut self, slot: usize) -> bool {
        let Request { tenant, units, .. } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let share = self.params.split_ceiling_share / tenant.instances;
        tenant
            .ceiling_share
            .spend(plan, share, units, 0.0, self.now)
    }

    /// Takes the request's units out of the owner's share, which only the first of the tenant's owners has; false if
    /// this instance is another one or the share has no room.
    pub(in crate::engine) fn pay_owner_ceiling_share(&mut self, slot: usize) -> bool {
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
            .owner_ceiling_share
            .spend(plan, OWNER_CEILING_SHARE, units, 0.0, self.now)
    }
}
