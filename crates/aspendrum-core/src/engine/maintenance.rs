//! What is done on each tick of the timer.

use super::admission::IDLE_TIMEOUT;
use super::{DecisionEngine, TICK};
use crate::api::{Action, Health, Millis};
use crate::state::request::{Request, RequestStage};
use crate::state::tenant::CounterCallOwner;

/// How long after its time-out a counter call that did not end is given up.
const COUNTER_GRACE: Millis = 4.0 * TICK;
/// A queued request is given up when this many response times, or this part of the latency target,
/// are left of it.
const RESPONSE_TIMES_LEFT: f64 = 3.0;
const TARGET_LEFT: f64 = 0.9;
/// The retry advice to clients while servers have no capacity, in multiples of the response time.
const RETRY_AFTER_RESPONSE_TIMES: f64 = 2.0;
/// Idle things are looked for so many times in an idle time-out.
const SWEEPS: f64 = 10.0;

impl DecisionEngine {
    /// The timer that the engine asked for.
    pub(super) fn tick(&mut self) {
        self.actions.push(Action::Timer {
            token: 0,
            wait: TICK,
        });
        if self.breaker.start_probe(self.now) {
            self.call_counter(
                self.breaker.probe_tenant,
                CounterCallOwner::BreakerProbe,
                0.0,
            );
        }
        self.settle_due();
        self.refill_slow_start_tokens();
        self.check_servers();
        self.check_requests();
        self.dispatch();
        self.forget_idle();
    }

    fn check_requests(&mut self) {
        let mut position = 0;
        while let Some(&slot) = self.open_requests.get(position) {
            self.check_request(slot);
            // A request that was forgotten has left its position to the next one.
            position += usize::from(self.open_requests.get(position) == Some(&slot));
        }
    }

    fn check_request(&mut self, slot: usize) {
        let request = &self.requests[slot];
        if request.stage == RequestStage::Finished || request.is_streaming {
            return;
        }
        if self.is_expiring(request) {
            return self.give_up(slot, 0.0);
        }
        match request.stage {
            RequestStage::Admission => self.check_admission(slot),
            RequestStage::Queued => {
                let is_late = self.is_late(request);
                let was_sent = !request.attempts().is_empty();
                if is_late || was_sent && self.select_server(slot).is_none() {
                    self.give_up(slot, RETRY_AFTER_RESPONSE_TIMES * self.fleet.response_time);
                }
            }
            RequestStage::InFlight | RequestStage::Finished => {}
        }
    }

    fn check_admission(&mut self, slot: usize) {
        let request = &self.requests[slot];
        let waited = self.now - request.waiting_since;
        if let Some(peer) = request.quota_owner {
            self.check_quota_owner(slot, peer);
        } else if waited > self.params.counter_timeout + COUNTER_GRACE {
            self.decide_locally(slot, false);
        }
    }

    /// So little is left of the latency target that a server would hardly answer within it.
    fn is_late(&self, request: &Request) -> bool {
        let target = self.params.groups[request.group].target;
        let time_left = (RESPONSE_TIMES_LEFT * self.fleet.response_time).min(TARGET_LEFT * target);
        self.now >= request.target_at - time_left
    }

    /// Forgets idle tenants, and removed servers once no request refers to them.
    fn forget_idle(&mut self) {
        if self.now - self.swept_at < IDLE_TIMEOUT / SWEEPS {
            return;
        }
        self.swept_at = self.now;
        self.forget_idle_tenants();
        self.forget_gone_servers();
    }

    fn forget_idle_tenants(&mut self) {
        for index in 0..self.tenants.len() {
            let tenant = &self.tenants[index];
            let (id, is_old) = (tenant.id, self.now - tenant.last_used_at > IDLE_TIMEOUT);
            let is_current = self.tenants.find(id) == Some(index);
            if tenant.is_idle() && is_old && self.breaker.is_closed() && is_current {
                self.tenants.remove(id);
            }
        }
    }

    fn forget_gone_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let id = u64::from(server.id);
            let names_it = |slot: &usize| {
                self.requests[*slot]
                    .attempts()
                    .iter()
                    .any(|attempt| attempt.server == index)
            };
            let is_gone =
                server.health == Health::Removed && !self.open_requests.iter().any(names_it);
            if is_gone && self.servers.find(id) == Some(index) {
                self.servers.remove(id);
            }
        }
    }
}
