//! How long to wait before a call to a service that all limiters share is made again: full jitter over a time
//! that doubles with each failure. What it stands against: a hundred limiters that start at once, are turned
//! away together and come again together are turned away again, for as long as they live.

use fastrand::Rng;
use std::time::Duration;

pub struct Backoff {
    first: Duration,
    top: Duration,
    failures: u32,
    chance: Rng,
}

impl Backoff {
    /// `first` is the longest wait after no failure at all, `top` the longest of any.
    pub fn new(first: Duration, top: Duration, seed: u64) -> Backoff {
        Backoff {
            first: first.min(top),
            top,
            failures: 0,
            chance: Rng::with_seed(seed),
        }
    }

    /// From nothing to the longest wait there is now, alike likely; the next is up to twice as long.
    pub fn wait(&mut self) -> Duration {
        let longest = self
            .first
            .saturating_mul(1 << self.failures.min(20))
            .min(self.top);
        self.failures = self.failures.saturating_add(1);
        longest.mul_f64(self.chance.f64())
    }

    /// After a call that went well.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
