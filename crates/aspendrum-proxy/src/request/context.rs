//! A request in flight: decisions on it are carried out one after another until one of them ends it.

use super::filter::RequestTarget;
use super::upstream::{AttemptOutcome, UpstreamRequest, ANSWER_MARGIN};
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

/// Decisions on one request that may wait.
const DECISIONS: usize = 8;
/// Of a request's latency target, how long it waits for a server at most.
const MAX_QUEUED_SHARE: f64 = 0.4;
/// How long after its deadline a request ends if no decision has come.
const DECISION_OVERDUE: Duration = Duration::from_millis(20);

/// A request in flight.
pub(super) struct RequestContext<'a> {
    upstream: UpstreamRequest<'a>,
    /// An attempt was written completely and is not known to have run nowhere.
    may_have_run: bool,
    /// A server's own failure, which the client gets if nothing better comes.
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

    /// Carries out decisions until there is an answer.
    pub(super) fn proxy(&mut self) -> ClientResponse {
        let (sender, decisions) = mailbox::for_current_thread(DECISIONS);
        let id = self.admit(sender);
        loop {
            match self.next_decision(&decisions) {
                Some(RequestDecision::Forward { attempt, server }) if self.is_still_valid() => {
                    if let Some(response) = self.attempt_server(id, attempt, server) {
                        return self.forward_response(response);
                    }
                }
                Some(decision) => return self.finish(id, decision),
                None => return self.finish_undecided(id, &decisions),
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

    /// Waits for a decision. A request that no server can take now is better sent to another proxy, while its latency
    /// target can be met.
    fn next_decision(
        &self,
        decisions: &MailboxReceiver<RequestDecision>,
    ) -> Option<RequestDecision> {
        let goal_ms = self.upstream.target.rule().latency_target_ms;
        let max_queued = duration_from_millis(goal_ms * MAX_QUEUED_SHARE);
        let until = (Instant::now() + max_queued).min(self.upstream.deadline + DECISION_OVERDUE);
        decisions.recv_deadline(Some(until)).ok()
    }

    /// Whether a request that must run at most once, and has waited for a server, may still go where it was bound for:
    /// the tables by which it was found are in force, and they are what was decided. What is at a server already goes on.
    fn is_still_valid(&self) -> bool {
        if self.upstream.is_idempotent() {
            return true;
        }
        let current = self.upstream.state.dispatcher.snapshot();
        let is_same_target = |current: Arc<ConfigSnapshot>| {
            Arc::ptr_eq(&current, &self.upstream.target.snapshot)
                || self.finds_same_target(&current)
        };
        self.upstream.state.is_current() && current.is_some_and(is_same_target)
    }

    fn finds_same_target(&self, current: &ConfigSnapshot) -> bool {
        let route = current
            .config
            .route(self.upstream.target.head.host, &self.upstream.request.path);
        let is_same_route =
            route.is_some_and(|route| current.config.routes[route] == *self.upstream.target.rule());
        let credential = self.upstream.target.credential();
        let has_tenant =
            credential.is_none_or(|credential| current.config.tenant(credential).is_some());
        is_same_route && has_tenant
    }

    /// Sends the request to a server. Returns an answer that ends the request, if that brought one.
    fn attempt_server(&mut self, id: RequestId, attempt: u8, server: ServerId) -> Option<Response> {
        let started_at = Instant::now();
        let AttemptOutcome { outcome, response } = self.upstream.send(attempt, server, started_at);
        let load = response.as_ref().map(wire::server_load).unwrap_or_default();
        let is_answered = outcome == Outcome::Ok;
        let is_known_not_run = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        self.may_have_run |= !is_known_not_run;
        let rtt = started_at.elapsed().as_secs_f64() * 1000.0;
        let result = AttemptResult { outcome, rtt, load };
        self.upstream
            .state
            .dispatcher
            .finish_attempt(id, attempt, server, result, is_answered);
        if is_answered {
            return response;
        }
        let is_failure = |response: &Response| ResponseClass::of(response) == ResponseClass::Failed;
        let failure = response.filter(|response| !is_known_not_run && is_failure(response));
        self.failure = failure.or(self.failure.take());
        None
    }

    /// Ends a request by a decision that is not carried out by sending it.
    fn finish(&self, id: RequestId, decision: RequestDecision) -> ClientResponse {
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
                self.refuse(if beyond_quota { 429 } else { 503 }, retry_after)
            }
            RequestDecision::Drop => self.fail_to_proxy(),
            RequestDecision::ClientDisconnected => ClientResponse::empty(),
            RequestDecision::Forward { .. } | RequestDecision::RetryBudgetSpent => {
                self.not_served()
            }
        }
    }

    /// Ends a request on which no decision came in time.
    fn finish_undecided(
        &self,
        id: RequestId,
        decisions: &MailboxReceiver<RequestDecision>,
    ) -> ClientResponse {
        self.upstream.state.dispatcher.finish_request(id);
        // A decision that came in the same moment is not carried out.
        while let Ok(RequestDecision::Forward { attempt, server }) =
            decisions.recv_deadline(Some(Instant::now()))
        {
            self.discard(id, attempt, server);
        }
        self.not_served()
    }

    /// That attempt never left, and the request is over.
    fn discard(&self, id: RequestId, attempt: u8, server: ServerId) {
        self.upstream.state.dispatcher.finish_attempt(
            id,
            attempt,
            server,
            AttemptResult::NOT_SENT,
            true,
        );
    }

    /// No server takes it now.
    fn not_served(&self) -> ClientResponse {
        if self.may_have_run {
            self.fail_to_proxy()
        } else {
            self.refuse(503, DEFAULT_RETRY_AFTER)
        }
    }

    /// Promises that nothing ran, where that is so.
    fn refuse(&self, status: u16, retry_after: Millis) -> ClientResponse {
        if self.may_have_run && !self.upstream.is_idempotent() {
            return self.fail_to_proxy();
        }
        // The client comes back on a new connection, and would leave this one open: a tenant far beyond its quota had
        // 1,800 of them at each proxy.
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

    /// The answer where no server gave one that ends the request.
    fn fail_to_proxy(&self) -> ClientResponse {
        if let Some(failure) = &self.failure {
            return self.forward_response(failure.clone());
        }
        let (try_id, policy) = (
            self.upstream.target.head.try_id,
            self.upstream.target.policy,
        );
        if !self.may_have_run && Instant::now() + ANSWER_MARGIN < self.upstream.deadline {
            return ClientResponse::generated(503, try_id, Some(DEFAULT_RETRY_AFTER), policy);
        }
        let is_timed_out = Instant::now() + 2 * ANSWER_MARGIN >= self.upstream.deadline;
        let status = match (self.may_have_run, is_timed_out) {
            (false, _) => 503,
            (true, true) => 504,
            (true, false) => 502,
        };
        ClientResponse::generated(status, try_id, None, policy)
    }

    /// The client gets a server's answer.
    fn forward_response(&self, response: Response) -> ClientResponse {
        // To clients these statuses promise that nothing ran. A server that gives one without saying so promises nothing.
        let promises_not_run = matches!(response.status, 408 | 421 | 429 | 503);
        let status = if promises_not_run && self.may_have_run {
            502
        } else {
            response.status
        };
        ClientResponse::forwarded(response, status, self.upstream.target.policy)
    }
}
