//! Client connections. Each open connection has a thread, which reads one request at a time, handles it, and
//! writes the response.

use crate::request;
use crate::response::{ClientResponse, ConnectionPolicy};
use crate::session::ClientSession;
use crate::state::ProxyState;
use aspendrum_model::config::RequestLimits;
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::connection::lingering_close;
use aspendrum_net::http1::status::{BAD_GATEWAY, CONTENT_TOO_LARGE, HEADER_FIELDS_TOO_LARGE};
use aspendrum_net::http1::{self, MessageLimits, Parsed, Request};
use aspendrum_net::ring_buffer::{is_timeout, RingBuffer};
use socket2::SockRef;
use std::io::{self, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The initial size of a connection's buffer. The maximum size of a request is configured.
const INITIAL_BUFFER_BYTES: usize = 2 << 10;
/// The buffer space in addition to the largest request.
const SPARE_BUFFER_BYTES: usize = 1024;
/// The limits on data read and discarded from a connection that the proxy closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 << 10;
/// The write timeout, for clients that do not read their response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const LISTEN_BACKLOG: i32 = 1024;
/// The delay after a failed accept: a file descriptor may be free again by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The minimum of the configured timeouts, in milliseconds: a socket timeout of zero is invalid.
const MIN_TIMEOUT_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Accepts connections until the proxy accepts no more requests. It then accepts the connections waiting in the
/// operating system's accept queue and closes the listener, so that later clients are refused and connect to another
/// proxy at once.
pub fn accept(state: &Arc<ProxyState>, listener: TcpListener) {
    let _ = SockRef::from(&listener).listen(LISTEN_BACKLOG);
    let mut next_number = 1;
    while state.accepts_requests() {
        match listener.accept() {
            Ok((stream, _)) => {
                state.record_accept();
                start_session(state, &mut next_number, stream);
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY),
        }
    }
    serve_accept_queue(state, &mut next_number, &listener);
    drop(listener);
    state.record_listener_closed();
}

/// Accepts the connections waiting in the operating system's accept queue, whose requests have arrived or are under
/// way.
fn serve_accept_queue(state: &Arc<ProxyState>, next_number: &mut u64, listener: &TcpListener) {
    let mut waiting = 0;
    if listener.set_nonblocking(true).is_ok() {
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    waiting += 1;
                    start_session(state, next_number, stream);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }
    log::info!("event=listener_closed accept_queue={waiting}");
}

fn start_session(state: &Arc<ProxyState>, next_number: &mut u64, stream: TcpStream) {
    let number = *next_number;
    *next_number += 1;
    let session = Arc::new(ClientSession::new(stream));
    state.sessions.insert(number, session.clone());
    let registration = SessionRegistration {
        state: state.clone(),
        number,
    };
    let job = move || serve_connection(&registration.state, &session);
    // Without a free thread, the job and its connection are dropped, and the client retries at another proxy.
    drop(state.workers.run(Box::new(job)));
}

/// Removes a session from the registry when its thread finishes, also after a panic, which closes the connection.
struct SessionRegistration {
    state: Arc<ProxyState>,
    number: u64,
}

impl Drop for SessionRegistration {
    fn drop(&mut self) {
        self.state.sessions.remove(self.number);
    }
}

/// The next step on a connection.
enum Step {
    Continue,
    /// Close it immediately.
    Close,
    /// Close it after reading and discarding remaining input for a limited time.
    Linger,
}

fn serve_connection(state: &ProxyState, session: &ClientSession) {
    let stream = &*session.stream;
    if configure_stream(stream).is_err() {
        return;
    }
    let mut buffer = RequestBuffer::default();
    loop {
        let Some(snapshot) = state.dispatcher.snapshot() else {
            return;
        };
        let limits = snapshot.config.limits;
        let step = match buffer.parse(&limits) {
            Parsed::Complete(request) => {
                serve_request(state, session, &request, !buffer.is_empty())
            }
            Parsed::Invalid(status) => reject_invalid(state, stream, status),
            Parsed::Incomplete => buffer.receive(session, &limits),
        };
        match step {
            Step::Continue => {}
            Step::Close => return,
            Step::Linger => return lingering_close(stream, LINGER_TIMEOUT, MAX_LINGER_BYTES),
        }
    }
}

fn configure_stream(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))
}

/// Handles one request and writes the response. `is_pipelined` means that more data from the client has been received
/// behind the request.
fn serve_request(
    state: &ProxyState,
    session: &ClientSession,
    request: &Request,
    is_pipelined: bool,
) -> Step {
    session.set_busy(true);
    let response = if state.accepts_requests() {
        handle_request(state, session, request)
    } else {
        request::reject(request)
    };
    let wants_close = state.is_draining() || state.sessions.exceeds_keep_alive_limit();
    let closes = response.closes_connection(wants_close, is_pipelined);
    // A client that closed only its sending side still reads the response to a non-idempotent request.
    let is_written = (&*session.stream)
        .write_all(&response.encode(closes))
        .is_ok();
    if session.connection.has_disconnected() {
        return Step::Close;
    }
    if !is_written || closes {
        return Step::Linger;
    }
    Step::Continue
}

