//! Invariant 4: slow start. All instances together send a starting server no more load than it can
//! handle.

use super::DecisionEngine;
use crate::api::{Health, Millis};

impl DecisionEngine {
    /// Whether a server with that start time is still in its slow start.
    pub(super) fn is_slow_starting(&self, started_at: Millis) -> bool {
        started_at > 0.0 && self.now - started_at < self.params.slow_start_time
    }

    /// Returns the fraction of its capacity that a server with that start time has at least now.
    fn available_capacity(&self, started_at: Millis) -> f64 {
        let progress =
            ((self.now - started_at) / self.params.slow_start_time.max(1.0)).clamp(0.0, 1.0);
        self.params.slow_start_capacity + (1.0 - self.params.slow_start_capacity) * progress
    }

    /// Refills the slow start tokens of each starting server. This instance's share of a server's
    /// budget is proportional to its share of the traffic.
    pub(super) fn refill_slow_start_tokens(&mut self) {
        let (mut count, mut sizes, mut capacity) = (0.0, 0.0, 0.0);
        for server in self
            .servers
            .iter()
            .filter(|server| server.health == Health::Ready)
        {
            count += 1.0;
            sizes += server.size;
            // A starting server counts with its available capacity only.
            capacity += self.available_capacity(server.started_at);
        }
        let rate_per_server = self.fleet.response_rate(self.now) / f64::max(capacity, 1.0);
        let mean_size = if sizes > 0.0 { sizes / count } else { 1.0 };
        for index in 0..self.servers.len() {
            let started_at = self.servers[index].started_at;
            if !self.is_slow_starting(started_at) {
                continue;
            }
            let available = self.available_capacity(started_at);
            let server = &mut self.servers[index];
            let relative_size = (server.size / mean_size).min(1.0);
            let per_window =
                self.params.slow_start_budget * available * rate_per_server * relative_size;
            let elapsed = self.now - server.slow_start_refilled_at;
            let refill = per_window * elapsed / self.params.slow_start_window;
            server.slow_start_tokens = (server.slow_start_tokens + refill).min(per_window.max(1.0));
            server.slow_start_refilled_at = self.now;
        }
    }
}
