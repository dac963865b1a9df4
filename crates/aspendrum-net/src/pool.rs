//! Connections to servers: opened when none is idle, kept between forwards, the newest used first, closed
//! well before a server would close them, and bounded in number. Nothing is ever sent twice from here.

use crate::http1::Parsed;
use crate::ring_buffer::{is_timeout, RingBuffer};
use crate::workers::lock;
use aspendrum_core::api::{Outcome, ServerId};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Sizes, counts and times of connections to servers.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Descriptors that servers may hold.
    pub sockets: usize,
    /// A ring's size at the start, and at the most.
    pub ring: usize,
    pub ring_top: usize,
    /// No wait for a socket is shorter: the system takes none of nothing.
    pub shortest: Duration,
    /// How long one write may take, and how long one read waits before the time is looked at.
    pub write: Duration,
    pub read: Duration,
    /// A connection idle for so long is closed, unless its server named a time.
    pub idle: Duration,
    /// It rests for so long between two calls: whatever comes behind an answer has come by then, and is not
    /// taken for the next one's.
    pub rest: Duration,
}

/// A connection that carries one call at a time.
pub struct Connection {
    pub stream: Arc<TcpStream>,
    inward: RingBuffer,
    pub outward: RingBuffer,
    idle_since: Instant,
    rested: Duration,
    /// How long it may stay idle.
    pub good_for: Duration,
    pub dial: SocketAddr,
    /// The time a read may take, as last set: setting it anew for each forward would cost a system call.
    read_wait: Duration,
    _place: DescriptorPermit,
}

/// One of the descriptors that servers may hold.
struct DescriptorPermit(Arc<AtomicUsize>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connection {
    /// `shown` sees the socket before it is connected, so that whoever waits can be freed by shutting it; it
    /// says whether to go on.
    fn open(
        addr: SocketAddr,
        wait: Duration,
        lines: &PoolLimits,
        place: DescriptorPermit,
        shown: impl FnOnce(&Arc<TcpStream>) -> bool,
    ) -> io::Result<Connection> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        let stream = Arc::new(TcpStream::from(socket));
        if !shown(&stream) {
            return Err(ErrorKind::Interrupted.into());
        }
        SockRef::from(&*stream).connect_timeout(&addr.into(), wait.max(lines.shortest))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(lines.write))?;
        let ring = || RingBuffer::new(lines.ring, lines.ring_top);
        let (inward, outward, idle_since) = (ring(), ring(), Instant::now());
        let (dial, read_wait, good_for) = (addr, Duration::ZERO, lines.idle);
        let rested = Duration::ZERO;
        Ok(Connection {
            stream,
            inward,
            outward,
            idle_since,
            rested,
            good_for,
            dial,
            read_wait,
            _place: place,
        })
    }

    /// A connection outside the pool's count, for discovery.
    pub fn open_unpooled(
        addr: SocketAddr,
        wait: Duration,
        lines: &PoolLimits,
    ) -> io::Result<Connection> {
        Connection::open(
            addr,
            wait,
            lines,
            DescriptorPermit(Arc::new(AtomicUsize::new(1))),
            |_| true,
        )
    }

    /// How long it had rested when it was taken; nothing for a new one.
    pub fn idle_time(&self) -> Duration {
        self.rested
    }

    /// No byte of an answer has come.
    pub fn nothing_received(&self) -> bool {
        self.inward.is_empty()
    }

    /// Nothing may lie on an idle connection: bytes belong to no call, and an end means that whatever is
    /// written now might or might not run.
    fn still_good(&self) -> bool {
        let mut byte = [0];
        let quiet = self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
        quiet && self.stream.set_nonblocking(false).is_ok() && self.inward.is_empty()
    }

    /// Writes what stands in the outward ring. A failure means that the last byte was never written.
    pub fn send(&mut self) -> Result<(), Outcome> {
        self.outward
            .drain(&mut &*self.stream)
            .map_err(|_| Outcome::ConnectFailed)
    }

    /// Reads one whole answer, as the codec finds it.
    pub fn receive<T>(
        &mut self,
        until: Instant,
        lines: &PoolLimits,
        mut codec: impl FnMut(&mut RingBuffer) -> Parsed<T>,
    ) -> Result<T, Outcome> {
        let mut from = &*self.stream;
        loop {
            match codec(&mut self.inward) {
                Parsed::Complete(answer) => return Ok(answer),
                Parsed::Invalid(_) => return Err(Outcome::Error),
                Parsed::Incomplete => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Outcome::TimedOut);
            }
            // Short of the end it is looked at again each time that the usual wait is over.
            let wait = left.clamp(lines.shortest, lines.read);
            let limited = if wait == self.read_wait {
                Ok(())
            } else {
                from.set_read_timeout(Some(wait))
            };
            self.read_wait = wait;
            match limited.and_then(|()| self.inward.fill(&mut from)) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }
}

