//! Endpoint selection: a request is sent to the eligible server with the lowest expected cost.

use super::DecisionEngine;
use crate::state::server::{EjectionState, Server};

/// The weight of the cross-zone price in a server's cost.
const CROSS_ZONE_WEIGHT: f64 = 40.0;
/// The cost factor of a starting server in a large fleet, where each instance may send to it only
/// rarely and should use each chance. It is low enough to beat an idle warm server's decayed
/// response time in any zone.
const SLOW_START_COST_FACTOR: f64 = 0.1;
/// Costs are multiplied by a random factor of 0.95 to 1.05, so that instances do not all select the
/// same server.
const MIN_JITTER_FACTOR: f64 = 0.95;
const JITTER_RANGE: f64 = 0.1;

impl DecisionEngine {
    /// Returns the index of the server to send the request to.
    pub(super) fn select_server(&mut self, slot: usize) -> Option<usize> {
        let request = &self.requests[slot];
        let scope = self.retry_scope(request);
        let (mut selected, mut least_cost) = (None, f64::INFINITY);
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.pool != request.pool || !request.zones.contains(server.zone) {
                continue;
            }
            let cost = self.expected_cost(server)
                * (MIN_JITTER_FACTOR + JITTER_RANGE * self.rng.next_f64());
            let may_send = || self.can_accept(server) && self.is_in_scope(request, scope, index);
            if cost < least_cost && may_send() {
                (selected, least_cost) = (Some(index), cost);
            }
        }
        selected
    }

    /// Whether the server is serving, not backing off, and within its concurrency limit and slow
    /// start budget.
    fn can_accept(&self, server: &Server) -> bool {
        let on_probation = server.ejection == EjectionState::Probation;
        let limit = if on_probation {
            1.0
        } else {
            server.concurrency_limit.max(1.0)
        };
        server.is_serving()
            && self.now >= server.backoff_until
            && f64::from(server.in_flight) < limit
            && (!self.is_slow_starting(server.started_at) || server.slow_start_tokens >= 1.0)
    }

    /// The expected time to a response, weighted by distance and load. The response time of a
    /// server is at least the time for which it has not answered its requests in flight.
    fn expected_cost(&self, server: &Server) -> f64 {
        let is_same_zone = server.zone == self.params.zone;
        let zone_cost = if is_same_zone {
            1.0
        } else {
            1.0 + CROSS_ZONE_WEIGHT * self.params.cross_zone_price
        };
        let distance = if server.distance_cost > 0.0 {
            server.distance_cost
        } else {
            zone_cost
        };
        let in_large_fleet = self.params.probe_interval_factor > 1.0;
        let is_preferred = in_large_fleet && self.is_slow_starting(server.started_at);
        let preference = if is_preferred {
            SLOW_START_COST_FACTOR
        } else {
            1.0
        };
        server.response_time.max(server.unanswered_for(self.now))
            * (1.0 + f64::from(server.in_flight))
            * distance
            * (1.0 + server.reported_load * server.reported_load)
            * preference
    }

    /// The unused fraction of the pool's concurrency limits. A server's own limit is never below
    /// one request; this aggregate limit bounds the pool as a whole.
    pub(super) fn free_share(&self, pool: u16) -> f64 {
        let (mut limit, mut in_flight) = (0.0, 0.0);
        for server in self
            .servers
            .iter()
            .filter(|server| server.pool == pool && server.is_serving())
        {
            limit += server.concurrency_limit;
            in_flight += f64::from(server.in_flight);
        }
        1.0 - in_flight / f64::max(limit * self.fleet.limit_scale, 1.0)
    }
}
