//! Detects clients that close their connections while a request of theirs is in progress (RFC 9112, 9.5:
//! implementations ought to monitor open connections for a received closure and respond to it).
//!
//! A thread that serves a request reads nothing from its client meanwhile. So one thread checks, each [`POLL_INTERVAL`]
//! and with one `poll`, all connections whose requests have been in progress for [`MIN_REQUEST_AGE`] or longer: a
//! request that ends sooner costs no system call. The poll also reports a close behind bytes of a next request that
//! were sent ahead.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{recv, RecvFlags};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests that have been in progress for less than this are not checked.
pub const MIN_REQUEST_AGE: Duration = Duration::from_millis(100);
/// The time between two checks.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A check that is late by more than this shows that this process was suspended: clients may have disconnected
/// meanwhile, among them clients whose requests are only read now.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(150);
/// How long after a late check each client is checked before its request is forwarded.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(2000);
/// The value of an atomic while there is no request or no time in it. Request numbers and times are never 0.
const NONE: u64 = 0;

/// One connection of a client, and the request on it that is in progress.
pub struct ClientConnection {
    stream: Arc<TcpStream>,
    /// The number of the request in progress, or [`NONE`].
    request: AtomicU64,
    /// When it was read, by the watcher's clock.
    read_at: AtomicU64,
    /// When the client's close was detected, by the watcher's clock, or [`NONE`].
    disconnected_at: AtomicU64,
    /// Whether this process has shut down the receiving side itself: `poll` reports that like a client's close.
    is_closed_here: AtomicBool,
    is_overdue: AtomicBool,
}

impl ClientConnection {
    /// A connection without a request.
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

    /// Begins a request, under a number that is not 0. Returns false if its client is known to have disconnected:
    /// nothing may be forwarded for it.
    pub fn begin_request(&self, request: u64, watcher: &DisconnectWatcher) -> bool {
        self.read_at.store(watcher.clock(), Ordering::Relaxed);
        self.request.store(request, Ordering::SeqCst);
        if watcher.is_catching_up() && self.has_hung_up() {
            self.mark_disconnected(watcher);
        }
        !self.has_disconnected()
    }

    /// Ends the request in progress: it has its response, or needs none.
    pub fn end_request(&self) {
        self.request.store(NONE, Ordering::SeqCst);
    }

    /// The number of the request in progress.
    pub fn request(&self) -> Option<u64> {
        Some(self.request.load(Ordering::SeqCst)).filter(|request| *request != NONE)
    }

    /// Whether the client has closed its connection, or its sending side.
    pub fn has_disconnected(&self) -> bool {
        self.disconnected_at.load(Ordering::SeqCst) != NONE
    }

    /// How long ago the client's close was detected.
    pub fn time_since_disconnect(&self, watcher: &DisconnectWatcher) -> Option<Duration> {
        let at = self.disconnected_at.load(Ordering::SeqCst);
        (at != NONE).then(|| Duration::from_millis(watcher.clock().saturating_sub(at)))
    }

    /// Marks the request as still in progress long after its client disconnected. Returns true the first time.
    pub fn mark_overdue(&self) -> bool {
        !self.is_overdue.swap(true, Ordering::Relaxed)
    }

    /// Ends a connection between requests: shuts down the receiving side alone, and only if nothing has arrived, so
    /// that a request that is on its way is still answered.
    pub fn shut_down_if_idle(&self) {
        if self.is_closed_here.load(Ordering::Relaxed) || self.has_received_bytes() {
            return;
        }
        self.is_closed_here.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    /// Returns true the first time.
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

    /// Whether its request has been in progress for long enough to be checked.
    fn needs_check(&self, now: u64) -> bool {
        let read_at = self.read_at.load(Ordering::Relaxed);
        self.request().is_some()
            && !self.has_disconnected()
            && !self.is_closed_here.load(Ordering::SeqCst)
            && now.saturating_sub(read_at) >= MIN_REQUEST_AGE.as_millis() as u64
    }
}

/// The clock and the checks of one process.
pub struct DisconnectWatcher {
    started_at: Instant,
    /// The last check, by this clock.
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
    /// Milliseconds since the start; never [`NONE`].
    fn clock(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + 1
    }

    /// Whether it is time for the next check.
    pub fn is_due(&self) -> bool {
        self.time_since_poll() >= POLL_INTERVAL
    }

    fn time_since_poll(&self) -> Duration {
        Duration::from_millis(
            self.clock()
                .saturating_sub(self.polled_at.load(Ordering::Relaxed)),
        )
    }

    /// Whether this process was suspended before the last check, so that no thread could react in time.
    pub fn was_suspended(&self) -> bool {
        self.last_poll_was_late.load(Ordering::Relaxed)
    }

    fn is_poll_late(&self) -> bool {
        self.time_since_poll() > POLL_INTERVAL + SUSPENSION_THRESHOLD
    }

    /// Whether this process was suspended a short while ago.
    fn is_catching_up(&self) -> bool {
        self.note_suspension();
        self.clock() < self.catching_up_until.load(Ordering::Relaxed)
    }

    fn note_suspension(&self) {
        if self.is_poll_late() {
            let until = self.clock() + CATCH_UP_PERIOD.as_millis() as u64;
            self.catching_up_until.store(until, Ordering::Relaxed);
        }
    }

    /// Checks the connections. Returns those whose clients are now found to have disconnected, each once.
    pub fn poll_disconnects<C: AsRef<ClientConnection>>(
        &self,
        connections: &[Arc<C>],
    ) -> Vec<Arc<C>> {
        self.last_poll_was_late
            .store(self.is_poll_late(), Ordering::Relaxed);
        self.note_suspension();
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

/// Whether the peer has closed the connection, or its sending side, or has reset it.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    poll_hung_up(&[stream]) == [true]
}

/// Whether the peer of each has closed it, or its sending side, or has reset it.
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
    // If the poll fails, nobody counts as disconnected; the next poll is soon.
    let _ = poll(&mut polled, Some(&no_wait));
    let hang_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    polled
        .iter()
        .map(|fd| fd.revents().intersects(hang_up))
        .collect()
}