/// Handles a request. On a panic, the client still gets a response and the request is removed from the dispatcher.
fn handle_request(
    state: &ProxyState,
    session: &ClientSession,
    request: &Request,
) -> ClientResponse {
    let handle = || request::handle(state, session, request, Instant::now());
    catch_unwind(AssertUnwindSafe(handle)).unwrap_or_else(|_| {
        log::error!("event=request_failed path={:?}", request.path);
        if let Some(id) = session.connection.request() {
            state.dispatcher.finish_request(id);
            session.connection.end_request();
        }
        ClientResponse::generated(BAD_GATEWAY, "", None, ConnectionPolicy::Close)
    })
}

/// Responds to a request that is malformed or exceeds the limits. If the limits may be outdated, exceeding them is not
/// answered with a permanent error.
fn reject_invalid(state: &ProxyState, mut stream: &TcpStream, status: u16) -> Step {
    let exceeds_limits = matches!(status, CONTENT_TOO_LARGE | HEADER_FIELDS_TOO_LARGE);
    if !exceeds_limits || state.is_current() {
        return reject(stream, status);
    }
    let response = ClientResponse::retry_on_other_proxy("");
    let _ = stream.write_all(&response.encode(true));
    Step::Linger
}

/// Responds to a request that cannot be parsed, and closes the connection.
fn reject(mut stream: &TcpStream, status: u16) -> Step {
    let _ = stream.write_all(&http1::encode_response(status, &[], true, b""));
    Step::Linger
}

/// The data received on a connection but not yet handled.
#[derive(Default)]
struct RequestBuffer {
    buffer: Option<RingBuffer>,
    read_timeout: Duration,
    /// The time since which the connection has been waiting for its next request; `None` if it is not waiting.
    idle_since: Option<Instant>,
}

impl RequestBuffer {
    fn parse(&mut self, limits: &RequestLimits) -> Parsed<Request> {
        let bounds = MessageLimits {
            head_bytes: limits.header_bytes as usize,
            body_bytes: limits.body_bytes as usize,
        };
        let max_bytes = bounds
            .head_bytes
            .saturating_add(bounds.body_bytes)
            .saturating_add(SPARE_BUFFER_BYTES);
        let buffer = self
            .buffer
            .get_or_insert_with(|| RingBuffer::new(INITIAL_BUFFER_BYTES, max_bytes));
        // The configuration may have changed since the last request.
        buffer.set_max_bytes(max_bytes);
        http1::parse_request(buffer, &bounds)
    }

    fn is_empty(&self) -> bool {
        self.buffer.as_ref().is_none_or(RingBuffer::is_empty)
    }

    /// Reads once. A request that has begun to arrive is awaited even if the proxy is draining.
    fn receive(&mut self, session: &ClientSession, limits: &RequestLimits) -> Step {
        let stream = &*session.stream;
        let is_idle = self.is_empty();
        session.set_busy(!is_idle);
        let timeout_ms = if is_idle {
            self.remaining_idle_ms(limits)
        } else {
            limits.header_timeout_ms
        };
        if timeout_ms <= 0.0 {
            return Step::Close;
        }
        self.set_read_timeout(stream, timeout_ms);
        let Some(buffer) = &mut self.buffer else {
            return Step::Close;
        };
        match buffer.fill(&mut &*stream) {
            Ok(0) => Step::Close,
            Ok(_) => {
                self.idle_since = None;
                Step::Continue
            }
            // The idle timeout is evaluated again, since a new configuration may allow a longer one.
            Err(e) if is_timeout(&e) && is_idle => Step::Continue,
            Err(e) if is_timeout(&e) => reject(stream, 408),
            Err(e) if e.kind() == ErrorKind::Interrupted => Step::Continue,
            Err(_) => Step::Close,
        }
    }

    /// Returns how long the connection may still wait for its next request, in milliseconds.
    fn remaining_idle_ms(&mut self, limits: &RequestLimits) -> f64 {
        let Some(idle_since) = self.idle_since else {
            self.idle_since = Some(Instant::now());
            return limits.idle_timeout_ms.max(MIN_TIMEOUT_MS);
        };
        limits.idle_timeout_ms - idle_since.elapsed().as_secs_f64() * MILLIS_PER_SECOND
    }

    /// Sets the read timeout if it has changed, which avoids a system call per read.
    fn set_read_timeout(&mut self, stream: &TcpStream, timeout_ms: f64) {
        let timeout = duration_from_millis(timeout_ms.max(MIN_TIMEOUT_MS));
        if timeout != self.read_timeout {
            let _ = stream.set_read_timeout(Some(timeout));
            self.read_timeout = timeout;
        }
    }
}
