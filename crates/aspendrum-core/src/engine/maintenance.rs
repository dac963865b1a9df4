//! Periodic work, done on each tick of the timer.

use super::admission::IDLE_TIMEOUT;
use super::{DecisionEngine, TICK_INTERVAL};
use crate::api::{Action, Health, Millis};
use crate::state::request::{Request, RequestStage};
use crate::state::tenant::CounterCallPurpose;

/// How long after its timeout a counter call without an outcome is abandoned.
const COUNTER_TIMEOUT_GRACE: Millis = 4.0 * TICK_INTERVAL;
/// A queued request is rejected when the time to its latency target falls below this many mean
/// response times or this fraction of the target, whichever is less.
const MIN_TIME_LEFT_RESPONSE_TIMES: f64 = 3.0;
const MIN_TIME_LEFT_TARGET_SHARE: f64 = 0.9;
/// The `retry_after` sent to clients while servers have no capacity, in mean response times.
const RETRY_AFTER_RESPONSE_TIMES: f64 = 2.0;
/// The number of sweeps for idle state per idle timeout.
const SWEEPS_PER_IDLE_TIMEOUT: f64 = 10.0;

impl DecisionEngine {
    /// Handles the timer that the engine requested, and requests the next one.
    pub(super) fn tick(&mut self) {
        self.actions.push(Action::Timer {
            token: 0,
            wait: TICK_INTERVAL,
        });
        if self.breaker.start_probe(self.now) {
            self.call_counter(
                self.breaker.probe_tenant,
                CounterCallPurpose::BreakerProbe,
                0.0,
            );
        }
        self.flush_due_settlements();
        self.refill_slow_start_tokens();
        self.check_servers();
        self.check_requests();
        self.dispatch();
        self.remove_idle_state();
    }

    fn check_requests(&mut self) {
        let mut position = 0;
        while let Some(&slot) = self.open_requests.get(position) {
            self.check_request(slot);
            // A released request is replaced at its position by the next one.
            position += usize::from(self.open_requests.get(position) == Some(&slot));
        }
    }

    fn check_request(&mut self, slot: usize) {
        let request = &self.requests[slot];
        if request.stage == RequestStage::Finished || request.is_streaming {
            return;
        }
        if self.is_expiring(request) {
            return self.send_local_reply(slot, 0.0);
        }
        match request.stage {
            RequestStage::Admission => self.check_admission(slot),
            RequestStage::Queued => {
                let is_late = self.is_late(request);
                let was_sent = !request.attempts().is_empty();
                if is_late || was_sent && self.select_server(slot).is_none() {
                    self.send_local_reply(
                        slot,
                        RETRY_AFTER_RESPONSE_TIMES * self.fleet.response_time,
                    );
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
        } else if waited > self.params.counter_timeout + COUNTER_TIMEOUT_GRACE {
            self.decide_locally(slot, false);
        }
    }

    /// Whether a server is unlikely to answer the request within the latency target.
    fn is_late(&self, request: &Request) -> bool {
        let target = self.params.groups[request.group].target;
        let min_time_left = (MIN_TIME_LEFT_RESPONSE_TIMES * self.fleet.response_time)
            .min(MIN_TIME_LEFT_TARGET_SHARE * target);
        self.now >= request.target_at - min_time_left
    }

    /// Removes idle tenants, and removed servers that no request refers to.
    fn remove_idle_state(&mut self) {
        if self.now - self.last_sweep_at < IDLE_TIMEOUT / SWEEPS_PER_IDLE_TIMEOUT {
            return;
        }
        self.last_sweep_at = self.now;
        self.remove_idle_tenants();
        self.remove_unused_servers();
    }

    fn remove_idle_tenants(&mut self) {
        for index in 0..self.tenants.len() {
            let tenant = &self.tenants[index];
            let (id, is_expired) = (tenant.id, self.now - tenant.last_used_at > IDLE_TIMEOUT);
            let is_current = self.tenants.find(id) == Some(index);
            if tenant.is_idle() && is_expired && self.breaker.is_closed() && is_current {
                self.tenants.remove(id);
            }
        }
    }

    fn remove_unused_servers(&mut self) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let id = u64::from(server.id);
            let refers_to_server = |slot: &usize| {
                self.requests[*slot]
                    .attempts()
                    .iter()
                    .any(|attempt| attempt.server == index)
            };
            let is_unused = server.health == Health::Removed
                && !self.open_requests.iter().any(refers_to_server);
            if is_unused && self.servers.find(id) == Some(index) {
                self.servers.remove(id);
            }
        }
    }
}
