//! A request in flight: executes the dispatcher's decisions until one of them completes the request.

use super::filter::RequestTarget;
use super::upstream::{AttemptOutcome, UpstreamRequest, RESPONSE_MARGIN};
use crate::disconnects;
use crate::dispatcher::{AdmissionRequest, AttemptResult, ConfigSnapshot, RequestDecision};
use crate::response::{ClientResponse, ConnectionPolicy, DEFAULT_RETRY_AFTER};
use crate::wire::{self, ResponseClass};
use aspendrum_core::api::{Millis, Outcome, RequestId, ServerId};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::http1::Response;
use aspendrum_net::mailbox::{self, MailboxReceiver, MailboxSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The capacity of a request's decision mailbox.
const DECISION_MAILBOX_CAPACITY: usize = 8;
/// The maximum time that a request waits for a server, as a fraction of its latency target.
const MAX_QUEUE_TIME_FRACTION: f64 = 0.4;
/// How long after its deadline a request still waits for a decision.
const DECISION_GRACE: Duration = Duration::from_millis(20);

/// A request in flight.
pub(super) struct RequestContext<'a> {
    upstream: UpstreamRequest<'a>,
    /// Whether a server may have run the request: an attempt was sent completely, and its outcome does not rule
    /// this out.
    may_have_run: bool,
    /// The last error response of a server. The client gets it if no attempt succeeds.
    failure: Option<Response>,
}

