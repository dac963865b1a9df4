//! What an instance has learned of all servers together.

use crate::api::Millis;

const RESPONSE_TIME_SMOOTHING: f64 = 0.02;
const LOAD_SMOOTHING: f64 = 0.02;
const LEAST_LIMIT_SCALE: f64 = 0.01;
/// How fast the response rate forgets.
const RATE_TIME: Millis = 5000.0;

/// Averages over all servers.
pub(crate) struct FleetStatistics {
    /// Exponentially smoothed response time.
    pub(crate) response_time: Millis,
    /// Exponentially smoothed load report.
    pub(crate) load: f64,
    /// By this all concurrency limits shrink together: an overdriven fleet gives each server too
    /// few responses for its own limit to follow.
    pub(crate) limit_scale: f64,
    response_rate: f64,
    response_rate_at: Millis,
}

impl FleetStatistics {
    /// With a guess of the response time.
    pub(crate) fn new(response_time: Millis) -> Self {
        FleetStatistics {
            response_time,
            load: 0.0,
            limit_scale: 1.0,
            response_rate: 0.0,
            response_rate_at: 0.0,
        }
    }

    /// Takes in a response time.
    pub(crate) fn record_response_time(&mut self, response_time: Millis) {
        self.response_time += RESPONSE_TIME_SMOOTHING * (response_time - self.response_time);
    }

    /// Takes in a load report.
    pub(crate) fn record_load(&mut self, load: f64) {
        self.load += LOAD_SMOOTHING * (load - self.load);
    }

    /// Grows or shrinks all concurrency limits by that share.
    pub(crate) fn scale_limits(&mut self, by: f64) {
        self.limit_scale = (self.limit_scale * (1.0 + by)).clamp(LEAST_LIMIT_SCALE, 1.0);
    }

    /// Counts a response in the rate.
    pub(crate) fn count_response(&mut self, now: Millis) {
        self.response_rate = self.response_rate(now) + 1.0 / RATE_TIME;
        self.response_rate_at = now;
    }

    /// Responses a millisecond that this instance has been getting lately.
    pub(crate) fn response_rate(&self, now: Millis) -> f64 {
        self.response_rate * (-(now - self.response_rate_at) / RATE_TIME).exp()
    }
}
