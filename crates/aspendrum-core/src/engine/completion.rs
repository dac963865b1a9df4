//! Completion of requests: local replies, cancellation of attempts, and release of their state.

use super::DecisionEngine;
use crate::api::{Action, Millis, RequestId};
use crate::state::request::{ExecutionStatus, RequestStage};

impl DecisionEngine {
    /// Answers a request that no server will answer. All such replies are sent here, except the
    /// drop of an invalid request (`handle_request`).
    pub(super) fn send_local_reply(&mut self, slot: usize, retry_after: Millis) {
        let request = &self.requests[slot];
        // A retry after the latency target would spend quota and server capacity on a response
        // without value.
        let retry_is_useful =
            self.now + 2.0 * (retry_after + self.fleet.response_time) < request.target_at;
        let retry_after = if retry_is_useful {
            retry_after.min(self.params.max_retry_after)
        } else {
            0.0
        };
        let (id, beyond_quota) = (request.id, !request.within_quota);
        let may_shed = self.may_shed(request);
        self.actions.push(if may_shed {
            Action::Shed {
                id,
                retry_after,
                beyond_quota,
            }
        } else {
            Action::Drop { id }
        });
        let was_queued = request.stage == RequestStage::Queued;
        if request.attempts().is_empty() && was_queued && request.within_quota {
            self.return_units(slot);
        }
        self.finish(slot);
    }

    /// Handles a client's disconnect: its request needs no answer any more.
    pub(super) fn handle_client_disconnect(&mut self, id: RequestId) {
        if let Some(slot) = self.requests.find(id) {
            self.finish(slot);
        }
    }

    /// Marks the request as finished, removes it from the queue and cancels its attempts in flight.
    /// Attempts of a streaming request are not cancelled.
    pub(super) fn finish(&mut self, slot: usize) {
        let request = &mut self.requests[slot];
        if request.stage == RequestStage::Finished {
            return;
        }
        request.stage = RequestStage::Finished;
        let is_streaming = request.is_streaming;
        self.queue.retain(|queued| *queued != slot);
        if self.params.may_cancel && !is_streaming {
            self.cancel_attempts(slot);
        }
        self.release_if_done(slot);
    }

    fn cancel_attempts(&mut self, slot: usize) {
        let request = &self.requests[slot];
        for (number, attempt) in request.attempts().iter().enumerate() {
            if attempt.outcome.is_none() {
                self.actions.push(Action::Cancel {
                    id: request.id,
                    attempt: number as u8,
                });
            }
        }
    }

    /// Releases a finished request once it has no attempt or counter call in flight.
    pub(super) fn release_if_done(&mut self, slot: usize) {
        let request = &self.requests[slot];
        if request.stage != RequestStage::Finished
            || request.counter_call_in_flight
            || request.execution_status() == ExecutionStatus::InFlight
        {
            return;
        }
        let (id, tenant, was_sent) = (request.id, request.tenant, !request.attempts().is_empty());
        if !self.requests.remove(id) {
            return;
        }
        self.tenants[tenant].open_requests -= 1;
        self.tenants[tenant].in_flight -= u32::from(was_sent);
        self.open_requests.retain(|open| *open != slot);
    }
}
