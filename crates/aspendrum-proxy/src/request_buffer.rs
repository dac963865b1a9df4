//! Receives the requests of a client connection, within the memory budget of the process.

use crate::listener::{refuse, reject, Step};
use crate::session::ClientSession;
use crate::wire::RequestHead;
use aspendrum_model::config::{Config, RequestLimits};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::http1::{MessageLimits, MessageReader, MessageSource, Parsed, Request};
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::ring_buffer::{is_timeout, RingBuffer};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The initial size of a connection's buffer. The maximum size of a request is configured.
const INITIAL_BUFFER_BYTES: usize = 2 << 10;
/// The buffer space in addition to the largest head.
const SPARE_BUFFER_BYTES: usize = 1024;
/// The minimum of the configured timeouts, in milliseconds: a socket timeout of zero is invalid.
const MIN_TIMEOUT_MS: f64 = 1.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
/// The maximum time that a request waits for memory. Clients abandon a request that is not read for this long, or for
/// a third of their time budget.
const MAX_MEMORY_WAIT_MS: f64 = 1000.0;
const MEMORY_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// The data received on a connection but not yet handled.
pub(crate) struct RequestBuffer {
    buffer: RingBuffer,
    reader: MessageReader<Request>,
    read_timeout: Duration,
    /// The time since which the connection has been waiting for its next request; `None` if it is not waiting.
    idle_since: Option<Instant>,
    /// The time by which the body that is being received must be complete; `None` if no body is being received.
    body_deadline: Option<Instant>,
}

impl RequestBuffer {
    /// Creates an empty buffer that takes its memory from `budget`.
    pub(crate) fn new(budget: &MemoryBudget) -> RequestBuffer {
        let limits = MessageLimits {
            head_bytes: 0,
            body_bytes: 0,
        };
        RequestBuffer {
            buffer: RingBuffer::new(INITIAL_BUFFER_BYTES, INITIAL_BUFFER_BYTES).with_budget(budget),
            reader: MessageReader::new(limits, budget),
            read_timeout: Duration::ZERO,
            idle_since: None,
            body_deadline: None,
        }
    }

    /// Removes the next request if it has been received completely. The limits may have changed since the last one.
    pub(crate) fn parse(&mut self, limits: &RequestLimits) -> Parsed<Request> {
        let head_bytes = limits.header_bytes as usize;
        self.buffer
            .set_max_bytes(head_bytes.saturating_add(SPARE_BUFFER_BYTES));
        self.reader.set_limits(MessageLimits {
            head_bytes,
            body_bytes: limits.body_bytes as usize,
        });
        let parsed = self.reader.parse(&mut self.buffer);
        if !matches!(parsed, Parsed::Incomplete) {
            self.body_deadline = None;
        }
        parsed
    }

    /// Whether no part of a request has been received.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.is_empty() && self.reader.partial_message().is_none()
    }

    /// Reads once. A request that has begun to arrive is awaited even if the proxy is draining.
    pub(crate) fn receive(&mut self, session: &ClientSession, config: &Config) -> Step {
        let (stream, limits) = (&*session.stream, &config.limits);
        let is_idle = self.is_empty();
        session.set_busy(!is_idle);
        if self.is_body_late(config) {
            return reject(stream, 408);
        }
        let timeout_ms = if is_idle {
            let remaining_ms = self.remaining_idle_ms(limits);
            if remaining_ms <= 0.0 {
                return Step::Close;
            }
            remaining_ms
        } else {
            limits.header_timeout_ms
        };
        self.set_read_timeout(stream, timeout_ms);
        match self.reader.fill(&mut self.buffer, &mut &*stream) {
            Ok(0) => Step::Close,
            Ok(_) => {
                self.idle_since = None;
                Step::Continue
            }
            // The idle timeout is evaluated again, since a new configuration may allow a longer one.
            Err(e) if is_timeout(&e) && is_idle => Step::Continue,
            Err(e) if is_timeout(&e) => reject(stream, 408),
            Err(e) if e.kind() == ErrorKind::Interrupted => Step::Continue,
            Err(e) if e.kind() == ErrorKind::QuotaExceeded => self.await_memory(stream, limits),
            Err(_) => Step::Close,
        }
    }

    /// Whether the client has stopped waiting for a request whose body is still arriving, or holds it for longer than
    /// any route allows.
    fn is_body_late(&mut self, config: &Config) -> bool {
        let Some(request) = self.reader.partial_message() else {
            return false;
        };
        let now = Instant::now();
        let deadline = self.body_deadline.get_or_insert_with(|| {
            let route_timeouts = config.routes.iter().map(|route| route.timeout_ms);
            let longest_ms = route_timeouts.fold(MIN_TIMEOUT_MS, f64::max);
            now + duration_from_millis(budget_ms(request).unwrap_or(longest_ms).min(longest_ms))
        });
        now >= *deadline
    }

    /// Waits for memory for the request that is being received, and refuses it if there is none in time.
    fn await_memory(&mut self, stream: &TcpStream, limits: &RequestLimits) -> Step {
        let budget_ms = self.reader.partial_message().and_then(budget_ms);
        let wait_ms = budget_ms.map_or(MAX_MEMORY_WAIT_MS, |ms| {
            (ms * MEMORY_WAIT_FRACTION).min(MAX_MEMORY_WAIT_MS)
        });
        let deadline = Instant::now() + duration_from_millis(wait_ms);
        if self.reader.await_memory(deadline) {
            return Step::Continue;
        }
        let head = self.reader.partial_message().and_then(RequestHead::parse);
        let remaining = self.reader.remaining_bytes();
        let max_bytes = remaining.unwrap_or(limits.body_bytes as usize);
        refuse(stream, head.map_or("", |head| head.try_id), max_bytes)
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

/// Returns the time that the client waits, in milliseconds, if the request says so.
fn budget_ms(request: &Request) -> Option<f64> {
    RequestHead::parse(request)?.budget
}
