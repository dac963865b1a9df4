//! Handles one request, from the time at which it was read to the last byte of its response.
//!
//! The dispatcher makes the decisions and the request's thread executes them. Unless the client disconnects, the thread
//! writes exactly one response, even if no decision arrives.

use crate::client_session::ClientSession;
use crate::clock::{duration_from_millis, millis_from_duration};
use crate::event::{AttemptEnd, DispatcherEvent, RequestDecision};
use crate::http::status::{GATEWAY_TIMEOUT, OK, SERVICE_UNAVAILABLE};
use crate::http::{ClientRequest, ClientResponse, ServerResponse};
use crate::sessions::TransactionClaim;
use crate::state::LimiterState;
use aspendrum_core::api::{LoadReport, Millis, NewRequest, Outcome, RequestId, ServerId, ZoneSet};
use aspendrum_net::connection::Connection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::mailbox::{self, MailboxReceiver};
use aspendrum_net::upload::Upload;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request in progress.
pub(crate) struct RequestHandler<'r> {
    state: &'r LimiterState,
    session: &'r ClientSession,
    request: &'r ClientRequest,
    /// The claim on the request's transaction id, released when the response is written.
    claim: Option<TransactionClaim<'r>>,
    id: RequestId,
    /// When the client stops waiting for a response.
    deadline: Instant,
    forward: Arc<ForwardHandle>,
    /// Whether an attempt may have run the request on a server.
    may_have_run: bool,
}

/// Whether a request is finished.
enum RequestProgress {
    /// The handler waits for the next decision.
    InProgress,
    /// The request is finished. `keep_alive` is whether the session continues.
    Finished { keep_alive: bool },
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
            RequestKind::NonIdempotent
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

    /// Handles the request to its end. Returns whether the session continues.
    pub(crate) fn run(mut self) -> bool {
        // Without a decision, the handler waits only a little longer than the client.
        let last_wait = self.deadline + self.state.limits.dispatcher.decision_grace;
        let (decisions, is_submitted) = self.submit(last_wait);
        loop {
            let decision = if is_submitted {
                decisions.recv_deadline(Some(last_wait)).ok()
            } else {
                None
            };
            let progress = match decision {
                Some(RequestDecision::Forward {
                    attempt,
                    server,
                    timeout,
                }) => self.forward_to(attempt, server, timeout),
                Some(RequestDecision::Shed { retry_after }) => self.respond(ClientResponse {
                    retry_after,
                    ..ClientResponse::empty(SERVICE_UNAVAILABLE)
                }),
                Some(RequestDecision::Drop) => self.respond(ClientResponse::empty(GATEWAY_TIMEOUT)),
                Some(RequestDecision::ClientDisconnected) => {
                    RequestProgress::Finished { keep_alive: false }
                }
                None => self.abandon(),
            };
            if let RequestProgress::Finished { keep_alive } = progress {
                return keep_alive;
            }
        }
    }

    /// Submits the request to the dispatcher. Returns the mailbox for its decisions, and whether the dispatcher
    /// accepted it.
    fn submit(&self, deadline: Instant) -> (MailboxReceiver<RequestDecision>, bool) {
        let max_decisions = self.state.limits.dispatcher.max_queued_decisions;
        let (sender, decisions) = mailbox::for_current_thread(max_decisions);
        self.session
            .connection
            .begin_request(self.id, &self.state.disconnect_watcher);
        let event = DispatcherEvent::Request {
            request: self.new_request(),
            decisions: sender,
            forward: self.forward.clone(),
        };
        let is_submitted = self.state.dispatcher.send_by(deadline, event);
        // The dispatcher may have detected the disconnect before it received the request.
        if self.session.connection.has_disconnected() {
            let stage = self.forward.handle_disconnect();
            self.state
                .disconnect_metrics
                .record_disconnect(self.forward.kind, stage);
            self.notify(DispatcherEvent::ClientDisconnected { id: self.id });
        }
        (decisions, is_submitted)
    }

