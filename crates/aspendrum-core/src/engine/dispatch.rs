//! The queue of requests that wait for a server, and their attempts.

use super::DecisionEngine;
use crate::api::{Action, LoadReport, Millis, Outcome, RequestId};
use crate::state::request::{ExecutionStatus, Request, RequestStage};

/// A request beyond its tenant's quota is sent while more than this share of the concurrency limits
/// is free.
const FREE_SHARE_BEYOND_QUOTA: f64 = 0.5;

/// The servers that a request may be sent to.
pub(super) struct ServerScope {
    pool: u16,
    zones: u64,
}

impl ServerScope {
    fn of(request: &Request) -> ServerScope {
        ServerScope {
            pool: request.pool,
            zones: request.zones,
        }
    }

    /// Whether all servers of the other one are among these.
    fn covers(&self, other: &ServerScope) -> bool {
        self.pool == other.pool && other.zones & !self.zones == 0
    }
}

/// How an attempt ended.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) response_time: Millis,
    /// The request is over with it.
    pub(super) is_final: bool,
    /// What the request really cost.
    pub(super) actual_units: f64,
}

impl DecisionEngine {
    /// Puts the request at the queue's end.
    pub(super) fn enqueue(&mut self, slot: usize) {
        self.requests[slot].stage = RequestStage::Queued;
        self.queue.push(slot);
    }

    /// Sends queued requests for as long as servers have room.
    pub(super) fn dispatch(&mut self) {
        self.without_server.clear();
        while let Some(position) = self.next_in_queue() {
            let slot = self.queue[position];
            match self.select_server(slot) {
                Some(server) => {
                    self.queue.remove(position);
                    self.send(slot, server);
                }
                None => self
                    .without_server
                    .push(ServerScope::of(&self.requests[slot])),
            }
        }
    }

    /// The request to send next, by its position in the queue: the one of highest priority, of
    /// equals the one with least time left.
    fn next_in_queue(&self) -> Option<usize> {
        let mut next: Option<(f64, Millis, usize)> = None;
        let mut last_free_share: Option<(u16, f64)> = None;
        for (position, &slot) in self.queue.iter().enumerate() {
            let request = &self.requests[slot];
            let rank = (request.priority, -request.target_at);
            let is_first = next.is_none_or(|(priority, urgency, _)| rank > (priority, urgency));
            let scope = ServerScope::of(request);
            let is_stuck = self.without_server.iter().any(|stuck| stuck.covers(&scope));
            if !is_first || is_stuck || self.awaits_tenants_turn(request) {
                continue;
            }
            let known = last_free_share.filter(|(pool, _)| *pool == request.pool);
            let (_, free) = *last_free_share
                .insert(known.unwrap_or_else(|| (request.pool, self.free_share(request.pool))));
            let free_share_needed = if request.within_quota {
                0.0
            } else {
                FREE_SHARE_BEYOND_QUOTA
            };
            if free > free_share_needed {
                next = Some((rank.0, rank.1, position));
            }
        }
        next.map(|(.., position)| position)
    }

    /// As many of its tenant's requests are in flight as this instance's share of the plan's limit
    /// allows.
    fn awaits_tenants_turn(&self, request: &Request) -> bool {
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

    /// An attempt ended: the request is over, or waits for another server once none has it.
    pub(super) fn end_attempt(
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
        self.correct_units(slot, result);
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
        self.forget_if_done(slot);
        self.dispatch();
    }

    /// Where costs are known only after execution, the difference goes to the shared counter later.
    fn correct_units(&mut self, slot: usize, result: &AttemptResult) {
        let request = &self.requests[slot];
        let counts = self.params.cost_known_after && request.within_quota;
        if counts && result.outcome == Outcome::Ok && request.stage != RequestStage::Finished {
            let tenant = &mut self.tenants[request.tenant];
            tenant.unsettled += result.actual_units - request.units;
            tenant.remaining -= result.actual_units - request.units;
        }
    }

    /// A server began to stream its response: the request can't be sent to another one any more.
    pub(super) fn start_streaming(&mut self, id: RequestId) {
        if let Some(slot) = self.requests.find(id) {
            self.requests[slot].is_streaming = true;
        }
    }
}
