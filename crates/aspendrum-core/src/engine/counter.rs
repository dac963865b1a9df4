//! The shared counter: calls and their answers, what a total says of a quota, and units settled
//! later.

use super::breaker::{BreakerEffect, BreakerEvent};
use super::counter_name::{is_window_name, tenant_of_name};
use super::{DecisionEngine, Settlement};
use crate::api::{Action, Millis, Outcome};
use crate::state::request::RequestStage;
use crate::state::tenant::{CounterCall, CounterCallOwner};

/// An answer is prompt within this part of the counter's time-out.
const PROMPT: f64 = 0.5;
/// For how long a late or failed call makes the counter count as strained.
const STRAINED_TIME: Millis = 2000.0;
/// How long units wait for another call of their tenant to take them along, while all requests ask
/// the counter.
const SETTLEMENT_DELAY: Millis = 200.0;

impl DecisionEngine {
    /// Adds units to the tenant's count, along with which its total comes back.
    pub(super) fn call_counter(&mut self, index: usize, owner: CounterCallOwner, units: f64) {
        let tenant = &mut self.tenants[index];
        let counter_name = tenant.counter_name(self.now, &self.params.plans[tenant.plan]);
        let name = counter_name.name;
        tenant
            .counter_calls
            .push_back(CounterCall { owner, units, name });
        self.actions.push(Action::AddToCounter {
            name,
            units: units as f32,
            ttl: counter_name.ttl,
        });
    }

    /// A call was answered or failed; `total`: the count, the call's units among it.
    pub(super) fn end_counter_call(
        &mut self,
        name: u64,
        outcome: Outcome,
        total: f64,
        rtt: Millis,
    ) {
        if matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.counter_heard_at = Some(self.now);
        }
        self.apply_counter_answer(name, outcome, total, rtt);
        if outcome == Outcome::Ok && self.params.has_quota_owners {
            if let Some(index) = self.tenants.find(tenant_of_name(name)) {
                self.set_tokens_from_total(index);
            }
        }
    }

    fn apply_counter_answer(&mut self, name: u64, outcome: Outcome, total: f64, rtt: Millis) {
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
        let is_answered = outcome == Outcome::Ok;
        let is_news = self.sampling.is_news(self.now - rtt);
        self.adapt_sampling(
            is_answered && rtt < PROMPT * self.params.counter_timeout,
            is_news,
        );
        if is_answered {
            self.breaker.clear_failures();
            self.follow_total(index, &call, total);
        } else {
            self.count_failed_call(index, &call, outcome, is_news);
        }
        match call.owner {
            CounterCallOwner::Request(slot) => self.continue_request(slot, is_answered),
            CounterCallOwner::Settlement => {}
            CounterCallOwner::BreakerProbe => {
                self.breaker.probe_ended();
                if is_answered {
                    self.notify_breaker(BreakerEvent::ProbeAnswered);
                }
            }
        }
    }

    fn adapt_sampling(&mut self, is_prompt: bool, is_news: bool) {
        if is_prompt {
            self.sampling.grow();
            return;
        }
        if is_news && self.breaker.is_closed() {
            self.sampling.cut(self.now);
        }
        self.counter_strained_until = self.now + STRAINED_TIME;
    }

    fn count_failed_call(
        &mut self,
        index: usize,
        call: &CounterCall,
        outcome: Outcome,
        is_news: bool,
    ) {
        let tenant = &mut self.tenants[index];
        // What a counter answers too late it has added.
        if outcome != Outcome::TimedOut {
            self.settle_later(index, call.units);
        } else if tenant.split_among == 1.0 {
            tenant.total += call.units;
        }
        if self.breaker.count_failure(is_news) {
            self.breaker.probe_tenant = index;
            self.notify_breaker(BreakerEvent::FailureThresholdReached);
        }
    }

    fn continue_request(&mut self, slot: usize, is_answered: bool) {
        self.requests[slot].counter_call_in_flight = false;
        match self.requests[slot].stage {
            RequestStage::Admission if is_answered => self.decide_by_total(slot),
            RequestStage::Admission => self.decide_locally(slot, false),
            _ => self.forget_if_done(slot),
        }
    }

    fn notify_breaker(&mut self, event: BreakerEvent) {
        match self.breaker.apply(event) {
            Some(BreakerEffect::ScheduleProbe) => self.breaker.schedule_probe(self.now),
            Some(BreakerEffect::ReplayGrants) => self.replay_grants(),
            None => {}
        }
    }

    /// Settles what was granted while the breaker was open: one sum a tenant, which goes with the
    /// tenant's next call, or by itself where none comes soon.
    fn replay_grants(&mut self) {
        self.breaker.clear_failures();
        for index in std::mem::take(&mut self.tenants_with_log) {
            let tenant = &mut self.tenants[index];
            let plan = &self.params.plans[tenant.plan];
            tenant.enter_window(self.now, plan);
            let window = if tenant.is_sparse {
                tenant.window_position(self.now, plan).fract() * plan.window
            } else {
                plan.window
            };
            let recent = tenant
                .grant_log
                .drain(..)
                .filter(|grant| grant.at >= self.now - window);
            let sum: f64 = recent.map(|grant| grant.units).sum();
            tenant.unsettled += if tenant.is_sparse { sum } else { 0.0 };
            tenant.remaining -= if tenant.is_sparse { 0.0 } else { sum };
            self.settle_later(index, sum);
        }
    }

    /// Follows the tenant's quota from the counter's totals, as if others had added evenly since
    /// the last one.
    fn follow_total(&mut self, index: usize, call: &CounterCall, total: f64) {
        let tenant = &mut self.tenants[index];
        let plan = &self.params.plans[tenant.plan];
        if tenant.is_sparse != is_window_name(call.name) {
            return; // The count's name has changed since.
        }
        if tenant.is_sparse {
            tenant.follow_window_total(plan, call.units, total, self.now);
        } else if tenant.split_among == 1.0 {
            tenant.follow_total_as_owner(plan, call.units, total, self.now);
        } else {
            let noise = self.params.max_units * tenant.instances;
            tenant.follow_total_among_others(plan, call.units, total, noise, self.now);
        }
    }

    /// Schedules units for the counter: they are added with the tenant's next call, or by a call of their own after a while.
    pub(super) fn settle_later(&mut self, index: usize, units: f64) {
        let tenant = &mut self.tenants[index];
        // What a sparse tenant is refused stays counted until the window ends.
        if !tenant.is_sparse && self.params.has_counter {
            tenant.unsettled += units;
            let due_at = self.now + SETTLEMENT_DELAY / self.sampling.rate();
            self.settlements.push_back(Settlement {
                tenant: index,
                due_at,
            });
        }
    }

    /// Sends units that no other call took along, as often as requests ask the counter.
    pub(super) fn settle_due(&mut self) {
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
                    .probability(self.sampling.average_stake(), self.now);
                if self.rng.next_f64() >= probability {
                    return;
                }
                let units = std::mem::take(&mut self.tenants[index].unsettled);
                self.call_counter(index, CounterCallOwner::Settlement, units);
            }
            self.settlements.pop_front();
        }
    }
}
