//! Hears of clients that close their connections while a request of theirs is in hand (RFC 9112, 9.5: implementations
//! ought to monitor open connections for a received closure and respond to it).
//!
//! A thread that serves a request reads nothing of its client meanwhile. So one thread looks, each [`LOOK_EVERY`], with
//! one poll for hang-ups, after all connections whose requests have been in hand for [`WAITED`] or longer: a request that
//! ends sooner costs no system call. The poll tells a close also behind bytes of a next request that were sent ahead.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{recv, RecvFlags};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests that have been in hand for less are not looked after.
pub const WAITED: Duration = Duration::from_millis(100);
/// Between two looks.
pub const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A look that comes so much later than it should shows that this process had no turn: closes may have come meanwhile,
/// and requests that are read now may have been left long ago.
const LATE: Duration = Duration::from_millis(150);
/// After a late look each client is asked after before its request is sent on, for so long.
const CATCH_UP: Duration = Duration::from_millis(2000);
/// No request is in hand, or no moment is known.
const NONE: u64 = 0;

/// One connection of a client, and the request on it that is in hand.
pub struct ClientConnection {
    stream: Arc<TcpStream>,
    /// The number of the request in hand, and when it was read by the watch's clock.
    request: AtomicU64,
    since: AtomicU64,
    /// When the client's close was heard, by the watch's clock.
    left_at: AtomicU64,
    /// The side that is read was shut here: the system shows that as it shows a client's close.
    ended_here: AtomicBool,
    overdue: AtomicBool,
}

impl ClientConnection {
    pub fn new(stream: Arc<TcpStream>) -> ClientConnection {
        let [request, since, left_at] = [NONE; 3].map(AtomicU64::new);
        let [ended_here, overdue] = [false; 2].map(AtomicBool::new);
        ClientConnection {
            stream,
            request,
            since,
            left_at,
            ended_here,
            overdue,
        }
    }

    /// A request is in hand, under a number that is not 0. False: its client has left, and nothing may be sent on for it.
    pub fn begin(&self, request: u64, watch: &DisconnectWatcher) -> bool {
        self.since.store(watch.clock(), Ordering::Relaxed);
        self.request.store(request, Ordering::SeqCst);
        if watch.is_behind() && self.has_hung_up() {
            self.leave(watch);
        }
        !self.has_disconnected()
    }

    /// The request in hand has its answer, or needs none.
    pub fn end(&self) {
        self.request.store(NONE, Ordering::SeqCst);
    }

    /// The request in hand.
    pub fn request(&self) -> Option<u64> {
        Some(self.request.load(Ordering::SeqCst)).filter(|request| *request != NONE)
    }

    /// The client has closed its connection, or its sending side.
    pub fn has_disconnected(&self) -> bool {
        self.left_at.load(Ordering::SeqCst) != NONE
    }

    /// How long ago the client's close was heard.
    pub fn time_since_disconnect(&self, watch: &DisconnectWatcher) -> Option<Duration> {
        let at = self.left_at.load(Ordering::SeqCst);
        (at != NONE).then(|| Duration::from_millis(watch.clock().saturating_sub(at)))
    }

    /// The request in hand has outlasted its client's departure. True once.
    pub fn becomes_overdue(&self) -> bool {
        !self.overdue.swap(true, Ordering::Relaxed)
    }

    /// Ends a connection between requests: only the side that is read, and only where nothing has come, so that a
    /// request which is on its way in is still answered.
    pub fn end_idle(&self) {
        if self.ended_here.load(Ordering::Relaxed) || self.has_bytes() {
            return;
        }
        self.ended_here.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Read);
    }

    fn leave(&self, watch: &DisconnectWatcher) -> bool {
        self.left_at
            .compare_exchange(NONE, watch.clock(), Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn has_bytes(&self) -> bool {
        let looked = recv(
            &*self.stream,
            &mut [0_u8],
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        looked.is_ok_and(|(size, _)| size > 0)
    }

    fn has_hung_up(&self) -> bool {
        !self.ended_here.load(Ordering::SeqCst) && has_hung_up(&self.stream)
    }

    fn waits(&self, now: u64) -> bool {
        let since = self.since.load(Ordering::Relaxed);
        self.request().is_some()
            && !self.has_disconnected()
            && !self.ended_here.load(Ordering::SeqCst)
            && now.saturating_sub(since) >= WAITED.as_millis() as u64
    }
}

/// The clock and the looks of one process.
pub struct DisconnectWatcher {
    begun: Instant,
    looked_at: AtomicU64,
    behind_until: AtomicU64,
    /// The last look came late.
    late: AtomicBool,
}

impl Default for DisconnectWatcher {
    fn default() -> DisconnectWatcher {
        let [looked_at, behind_until] = [0; 2].map(AtomicU64::new);
        let watch = DisconnectWatcher {
            begun: Instant::now(),
            looked_at,
            behind_until,
            late: AtomicBool::new(false),
        };
        watch.looked_at.store(watch.clock(), Ordering::Relaxed);
        watch
    }
}

impl DisconnectWatcher {
    /// Milliseconds, never [`NONE`].
    fn clock(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1
    }

    /// A look is due.
    pub fn is_due(&self) -> bool {
        self.since_look() >= LOOK_EVERY
    }

    fn since_look(&self) -> Duration {
        Duration::from_millis(
            self.clock()
                .saturating_sub(self.looked_at.load(Ordering::Relaxed)),
        )
    }

    /// The last look came so late that this process had no turn for a while: nobody has had the time to do what was due.
    pub fn is_late(&self) -> bool {
        self.late.load(Ordering::Relaxed)
    }

    /// This process had no turn for a while, and catches up.
    fn is_behind(&self) -> bool {
        if self.since_look() > LOOK_EVERY + LATE {
            self.behind_until.store(
                self.clock() + CATCH_UP.as_millis() as u64,
                Ordering::Relaxed,
            );
        }
        self.clock() < self.behind_until.load(Ordering::Relaxed)
    }

    /// Looks after connections: those whose clients are found to have left, each once.
    pub fn poll_disconnects<C: AsRef<ClientConnection>>(
        &self,
        connections: &[Arc<C>],
    ) -> Vec<Arc<C>> {
        self.late
            .store(self.since_look() > LOOK_EVERY + LATE, Ordering::Relaxed);
        self.is_behind();
        let now = self.clock();
        self.looked_at.store(now, Ordering::Relaxed);
        let waiting: Vec<&Arc<C>> = connections
            .iter()
            .filter(|c| (***c).as_ref().waits(now))
            .collect();
        let streams: Vec<&TcpStream> = waiting.iter().map(|c| &*(***c).as_ref().stream).collect();
        let gone = hung_up(&streams)
            .into_iter()
            .zip(waiting)
            .filter(|(gone, _)| *gone);
        gone.filter(|(_, c)| (***c).as_ref().leave(self))
            .map(|(_, c)| c.clone())
            .collect()
    }
}

/// Whether the other side has closed the connection, or its sending side, or reset it.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    hung_up(&[stream]) == [true]
}

/// Whether the other side of each has closed it, or its sending side, or reset it.
fn hung_up(streams: &[&TcpStream]) -> Vec<bool> {
    if streams.is_empty() {
        return Vec::new();
    }
    let mut asked: Vec<PollFd<'_>> = streams
        .iter()
        .map(|s| PollFd::new(s, PollFlags::RDHUP))
        .collect();
    let at_once = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // A look that fails finds nobody; the next one is soon.
    let _ = poll(&mut asked, Some(&at_once));
    asked
        .iter()
        .map(|fd| {
            fd.revents()
                .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
        })
        .collect()
}
