//! The life of one request, from the moment at which it was read to its response's last byte.
//!
//! The dispatcher decides, and the request's thread carries the decisions out. It always writes exactly one response, also if
//! no decision comes.

use crate::client_session::ClientSession;
use crate::clock::{duration_from_millis, millis_from_duration};
use crate::event::{AttemptEnd, DispatcherEvent, RequestDecision};
use crate::http::status::{GATEWAY_TIMEOUT, OK, SERVICE_UNAVAILABLE};
use crate::http::{ClientRequest, OwnResponse, ServerResponse};
use crate::sessions::TransactionClaim;
use crate::state::LimiterState;
use aspendrum_core::api::{LoadReport, Millis, NewRequest, Outcome, RequestId, ServerId};
use aspendrum_net::connection::Connection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::mailbox::{self, MailboxReceiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request in progress.
pub(crate) struct RequestHandler<'r> {
    state: &'r LimiterState,
    session: &'r ClientSession,
    request: &'r ClientRequest,
    /// Its transaction id, until it has a response.
    claim: Option<TransactionClaim<'r>>,
    id: RequestId,
    /// When its client gives up.
    deadline: Instant,
    forward: Arc<ForwardHandle>,
    /// An attempt may have run it at a server.
    may_have_run: bool,
}

/// What follows after an attempt.
enum AfterAttempt {
    /// The next decision is awaited.
    Continue,
    /// The response is written; whether the session goes on.
    Responded { stays_open: bool },
}

