//! Statistics aggregated over all servers, as measured by one instance.

use crate::api::Millis;

const RESPONSE_TIME_SMOOTHING: f64 = 0.02;
const LOAD_SMOOTHING: f64 = 0.02;
const MIN_LIMIT_SCALE: f64 = 0.01;
/// The time constant of the exponentially decaying response rate.
const RATE_TIME_CONSTANT: Millis = 5000.0;

/// Statistics over all servers.
pub(crate) struct FleetStatistics {
    /// Exponentially smoothed response time.
    pub(crate) response_time: Millis,
    /// Exponentially smoothed reported load.
    pub(crate) load: f64,
    /// A factor applied to the sum of all concurrency limits. In an overloaded fleet each server
    /// returns too few responses to adapt its own limit in time.
    pub(crate) limit_scale: f64,
    response_rate: f64,
    response_rate_at: Millis,
}

impl FleetStatistics {
    /// Returns the initial statistics, with an estimate of the response time.
    pub(crate) fn new(response_time: Millis) -> Self {
        FleetStatistics {
            response_time,
            load: 0.0,
            limit_scale: 1.0,
            response_rate: 0.0,
            response_rate_at: 0.0,
        }
    }

    /// Updates the smoothed response time.
    pub(crate) fn record_response_time(&mut self, response_time: Millis) {
        self.response_time += RESPONSE_TIME_SMOOTHING * (response_time - self.response_time);
    }

    /// Updates the smoothed load.
    pub(crate) fn record_load(&mut self, load: f64) {
        self.load += LOAD_SMOOTHING * (load - self.load);
    }

    /// Changes the scale of all concurrency limits by a relative amount.
    pub(crate) fn scale_limits(&mut self, relative_change: f64) {
        self.limit_scale = (self.limit_scale * (1.0 + relative_change)).clamp(MIN_LIMIT_SCALE, 1.0);
    }

    /// Counts a response in the response rate.
    pub(crate) fn count_response(&mut self, now: Millis) {
        self.response_rate = self.response_rate(now) + 1.0 / RATE_TIME_CONSTANT;
        self.response_rate_at = now;
    }

    /// Returns the recent rate of responses to this instance, per millisecond.
    pub(crate) fn response_rate(&self, now: Millis) -> f64 {
        self.response_rate * (-(now - self.response_rate_at) / RATE_TIME_CONSTANT).exp()
    }
}
