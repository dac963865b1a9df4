//! The queue of requests that wait for a server, and their attempts.

use super::DecisionEngine;
use crate::api::{Action, LoadReport, Millis, Outcome, RequestId, ZoneSet};
use crate::state::request::{ExecutionStatus, Request, RequestStage};

/// A request beyond its tenant's quota is only sent while more than this fraction of the
/// concurrency limits is free.
const MIN_FREE_SHARE_FOR_OVERAGE: f64 = 0.5;

/// The servers that a request may be sent to.
pub(super) struct ServerScope {
    pool: u16,
    zones: ZoneSet,
}

impl ServerScope {
    fn of(request: &Request) -> ServerScope {
        ServerScope {
            pool: request.pool,
            zones: request.zones,
        }
    }

    /// Whether every server in `other` is also in this scope.
    fn covers(&self, other: &ServerScope) -> bool {
        self.pool == other.pool && other.zones.is_subset(&self.zones)
    }
}

/// How an attempt ended.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) response_time: Millis,
    /// The attempt completes the request.
    pub(super) is_final: bool,
    /// The actual cost of the request.
    pub(super) actual_units: f64,
}

impl DecisionEngine {
    /// Appends the request to the queue.
    pub(super) fn enqueue(&mut self, slot: usize) {
        self.requests[slot].stage = RequestStage::Queued;
        self.queue.push(slot);
    }

    /// Sends queued requests while servers can accept them.
    pub(super) fn dispatch(&mut self) {
        self.unserved_scopes.clear();
        while let Some(position) = self.next_dispatchable() {
            let slot = self.queue[position];
            match self.select_server(slot) {
                Some(server) => {
                    self.queue.remove(position);
                    self.send(slot, server);
                }
                None => self
                    .unserved_scopes
                    .push(ServerScope::of(&self.requests[slot])),
            }
        }
    }

    /// Returns the queue position of the next request to send: the highest priority first, then the
    /// earliest latency target.
    fn next_dispatchable(&self) -> Option<usize> {
        let mut next: Option<(f64, Millis, usize)> = None;
        let mut last_free_share: Option<(u16, f64)> = None;
        for (position, &slot) in self.queue.iter().enumerate() {
            let request = &self.requests[slot];
            let rank = (request.priority, -request.target_at);
            let ranks_first = next.is_none_or(|(priority, urgency, _)| rank > (priority, urgency));
            let scope = ServerScope::of(request);
            let is_blocked = self
                .unserved_scopes
                .iter()
                .any(|blocked| blocked.covers(&scope));
            if !ranks_first || is_blocked || self.exceeds_in_flight_limit(request) {
                continue;
            }
            let known = last_free_share.filter(|(pool, _)| *pool == request.pool);
            let (_, free) = *last_free_share
                .insert(known.unwrap_or_else(|| (request.pool, self.free_share(request.pool))));
            let free_share_needed = if request.within_quota {
                0.0
            } else {
                MIN_FREE_SHARE_FOR_OVERAGE
            };
            if free > free_share_needed {
                next = Some((rank.0, rank.1, position));
            }
        }
        next.map(|(.., position)| position)
    }

    /// Whether the request has to wait because its tenant has used up this instance's share of the
    /// plan's in-flight limit. Requests that were sent before are not held back.
    fn exceeds_in_flight_limit(&self, request: &Request) -> bool {
        let tenant = &self.tenants[request.tenant];
        let limit = f64::from(self.params.plans[tenant.plan].max_in_flight);
        let share = (limit / tenant.instances).ceil().max(1.0);
        request.attempts().is_empty() && limit > 0.0 && f64::from(tenant.in_flight) >= share
    }

    fn send(&mut self, slot: usize, server_index: usize) {
        let is_slow_starting = self.is_slow_starting(self.servers[server_index].started_at);
        let request = &mut self.requests[slot];
        let is_first = request.attempts().is_empty();
        request.push_attempt(server_index, self.now);
        request.stage = RequestStage::InFlight;
        self.tenants[request.tenant].in_flight += u32::from(is_first);
        let server = &mut self.servers[server_index];
        server.slow_start_tokens -= if is_slow_starting { 1.0 } else { 0.0 };
        if server.in_flight == 0 {
            server.busy_since = self.now;
        }
        server.in_flight += 1;
        self.actions.push(Action::Forward {
            id: request.id,
            server: server.id,
            timeout: 0.0,
        });
    }

    /// Handles the end of an attempt: completes the request, or queues it again once no attempt is
    /// in flight.
    pub(super) fn handle_attempt_result(
        &mut self,
        id: RequestId,
        number: usize,
        result: &AttemptResult,
        load: &LoadReport,
    ) {
        let Some(slot) = self.requests.find(id) else {
            return;
        };
        if !self.requests[slot].end_attempt(number, result.outcome) {
            return;
        }
        self.reconcile_units(slot, result);
        let request = &self.requests[slot];
        let (server, group) = (request.attempts()[number].server, request.group);
        self.record_load_report(server, load);
        self.record_outcome(server, result.outcome, result.response_time, group);
        let request = &self.requests[slot];
        if result.is_final {
            self.finish(slot);
        } else if request.stage == RequestStage::InFlight
            && request.execution_status() != ExecutionStatus::InFlight
        {
            self.enqueue(slot);
        }
        self.release_if_done(slot);
        self.dispatch();
    }

    /// Settles the difference between the actual and the estimated cost, where the cost is only
    /// known after execution.
    fn reconcile_units(&mut self, slot: usize, result: &AttemptResult) {
        let request = &self.requests[slot];
        let is_charged = self.params.cost_known_after && request.within_quota;
        if is_charged && result.outcome == Outcome::Ok && request.stage != RequestStage::Finished {
            let tenant = &mut self.tenants[request.tenant];
            tenant.unsettled += result.actual_units - request.units;
            tenant.remaining -= result.actual_units - request.units;
        }
    }

    /// Handles the start of a streamed response, after which the request cannot be retried.
    pub(super) fn handle_stream_started(&mut self, id: RequestId) {
        if let Some(slot) = self.requests.find(id) {
            self.requests[slot].is_streaming = true;
        }
    }
}
