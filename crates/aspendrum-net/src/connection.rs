//! One connection to a server, for one exchange at a time.

use crate::descriptor_permit::DescriptorPermit;
use crate::http1::Parsed;
use crate::ring_buffer::{is_timeout, RingBuffer};
use aspendrum_core::api::Outcome;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The buffers and time-outs of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionOptions {
    /// The initial size of each of its two buffers.
    pub initial_buffer_bytes: usize,
    /// The largest size of each of its two buffers.
    pub max_buffer_bytes: usize,
    /// No time-out of a socket is shorter: the system does not accept one of 0.
    pub min_timeout: Duration,
    /// How long one write may take.
    pub write_timeout: Duration,
    /// How long one read waits before the deadline is checked again.
    pub read_timeout: Duration,
    /// A connection that is idle for so long is closed, unless its server named another time.
    pub idle_timeout: Duration,
}

/// A connection to a server.
pub struct Connection {
    /// Its socket, which another thread may shut down in order to end an exchange.
    pub stream: Arc<TcpStream>,
    incoming: RingBuffer,
    /// The bytes that [`Connection::send`] writes.
    pub outgoing: RingBuffer,
    pub(crate) idle_since: Instant,
    idle_time: Duration,
    /// How long it may stay idle.
    pub idle_timeout: Duration,
    /// The server's address.
    pub address: SocketAddr,
    /// The time-out of reads as last set: setting it again for each exchange would cost a system call.
    read_timeout: Duration,
    _permit: DescriptorPermit,
}

impl Connection {
    /// Connects. `before_connect` receives the socket first, so that another thread can end the attempt by shutting it
    /// down, and decides whether to go on.
    pub(crate) fn open(
        address: SocketAddr,
        timeout: Duration,
        options: &ConnectionOptions,
        permit: DescriptorPermit,
        before_connect: impl FnOnce(&Arc<TcpStream>) -> bool,
    ) -> io::Result<Connection> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        let stream = Arc::new(TcpStream::from(socket));
        if !before_connect(&stream) {
            return Err(ErrorKind::Interrupted.into());
        }
        SockRef::from(&*stream)
            .connect_timeout(&address.into(), timeout.max(options.min_timeout))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(options.write_timeout))?;
        let buffer = || RingBuffer::new(options.initial_buffer_bytes, options.max_buffer_bytes);
        Ok(Connection {
            stream,
            incoming: buffer(),
            outgoing: buffer(),
            idle_since: Instant::now(),
            idle_time: Duration::ZERO,
            idle_timeout: options.idle_timeout,
            address,
            read_timeout: Duration::ZERO,
            _permit: permit,
        })
    }

    /// Connects; the connection belongs to no pool and is not counted by any.
    ///
    /// # Errors
    /// The error of the connection attempt.
    pub fn open_unpooled(
        address: SocketAddr,
        timeout: Duration,
        options: &ConnectionOptions,
    ) -> io::Result<Connection> {
        Connection::open(
            address,
            timeout,
            options,
            DescriptorPermit::uncounted(),
            |_| true,
        )
    }

    /// How long it had been idle when it was taken from the pool; 0 for a new one.
    pub fn idle_time(&self) -> Duration {
        self.idle_time
    }

    /// Whether no byte of a response has arrived.
    pub fn nothing_received(&self) -> bool {
        self.incoming.is_empty()
    }

    /// Whether an idle connection may be used again. Bytes that have arrived on it would belong to no request; if it
    /// has been closed, it would be unknown whether a request written now runs.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let is_silent = self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
        is_silent && self.stream.set_nonblocking(false).is_ok() && self.incoming.is_empty()
    }

    /// Whether it has not been idle for too long.
    pub(crate) fn is_fresh(&self) -> bool {
        self.idle_since.elapsed() < self.idle_timeout
    }

    /// Records how long it has been idle, when it is taken from the pool.
    pub(crate) fn end_idle(&mut self) {
        self.idle_time = self.idle_since.elapsed();
    }

    /// Writes the content of [`Connection::outgoing`].
    ///
    /// # Errors
    /// [`Outcome::ConnectFailed`]: the last byte was not written, so that the request cannot run.
    pub fn send(&mut self) -> Result<(), Outcome> {
        self.outgoing
            .drain(&mut &*self.stream)
            .map_err(|_| Outcome::ConnectFailed)
    }

    /// Reads one whole response, as `parse` finds it in the buffer.
    ///
    /// # Errors
    /// The outcome of the exchange: `TimedOut` at the deadline, `Reset` where the connection ended, `Error` where what
    /// arrived is no response.
    pub fn receive<T>(
        &mut self,
        deadline: Instant,
        options: &ConnectionOptions,
        mut parse: impl FnMut(&mut RingBuffer) -> Parsed<T>,
    ) -> Result<T, Outcome> {
        let mut stream = &*self.stream;
        loop {
            match parse(&mut self.incoming) {
                Parsed::Complete(response) => return Ok(response),
                Parsed::Invalid(_) => return Err(Outcome::Error),
                Parsed::Incomplete => {}
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(Outcome::TimedOut);
            }
            let timeout = remaining.clamp(options.min_timeout, options.read_timeout);
            let limited = if timeout == self.read_timeout {
                Ok(())
            } else {
                stream.set_read_timeout(Some(timeout))
            };
            self.read_timeout = timeout;
            match limited.and_then(|()| self.incoming.fill(&mut stream)) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(_) => {}
                Err(e) if is_timeout(&e) || e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }
}

/// Closes the sending side, and discards what still arrives, up to that time and number of bytes. A close with unread
/// bytes would reset the connection, and the peer might never read the response just written (RFC 9112, 9.6).
pub fn lingering_close(mut stream: &TcpStream, timeout: Duration, max_bytes: usize) {
    let deadline = Instant::now() + timeout;
    let mut discarded = [0; 1024];
    let mut remaining = max_bytes;
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(timeout));
    while let Ok(read) = stream.read(&mut discarded) {
        if read == 0 || read >= remaining || Instant::now() >= deadline {
            return;
        }
        remaining -= read;
    }
}
