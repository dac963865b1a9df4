//! One attempt to run a request at a server: connect to the server, send the request, read the answer.

use super::filter::RequestTarget;
use crate::session::ClientSession;
use crate::state::ProxyState;
use crate::wire::{self, ResponseClass};
use aspendrum_core::api::{Millis, Outcome, ServerId};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::connection::Connection;
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::http1::{self, Request, Response};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The client is answered so much before it gives up.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(12);
/// No client waits longer, whatever it says.
const MAX_BUDGET: Millis = 3_600_000.0;
/// Answers to earlier requests that are skipped on one connection.
const MAX_STALE_ANSWERS: usize = 3;
/// Of the time that a server keeps an idle connection, how long it is used: a request on a connection that is being
/// closed may or may not have run.
const KEEP_ALIVE_SHARE: f64 = 0.6;
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(30);

/// How an attempt ended, and the answer that it brought.
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

    fn answered(outcome: Outcome, response: Response) -> AttemptOutcome {
        AttemptOutcome {
            outcome,
            response: Some(response),
        }
    }
}

/// A connection to a server, and the name by which the server is addressed.
struct UpstreamPeer {
    connection: Connection,
    uid: String,
}

/// A request as it is sent to servers.
pub(super) struct UpstreamRequest<'a> {
    pub(super) state: &'a ProxyState,
    pub(super) session: &'a ClientSession,
    pub(super) request: &'a Request,
    pub(super) target: RequestTarget<'a>,
    /// Its attempts, as other threads see them.
    pub(super) forward_handle: Arc<ForwardHandle>,
    /// When its client gives up.
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
        let rule = target.rule();
        let budget = target
            .head
            .budget
            .unwrap_or(rule.timeout_ms)
            .min(rule.timeout_ms);
        let budget = duration_from_millis(budget.min(MAX_BUDGET));
        let kind = if rule.idempotent {
            RequestKind::Idempotent
        } else {
            RequestKind::OnceOnly
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
        self.target.rule().idempotent
    }

    /// Sends the request to a server, as its attempt of that number.
    pub(super) fn send(
        &self,
        attempt: u8,
        server: ServerId,
        started_at: Instant,
    ) -> AttemptOutcome {
        let deadline = self.deadline - ANSWER_MARGIN;
        let time_left = deadline.saturating_duration_since(started_at);
        if time_left.is_zero() {
            return AttemptOutcome::failed(Outcome::NotSent);
        }
        let mut peer = match self.upstream_peer(attempt, server, time_left) {
            Ok(peer) => peer,
            Err(outcome) => return AttemptOutcome::failed(outcome),
        };
        let answer = self.exchange(&mut peer, attempt, deadline);
        let is_aborted = self.forward_handle.end_attempt(attempt);
        match answer {
            Ok(response) => {
                if !response.close && !is_aborted {
                    self.keep_connection(server, peer.connection, &response);
                }
                upstream_response_filter(response)
            }
            // It never left completely. That it was aborted is not its server's doing.
            Err(Outcome::ConnectFailed | Outcome::NotSent) if is_aborted => {
                AttemptOutcome::failed(Outcome::NotSent)
            }
            Err(_) if is_aborted => AttemptOutcome::failed(Outcome::Cancelled),
            Err(outcome) => AttemptOutcome::failed(outcome),
        }
    }

    /// Connects to the server, or takes a kept connection.
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
            false => state.max_idle_for_once_only(),
        };
        let connect_timeout = time_left.min(state.connect_timeout);
        let enter = |stream: &Arc<TcpStream>| self.forward_handle.begin_attempt(attempt, stream);
        let connection = state
            .server_pool
            .acquire(server, connect_timeout, max_idle, enter);
        let connection = connection.map_err(|outcome| self.fail_to_connect(attempt, outcome))?;
        Ok(UpstreamPeer {
            connection,
            uid: target.uid,
        })
    }

    /// What a failed connection means: where the client has left it is not the server's doing.
    fn fail_to_connect(&self, attempt: u8, outcome: Outcome) -> Outcome {
        if self.forward_handle.end_attempt(attempt) {
            Outcome::NotSent
        } else {
            outcome
        }
    }

    /// Sends the request on that connection and reads its answer.
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
        peer.connection.send()?;
        self.forward_handle.advance(attempt, ForwardStage::AtServer);
        self.read_answer(&mut peer.connection, deadline)
    }

    /// Reads the answer to this request. Answers to earlier requests may come late, in its place: they are skipped.
    fn read_answer(
        &self,
        connection: &mut Connection,
        deadline: Instant,
    ) -> Result<Response, Outcome> {
        let limits = self.state.server_pool.connection_options();
        for _ in 0..=MAX_STALE_ANSWERS {
            let response = connection
                .receive(deadline, limits, |buffer| {
                    http1::parse_response(buffer, &wire::RESPONSE_BOUNDS)
                })
                .inspect_err(|outcome| self.record_reset(connection, *outcome))?;
            if wire::answers(&response, self.target.head.try_id) || is_unread_rejection(&response) {
                return Ok(response);
            }
            if response.close {
                return Err(Outcome::Reset);
            }
        }
        Err(Outcome::Error)
    }

    /// A reset of a kept connection before a byte came back: the server may have dropped it while it was idle.
    fn record_reset(&self, connection: &Connection, outcome: Outcome) {
        let was_idle = connection.nothing_received() && !connection.idle_time().is_zero();
        if outcome == Outcome::Reset && was_idle && !self.forward_handle.progress().is_aborted {
            self.state.record_idle_reset(connection.idle_time());
        }
    }

    /// Keeps a connection for the next attempt, for less than the server keeps it.
    fn keep_connection(&self, server: ServerId, mut connection: Connection, response: &Response) {
        if let Some(seconds) = wire::keep_alive_s(response) {
            let keep_alive = duration_from_millis(seconds * 1000.0 * KEEP_ALIVE_SHARE);
            connection.idle_timeout = keep_alive.min(MAX_KEEP_ALIVE);
        }
        self.state.server_pool.release(server, connection);
    }
}

/// What a server's answer means for the request.
fn upstream_response_filter(response: Response) -> AttemptOutcome {
    match ResponseClass::of(&response) {
        ResponseClass::Final => AttemptOutcome::answered(Outcome::Ok, response),
        ResponseClass::NotRun => AttemptOutcome::failed(Outcome::Rejected),
        ResponseClass::Misdirected => AttemptOutcome::failed(Outcome::ConnectFailed),
        ResponseClass::Failed => AttemptOutcome::answered(Outcome::Error, response),
        ResponseClass::Invalid => AttemptOutcome::failed(Outcome::Error),
    }
}

/// A server that rejects a request unread may not know its id.
fn is_unread_rejection(response: &Response) -> bool {
    let class = ResponseClass::of(response);
    wire::lacks_try_id(response)
        && matches!(class, ResponseClass::NotRun | ResponseClass::Misdirected)
}