#[derive(Default)]
struct IdleConnections {
    dial: Option<SocketAddr>,
    idle: Vec<Connection>,
}

pub struct Pool {
    shelves: Mutex<HashMap<ServerId, IdleConnections>>,
    open: Arc<AtomicUsize>,
    lines: PoolLimits,
}

impl Pool {
    pub fn new(lines: PoolLimits) -> Pool {
        Pool {
            shelves: Mutex::default(),
            open: Arc::default(),
            lines,
        }
    }

    pub fn limits(&self) -> &PoolLimits {
        &self.lines
    }

    fn shelves(&self) -> MutexGuard<'_, HashMap<ServerId, IdleConnections>> {
        lock(&self.shelves)
    }

    /// What discovery says of a server's address. One that moved keeps no connection to its old place.
    pub fn set_address(&self, server: ServerId, dial: SocketAddr) {
        let mut shelves = self.shelves();
        let shelf = shelves.entry(server).or_default();
        if shelf.dial != Some(dial) {
            *shelf = IdleConnections {
                dial: Some(dial),
                idle: Vec::new(),
            };
        }
    }

    /// Closes what is idle to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(shelf) = self.shelves().get_mut(&server) {
            shelf.idle.clear();
        }
    }

    /// Forgets a server that is gone.
    pub fn forget(&self, server: ServerId) {
        self.shelves().remove(&server);
    }

    /// Forgets all but these.
    pub fn retain(&self, named: &HashSet<ServerId>) {
        self.shelves().retain(|server, _| named.contains(server));
    }

    /// An idle connection that has rested, at `most` so long, or a new one; `shown` sees its socket first. Without
    /// one nothing ran. `ConnectFailed`: the server cannot be reached. `Moot`: that is not the server's doing.
    pub fn acquire(
        &self,
        server: ServerId,
        wait: Duration,
        most: Duration,
        shown: impl FnOnce(&Arc<TcpStream>) -> bool,
    ) -> Result<Connection, Outcome> {
        loop {
            let (dial, conn) = {
                let mut shelves = self.shelves();
                let shelf = shelves.get_mut(&server).ok_or(Outcome::ConnectFailed)?;
                let fits = |rest: Duration| rest >= self.lines.rest && rest <= most;
                let rested = shelf
                    .idle
                    .iter()
                    .rposition(|c| fits(c.idle_since.elapsed()));
                (
                    shelf.dial.ok_or(Outcome::ConnectFailed)?,
                    rested.map(|at| shelf.idle.remove(at)),
                )
            };
            match conn {
                Some(mut conn)
                    if conn.idle_since.elapsed() < conn.good_for && conn.still_good() =>
                {
                    conn.rested = conn.idle_since.elapsed();
                    return if shown(&conn.stream) {
                        Ok(conn)
                    } else {
                        Err(Outcome::NotSent)
                    };
                }
                Some(_) => {}
                None => {
                    let place = self.seat().ok_or(Outcome::NotSent)?;
                    let opened = Connection::open(dial, wait, &self.lines, place, shown);
                    return opened.map_err(|_| Outcome::ConnectFailed);
                }
            }
        }
    }

    /// Keeps it for the next forward, unless more has come than the answer.
    pub fn release(&self, server: ServerId, mut conn: Connection) {
        if !conn.inward.is_empty() {
            return;
        }
        conn.idle_since = Instant::now();
        if let Some(shelf) = self.shelves().get_mut(&server) {
            if shelf.dial == Some(conn.dial) {
                shelf.idle.push(conn);
            }
        }
    }

    /// A place among the descriptors; when all are taken, the longest idle connection makes room.
    fn seat(&self) -> Option<DescriptorPermit> {
        if self.open.load(Ordering::Relaxed) >= self.lines.sockets {
            let mut shelves = self.shelves();
            let oldest = shelves.values_mut().filter(|s| !s.idle.is_empty());
            let oldest = oldest.min_by_key(|s| s.idle.first().map(|c| c.idle_since))?;
            drop(oldest.idle.remove(0));
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(DescriptorPermit(self.open.clone()))
    }

    /// Closes what has been idle for long.
    pub fn close_expired(&self) {
        for shelf in self.shelves().values_mut() {
            shelf.idle.retain(|c| c.idle_since.elapsed() < c.good_for);
        }
    }
}

/// Reads over what still comes, for a moment: a close with unread bytes resets the connection, and the
/// answer just written might never be read.
pub fn linger(stream: &TcpStream, wait: Duration, most: usize) {
    let until = Instant::now() + wait;
    let mut space = [0; 1024];
    let mut left = most;
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(wait));
    while let Ok(n) = (&mut &*stream).read(&mut space) {
        if n == 0 || n >= left || Instant::now() >= until {
            return;
        }
        left -= n;
    }
}