    fn new_request(&self) -> NewRequest {
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
            allowed_zones: ZoneSet::ALL,
            max_attempts: u8::MAX,
        }
    }

    /// Ends a request for which no decision came in time. A request that may have run is not reported as rejected.
    fn abandon(&mut self) -> RequestProgress {
        let status = if self.may_have_run {
            GATEWAY_TIMEOUT
        } else {
            SERVICE_UNAVAILABLE
        };
        let progress = self.respond(ClientResponse::empty(status));
        self.notify(DispatcherEvent::Abandoned { id: self.id });
        progress
    }

    /// Forwards the request to a server, and a successful response or a client error to the client.
    fn forward_to(
        &mut self,
        attempt: u8,
        server: ServerId,
        timeout: Option<Millis>,
    ) -> RequestProgress {
        let deadline = self.attempt_deadline(timeout);
        let started_at = Instant::now();
        let (outcome, response) = self.attempt(attempt, server, deadline);
        let rtt = millis_from_duration(started_at.elapsed());
        self.may_have_run |= !outcome.excludes_execution();
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
        // Write the response first, to keep the client's latency low.
        let progress = match response.filter(|_| is_ok) {
            Some(response) => self.respond_with(&response),
            None => RequestProgress::InProgress,
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
        progress
    }

    fn attempt_deadline(&self, timeout: Option<Millis>) -> Instant {
        match timeout {
            Some(timeout) => (Instant::now() + duration_from_millis(timeout)).min(self.deadline),
            None => self.deadline,
        }
    }

    /// Returns a client error (4xx) of a server to the client. It is no evidence about the server's health, and other
    /// servers would respond the same, so the request is not retried.
    fn report_client_error(&mut self, status: u16) -> RequestProgress {
        self.respond(ClientResponse::closing(status));
        self.notify(DispatcherEvent::Abandoned { id: self.id });
        RequestProgress::Finished { keep_alive: false }
    }

    /// The units charged for the request: those reported by the server, or else those that were requested.
    fn charged_units(&self, response: &ServerResponse) -> u16 {
        response.charged.unwrap_or(self.request.units).ceil() as u16
    }

    fn respond_with(&mut self, response: &ServerResponse) -> RequestProgress {
        let (content_type, body) = (&response.content_type[..], &response.body[..]);
        self.respond(ClientResponse {
            content_type,
            body,
            ..ClientResponse::empty(OK)
        })
    }

    /// Writes the response. The transaction id is released first, because the client may reuse it as soon as it reads
    /// the first byte; no server will run the request after this point.
    fn respond(&mut self, response: ClientResponse<'_>) -> RequestProgress {
        self.claim = None;
        let close = response.close || self.request.close;
        let keep_alive = self
            .session
            .respond(&self.state.lifecycle, ClientResponse { close, ..response });
        RequestProgress::Finished { keep_alive }
    }

    fn notify(&self, event: DispatcherEvent) {
        self.state.dispatcher.send(event);
    }

    /// Makes one attempt on one server. The request may have run once the server has taken a byte of it.
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
        let on_sent = || {
            self.forward.advance(attempt, ForwardStage::AtServer);
        };
        let mut upload = Upload::new(&[], &on_sent);
        let time_left = millis_from_duration(remaining());
        let sent = self.send(attempt, &mut connection, &mut upload, time_left);
        let received =
            sent.and_then(|()| self.state.receive(&mut connection, &mut upload, deadline));
        let is_cancelled = self.forward.end_attempt(attempt);
        match received {
            // A complete response is used even if the attempt was cancelled at the same time.
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

    /// Takes a connection from the pool or opens a new one.
    ///
    /// The forward handle gets the socket before it is connected, so that cancelling the request also interrupts a
    /// connect to a server that never accepts.
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
        upload: &mut Upload<'_>,
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
        if is_sent {
            connection.send(upload)
        } else {
            Err(Outcome::NotSent)
        }
    }
}

fn failed_outcome(outcome: Outcome, is_cancelled: bool) -> Outcome {
    match outcome {
        // The cancellation prevented the request from being sent; the server did not fail.
        Outcome::ConnectFailed | Outcome::NotSent if is_cancelled => Outcome::NotSent,
        Outcome::ConnectFailed | Outcome::NotSent => outcome,
        _ if is_cancelled => Outcome::Cancelled,
        _ => outcome,
    }
}
