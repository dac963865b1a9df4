//! Calls of the shared counter: their replies, quota updates from its totals, and the settlement of
//! units that it has not counted yet.

use super::breaker::{BreakerEffect, BreakerEvent};
use super::counter_name::{is_window_name, tenant_of_name};
use super::{DecisionEngine, Settlement};
use crate::api::{Action, Millis, Outcome};
use crate::state::request::RequestStage;
use crate::state::tenant::{CounterCall, CounterCallPurpose};

/// A reply is prompt within this fraction of the counter's timeout.
const PROMPT_REPLY_SHARE: f64 = 0.5;
/// How long the counter is treated as degraded after a late or failed call.
const DEGRADED_PERIOD: Millis = 2000.0;
/// How long units wait for another call of their tenant to include them, at a sampling rate of 1.
const SETTLEMENT_DELAY: Millis = 200.0;

impl DecisionEngine {
    /// Adds units to the tenant's count. The reply returns the new total.
    pub(super) fn call_counter(&mut self, index: usize, purpose: CounterCallPurpose, units: f64) {
        let tenant = &mut self.tenants[index];
        let counter_name = tenant.counter_name(self.now, &self.params.plans[tenant.plan]);
        let name = counter_name.name;
        tenant.counter_calls.push_back(CounterCall {
            purpose,
            units,
            name,
        });
        self.actions.push(Action::AddToCounter {
            name,
            units: units as f32,
            ttl: counter_name.ttl,
        });
    }

