//! Estimates the round-trip time of a peer and derives the timeout (RFC 6298).

use aspendrum_core::api::Millis;

/// The timeout in milliseconds before the first sample: large enough for the longest round trip of known deployments.
const INITIAL_TIMEOUT: Millis = 160.0;
const MIN_TIMEOUT: Millis = 20.0;
const MAX_TIMEOUT: Millis = 300.0;
/// The gains of RFC 6298, section 2.3.
const SMOOTHING_GAIN: f64 = 0.125;
const VARIATION_GAIN: f64 = 0.25;

/// The smoothed round-trip time and its variation, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RttEstimator {
    smoothed: Millis,
    variation: Millis,
}

impl RttEstimator {
    /// The timeout for a peer without samples, in milliseconds.
    pub const INITIAL_TIMEOUT: Millis = INITIAL_TIMEOUT;

    /// Creates an estimator from the first sample.
    pub fn new(first: Millis) -> RttEstimator {
        RttEstimator {
            smoothed: first,
            variation: first / 2.0,
        }
    }

    /// Records a sample.
    pub fn record(&mut self, sample: Millis) {
        self.variation += VARIATION_GAIN * ((sample - self.smoothed).abs() - self.variation);
        self.smoothed += SMOOTHING_GAIN * (sample - self.smoothed);
    }

    /// Returns the timeout for the next reply, in milliseconds.
    pub fn timeout(&self) -> Millis {
        (2.0 * self.smoothed + 4.0 * self.variation + MIN_TIMEOUT).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
