//! Adaptive concurrency limits: how many requests a server gets at once, by how its response times
//! compare with the latency target (additive increase; multiplicative decrease on failures).

use super::DecisionEngine;
use crate::api::{Millis, Outcome};
use crate::state::server::{EjectionState, HealthSample};

const LEAST_LIMIT: f64 = 0.2;
const MAX_LIMIT: f64 = 12.0;
/// By how much a response changes the limit, times its distance from the target.
const LIMIT_GAIN: f64 = 0.3;
const FAILURE_DECREASE: f64 = 0.7;
const RESPONSE_TIME_SMOOTHING: f64 = 0.1;
/// By how much a response changes all limits together, times its distance from the target. An
/// instance of hundreds gets few responses to learn of an overload from, and may not go on holding
/// many requests: it changes them up to `SCALE_GAIN_LARGE_FLEET` times as fast.
const SCALE_GAIN: f64 = 0.1;
const SCALE_GAIN_LARGE_FLEET: f64 = 4.0;
/// The response time to aim at, in parts of the latency target: a multiple of the baseline within
/// these bounds.
const LEAST_AIM: f64 = 0.25;
const MAX_AIM: f64 = 0.33;
const AIM_BASELINES: f64 = 2.0;
/// A fleet overloaded from the start never shows its baseline; to aim this much above what it shows
/// always shrinks it.
const LEAST_ABOVE_BASELINE: f64 = 1.2;
/// A server that reports more load than this gets no higher limit.
const FULL_LOAD: f64 = 0.98;
/// After a failure a server counts as at least so slow, in parts of the latency target.
const RESPONSE_TIME_AFTER_FAILURE: f64 = 0.25;
/// A server that rejected a request rests for about as long as a server takes to finish a request.
const REJECTION_BACKOFF: f64 = 0.5;
const REJECTION_SCORE: f64 = 0.2;
const FAILURE_SCORE: f64 = 1.0;
const EJECTION_SCORE: f64 = 3.0;

impl DecisionEngine {
    /// Takes in how an attempt at the server ended.
    pub(super) fn record_outcome(
        &mut self,
        index: usize,
        outcome: Outcome,
        response_time: Millis,
        group: usize,
    ) {
        let server = &mut self.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        let target = self.params.groups[group].target;
        match outcome {
            Outcome::Ok => self.record_success(index, response_time, group),
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Rejected => {
                server.backoff_until = self.now + REJECTION_BACKOFF * self.fleet.response_time;
                self.record_failure(index, REJECTION_SCORE);
            }
            Outcome::TimedOut | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                server.response_time = server
                    .response_time
                    .max(target * RESPONSE_TIME_AFTER_FAILURE);
                server.concurrency_limit =
                    (server.concurrency_limit * FAILURE_DECREASE).max(LEAST_LIMIT);
                self.record_failure(index, FAILURE_SCORE);
            }
        }
    }

    fn record_success(&mut self, index: usize, response_time: Millis, group: usize) {
        let target = self.params.groups[group].target;
        let step = self.aim(group, response_time) - (response_time / target).min(1.0);
        let server = &mut self.servers[index];
        let in_flight_before = f64::from(server.in_flight) + 1.0;
        let was_at_limit = in_flight_before >= server.concurrency_limit.floor()
            && server.reported_load < FULL_LOAD;
        server.last_response_at = self.now;
        server.response_time += RESPONSE_TIME_SMOOTHING * (response_time - server.response_time);
        self.fleet.record_response_time(response_time);
        let gain = SCALE_GAIN * self.params.probe_spacing.min(SCALE_GAIN_LARGE_FLEET);
        self.fleet.scale_limits(gain * step);
        if was_at_limit || step < 0.0 {
            server.concurrency_limit =
                (server.concurrency_limit + LIMIT_GAIN * step).clamp(LEAST_LIMIT, MAX_LIMIT);
        }
        server.failure_score = 0.0;
        self.fleet.count_response(self.now);
        self.apply_health_sample(index, HealthSample::Success);
    }

    fn record_failure(&mut self, index: usize, score: f64) {
        let server = &mut self.servers[index];
        server.failure_score += score;
        if server.failure_score >= EJECTION_SCORE || server.ejection == EjectionState::Probation {
            self.eject(index);
        }
    }

    /// The response time to aim at, in parts of the latency target. It stands on the least time
    /// seen lately: an aim under what an idle server needs would starve the fleet.
    fn aim(&mut self, group: usize, response_time: Millis) -> f64 {
        let target = self.params.groups[group].target;
        let baseline = self.latency_baselines[group].record(response_time, self.now) / target;
        (AIM_BASELINES * baseline).clamp(LEAST_AIM, MAX_AIM.max(LEAST_ABOVE_BASELINE * baseline))
    }
}
