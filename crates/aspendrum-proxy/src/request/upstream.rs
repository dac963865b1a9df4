//! One attempt to run a request on a server: connects to the server, sends the request and reads the response.

use super::filter::RequestTarget;
use crate::session::ClientSession;
use crate::state::ProxyState;
use crate::wire::{self, ResponseClass};
use aspendrum_core::api::{Millis, Outcome, ServerId};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::connection::Connection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::http1::{MessageReader, Request, Response};
use aspendrum_net::upload::Upload;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long before the client's deadline the response is due.
pub(super) const RESPONSE_MARGIN: Duration = Duration::from_millis(12);
/// The upper bound of a client's time budget, in milliseconds.
const MAX_BUDGET: Millis = 3_600_000.0;
/// The maximum number of late responses to earlier requests that are skipped on one connection.
const MAX_STALE_RESPONSES: usize = 3;
/// The fraction of a server's keep-alive time for which an idle connection is reused. It is below 1 because a request
/// sent on a connection that is being closed may or may not have run.
const KEEP_ALIVE_FRACTION: f64 = 0.6;
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// The outcome of an attempt and the response, if one was received.
pub(super) struct AttemptOutcome {
    pub(super) outcome: Outcome,
    pub(super) response: Option<Response>,
}

impl AttemptOutcome {
    fn failed(outcome: Outcome) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            response: None,
        }
    }

    fn with_response(outcome: Outcome, response: Response) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            response: Some(response),
        }
    }
}

/// A connection to a server, and the uid sent to the server.
struct UpstreamPeer {
    connection: Connection,
    uid: String,
}

/// A request to be sent to servers.
pub(super) struct UpstreamRequest<'a> {
    pub(super) state: &'a ProxyState,
    pub(super) session: &'a ClientSession,
    pub(super) request: &'a Request,
    pub(super) target: RequestTarget<'a>,
    /// Lets other threads observe and abort the request's attempts.
    pub(super) forward_handle: Arc<ForwardHandle>,
    /// The time at which the client stops waiting.
    pub(super) deadline: Instant,
}

