//! Which share of the requests asks the shared counter. A counter past its capacity rejects most
//! calls; then only some requests ask it, and the others go by the local count.

use crate::api::Millis;

/// The rate grows with each prompt answer and with time (a millisecond), and shrinks with late and
/// failed calls.
const GROWTH: f64 = 0.03;
const GROWTH_PER_MS: f64 = 0.000_005;
const CUT: f64 = 0.2;
const LEAST: f64 = 0.05;
const STAKE_SMOOTHING: f64 = 0.05;

/// The sampling rate and what it is based on.
pub(crate) struct CounterSampling {
    rate: f64,
    /// What a request stakes on its decision, on average.
    average_stake: f64,
    updated_at: Millis,
    /// Calls made before this belong to a failure that the rate was cut for already.
    cut_at: Millis,
}

impl Default for CounterSampling {
    fn default() -> Self {
        CounterSampling {
            rate: 1.0,
            average_stake: 0.0,
            updated_at: 0.0,
            cut_at: 0.0,
        }
    }
}

impl CounterSampling {
    /// The share of requests that asks.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// What a request stakes on its decision, on average.
    pub(crate) fn average_stake(&self) -> f64 {
        self.average_stake
    }

    /// Takes a request's stake into the average.
    pub(crate) fn record_stake(&mut self, stake: f64) {
        self.average_stake += STAKE_SMOOTHING * (stake - self.average_stake);
    }

    /// The probability that a request of that stake asks: what is worth most asks first.
    pub(crate) fn probability(&mut self, stake: f64, now: Millis) -> f64 {
        self.rate = (self.rate + GROWTH_PER_MS * (now - self.updated_at)).min(1.0);
        self.updated_at = now;
        let probability = (self.rate * stake / self.average_stake.max(1e-9)).clamp(LEAST, 1.0);
        f64::max(probability, self.rate.floor())
    }

    /// A call was answered promptly.
    pub(crate) fn grow(&mut self) {
        self.rate = (self.rate * (1.0 + GROWTH)).min(1.0);
    }

    /// A call of that time is not part of a failure that the rate was cut for already: calls that
    /// are out together fail together, from one cause, and count once.
    pub(crate) fn is_news(&self, called_at: Millis) -> bool {
        called_at >= self.cut_at
    }

    /// Calls are late or fail.
    pub(crate) fn cut(&mut self, now: Millis) {
        self.rate = (self.rate * (1.0 - CUT)).max(LEAST);
        self.cut_at = now;
    }
}
