//! One client connection and the responses written to it.

use crate::http::ClientResponse;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::lock;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a session is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum SessionState {
    /// Waiting for a request.
    Idle,
    /// A request is in progress.
    Busy,
    /// The session is ending: the next response is the last one.
    Closed,
}

/// One client connection.
///
/// Other threads close a session only while it is idle, and shut down only its receiving side. A request that has
/// already arrived is still read and gets the last response of the session.
pub(crate) struct ClientSession {
    pub(crate) stream: Arc<TcpStream>,
    /// The request in progress, and whether its client is still connected.
    pub(crate) connection: ClientConnection,
    state: AtomicU8,
    /// When the connection was accepted, by [`Lifecycle::uptime_ms`].
    opened_ms: u64,
    /// When data was last read or a request last finished, by [`Lifecycle::uptime_ms`].
    last_used_ms: AtomicU64,
    /// Whether a well-formed request has arrived. Sessions without one are closed first, so that a flood of silent
    /// connections does not displace active clients.
    has_had_request: AtomicBool,
    outgoing: Mutex<RingBuffer>,
}

impl ClientSession {
    pub(crate) fn new(stream: TcpStream, now_ms: u64, limits: &Limits) -> ClientSession {
        let stream = Arc::new(stream);
        let buffers = limits.buffers;
        ClientSession {
            connection: ClientConnection::new(stream.clone()),
            stream,
            state: AtomicU8::new(SessionState::Idle as u8),
            opened_ms: now_ms,
            last_used_ms: AtomicU64::new(now_ms),
            has_had_request: AtomicBool::new(false),
            outgoing: Mutex::new(RingBuffer::new(buffers.initial_bytes, buffers.max_bytes)),
        }
    }

    /// Returns the socket if no other reference to it exists.
    pub(crate) fn into_stream(self) -> Option<TcpStream> {
        drop(self.connection);
        Arc::into_inner(self.stream)
    }

    pub(crate) fn is_in(&self, state: SessionState) -> bool {
        self.state.load(Ordering::Acquire) == state as u8
    }

    /// Changes the state from `from` to `to`. Returns false if the state was not `from`.
    pub(crate) fn transition(&self, from: SessionState, to: SessionState) -> bool {
        let changed =
            self.state
                .compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }

    pub(crate) fn has_had_request(&self) -> bool {
        self.has_had_request.load(Ordering::Relaxed)
    }

    pub(crate) fn start_request(&self) {
        self.has_had_request.store(true, Ordering::Relaxed);
        self.transition(SessionState::Idle, SessionState::Busy);
    }

    /// Ends the request. The session becomes idle if `keep_alive` is set, and closed otherwise.
    pub(crate) fn finish_request(&self, now_ms: u64, keep_alive: bool) {
        self.record_use(now_ms);
        let next = if keep_alive {
            SessionState::Idle
        } else {
            SessionState::Closed
        };
        self.transition(SessionState::Busy, next);
    }

    pub(crate) fn record_use(&self, now_ms: u64) {
        self.last_used_ms.store(now_ms, Ordering::Relaxed);
    }

    pub(crate) fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.opened_ms))
    }

    pub(crate) fn idle_time(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.last_used_ms.load(Ordering::Relaxed)))
    }

    /// Writes one complete response. Returns whether the session continues. A failed write is logged at debug level
    /// only, because the usual cause is a client that stopped reading.
    pub(crate) fn respond(&self, lifecycle: &Lifecycle, response: ClientResponse<'_>) -> bool {
        let mut outgoing = lock(&self.outgoing);
        // No further request is accepted on this connection while the limiter drains.
        let close = response.close || lifecycle.is_draining() || self.is_in(SessionState::Closed);
        let is_complete = ClientResponse { close, ..response }.write(&mut outgoing);
        let is_written = is_complete && outgoing.drain(&mut &*self.stream).is_ok();
        if !is_written {
            tracing::debug!("a response could not be written");
        }
        is_written && !close
    }

    pub(crate) fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Closes the session if it is idle. Returns whether it was idle.
    pub(crate) fn close_if_idle(&self) -> bool {
        let was_idle = self.transition(SessionState::Idle, SessionState::Closed);
        if was_idle {
            self.connection.shut_down_if_idle();
        }
        was_idle
    }
}

impl AsRef<ClientConnection> for ClientSession {
    fn as_ref(&self) -> &ClientConnection {
        &self.connection
    }
}