impl<'a> UpstreamRequest<'a> {
    pub(super) fn new(
        state: &'a ProxyState,
        session: &'a ClientSession,
        request: &'a Request,
        received_at: Instant,
        target: RequestTarget<'a>,
    ) -> UpstreamRequest<'a> {
        let route_config = target.route_config();
        let budget = target
            .head
            .budget
            .unwrap_or(route_config.timeout_ms)
            .min(route_config.timeout_ms);
        let budget = duration_from_millis(budget.min(MAX_BUDGET));
        let kind = if route_config.is_idempotent {
            RequestKind::Idempotent
        } else {
            RequestKind::NonIdempotent
        };
        let forward_handle = Arc::new(ForwardHandle::new(kind));
        UpstreamRequest {
            state,
            session,
            request,
            target,
            forward_handle,
            deadline: received_at + budget,
        }
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.target.route_config().is_idempotent
    }

    /// Sends the request to a server as attempt number `attempt`.
    pub(super) fn send(
        &self,
        attempt: u8,
        server: ServerId,
        started_at: Instant,
    ) -> AttemptOutcome {
        let deadline = self.deadline - RESPONSE_MARGIN;
        let time_left = deadline.saturating_duration_since(started_at);
        if time_left.is_zero() {
            return AttemptOutcome::failed(Outcome::NotSent);
        }
        let mut peer = match self.upstream_peer(attempt, server, time_left) {
            Ok(peer) => peer,
            Err(outcome) => return AttemptOutcome::failed(outcome),
        };
        let result = self.exchange(&mut peer, attempt, deadline);
        let is_aborted = self.forward_handle.end_attempt(attempt);
        match result {
            Ok(response) => {
                if !response.close && !is_aborted {
                    self.release_connection(server, peer.connection, &response);
                }
                upstream_response_filter(response)
            }
            // The server took nothing of the request. It is not to blame for an abort.
            Err(Outcome::ConnectFailed | Outcome::NotSent) if is_aborted => {
                AttemptOutcome::failed(Outcome::NotSent)
            }
            Err(_) if is_aborted => AttemptOutcome::failed(Outcome::Cancelled),
            Err(outcome) => AttemptOutcome::failed(outcome),
        }
    }

    /// Takes a pooled connection to the server, or opens a new one.
    fn upstream_peer(
        &self,
        attempt: u8,
        server: ServerId,
        time_left: Duration,
    ) -> Result<UpstreamPeer, Outcome> {
        let state = self.state;
        let target = state
            .dispatcher
            .server_address(server)
            .ok_or(Outcome::NotSent)?;
        state.server_pool.set_address(server, target.address.into());
        let max_idle = match self.is_idempotent() {
            true => Duration::MAX,
            false => state.max_idle_for_non_idempotent(),
        };
        let connect_timeout = time_left.min(state.connect_timeout);
        let register_attempt =
            |stream: &Arc<TcpStream>| self.forward_handle.begin_attempt(attempt, stream);
        let connection =
            state
                .server_pool
                .acquire(server, connect_timeout, max_idle, register_attempt);
        let connection = connection.map_err(|outcome| self.fail_to_connect(attempt, outcome))?;
        Ok(UpstreamPeer {
            connection,
            uid: target.uid,
        })
    }

    /// Returns the outcome of a failed connection attempt. If the attempt was aborted because the client
    /// disconnected, the server is not to blame.
    fn fail_to_connect(&self, attempt: u8, outcome: Outcome) -> Outcome {
        if self.forward_handle.end_attempt(attempt) {
            Outcome::NotSent
        } else {
            outcome
        }
    }

    /// Sends the request on a connection and reads the response.
    fn exchange(
        &self,
        peer: &mut UpstreamPeer,
        attempt: u8,
        deadline: Instant,
    ) -> Result<Response, Outcome> {
        let state = self.state;
        let budget = deadline.saturating_duration_since(Instant::now());
        let budget_ms = (budget.as_millis() as u64).max(1);
        let tenant = self.target.tenant_name();
        let bytes = wire::encode_forward(self.request, &peer.uid, tenant, budget_ms);
        let client_disconnected_for = self
            .session
            .connection
            .time_since_disconnect(&state.disconnect_watcher);
        let has_room = peer.connection.outgoing.append(&bytes);
        if !has_room || !self.forward_handle.advance(attempt, ForwardStage::Sending) {
            return Err(Outcome::NotSent);
        }
        if let Some(disconnected_for) = client_disconnected_for {
            state
                .disconnect_metrics
                .record_send(self.forward_handle.kind, disconnected_for);
        }
        let on_sent = || {
            self.forward_handle.advance(attempt, ForwardStage::AtServer);
        };
        let body = wire::separate_body(&self.request.body).unwrap_or_default();
        let mut upload = Upload::new(body, &on_sent);
        peer.connection.send(&mut upload)?;
        self.read_response(&mut peer.connection, &mut upload, deadline)
    }

    /// Reads the response to this request, skipping late responses to earlier requests on the connection. A server may
    /// respond before the request has been sent completely.
    fn read_response(
        &self,
        connection: &mut Connection,
        upload: &mut Upload<'_>,
        deadline: Instant,
    ) -> Result<Response, Outcome> {
        let limits = self.state.server_pool.connection_options();
        for _ in 0..=MAX_STALE_RESPONSES {
            let response = connection
                .receive(
                    upload,
                    deadline,
                    limits,
                    MessageReader::new(wire::RESPONSE_LIMITS, &self.state.memory.responses),
                )
                .inspect_err(|outcome| self.record_reset(connection, *outcome))?;
            if wire::is_response_to(&response, self.target.head.try_id)
                || is_unread_rejection(&response)
            {
                return Ok(response);
            }
            if response.close {
                return Err(Outcome::Reset);
            }
        }
        Err(Outcome::Error)
    }

    /// Records a reset of a reused connection before any response byte: the server may have dropped the
    /// connection while it was idle.
    fn record_reset(&self, connection: &Connection, outcome: Outcome) {
        let was_idle = connection.is_receive_buffer_empty() && !connection.idle_time().is_zero();
        if outcome == Outcome::Reset && was_idle && !self.forward_handle.progress().is_aborted {
            self.state.record_idle_reset(connection.idle_time());
        }
    }

    /// Returns a connection to the pool, for less time than the server keeps it open.
    fn release_connection(
        &self,
        server: ServerId,
        mut connection: Connection,
        response: &Response,
    ) {
        if let Some(seconds) = wire::keep_alive_s(response) {
            let keep_alive = duration_from_millis(seconds * 1000.0 * KEEP_ALIVE_FRACTION);
            connection.idle_timeout = keep_alive.min(MAX_KEEP_ALIVE);
        }
        self.state.server_pool.release(server, connection);
    }
}

/// Maps a server's response to the outcome of the attempt.
fn upstream_response_filter(response: Response) -> AttemptOutcome {
    match ResponseClass::from_response(&response) {
        ResponseClass::Final => AttemptOutcome::with_response(Outcome::Ok, response),
        ResponseClass::NotRun => AttemptOutcome::failed(Outcome::Rejected),
        ResponseClass::Misdirected => AttemptOutcome::failed(Outcome::ConnectFailed),
        ResponseClass::Failed => AttemptOutcome::with_response(Outcome::Error, response),
        ResponseClass::Invalid => AttemptOutcome::failed(Outcome::Error),
    }
}

/// Whether a response without a `Try-Id` rejects the request. A server that rejects a request before reading it may
/// not know the id.
fn is_unread_rejection(response: &Response) -> bool {
    let class = ResponseClass::from_response(response);
    wire::lacks_try_id(response)
        && matches!(class, ResponseClass::NotRun | ResponseClass::Misdirected)
}
