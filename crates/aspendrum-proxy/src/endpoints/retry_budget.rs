//! The retry budget (Google SRE book, "Addressing Cascading Failures"): limits the retries of all proxies together to
//! a fraction of first attempts, without communication between proxies.

use aspendrum_core::api::Millis;
use std::collections::{HashMap, VecDeque};

/// The fraction of the permitted retries that the proxies use.
const SAFETY_FACTOR: f64 = 0.7;
/// The width of the buckets in which attempts are counted, in milliseconds.
const BUCKET_WIDTH: Millis = 100.0;

/// The limits on retries of one service's requests, for all proxies together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// The number of retries per first attempt.
    pub ratio: f64,
    /// The length of the window in which attempts are counted, in milliseconds.
    pub window: Millis,
    /// The number of retries permitted above the ratio in any window.
    pub slack: f64,
}

/// The recent first attempts and retries of this proxy, by service pool.
pub struct RetryBudget {
    limits: RetryLimits,
    first_attempts: HashMap<u16, SlidingCount>,
    retries: HashMap<u16, SlidingCount>,
}

impl RetryBudget {
    /// Creates a budget without recorded attempts.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            first_attempts: HashMap::new(),
            retries: HashMap::new(),
        }
    }

    /// Records the first attempt of a request for a pool.
    pub fn record_request(&mut self, now: Millis, pool: u16) {
        self.first_attempts
            .entry(pool)
            .or_default()
            .record(now, self.limits.window);
    }

    /// Whether this proxy may retry a request now; if so, the retry is counted. The limit is based on the proxy's own
    /// first attempts and on an even share of the slack among `proxies`.
    pub fn reserve_retry(&mut self, now: Millis, pool: u16, proxies: usize) -> bool {
        let window = self.limits.window;
        let first_attempts = self
            .first_attempts
            .entry(pool)
            .or_default()
            .sum(now, window);
        let retries = self.retries.entry(pool).or_default().sum(now, window);
        let share = self.limits.slack / proxies as f64;
        let allowed = retries + 1.0 <= SAFETY_FACTOR * (self.limits.ratio * first_attempts + share);
        if allowed {
            self.retries.entry(pool).or_default().record(now, window);
        }
        allowed
    }
}

/// Counts events in a sliding window.
#[derive(Default)]
struct SlidingCount {
    buckets: VecDeque<Bucket>,
}

struct Bucket {
    started_at: Millis,
    count: u32,
}

impl SlidingCount {
    fn record(&mut self, now: Millis, window: Millis) {
        let started_at = (now / BUCKET_WIDTH).floor() * BUCKET_WIDTH;
        match self
            .buckets
            .back_mut()
            .filter(|bucket| bucket.started_at == started_at)
        {
            Some(last) => last.count += 1,
            None => self.buckets.push_back(Bucket {
                started_at,
                count: 1,
            }),
        }
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.started_at < now - window - BUCKET_WIDTH)
        {
            self.buckets.pop_front();
        }
    }

    fn sum(&self, now: Millis, window: Millis) -> f64 {
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.started_at >= now - window - BUCKET_WIDTH);
        recent.map(|bucket| f64::from(bucket.count)).sum()
    }
}
