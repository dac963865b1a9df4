//! Detects clients that close their connections while a request of theirs is in progress (RFC 9112, 9.5:
//! implementations ought to monitor open connections for a received closure and respond to it).
//!
//! A thread that serves a request does not read from its client. A single thread therefore checks every
//! [`POLL_INTERVAL`], with one `poll` call, all connections whose requests have been in progress for at least
//! [`MIN_REQUEST_AGE`]. Shorter requests cost no system call. The poll also detects a close behind pipelined bytes of a
//! next request.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{recv, RecvFlags};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The minimum age of a request before its client is checked.
pub const MIN_REQUEST_AGE: Duration = Duration::from_millis(100);
/// The interval between checks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A check that is late by more than this indicates that the process was suspended. Clients may have disconnected in
/// the meantime, including clients whose requests have not been read yet.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(150);
/// The period after a late check during which each client is checked before its request is forwarded.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(2000);
/// The value of an atomic that holds no request number or no time. Request numbers and times are never 0.
const NONE: u64 = 0;

/// A client connection and the request that is in progress on it.
pub struct ClientConnection {
    stream: Arc<TcpStream>,
    /// The number of the request in progress, or [`NONE`].
    request: AtomicU64,
    /// When the request was read, by the clock of the watcher.
    read_at: AtomicU64,
    /// When the disconnect was detected, by the clock of the watcher, or [`NONE`].
    disconnected_at: AtomicU64,
    /// Whether this process has shut down the receiving side, which `poll` reports in the same way as a close by the
    /// client.
    is_closed_here: AtomicBool,
    is_overdue: AtomicBool,
}

impl ClientConnection {
    /// Creates a connection without a request in progress.
    pub fn new(stream: Arc<TcpStream>) -> ClientConnection {
        ClientConnection {
            stream,
            request: AtomicU64::new(NONE),
            read_at: AtomicU64::new(NONE),
            disconnected_at: AtomicU64::new(NONE),
            is_closed_here: AtomicBool::new(false),
            is_overdue: AtomicBool::new(false),
        }
    }

    /// Begins a request with the given number, which must not be 0. Returns false if the client is known to have
    /// disconnected, in which case the request must not be forwarded.
    pub fn begin_request(&self, request: u64, watcher: &DisconnectWatcher) -> bool {
        self.read_at.store(watcher.clock(), Ordering::Relaxed);
        self.request.store(request, Ordering::SeqCst);
        if watcher.is_catching_up() && self.has_hung_up() {
            self.mark_disconnected(watcher);
        }
        !self.has_disconnected()
    }

    /// Ends the request in progress, which has been answered or needs no response.
    pub fn end_request(&self) {
        self.request.store(NONE, Ordering::SeqCst);
    }

    /// Returns the number of the request in progress.
    pub fn request(&self) -> Option<u64> {
        Some(self.request.load(Ordering::SeqCst)).filter(|request| *request != NONE)
    }

    /// Whether a disconnect of the client was detected.
    pub fn has_disconnected(&self) -> bool {
        self.disconnected_at.load(Ordering::SeqCst) != NONE
    }

    /// Returns the time since the disconnect was detected, if there was one.
    pub fn time_since_disconnect(&self, watcher: &DisconnectWatcher) -> Option<Duration> {
        let at = self.disconnected_at.load(Ordering::SeqCst);
        (at != NONE).then(|| Duration::from_millis(watcher.clock().saturating_sub(at)))
    }

    /// Marks the connection as having a request that is overdue after the disconnect. Returns true only the first time.
    pub fn mark_overdue(&self) -> bool {
        !self.is_overdue.swap(true, Ordering::Relaxed)
    }

