//! Reads the requests of a connection one after another and responds to each.

use crate::client_session::{ClientSession, SessionState};
use crate::event::DispatcherEvent;
use crate::http::status::{BAD_GATEWAY, CONFLICT, OK, REQUEST_TIMEOUT, SERVICE_UNAVAILABLE};
use crate::http::{parse_request, ClientRequest, ClientResponse, IncomingRequest, Parsed};
use crate::request_handler::RequestHandler;
use crate::sessions::TransactionClaim;
use crate::state::LimiterState;
use aspendrum_net::connection::lingering_close;
use aspendrum_net::ring_buffer::{is_timeout, RingBuffer};
use std::io::{self, ErrorKind};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// Serves the session until it ends.
pub(crate) fn run_session(state: &LimiterState, session: &ClientSession) {
    let buffers = state.limits.buffers;
    let mut incoming = RingBuffer::new(buffers.initial_bytes, buffers.max_bytes);
    let mut reader = RequestReader {
        started_at: Some(Instant::now()),
        read_timeout: Duration::ZERO,
    };
    loop {
        let keep_alive = match parse_request(&mut incoming, &state.schema, &state.limits.messages) {
            Parsed::Incomplete => read_more(state, session, &mut reader, &mut incoming),
            Parsed::Invalid(status) => reject(state, session, status),
            Parsed::Complete(IncomingRequest::Readiness { close }) => {
                reader.started_at = None;
                let status = if state.lifecycle.is_draining() {
                    SERVICE_UNAVAILABLE
                } else {
                    OK
                };
                session.respond(
                    &state.lifecycle,
                    ClientResponse {
                        close,
                        ..ClientResponse::empty(status)
                    },
                )
            }
            Parsed::Complete(IncomingRequest::Forwardable(request)) => {
                reader.started_at = None;
                match state.sessions.claim_transaction(&request.transaction) {
                    Some(claim) => handle_request(state, session, &request, claim),
                    None => reject(state, session, CONFLICT),
                }
            }
        };
        if !keep_alive {
            return;
        }
    }
}

/// The result of waiting for more bytes.
enum ReadProgress {
    Read,
    TimedOut,
}

/// Reads requests with a timeout for each.
struct RequestReader {
    /// When the request timeout began: the start of the connection for the first request, the first byte for later
    /// ones.
    started_at: Option<Instant>,
    /// The read timeout last set on the socket, to avoid a system call per request when it is unchanged.
    read_timeout: Duration,
}

impl RequestReader {
    fn read(
        &mut self,
        state: &LimiterState,
        session: &ClientSession,
        incoming: &mut RingBuffer,
    ) -> io::Result<ReadProgress> {
        let timeout = self.timeout(state, !incoming.is_empty());
        if timeout.is_zero() {
            return Ok(ReadProgress::TimedOut);
        }
        if timeout != self.read_timeout {
            session.set_read_timeout(timeout)?;
            self.read_timeout = timeout;
        }
        match incoming.fill(&mut &*session.stream) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(ReadProgress::Read),
            Err(error) if is_timeout(&error) => Ok(ReadProgress::TimedOut),
            Err(error) if error.kind() == ErrorKind::Interrupted => Ok(ReadProgress::Read),
            Err(error) => Err(error),
        }
    }

    fn timeout(&mut self, state: &LimiterState, has_partial_request: bool) -> Duration {
        let limits = &state.limits.clients;
        if has_partial_request {
            self.started_at.get_or_insert_with(Instant::now);
        }
        let timeout = match self.started_at {
            Some(started_at) => limits.request_timeout.saturating_sub(started_at.elapsed()),
            None => limits.idle_timeout,
        };
        // Idle connections hold file descriptors that other clients may need, so they are closed sooner when there are
        // many.
        let is_crowded = state.sessions.count() > limits.max_connections / 2;
        if is_crowded && !has_partial_request {
            timeout.min(limits.reduced_idle_timeout)
        } else {
            timeout
        }
    }
}

/// Reads more bytes. Returns whether the session continues. No response is sent if it ends between two requests.
fn read_more(
    state: &LimiterState,
    session: &ClientSession,
    reader: &mut RequestReader,
    incoming: &mut RingBuffer,
) -> bool {
    match reader.read(state, session, incoming) {
        Ok(ReadProgress::Read) => {
            session.record_use(state.lifecycle.uptime_ms());
            true
        }
        Ok(ReadProgress::TimedOut) if !incoming.is_empty() => {
            reject(state, session, REQUEST_TIMEOUT)
        }
        Ok(ReadProgress::TimedOut) | Err(_) => {
            session.transition(SessionState::Idle, SessionState::Closed);
            false
        }
    }
}

/// Responds with an error and ends the session.
fn reject(state: &LimiterState, session: &ClientSession, status: u16) -> bool {
    session.respond(&state.lifecycle, ClientResponse::closing(status));
    let limits = &state.limits;
    lingering_close(
        &session.stream,
        limits.clients.linger,
        limits.messages.body_bytes,
    );
    false
}

/// Handles a request to its end. Returns whether the session continues.
fn handle_request(
    state: &LimiterState,
    session: &ClientSession,
    request: &ClientRequest,
    claim: TransactionClaim<'_>,
) -> bool {
    session.start_request();
    let id = state.dispatcher.next_request_id();
    let read_at = Instant::now();
    // After a panic the client must still get a response, and the dispatcher must drop the request.
    let handler =
        AssertUnwindSafe(|| RequestHandler::new(state, session, request, claim, id, read_at).run());
    let keep_alive = catch_unwind(handler).unwrap_or_else(|_| {
        state.dispatcher.send(DispatcherEvent::Abandoned { id });
        session.respond(&state.lifecycle, ClientResponse::closing(BAD_GATEWAY))
    });
    session.connection.end_request();
    let keep_alive = keep_alive && !session.connection.has_disconnected();
    session.finish_request(state.lifecycle.uptime_ms(), keep_alive);
    keep_alive
}