    /// Handles the outcome of a counter call. `total` includes the units of the call.
    pub(super) fn handle_counter_reply(
        &mut self,
        name: u64,
        outcome: Outcome,
        total: f64,
        rtt: Millis,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.last_counter_reply_at = Some(self.now);
        }
        self.apply_counter_reply(name, outcome, total, rtt);
        if outcome == Outcome::Ok && self.params.has_quota_owners {
            if let Some(index) = self.tenants.find(tenant_of_name(name)) {
                self.set_tokens_from_total(index);
            }
        }
    }

    fn apply_counter_reply(&mut self, name: u64, outcome: Outcome, total: f64, rtt: Millis) {
        let Some(index) = self.tenants.find(tenant_of_name(name)) else {
            return;
        };
        let calls = &mut self.tenants[index].counter_calls;
        let Some(position) = calls.iter().position(|call| call.name == name) else {
            return;
        };
        let Some(call) = calls.remove(position) else {
            return;
        };
        let is_ok = outcome == Outcome::Ok;
        let is_new_failure = self.sampling.is_new_failure(self.now - rtt);
        self.update_sampling_rate(
            is_ok && rtt < PROMPT_REPLY_SHARE * self.params.counter_timeout,
            is_new_failure,
        );
        if is_ok {
            self.breaker.clear_failures();
            self.update_from_total(index, &call, total);
        } else {
            self.handle_failed_call(index, &call, outcome, is_new_failure);
        }
        match call.purpose {
            CounterCallPurpose::Request(slot) => self.resume_request(slot, is_ok),
            CounterCallPurpose::Settlement => {}
            CounterCallPurpose::BreakerProbe => {
                self.breaker.finish_probe();
                if is_ok {
                    self.apply_breaker_event(BreakerEvent::ProbeAnswered);
                }
            }
        }
    }

    fn update_sampling_rate(&mut self, is_prompt: bool, is_new_failure: bool) {
        if is_prompt {
            self.sampling.increase();
            return;
        }
        if is_new_failure && self.breaker.is_closed() {
            self.sampling.decrease(self.now);
        }
        self.counter_degraded_until = self.now + DEGRADED_PERIOD;
    }

    fn handle_failed_call(
        &mut self,
        index: usize,
        call: &CounterCall,
        outcome: Outcome,
        is_new_failure: bool,
    ) {
        let tenant = &mut self.tenants[index];
        // A call that timed out may still have been counted, so its units are not settled again.
        if outcome != Outcome::TimedOut {
            self.schedule_settlement(index, call.units);
        } else if tenant.split_among == 1.0 {
            tenant.total += call.units;
        }
        if self.breaker.count_failure(is_new_failure) {
            self.breaker.probe_tenant = index;
            self.apply_breaker_event(BreakerEvent::FailureThresholdReached);
        }
    }

    fn resume_request(&mut self, slot: usize, is_ok: bool) {
        self.requests[slot].counter_call_in_flight = false;
        match self.requests[slot].stage {
            RequestStage::Admission if is_ok => self.decide_from_total(slot),
            RequestStage::Admission => self.decide_locally(slot, false),
            _ => self.release_if_done(slot),
        }
    }

    fn apply_breaker_event(&mut self, event: BreakerEvent) {
        match self.breaker.apply(event) {
            Some(BreakerEffect::ScheduleProbe) => self.breaker.schedule_probe(self.now),
            Some(BreakerEffect::ReplayGrants) => self.replay_grants(),
            None => {}
        }
    }

    /// Settles the grants made while the breaker was open. Each tenant's grants are summed up and
    /// sent with its next call, or by a separate call if none is made in time.
    fn replay_grants(&mut self) {
        self.breaker.clear_failures();
        for index in std::mem::take(&mut self.tenants_with_log) {
            let tenant = &mut self.tenants[index];
            let plan = &self.params.plans[tenant.plan];
            tenant.enter_window(self.now, plan);
            let window = if tenant.is_counted_by_window {
                tenant.window_position(self.now, plan).fract() * plan.window
            } else {
                plan.window
            };
            let recent = tenant
                .grant_log
                .drain(..)
                .filter(|grant| grant.at >= self.now - window);
            let sum: f64 = recent.map(|grant| grant.units).sum();
            tenant.unsettled += if tenant.is_counted_by_window {
                sum
            } else {
                0.0
            };
            tenant.remaining -= if tenant.is_counted_by_window {
                0.0
            } else {
                sum
            };
            self.schedule_settlement(index, sum);
        }
    }

    /// Updates the tenant's remaining quota from a total of the counter.
    fn update_from_total(&mut self, index: usize, call: &CounterCall, total: f64) {
        let tenant = &mut self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        if tenant.is_counted_by_window != is_window_name(call.name) {
            return; // The tenant's counter name has changed since the call.
        }
        if tenant.is_counted_by_window {
            tenant.update_from_window_total(plan, call.units, total, self.now);
        } else if tenant.split_among == 1.0 {
            tenant.update_from_total_as_owner(plan, call.units, total, self.now);
        } else {
            let noise = self.params.max_units * tenant.instances;
            tenant.update_from_total_as_member(plan, call.units, total, noise, self.now);
        }
    }

    /// Schedules units for the counter. They are added with the tenant's next call, or by a
    /// separate call after the settlement delay.
    pub(super) fn schedule_settlement(&mut self, index: usize, units: f64) {
        let tenant = &mut self.tenants[index];
        // Units rejected for a tenant that is counted by window stay counted until the window ends.
        if !tenant.is_counted_by_window && self.params.has_counter {
            tenant.unsettled += units;
            let due_at = self.now + SETTLEMENT_DELAY / self.sampling.rate();
            self.settlements.push_back(Settlement {
                tenant: index,
                due_at,
            });
        }
    }

    /// Sends the due units that no other call has included, at the sampling rate of requests.
    pub(super) fn flush_due_settlements(&mut self) {
        while let Some(&Settlement {
            tenant: index,
            due_at,
        }) = self.settlements.front()
        {
            if due_at > self.now || !self.breaker.is_closed() {
                return;
            }
            if self.tenants[index].unsettled != 0.0 {
                let probability = self
                    .sampling
                    .probability(self.sampling.average_weight(), self.now);
                if self.rng.next_f64() >= probability {
                    return;
                }
                let units = std::mem::take(&mut self.tenants[index].unsettled);
                self.call_counter(index, CounterCallPurpose::Settlement, units);
            }
            self.settlements.pop_front();
        }
    }
}
