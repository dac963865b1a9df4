//! The budget of retries (Google SRE book, "Addressing Cascading Failures"): retries of all proxies together stay within
//! a share of first attempts, without any message between proxies.

use aspendrum_core::api::Millis;
use std::collections::{HashMap, VecDeque};

/// Of the retries that the limits leave to all proxies, the share that they make.
const SAFETY: f64 = 0.7;
/// Attempts are counted by tenths of a second.
const BUCKET: Millis = 100.0;

/// How many retries all proxies together may make of one service's requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Retries per first attempt.
    pub ratio: f64,
    /// The span over which both are counted, in milliseconds.
    pub window: Millis,
    /// Retries beyond the ratio, in any window.
    pub slack: f64,
}

/// The first attempts and retries of this proxy, by service pool.
pub struct RetryBudget {
    limits: RetryLimits,
    first_attempts: HashMap<u16, RecentCount>,
    retries: HashMap<u16, RecentCount>,
}

impl RetryBudget {
    /// Begins without any attempt.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            first_attempts: HashMap::new(),
            retries: HashMap::new(),
        }
    }

    /// A client's request came for that pool.
    pub fn record_request(&mut self, now: Millis, pool: u16) {
        self.first_attempts
            .entry(pool)
            .or_default()
            .record(now, self.limits.window);
    }

    /// Whether this proxy may retry a request now; if so, the retry is counted. The proxy's own first attempts earn
    /// retries, and of the slack it has an even share among `proxies`.
    pub fn reserve_retry(&mut self, now: Millis, pool: u16, proxies: usize) -> bool {
        let window = self.limits.window;
        let first_attempts = self
            .first_attempts
            .entry(pool)
            .or_default()
            .sum(now, window);
        let retries = self.retries.entry(pool).or_default().sum(now, window);
        let share = self.limits.slack / proxies as f64;
        let allowed = retries + 1.0 <= SAFETY * (self.limits.ratio * first_attempts + share);
        if allowed {
            self.retries.entry(pool).or_default().record(now, window);
        }
        allowed
    }
}

/// How many things happened in a window that ends now.
#[derive(Default)]
struct RecentCount {
    buckets: VecDeque<Bucket>,
}

struct Bucket {
    started_at: Millis,
    count: u32,
}

impl RecentCount {
    fn record(&mut self, now: Millis, window: Millis) {
        let started_at = (now / BUCKET).floor() * BUCKET;
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
            .is_some_and(|bucket| bucket.started_at < now - window - BUCKET)
        {
            self.buckets.pop_front();
        }
    }

    fn sum(&self, now: Millis, window: Millis) -> f64 {
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.started_at >= now - window - BUCKET);
        recent.map(|bucket| f64::from(bucket.count)).sum()
    }
}
