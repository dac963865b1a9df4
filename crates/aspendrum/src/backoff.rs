//! Exponential backoff with full jitter, for calls to a service that all limiters share.
//!
//! A hundred limiters that start at once, are rejected together and retry together would be rejected again for as long as
//! they run. The delay is drawn from the whole interval, whose length doubles with each failure.

use fastrand::Rng;
use std::time::Duration;

/// Higher powers of two are beyond any maximum.
const MAX_DOUBLINGS: u32 = 20;

/// The delays between the attempts of one caller.
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
    rng: Rng,
}

impl Backoff {
    /// `initial` is the longest delay before any failure, `max` the longest of all.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Backoff {
        Backoff {
            initial: initial.min(max),
            max,
            failures: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// The delay before the next attempt, evenly distributed from zero to the present interval. Counts as a failure.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let interval = self.initial.saturating_mul(1 << doublings).min(self.max);
        self.failures = self.failures.saturating_add(1);
        interval.mul_f64(self.rng.f64())
    }

    /// Returns to the initial interval, after a call that succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