impl<'r> RequestHandler<'r> {
    pub(crate) fn new(
        state: &'r LimiterState,
        session: &'r ClientSession,
        request: &'r ClientRequest,
        claim: TransactionClaim<'r>,
        id: RequestId,
        read_at: Instant,
    ) -> RequestHandler<'r> {
        let is_idempotent = state.schema.is_idempotent(request.group);
        let kind = if is_idempotent {
            RequestKind::Idempotent
        } else {
            RequestKind::OnceOnly
        };
        RequestHandler {
            state,
            session,
            request,
            claim: Some(claim),
            id,
            deadline: read_at + duration_from_millis(request.remaining),
            forward: Arc::new(ForwardHandle::new(kind)),
            may_have_run: false,
        }
    }

    /// Sees the request through. Returns whether the session goes on.
    pub(crate) fn run(mut self) -> bool {
        // If the dispatcher says nothing, the request does not wait much longer than its client.
        let last_wait = self.deadline + self.state.limits.dispatcher.max_lateness;
        let (decisions, is_submitted) = self.submit(last_wait);
        loop {
            let decision = if is_submitted {
                decisions.recv_deadline(Some(last_wait)).ok()
            } else {
                None
            };
            let after = match decision {
                Some(RequestDecision::Forward {
                    attempt,
                    server,
                    timeout,
                }) => self.forward_to(attempt, server, timeout),
                Some(RequestDecision::Shed { retry_after }) => self.respond(OwnResponse {
                    retry_after,
                    ..OwnResponse::empty(SERVICE_UNAVAILABLE)
                }),
                Some(RequestDecision::Drop) => self.respond(OwnResponse::empty(GATEWAY_TIMEOUT)),
                Some(RequestDecision::ClientDisconnected) => {
                    AfterAttempt::Responded { stays_open: false }
                }
                None => self.abandon(),
            };
            if let AfterAttempt::Responded { stays_open } = after {
                return stays_open;
            }
        }
    }

    /// Submits the request to the dispatcher. Returns where its decisions come, and whether it was taken.
    fn submit(&self, deadline: Instant) -> (MailboxReceiver<RequestDecision>, bool) {
        let max_decisions = self.state.limits.dispatcher.max_queued_decisions;
        let (sender, decisions) = mailbox::for_current_thread(max_decisions);
        self.session
            .connection
            .begin_request(self.id, &self.state.disconnect_watcher);
        let event = DispatcherEvent::Request {
            request: self.new_query(),
            decisions: sender,
            forward: self.forward.clone(),
        };
        let is_submitted = self.state.dispatcher.send_by(deadline, event);
        // The dispatcher may have detected the disconnect before it knew the request.
        if self.session.connection.has_disconnected() {
            let stage = self.forward.handle_disconnect();
            self.state
                .disconnect_metrics
                .record_disconnect(self.forward.kind, stage);
            self.notify(DispatcherEvent::ClientDisconnected { id: self.id });
        }
        (decisions, is_submitted)
    }

    fn new_query(&self) -> NewRequest {
        NewRequest {
            id: self.id,
            group: self.request.group,
            deadline: self.state.dispatcher.clock.time_at(self.deadline),
            tenant: self.request.tenant,
            plan: self.request.plan,
            instances: self.request.instances,
            units: self.request.units,
            first_instance: self.request.first_instance,
            is_client_retry: self.request.is_retry,
            is_write: self.request.is_write,
            pool: 0,
            allowed_zones: u64::MAX,
            max_attempts: u8::MAX,
        }
    }

    /// No decision came in time. A request that may have run is not reported as rejected.
    fn abandon(&mut self) -> AfterAttempt {
        let status = if self.may_have_run {
            GATEWAY_TIMEOUT
        } else {
            SERVICE_UNAVAILABLE
        };
        let after = self.respond(OwnResponse::empty(status));
        self.notify(DispatcherEvent::Abandoned { id: self.id });
        after
    }

    /// Forwards the request to a server, and its response, if it is one, to the client.
    fn forward_to(
        &mut self,
        attempt: u8,
        server: ServerId,
        timeout: Option<Millis>,
    ) -> AfterAttempt {
        let deadline = self.attempt_deadline(timeout);
        let started_at = Instant::now();
        let (outcome, response) = self.attempt(attempt, server, deadline);
        let rtt = millis_from_duration(started_at.elapsed());
        self.may_have_run |= !never_ran(outcome);
        let client_error = response
            .as_ref()
            .filter(|response| response.is_client_error());
        if let Some(response) = client_error {
            return self.report_client_error(response.status);
        }
        let load = response
            .as_ref()
            .map_or(LoadReport::default(), |response| response.load);
        let is_ok = outcome == Outcome::Ok;
        let charged = response
            .as_ref()
            .filter(|_| is_ok)
            .map_or(0, |response| self.charged_units(response));
        // The client gets its response before anything else is done.
        let after = match response.filter(|_| is_ok) {
            Some(response) => self.respond_with(&response),
            None => AfterAttempt::Continue,
        };
        let end = AttemptEnd {
            id: self.id,
            attempt,
            server,
            outcome,
            rtt,
            charged,
            load,
        };
        self.notify(DispatcherEvent::AttemptEnded(end));
        after
    }

    fn attempt_deadline(&self, timeout: Option<Millis>) -> Instant {
        match timeout {
            Some(timeout) => (Instant::now() + duration_from_millis(timeout)).min(self.deadline),
            None => self.deadline,
        }
    }

    /// A server that takes the request for malformed says nothing of itself, and others would answer the same: the fault is
    /// the client's, who is told.
    fn report_client_error(&mut self, status: u16) -> AfterAttempt {
        self.respond(OwnResponse::closing(status));
        self.notify(DispatcherEvent::Abandoned { id: self.id });
        AfterAttempt::Responded { stays_open: false }
    }

    /// A server that names no units charged those that were requested.
    fn charged_units(&self, response: &ServerResponse) -> u16 {
        response.charged.unwrap_or(self.request.units).ceil() as u16
    }

    fn respond_with(&mut self, response: &ServerResponse) -> AfterAttempt {
        let (content_type, body) = (&response.content_type[..], &response.body[..]);
        self.respond(OwnResponse {
            content_type,
            body,
            ..OwnResponse::empty(OK)
        })
    }

    /// Writes the response. No server is to run the request any more, so that its client may send the transaction id again
    /// once it reads the first byte.
    fn respond(&mut self, response: OwnResponse<'_>) -> AfterAttempt {
        self.claim = None;
        let close = response.close || self.request.close;
        let stays_open = self
            .session
            .respond(&self.state.lifecycle, OwnResponse { close, ..response });
        AfterAttempt::Responded { stays_open }
    }

    fn notify(&self, event: DispatcherEvent) {
        self.state.dispatcher.send(event);
    }

    /// One attempt at one server. Until the request's last byte is written it has not run; from then on it may have.
    fn attempt(
        &self,
        attempt: u8,
        server: ServerId,
        deadline: Instant,
    ) -> (Outcome, Option<ServerResponse>) {
        let remaining = || deadline.saturating_duration_since(Instant::now());
        if remaining().is_zero() {
            return (Outcome::NotSent, None);
        }
        let timeout = remaining().min(self.state.limits.servers.connect_timeout);
        let mut connection = match self.connect(attempt, server, timeout) {
            Ok(connection) => connection,
            Err(outcome) => return (outcome, None),
        };
        let sent = self.send(attempt, &mut connection, millis_from_duration(remaining()));
        let received = sent.and_then(|()| self.state.receive(&mut connection, deadline));
        let is_cancelled = self.forward.end_attempt(attempt);
        match received {
            // A response that arrived whole counts, even if the attempt was cancelled at the same moment.
            Ok(response) => {
                let outcome = response.outcome();
                if !is_cancelled && !response.close {
                    self.state.pool.release(server, connection);
                }
                (outcome, Some(response))
            }
            Err(outcome) => (failed_outcome(outcome, is_cancelled), None),
        }
    }

    /// Takes a connection from the pool, or opens one.
    ///
    /// The handle gets the socket before it is connected: a request that is cancelled meanwhile must not wait for a server
    /// that never accepts.
    fn connect(
        &self,
        attempt: u8,
        server: ServerId,
        timeout: Duration,
    ) -> Result<Connection, Outcome> {
        let begin = |stream: &Arc<_>| self.forward.begin_attempt(attempt, stream);
        let pool = &self.state.pool;
        let connection = pool.acquire(server, timeout, Duration::MAX, begin);
        connection.map_err(|outcome| {
            if self.forward.end_attempt(attempt) {
                Outcome::NotSent
            } else {
                outcome
            }
        })
    }

    fn send(
        &self,
        attempt: u8,
        connection: &mut Connection,
        remaining: Millis,
    ) -> Result<(), Outcome> {
        let since_disconnect = self
            .session
            .connection
            .time_since_disconnect(&self.state.disconnect_watcher);
        let is_sent = self
            .request
            .write_forwarded(remaining, &mut connection.outgoing)
            && self.forward.advance(attempt, ForwardStage::Sending);
        if let Some(since_disconnect) = since_disconnect.filter(|_| is_sent) {
            self.state
                .disconnect_metrics
                .record_send(self.forward.kind, since_disconnect);
        }
        let sent = if is_sent {
            connection.send()
        } else {
            Err(Outcome::NotSent)
        };
        self.forward.advance(attempt, ForwardStage::AtServer);
        sent
    }
}

/// Whether the outcome proves that the request did not run.
fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    )
}

fn failed_outcome(outcome: Outcome, is_cancelled: bool) -> Outcome {
    match outcome {
        // The last byte was not written, because the attempt was cancelled: no fault of the server's.
        Outcome::ConnectFailed | Outcome::NotSent if is_cancelled => Outcome::NotSent,
        Outcome::ConnectFailed | Outcome::NotSent => outcome,
        _ if is_cancelled => Outcome::Cancelled,
        _ => outcome,
    }
}
