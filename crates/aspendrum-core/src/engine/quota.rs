//! Decides whether a tenant's quota has room for a request, from the shared counter's total or from
//! this instance's local count.

use super::DecisionEngine;
use crate::api::Millis;
use crate::state::request::Request;
use crate::state::tenant::CounterCallPurpose;

/// How long an instance keeps the whole count of a tenant after its last decision as the tenant's
/// owner.
pub(super) const OWNERSHIP_TIMEOUT: Millis = 2000.0;
/// The sampling weight factor of requests that the local count would reject.
const LOCALLY_REJECTED_WEIGHT: f64 = 8.0;

impl DecisionEngine {
    /// Decides on the request's quota by the shared counter or by the local count.
    pub(super) fn decide_quota(&mut self, slot: usize) {
        let index = self.requests[slot].tenant;
        self.requests[slot].waiting_since = self.now;
        let tenant = &mut self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        let is_owner =
            self.now - tenant.owned_at < OWNERSHIP_TIMEOUT && self.params.has_quota_owners;
        let split_among = if is_owner { 1.0 } else { tenant.instances };
        if tenant.split_among != split_among {
            tenant.split_local_count(plan, split_among, self.now);
        }
        tenant.enter_window(self.now, plan);
        if plan.rate <= 0.0 {
            self.complete_admission(slot, true);
        } else if !self.params.has_counter || !self.breaker.is_closed() {
            self.decide_locally(slot, true);
        } else if self.is_known_exhausted(slot, is_owner) {
            self.complete_admission(slot, false);
        } else if let Some(probability) = self.sample_counter_call(slot) {
            self.call_counter_for_request(slot, probability);
        } else {
            self.decide_locally(slot, false);
        }
    }

    /// Whether the quota is known to have no room without a counter call: from the owner's count of
    /// the whole tenant, or from the last total while the counter is degraded.
    fn is_known_exhausted(&mut self, slot: usize, is_owner: bool) -> bool {
        let Request { tenant, units, .. } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let refill = if tenant.is_counted_by_window {
            0.0
        } else {
            plan.rate * (self.now - tenant.remaining_at)
        };
        let remaining = tenant.remaining + refill;
        let (is_reliable, room) = if is_owner {
            (
                !tenant.refill_and_check_room(plan, units, self.now),
                tenant.local_tokens,
            )
        } else {
            (self.now < self.counter_degraded_until, remaining)
        };
        is_reliable && tenant.total_known && room < units
    }

    /// Decides by sampling whether this request calls the counter. Returns the probability of a
    /// call if it does. Requests that the local count would reject, and requests before the
    /// window's first total of a tenant that is counted by window, have a higher probability.
    fn sample_counter_call(&mut self, slot: usize) -> Option<f64> {
        let Request {
            tenant,
            units,
            priority,
            ..
        } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let has_room = tenant.refill_and_check_room(plan, units, self.now)
            && (tenant.total_known || !tenant.is_counted_by_window);
        let weight = priority
            * units
            * if has_room {
                1.0
            } else {
                LOCALLY_REJECTED_WEIGHT
            };
        self.sampling.record_weight(weight);
        // A sharded counter has capacity for one call per request.
        let probability = if plan.is_windowed {
            1.0
        } else {
            self.sampling.probability(weight, self.now)
        };
        (self.rng.next_f64() < probability).then_some(probability)
    }

    fn call_counter_for_request(&mut self, slot: usize, probability: f64) {
        let request = &mut self.requests[slot];
        let tenant = &mut self.tenants[request.tenant];
        // If the tenant is counted by window, the call also accounts for the requests that were not
        // sampled.
        let sample_scale = if tenant.is_counted_by_window {
            1.0 / probability
        } else {
            1.0
        };
        let units = request.units * sample_scale + std::mem::take(&mut tenant.unsettled);
        request.counter_call_in_flight = true;
        request.counted_units = request.units;
        let index = request.tenant;
        self.call_counter(index, CounterCallPurpose::Request(slot), units);
    }

    /// Decides by the total that the counter has just returned.
    pub(super) fn decide_from_total(&mut self, slot: usize) {
        let Request {
            tenant: index,
            units,
            ..
        } = self.requests[slot];
        let within_quota = self.tenants[index].remaining >= units && self.charge_rate_limit(slot);
        if within_quota {
            let tenant = &mut self.tenants[index];
            tenant.remaining -= units;
            tenant.local_tokens -= if tenant.split_among == 1.0 {
                units
            } else {
                0.0
            };
        } else {
            self.schedule_settlement(index, -units);
        }
        self.complete_admission(slot, within_quota);
    }

    /// Decides by the local count. With `is_logged` the counter is unavailable, and a grant is
    /// logged for replay once it is available again. Otherwise the difference to the units that
    /// were already sent to the counter is settled.
    pub(super) fn decide_locally(&mut self, slot: usize, is_logged: bool) {
        let within_quota = self.has_room_without_counter(slot) && self.charge_rate_limit(slot);
        let request = &self.requests[slot];
        let (index, units) = (request.tenant, request.units);
        let difference = if within_quota { units } else { 0.0 } - request.counted_units;
        let tenant = &mut self.tenants[index];
        if within_quota {
            tenant.local_tokens -= units;
            if is_logged {
                let is_first = tenant.grant_log.is_empty();
                self.tenants_with_log.extend(is_first.then_some(index));
                tenant.log_grant(units, self.params.plans[tenant.plan].window, self.now);
            } else if !tenant.is_counted_by_window {
                tenant.remaining -= units;
            }
        }
        if !is_logged && difference != 0.0 {
            self.schedule_settlement(index, difference);
        }
        self.complete_admission(slot, within_quota);
    }
}
