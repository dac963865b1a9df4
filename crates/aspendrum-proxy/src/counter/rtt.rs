//! Round-trip times of one peer, and the time-out that follows from them (RFC 6298).

use aspendrum_core::api::Millis;

/// Until an answer has come: the design's time-out, on top of the longest round trip of known deployments.
const INITIAL_TIMEOUT: Millis = 160.0;
const MIN_TIMEOUT: Millis = 20.0;
const MAX_TIMEOUT: Millis = 300.0;
/// Gains of RFC 6298, section 2.3.
const SMOOTHING_GAIN: f64 = 0.125;
const VARIATION_GAIN: f64 = 0.25;

/// Smoothed round-trip time and its variation, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct RttEstimator {
    smoothed: Millis,
    variation: Millis,
}

impl RttEstimator {
    /// The time-out for a peer that has not answered yet.
    pub const INITIAL_TIMEOUT: Millis = INITIAL_TIMEOUT;

    /// Begins with the first sample.
    pub fn new(first: Millis) -> RttEstimator {
        RttEstimator {
            smoothed: first,
            variation: first / 2.0,
        }
    }

    /// Takes in another sample.
    pub fn record(&mut self, sample: Millis) {
        self.variation += VARIATION_GAIN * ((sample - self.smoothed).abs() - self.variation);
        self.smoothed += SMOOTHING_GAIN * (sample - self.smoothed);
    }

    /// How long to wait for the next answer.
    pub fn timeout(&self) -> Millis {
        (2.0 * self.smoothed + 4.0 * self.variation + MIN_TIMEOUT).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
