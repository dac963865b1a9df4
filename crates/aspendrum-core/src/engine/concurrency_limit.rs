//! Adaptive concurrency limits, which bound the requests in flight at each server by comparing its
//! response times with the latency target (additive steps; multiplicative decrease on failures).

use super::DecisionEngine;
use crate::api::{Millis, Outcome};
use crate::state::server::{EjectionState, HealthSample};

const MIN_LIMIT: f64 = 0.2;
const MAX_LIMIT: f64 = 12.0;
/// The change of a server's limit per response and unit of distance from the setpoint.
const LIMIT_GAIN: f64 = 0.3;
const FAILURE_DECREASE: f64 = 0.7;
const RESPONSE_TIME_SMOOTHING: f64 = 0.1;
/// The relative change of all limits per response, multiplied by the distance from the setpoint. In
/// a fleet of hundreds, each instance sees few responses and must still react to an overload, so
/// the gain grows with the fleet, up to `MAX_FLEET_GAIN_FACTOR` times.
const SCALE_GAIN: f64 = 0.1;
const MAX_FLEET_GAIN_FACTOR: f64 = 4.0;
/// The setpoint of the response time is a multiple of the baseline, clamped to these fractions of
/// the latency target.
const MIN_SETPOINT: f64 = 0.25;
const MAX_SETPOINT: f64 = 0.33;
const SETPOINT_BASELINE_FACTOR: f64 = 2.0;
/// The upper bound of the setpoint is at least this multiple of the measured baseline. The baseline
/// of a fleet that is overloaded from the start includes queueing; a setpoint this close to it
/// still shrinks the limits.
const MIN_SETPOINT_ABOVE_BASELINE: f64 = 1.2;
/// The limit of a server that reports at least this load is not increased.
const FULL_LOAD: f64 = 0.98;
/// The minimum response time estimate after a failure, as a fraction of the latency target.
const FAILURE_RESPONSE_TIME: f64 = 0.25;
/// How long a server gets no requests after it rejected one, as a fraction of the fleet's mean
/// response time: about the time until a server finishes a request.
const REJECTION_BACKOFF: f64 = 0.5;
const REJECTION_SCORE: f64 = 0.2;
const FAILURE_SCORE: f64 = 1.0;
const EJECTION_SCORE: f64 = 3.0;

impl DecisionEngine {
    /// Updates the server's state with the outcome of an attempt.
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
                server.response_time = server.response_time.max(target * FAILURE_RESPONSE_TIME);
                server.concurrency_limit =
                    (server.concurrency_limit * FAILURE_DECREASE).max(MIN_LIMIT);
                self.record_failure(index, FAILURE_SCORE);
            }
        }
    }

    fn record_success(&mut self, index: usize, response_time: Millis, group: usize) {
        let target = self.params.groups[group].target;
        let step =
            self.response_time_setpoint(group, response_time) - (response_time / target).min(1.0);
        let server = &mut self.servers[index];
        let in_flight_before = f64::from(server.in_flight) + 1.0;
        let may_increase = in_flight_before >= server.concurrency_limit.floor()
            && server.reported_load < FULL_LOAD;
        server.last_response_at = self.now;
        server.response_time += RESPONSE_TIME_SMOOTHING * (response_time - server.response_time);
        self.fleet.record_response_time(response_time);
        let gain = SCALE_GAIN * self.params.probe_interval_factor.min(MAX_FLEET_GAIN_FACTOR);
        self.fleet.scale_limits(gain * step);
        if may_increase || step < 0.0 {
            server.concurrency_limit =
                (server.concurrency_limit + LIMIT_GAIN * step).clamp(MIN_LIMIT, MAX_LIMIT);
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

    /// The setpoint of the response time, as a fraction of the latency target. It follows the
    /// minimum response time: a setpoint below what an idle server needs would starve the fleet.
    fn response_time_setpoint(&mut self, group: usize, response_time: Millis) -> f64 {
        let target = self.params.groups[group].target;
        let baseline = self.latency_baselines[group].record(response_time, self.now) / target;
        (SETPOINT_BASELINE_FACTOR * baseline).clamp(
            MIN_SETPOINT,
            MAX_SETPOINT.max(MIN_SETPOINT_ABOVE_BASELINE * baseline),
        )
    }
}
