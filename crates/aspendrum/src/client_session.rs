//! One connection of a client, and the responses that go out on it.

use crate::http::OwnResponse;
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
    /// It waits for a request.
    Idle,
    /// It has a request in progress.
    Busy,
    /// It ends: whatever is answered now is the last response.
    Closed,
}

/// One client connection.
///
/// A session is closed by others only while it is idle, and only its receiving side is shut down then: a request that had
/// arrived by then is still read, and gets the session's last response.
pub(crate) struct ClientSession {
    pub(crate) stream: Arc<TcpStream>,
    /// The request in progress, and whether its client is still connected.
    pub(crate) connection: ClientConnection,
    state: AtomicU8,
    /// When the connection was accepted, by [`Lifecycle::uptime_ms`].
    opened_ms: u64,
    /// When something was last read or answered.
    last_used_ms: AtomicU64,
    /// Whether a well-formed request has come. Until then the client may be anybody: floods of silent connections must not
    /// displace those of the usual clients.
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

    /// The socket by itself, if nobody else holds it.
    pub(crate) fn into_stream(self) -> Option<TcpStream> {
        drop(self.connection);
        Arc::into_inner(self.stream)
    }

    pub(crate) fn is_in(&self, state: SessionState) -> bool {
        self.state.load(Ordering::Acquire) == state as u8
    }

    /// Changes the state, unless it is another one than `from`. Returns whether it was changed.
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

    /// Ends the request; the session goes on if it `stays_open`.
    pub(crate) fn finish_request(&self, now_ms: u64, stays_open: bool) {
        self.record_use(now_ms);
        let next = if stays_open {
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

    /// Writes one whole response. Returns whether the session goes on. A client that no longer reads is no fault of the
    /// limiter's.
    pub(crate) fn respond(&self, lifecycle: &Lifecycle, response: OwnResponse<'_>) -> bool {
        let mut outgoing = lock(&self.outgoing);
        // A limiter that drains takes no further request on this connection.
        let close = response.close || lifecycle.is_draining() || self.is_in(SessionState::Closed);
        let is_complete = OwnResponse { close, ..response }.write(&mut outgoing);
        let is_written = is_complete && outgoing.drain(&mut &*self.stream).is_ok();
        if !is_written {
            tracing::debug!("a response could not be written");
        }
        is_written && !close
    }

    pub(crate) fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Closes the session if it is idle. Returns whether it was.
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