    /// Shuts down the receiving side of a connection between requests, unless bytes have already arrived. The sending
    /// side stays open, so that a request in flight is still answered.
    pub fn shut_down_if_idle(&self) {
        if self.is_closed_here.load(Ordering::Relaxed) || self.has_received_bytes() {
            return;
        }
        self.is_closed_here.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Records the time of the disconnect. Returns true only the first time.
    fn mark_disconnected(&self, watcher: &DisconnectWatcher) -> bool {
        let now = watcher.clock();
        self.disconnected_at
            .compare_exchange(NONE, now, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn has_received_bytes(&self) -> bool {
        let received = recv(
            &*self.stream,
            &mut [0_u8],
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        received.is_ok_and(|(size, _)| size > 0)
    }

    fn has_hung_up(&self) -> bool {
        !self.is_closed_here.load(Ordering::SeqCst) && has_hung_up(&self.stream)
    }

    /// Whether the request in progress is old enough to be checked, and the connection is still open.
    fn needs_check(&self, now: u64) -> bool {
        let read_at = self.read_at.load(Ordering::Relaxed);
        self.request().is_some()
            && !self.has_disconnected()
            && !self.is_closed_here.load(Ordering::SeqCst)
            && now.saturating_sub(read_at) >= MIN_REQUEST_AGE.as_millis() as u64
    }
}

/// Periodically polls client connections for disconnects, and detects suspensions of the process.
pub struct DisconnectWatcher {
    started_at: Instant,
    /// The time of the last check.
    polled_at: AtomicU64,
    catching_up_until: AtomicU64,
    last_poll_was_late: AtomicBool,
}

impl Default for DisconnectWatcher {
    fn default() -> DisconnectWatcher {
        let watcher = DisconnectWatcher {
            started_at: Instant::now(),
            polled_at: AtomicU64::new(0),
            catching_up_until: AtomicU64::new(0),
            last_poll_was_late: AtomicBool::new(false),
        };
        watcher.polled_at.store(watcher.clock(), Ordering::Relaxed);
        watcher
    }
}

impl DisconnectWatcher {
    /// Returns the milliseconds since the start of the watcher, which is never [`NONE`].
    fn clock(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    /// Whether the next check is due.
    pub fn is_due(&self) -> bool {
        self.time_since_poll() >= POLL_INTERVAL
    }

    fn time_since_poll(&self) -> Duration {
        Duration::from_millis(
            self.clock()
                .saturating_sub(self.polled_at.load(Ordering::Relaxed)),
        )
    }

    /// Whether the process was suspended before the last check, so that no thread could react in time.
    pub fn was_suspended(&self) -> bool {
        self.last_poll_was_late.load(Ordering::Relaxed)
    }

    fn is_poll_late(&self) -> bool {
        self.time_since_poll() > POLL_INTERVAL + SUSPENSION_THRESHOLD
    }

    /// Whether the process was suspended within the last [`CATCH_UP_PERIOD`].
    fn is_catching_up(&self) -> bool {
        self.detect_suspension();
        self.clock() < self.catching_up_until.load(Ordering::Relaxed)
    }

    fn detect_suspension(&self) {
        if self.is_poll_late() {
            let until = self.clock() + CATCH_UP_PERIOD.as_millis() as u64;
            self.catching_up_until.store(until, Ordering::Relaxed);
        }
    }

    /// Checks the connections. Returns those whose disconnect was detected by this call.
    pub fn poll_disconnects<C: AsRef<ClientConnection>>(
        &self,
        connections: &[Arc<C>],
    ) -> Vec<Arc<C>> {
        self.last_poll_was_late
            .store(self.is_poll_late(), Ordering::Relaxed);
        self.detect_suspension();
        let now = self.clock();
        self.polled_at.store(now, Ordering::Relaxed);
        let checked: Vec<&Arc<C>> = connections
            .iter()
            .filter(|c| (***c).as_ref().needs_check(now))
            .collect();
        let streams: Vec<&TcpStream> = checked.iter().map(|c| &*(***c).as_ref().stream).collect();
        let hung_up = poll_hung_up(&streams)
            .into_iter()
            .zip(checked)
            .filter(|(hung_up, _)| *hung_up);
        let disconnected = hung_up.filter(|(_, c)| (***c).as_ref().mark_disconnected(self));
        disconnected.map(|(_, c)| c.clone()).collect()
    }
}

/// Whether the peer has closed the connection or its sending side, or has reset the connection.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    poll_hung_up(&[stream]) == [true]
}

/// Returns for each stream whether its peer has closed it or its sending side, or has reset it.
fn poll_hung_up(streams: &[&TcpStream]) -> Vec<bool> {
    if streams.is_empty() {
        return Vec::new();
    }
    let mut polled: Vec<PollFd<'_>> = streams
        .iter()
        .map(|s| PollFd::new(s, PollFlags::RDHUP))
        .collect();
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // If the poll fails, no client is reported as disconnected; the next poll follows soon.
    let _ = poll(&mut polled, Some(&no_wait));
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled
        .iter()
        .map(|fd| fd.revents().intersects(hang_up))
        .collect()
}
