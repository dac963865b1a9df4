//! Exponential backoff with full jitter, for calls to a service shared by all limiters.
//!
//! Without jitter, a fleet of limiters that start together would retry together and overload the service each time. The
//! delay is uniformly distributed over the whole interval, whose length doubles with each failure.

use fastrand::Rng;
use std::time::Duration;

/// Limits the exponent. Further doublings would exceed any configured maximum.
const MAX_DOUBLINGS: u32 = 20;

/// Generates the delays between the attempts of one caller.
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
    rng: Rng,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `initial` and whose later delays are at most `max`.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff {
            initial: initial.min(max),
            max,
            failures: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Records a failure and returns the delay before the next attempt, uniformly distributed between zero and the
    /// current interval.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let interval = self.initial.saturating_mul(1 << doublings).min(self.max);
        self.failures = self.failures.saturating_add(1);
        interval.mul_f64(self.rng.f64())
    }

    /// Resets to the initial interval after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
