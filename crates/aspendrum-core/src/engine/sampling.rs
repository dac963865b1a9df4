//! Adaptive sampling of calls to the shared counter. A counter past its capacity rejects most
//! calls; only a fraction of the requests then calls it, and the others are decided by the local
//! count.

use crate::api::Millis;

/// The relative increase of the sampling rate per prompt reply.
const GROWTH_PER_REPLY: f64 = 0.03;
/// The increase of the sampling rate per millisecond.
const GROWTH_PER_MS: f64 = 0.000_005;
/// The relative decrease of the sampling rate after late and failed calls.
const DECREASE: f64 = 0.2;
const MIN_RATE: f64 = 0.05;
const WEIGHT_SMOOTHING: f64 = 0.05;

/// The sampling rate and the state it is derived from.
pub(crate) struct CounterSampling {
    rate: f64,
    /// The exponentially smoothed weight of requests.
    average_weight: f64,
    updated_at: Millis,
    /// Calls made before this time belong to a failure for which the rate has already been
    /// decreased.
    decreased_at: Millis,
}

impl Default for CounterSampling {
    fn default() -> Self {
        CounterSampling {
            rate: 1.0,
            average_weight: 0.0,
            updated_at: 0.0,
            decreased_at: 0.0,
        }
    }
}

impl CounterSampling {
    /// Returns the fraction of requests that call the counter.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the average weight of requests.
    pub(crate) fn average_weight(&self) -> f64 {
        self.average_weight
    }

    /// Updates the average weight.
    pub(crate) fn record_weight(&mut self, weight: f64) {
        self.average_weight += WEIGHT_SMOOTHING * (weight - self.average_weight);
    }

    /// Returns the probability that a request of the given weight calls the counter. It is
    /// proportional to the weight, so that the most valuable requests are preferred. At a rate of
    /// 1, every request calls the counter.
    pub(crate) fn probability(&mut self, weight: f64, now: Millis) -> f64 {
        self.rate = (self.rate + GROWTH_PER_MS * (now - self.updated_at)).min(1.0);
        self.updated_at = now;
        let probability = (self.rate * weight / self.average_weight.max(1e-9)).clamp(MIN_RATE, 1.0);
        f64::max(probability, self.rate.floor())
    }

    /// Increases the rate after a prompt reply.
    pub(crate) fn increase(&mut self) {
        self.rate = (self.rate * (1.0 + GROWTH_PER_REPLY)).min(1.0);
    }

    /// Whether a call made at that time is not part of a failure for which the rate has already
    /// been decreased. Concurrent calls fail together from one cause, which counts once.
    pub(crate) fn is_new_failure(&self, called_at: Millis) -> bool {
        called_at >= self.decreased_at
    }

    /// Decreases the rate after a late or failed call.
    pub(crate) fn decrease(&mut self, now: Millis) {
        self.rate = (self.rate * (1.0 - DECREASE)).max(MIN_RATE);
        self.decreased_at = now;
    }
}