impl<'a> RequestContext<'a> {
    pub(super) fn new(upstream: UpstreamRequest<'a>) -> RequestContext<'a> {
        RequestContext {
            upstream,
            may_have_run: false,
            failure: None,
        }
    }

    /// Executes decisions until one of them yields the response to the client.
    pub(super) fn proxy(&mut self) -> ClientResponse {
        let (sender, decisions) = mailbox::for_current_thread(DECISION_MAILBOX_CAPACITY);
        let id = self.admit(sender);
        loop {
            match self.next_decision(&decisions) {
                Some(RequestDecision::Forward { attempt, server })
                    if self.is_destination_valid() =>
                {
                    if let Some(response) = self.attempt_server(id, attempt, server) {
                        return self.forward_response(response);
                    }
                }
                Some(decision) => return self.finish(id, decision),
                None => return self.finish_without_decision(id, &decisions),
            }
        }
    }

    fn admit(&self, decisions: MailboxSender<RequestDecision>) -> RequestId {
        let RequestTarget {
            snapshot,
            route,
            tenant,
            pool,
            regions,
            ..
        } = &self.upstream.target;
        let admission = AdmissionRequest {
            route: *route,
            pool: *pool,
            tenant: *tenant,
            regions: *regions,
            deadline: self.upstream.deadline,
            decisions,
            forward_handle: self.upstream.forward_handle.clone(),
        };
        let id = self.upstream.state.dispatcher.admit(snapshot, admission);
        if !self
            .upstream
            .session
            .connection
            .begin_request(id, &self.upstream.state.disconnect_watcher)
        {
            disconnects::client_disconnected(self.upstream.state, id);
        }
        id
    }

    /// Waits for the next decision. The wait is limited so that a request that no server can take now is sent to
    /// another proxy while its latency target can still be met.
    fn next_decision(
        &self,
        decisions: &MailboxReceiver<RequestDecision>,
    ) -> Option<RequestDecision> {
        let latency_target_ms = self.upstream.target.route_config().latency_target_ms;
        let max_queue_time = duration_from_millis(latency_target_ms * MAX_QUEUE_TIME_FRACTION);
        let deadline =
            (Instant::now() + max_queue_time).min(self.upstream.deadline + DECISION_GRACE);
        decisions.recv_deadline(Some(deadline)).ok()
    }

    /// Whether a request may still be sent to the destination found at its arrival. Idempotent requests always may. A
    /// non-idempotent request, which may have waited for a server, requires that the active configuration is current
    /// and still yields the same destination. Requests already sent to a server are not affected.
    fn is_destination_valid(&self) -> bool {
        if self.upstream.is_idempotent() {
            return true;
        }
        let current = self.upstream.state.dispatcher.snapshot();
        let is_same_destination = |current: Arc<ConfigSnapshot>| {
            Arc::ptr_eq(&current, &self.upstream.target.snapshot)
                || self.has_same_destination(&current)
        };
        self.upstream.state.is_current() && current.is_some_and(is_same_destination)
    }

    fn has_same_destination(&self, current: &ConfigSnapshot) -> bool {
        let route = current
            .config
            .route(self.upstream.target.head.host, &self.upstream.request.path);
        let is_same_route = route.is_some_and(|route| {
            current.config.routes[route] == *self.upstream.target.route_config()
        });
        let credential = self.upstream.target.credential();
        let has_tenant =
            credential.is_none_or(|credential| current.config.tenant(credential).is_some());
        is_same_route && has_tenant
    }

    /// Sends the request to a server. Returns the response if it completes the request.
    fn attempt_server(&mut self, id: RequestId, attempt: u8, server: ServerId) -> Option<Response> {
        let started_at = Instant::now();
        let AttemptOutcome { outcome, response } = self.upstream.send(attempt, server, started_at);
        let load = response.as_ref().map(wire::server_load).unwrap_or_default();
        let is_answered = outcome == Outcome::Ok;
        let did_not_run = outcome.excludes_execution();
        self.may_have_run |= !did_not_run;
        let rtt = started_at.elapsed().as_secs_f64() * 1000.0;
        let result = AttemptResult { outcome, rtt, load };
        self.upstream
            .state
            .dispatcher
            .finish_attempt(id, attempt, server, result, is_answered);
        if is_answered {
            return response;
        }
        let is_failure =
            |response: &Response| ResponseClass::from_response(response) == ResponseClass::Failed;
        let failure = response.filter(|response| !did_not_run && is_failure(response));
        self.failure = failure.or(self.failure.take());
        None
    }

    /// Completes a request on a decision other than a valid forward.
    fn finish(&mut self, id: RequestId, decision: RequestDecision) -> ClientResponse {
        if let RequestDecision::Forward { attempt, server } = decision {
            self.discard(id, attempt, server);
        }
        self.upstream.state.dispatcher.finish_request(id);
        match decision {
            RequestDecision::Shed {
                retry_after,
                beyond_quota,
            } => {
                let retry_after = if retry_after > 0.0 {
                    retry_after
                } else {
                    DEFAULT_RETRY_AFTER
                };
                self.reject(if beyond_quota { 429 } else { 503 }, retry_after)
            }
            RequestDecision::Drop => self.fail_to_proxy(),
            RequestDecision::ClientDisconnected => ClientResponse::empty(),
            RequestDecision::Forward { .. } | RequestDecision::RetryBudgetSpent => {
                self.respond_unavailable()
            }
        }
    }

    /// Completes a request for which no decision arrived in time.
    fn finish_without_decision(
        &mut self,
        id: RequestId,
        decisions: &MailboxReceiver<RequestDecision>,
    ) -> ClientResponse {
        self.upstream.state.dispatcher.finish_request(id);
        // Decisions that arrived at the same moment are discarded.
        while let Ok(RequestDecision::Forward { attempt, server }) =
            decisions.recv_deadline(Some(Instant::now()))
        {
            self.discard(id, attempt, server);
        }
        self.respond_unavailable()
    }

    /// Reports that an attempt was not sent and that the request is completed.
    fn discard(&self, id: RequestId, attempt: u8, server: ServerId) {
        self.upstream.state.dispatcher.finish_attempt(
            id,
            attempt,
            server,
            AttemptResult::NOT_SENT,
            true,
        );
    }

    /// Returns the response for a request that no server can take now.
    fn respond_unavailable(&mut self) -> ClientResponse {
        if self.may_have_run {
            self.fail_to_proxy()
        } else {
            self.reject(503, DEFAULT_RETRY_AFTER)
        }
    }

    /// Rejects the request with a status that promises that it did not run, unless a non-idempotent request may have
    /// run.
    fn reject(&mut self, status: u16, retry_after: Millis) -> ClientResponse {
        if self.may_have_run && !self.upstream.is_idempotent() {
            return self.fail_to_proxy();
        }
        // The client retries on a new connection and would leave this one open: a tenant far beyond its quota held
        // 1,800 such connections at each proxy.
        let policy = match self.upstream.target.policy {
            ConnectionPolicy::Close => ConnectionPolicy::Close,
            ConnectionPolicy::KeepAlive | ConnectionPolicy::CloseIfIdle => {
                ConnectionPolicy::CloseIfIdle
            }
        };
        ClientResponse::generated(
            status,
            self.upstream.target.head.try_id,
            Some(retry_after),
            policy,
        )
    }

    /// Returns the response for a request that no server completed.
    fn fail_to_proxy(&mut self) -> ClientResponse {
        if let Some(failure) = self.failure.take() {
            return self.forward_response(failure);
        }
        let (try_id, policy) = (
            self.upstream.target.head.try_id,
            self.upstream.target.policy,
        );
        if !self.may_have_run && Instant::now() + RESPONSE_MARGIN < self.upstream.deadline {
            return ClientResponse::generated(503, try_id, Some(DEFAULT_RETRY_AFTER), policy);
        }
        let is_timed_out = Instant::now() + 2 * RESPONSE_MARGIN >= self.upstream.deadline;
        let status = match (self.may_have_run, is_timed_out) {
            (false, _) => 503,
            (true, true) => 504,
            (true, false) => 502,
        };
        ClientResponse::generated(status, try_id, None, policy)
    }

    /// Returns a server's response for the client.
    fn forward_response(&self, response: Response) -> ClientResponse {
        // These statuses promise clients that the request did not run. Without `Not-Run`, a server's response
        // carries no such promise.
        let promises_not_run = matches!(response.status, 408 | 421 | 429 | 503);
        let status = if promises_not_run && self.may_have_run {
            502
        } else {
            response.status
        };
        let UpstreamRequest {
            deadline, target, ..
        } = &self.upstream;
        ClientResponse::forwarded(response, status, *deadline, target.policy)
    }
}
