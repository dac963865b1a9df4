//! Which server a request is sent to: the least expected cost, among those that may and can take
//! it.

use super::DecisionEngine;
use crate::state::server::{EjectionState, Server};

/// How much a price for crossing zones counts in a server's cost.
const CROSS_ZONE_WEIGHT: f64 = 40.0;
/// The cost of a starting server, where hundreds of instances send to it: each of them selects it
/// so seldom that it is taken as it comes. Less than what an idle warm server's fading response
/// time comes to, in any zone.
const SLOW_START_COST: f64 = 0.1;
/// Costs are drawn within a tenth around their value, lest all instances choose alike.
const LEAST_JITTER: f64 = 0.95;
const JITTER: f64 = 0.1;

/// Whether a bit set over small numbers holds that number. Only its low six bits count.
pub(super) fn has_bit(set: u64, number: u16) -> bool {
    set >> (number & 63) & 1 == 1
}

impl DecisionEngine {
    /// The server to send the request to, by its index.
    pub(super) fn select_server(&mut self, slot: usize) -> Option<usize> {
        let request = &self.requests[slot];
        let scope = self.retry_scope(request);
        let (mut selected, mut least_cost) = (None, f64::INFINITY);
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            if server.pool != request.pool || !has_bit(request.zones, server.zone.into()) {
                continue;
            }
            let cost = self.expected_cost(server) * (LEAST_JITTER + JITTER * self.rng.next_f64());
            let may_send = || self.can_accept(server) && self.is_in_scope(request, scope, index);
            if cost < least_cost && may_send() {
                (selected, least_cost) = (Some(index), cost);
            }
        }
        selected
    }

    /// It serves, is not backing off, and has room by its concurrency limit and its slow start.
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

    /// The expected time to a response, weighted by distance and load. A server that holds a
    /// request for long is as slow as that request says.
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
        let in_large_fleet = self.params.probe_spacing > 1.0;
        let is_preferred = in_large_fleet && self.is_slow_starting(server.started_at);
        let preference = if is_preferred { SLOW_START_COST } else { 1.0 };
        server.response_time.max(server.unanswered_for(self.now))
            * (1.0 + f64::from(server.in_flight))
            * distance
            * (1.0 + server.reported_load * server.reported_load)
            * preference
    }

    /// The share of the pool's concurrency limits that is not in use. Each server keeps at least
    /// one request of its own limit; the sum bounds them all.
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
