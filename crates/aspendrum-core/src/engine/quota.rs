//! Whether a tenant's quota has room for a request: by the shared counter's total, or by this
//! instance's local count.

use super::DecisionEngine;
use crate::api::Millis;
use crate::state::request::Request;
use crate::state::tenant::CounterCallOwner;

/// For how long after it decided as a tenant's owner an instance counts for the whole tenant.
pub(super) const OWNERSHIP_TIME: Millis = 2000.0;
/// How much more readily a request asks the counter that the local count would reject.
const URGENCY_WITHOUT_LOCAL_ROOM: f64 = 8.0;

impl DecisionEngine {
    /// Decides by the counter, or by the local count.
    pub(super) fn decide_quota(&mut self, slot: usize) {
        let index = self.requests[slot].tenant;
        self.requests[slot].waiting_since = self.now;
        let tenant = &mut self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        let is_owner = self.now - tenant.owned_at < OWNERSHIP_TIME && self.params.has_quota_owners;
        let split_among = if is_owner { 1.0 } else { tenant.instances };
        if tenant.split_among != split_among {
            tenant.split_local_count(plan, split_among, self.now);
        }
        tenant.enter_window(self.now, plan);
        if plan.rate <= 0.0 {
            self.conclude_admission(slot, true);
        } else if !self.params.has_counter || !self.breaker.is_closed() {
            self.decide_locally(slot, true);
        } else if self.is_surely_exhausted(slot, is_owner) {
            self.conclude_admission(slot, false);
        } else if let Some(probability) = self.draw_counter_call(slot) {
            self.ask_counter(slot, probability);
        } else {
            self.decide_locally(slot, false);
        }
    }

    /// There is no room, as is known well enough without the counter: from a count that is the
    /// tenant's at its owner, or from the last total while the counter is short of calls.
    fn is_surely_exhausted(&mut self, slot: usize, is_owner: bool) -> bool {
        let Request { tenant, units, .. } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let refill = if tenant.is_sparse {
            0.0
        } else {
            plan.rate * (self.now - tenant.remaining_at)
        };
        let remaining = tenant.remaining + refill;
        let (is_sure, room) = if is_owner {
            (
                !tenant.has_local_room(plan, units, self.now),
                tenant.local_tokens,
            )
        } else {
            (self.now < self.counter_strained_until, remaining)
        };
        is_sure && tenant.total_known && room < units
    }

    /// Draws whether this request asks the counter; the probability with which it does. Those that
    /// the local count would reject ask first of all, and a sparse tenant's first one in a window.
    fn draw_counter_call(&mut self, slot: usize) -> Option<f64> {
        let Request {
            tenant,
            units,
            priority,
            ..
        } = self.requests[slot];
        let tenant = &mut self.tenants[tenant];
        let plan = &self.params.plans[tenant.plan];
        let has_room = tenant.has_local_room(plan, units, self.now)
            && (tenant.total_known || !tenant.is_sparse);
        let stake = priority
            * units
            * if has_room {
                1.0
            } else {
                URGENCY_WITHOUT_LOCAL_ROOM
            };
        self.sampling.record_stake(stake);
        // Counters that are split over instances bear a call for each request.
        let probability = if plan.is_windowed {
            1.0
        } else {
            self.sampling.probability(stake, self.now)
        };
        (self.rng.next_f64() < probability).then_some(probability)
    }

    fn ask_counter(&mut self, slot: usize, probability: f64) {
        let request = &mut self.requests[slot];
        let tenant = &mut self.tenants[request.tenant];
        // A sparse tenant's call also counts the requests that did not ask.
        let stands_for = if tenant.is_sparse {
            1.0 / probability
        } else {
            1.0
        };
        let units = request.units * stands_for + std::mem::take(&mut tenant.unsettled);
        request.counter_call_in_flight = true;
        request.counted_units = request.units;
        let index = request.tenant;
        self.call_counter(index, CounterCallOwner::Request(slot), units);
    }

    /// Decides by the counter's total, just read.
    pub(super) fn decide_by_total(&mut self, slot: usize) {
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
            self.settle_later(index, -units);
        }
        self.conclude_admission(slot, within_quota);
    }

    /// Decides by the local count. `is_logged`: the counter is not called, and the grant is replayed to it once it is back;
    /// otherwise `unsettled` takes the difference to what the counter has counted.
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
            } else if !tenant.is_sparse {
                tenant.remaining -= units;
            }
        }
        if !is_logged && difference != 0.0 {
            self.settle_later(index, difference);
        }
        self.conclude_admission(slot, within_quota);
    }
}
