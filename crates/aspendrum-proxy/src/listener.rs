//! Client connections. Each open connection has a thread, which reads one request at a time, handles it, and
//! writes the response.

use crate::request;
use crate::request_buffer::RequestBuffer;
use crate::response::{ClientResponse, ConnectionPolicy};
use crate::session::ClientSession;
use crate::state::ProxyState;
use aspendrum_net::connection::lingering_close;
use aspendrum_net::http1::status::{
    BAD_GATEWAY, CONTENT_TOO_LARGE, HEADER_FIELDS_TOO_LARGE, SERVICE_UNAVAILABLE,
};
use aspendrum_net::http1::{self, Parsed, Request};
use aspendrum_net::memory_budget::MemoryReservation;
use socket2::SockRef;
use std::io::{self, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The fixed memory of a client connection: the used part of its thread's stack, and its buffers before they grow.
const CONNECTION_BYTES: usize = 16 << 10;
/// The interval at which a listener that waits for memory checks whether the proxy still accepts requests.
const MEMORY_WAIT: Duration = Duration::from_millis(100);
/// The limits on data read and discarded from a connection that the proxy closes.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 << 10;
/// How long the rest of a refused body is discarded, so that a client that sends all of it reads the response.
const REFUSED_BODY_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The write timeout, for clients that do not read their response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const LISTEN_BACKLOG: i32 = 1024;
/// The delay after a failed accept: a file descriptor may be free again by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the proxy accepts no more requests. It then accepts the connections waiting in the
/// operating system's accept queue and closes the listener, so that later clients are refused and connect to another
/// proxy at once.
pub fn accept(state: &Arc<ProxyState>, listener: TcpListener) {
    let _ = SockRef::from(&listener).listen(LISTEN_BACKLOG);
    let mut next_number = 1;
    while state.accepts_requests() {
        // Clients wait in the accept queue while there is no memory for their connections.
        let deadline = Instant::now() + MEMORY_WAIT;
        let Some(memory) = state
            .memory
            .requests
            .reserve_until(CONNECTION_BYTES, deadline)
        else {
            continue;
        };
        match listener.accept() {
            Ok((stream, _)) => {
                state.record_accept();
                start_session(state, &mut next_number, stream, memory);
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
                    // These connections are served even without memory for all of them: no more can follow.
                    let memory = state.memory.requests.try_reserve(CONNECTION_BYTES);
                    start_session(state, next_number, stream, memory.unwrap_or_default());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }
    log::info!("event=listener_closed accept_queue={waiting}");
}

fn start_session(
    state: &Arc<ProxyState>,
    next_number: &mut u64,
    stream: TcpStream,
    memory: MemoryReservation,
) {
    let number = *next_number;
    *next_number += 1;
    let session = Arc::new(ClientSession::new(stream));
    state.sessions.insert(number, session.clone());
    let registration = SessionRegistration {
        state: state.clone(),
        number,
        _memory: memory,
    };
    let job = move || serve_connection(&registration.state, &session);
    // Without a free thread, the job and its connection are dropped, and the client retries at another proxy.
    drop(state.workers.run(Box::new(job)));
}

/// Removes a session from the registry when its thread finishes, also after a panic, which closes the connection.
struct SessionRegistration {
    state: Arc<ProxyState>,
    number: u64,
    _memory: MemoryReservation,
}

impl Drop for SessionRegistration {
    fn drop(&mut self) {
        self.state.sessions.remove(self.number);
    }
}

/// The next step on a connection.
pub(crate) enum Step {
    Continue,
    /// Close it immediately.
    Close,
    /// Close it after reading and discarding remaining input for a limited time.
    Linger,
    /// Close it after reading and discarding the rest of a refused body, of at most this many bytes.
    DiscardBody(usize),
}

fn serve_connection(state: &ProxyState, session: &ClientSession) {
    let stream = &*session.stream;
    if configure_stream(stream).is_err() {
        return;
    }
    let mut buffer = RequestBuffer::new(&state.memory.requests);
    loop {
        let Some(snapshot) = state.dispatcher.snapshot() else {
            return;
        };
        let limits = snapshot.config.limits;
        let parsed = buffer.parse(&limits);
        let step = match parsed {
            Parsed::Complete(request) => {
                serve_request(state, session, &request, !buffer.is_empty())
            }
            Parsed::Invalid(status) => reject_invalid(state, stream, status),
            Parsed::Incomplete => buffer.receive(session, &snapshot.config),
        };
        match step {
            Step::Continue => {}
            Step::Close => return,
            Step::Linger => return lingering_close(stream, LINGER_TIMEOUT, MAX_LINGER_BYTES),
            Step::DiscardBody(max_bytes) => {
                return lingering_close(stream, REFUSED_BODY_LINGER_TIMEOUT, max_bytes)
            }
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
    let is_written = response.write(&mut &*session.stream, closes).is_ok();
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
    if status == SERVICE_UNAVAILABLE {
        return refuse(stream, "", MAX_LINGER_BYTES);
    }
    let exceeds_limits = matches!(status, CONTENT_TOO_LARGE | HEADER_FIELDS_TOO_LARGE);
    if !exceeds_limits || state.is_current() {
        return reject(stream, status);
    }
    let response = ClientResponse::retry_on_other_proxy("");
    let _ = stream.write_all(&response.encode(true));
    Step::Linger
}

/// Refuses a request for which there is no memory. It has not run, and another proxy may serve it. `body_bytes` limits
/// the rest of its body.
pub(crate) fn refuse(mut stream: &TcpStream, try_id: &str, body_bytes: usize) -> Step {
    let response = ClientResponse::retry_on_other_proxy(try_id);
    let _ = stream.write_all(&response.encode(true));
    Step::DiscardBody(body_bytes)
}

/// Responds to a request that cannot be parsed, and closes the connection.
pub(crate) fn reject(mut stream: &TcpStream, status: u16) -> Step {
    let _ = stream.write_all(&http1::encode_response(status, &[], true, b""));
    Step::Linger
}
