//! A connection to a server, which carries one request-response exchange at a time.

use crate::descriptor_permit::DescriptorPermit;
use crate::http1::{MessageSource, Parsed};
use crate::memory_budget::MemoryBudget;
use crate::ring_buffer::{is_timeout, RingBuffer};
use crate::upload::{await_readiness, Upload};
use aspendrum_core::api::Outcome;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The buffer sizes and timeouts of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionOptions {
    /// The initial size of each of the two buffers.
    pub initial_buffer_bytes: usize,
    /// The maximum size of each of the two buffers.
    pub max_buffer_bytes: usize,
    /// The lower bound of socket timeouts. The operating system does not accept a timeout of 0.
    pub min_timeout: Duration,
    /// The maximum time that a single read blocks before the deadline is checked again.
    pub read_timeout: Duration,
    /// A connection that has been idle for this long is closed, unless its server announced a different timeout.
    pub idle_timeout: Duration,
    /// The memory for the growth of the buffers.
    pub memory: MemoryBudget,
}

/// A connection to a server.
pub struct Connection {
    /// The socket, which another thread may shut down in order to end an exchange.
    pub stream: Arc<TcpStream>,
    incoming: RingBuffer,
    /// The bytes that [`Connection::send`] begins to write.
    pub outgoing: RingBuffer,
    pub(crate) idle_since: Instant,
    idle_time: Duration,
    /// The maximum time that the connection may stay idle.
    pub idle_timeout: Duration,
    /// Whether the last request was sent completely. Otherwise, the server expects the rest of it and would take the next
    /// request for that.
    is_request_sent: bool,
    /// The address of the server.
    pub address: SocketAddr,
    /// The read timeout currently set on the socket, cached to avoid a system call for each exchange.
    read_timeout: Duration,
    _permit: DescriptorPermit,
}

impl Connection {
    /// Opens a connection. `before_connect` receives the socket before the connection attempt, so that another thread
    /// can abort the attempt by shutting the socket down. If it returns false, no attempt is made.
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
        let buffer = || {
            RingBuffer::new(options.initial_buffer_bytes, options.max_buffer_bytes)
                .with_budget(&options.memory)
        };
        Ok(Connection {
            stream,
            incoming: buffer(),
            outgoing: buffer(),
            idle_since: Instant::now(),
            idle_time: Duration::ZERO,
            idle_timeout: options.idle_timeout,
            is_request_sent: true,
            address,
            read_timeout: Duration::ZERO,
            _permit: permit,
        })
    }

    /// Opens a connection that belongs to no pool and is not counted by any.
    ///
    /// # Errors
    /// Returns the error of the connection attempt.
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

    /// Returns how long the connection had been idle when it was taken from the pool; 0 for a new connection.
    pub fn idle_time(&self) -> Duration {
        self.idle_time
    }

    /// Whether the receive buffer is empty.
    pub fn is_receive_buffer_empty(&self) -> bool {
        self.incoming.is_empty()
    }

    /// Whether an idle connection may be reused. It must not be reused if bytes have arrived, since they belong to no
    /// request, or if the server has closed it, since it would be unknown whether a request written to it is executed.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let has_no_input = self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock);
        has_no_input && self.stream.set_nonblocking(false).is_ok() && self.incoming.is_empty()
    }

    /// Whether the last request was sent completely. If the server has answered it before, the connection cannot carry
    /// another request.
    pub fn is_request_sent(&self) -> bool {
        self.is_request_sent
    }

    /// Whether the connection has been idle for less than its idle timeout.
    pub(crate) fn is_fresh(&self) -> bool {
        self.idle_since.elapsed() < self.idle_timeout
    }

    /// Records the idle time when the connection is taken from the pool.
    pub(crate) fn record_idle_time(&mut self) {
        self.idle_time = self.idle_since.elapsed();
    }

    /// Begins to send the contents of [`Connection::outgoing`] and the body of `upload`. What the socket does not accept at
    /// once is sent by [`Connection::receive`].
    ///
    /// # Errors
    /// Returns [`Outcome::ConnectFailed`] if nothing was written, so that the server cannot execute the request.
    pub fn send(&mut self, upload: &mut Upload<'_>) -> Result<(), Outcome> {
        upload.advance(&mut self.outgoing, &self.stream);
        self.is_request_sent = upload.is_sent();
        if upload.has_written() || upload.is_sending() {
            Ok(())
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    /// Reads from the connection until `source` finds a complete response, and sends the rest of `upload` meanwhile.
    ///
    /// # Errors
    /// Returns `TimedOut` if the deadline passed, `Reset` if the connection ended, `Error` if the received bytes are
    /// not a valid response, and `Cancelled` if there is no memory for the response; but `ConnectFailed` if the deadline
    /// passed or the connection ended before the server took a byte of the request.
    pub fn receive<T>(
        &mut self,
        upload: &mut Upload<'_>,
        deadline: Instant,
        options: &ConnectionOptions,
        source: impl MessageSource<T>,
    ) -> Result<T, Outcome> {
        let received = self.receive_while_sending(upload, deadline, options, source);
        self.is_request_sent = upload.is_sent();
        received.map_err(|outcome| match outcome {
            Outcome::TimedOut | Outcome::Reset if !upload.has_written() => Outcome::ConnectFailed,
            _ => outcome,
        })
    }

    fn receive_while_sending<T>(
        &mut self,
        upload: &mut Upload<'_>,
        deadline: Instant,
        options: &ConnectionOptions,
        mut source: impl MessageSource<T>,
    ) -> Result<T, Outcome> {
        loop {
            match source.parse(&mut self.incoming) {
                Parsed::Complete(response) => return Ok(response),
                Parsed::Invalid(_) => return Err(Outcome::Error),
                Parsed::Incomplete => {}
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(Outcome::TimedOut);
            }
            let timeout = remaining.clamp(options.min_timeout, options.read_timeout);
            if upload.is_sending() {
                let ready = await_readiness(&self.stream, timeout).map_err(|_| Outcome::Reset)?;
                if ready.is_writable {
                    upload.advance(&mut self.outgoing, &self.stream);
                }
                if !ready.is_readable {
                    continue;
                }
            }
            let timeout_set = self.set_read_timeout(timeout);
            match timeout_set.and_then(|()| source.fill(&mut self.incoming, &mut &*self.stream)) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(_) => {}
                Err(e) if is_timeout(&e) || e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::QuotaExceeded => {
                    if !source.await_memory(deadline) {
                        return Err(Outcome::Cancelled);
                    }
                }
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }

    /// Sets the read timeout if it has changed, which avoids a system call per read.
    fn set_read_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        if timeout != self.read_timeout {
            self.stream.set_read_timeout(Some(timeout))?;
            self.read_timeout = timeout;
        }
        Ok(())
    }
}

/// The size of the pieces in which [`write_until`] writes.
const WRITE_BYTES: usize = 64 << 10;

/// Writes `bytes` until `deadline`, which is checked before each write. A peer that reads slowly must not keep the memory
/// of a message for longer.
///
/// # Errors
/// Returns the error of a write, or `TimedOut` at the deadline.
pub fn write_until(to: &mut impl Write, mut bytes: &[u8], deadline: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        if Instant::now() >= deadline {
            return Err(ErrorKind::TimedOut.into());
        }
        match to.write(&bytes[..bytes.len().min(WRITE_BYTES)]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// The size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

/// Shuts down the sending side, then discards received bytes until `timeout` has passed or `max_bytes` were received.
/// Closing a socket with unread bytes resets the connection, and the peer might not read the response just written (RFC
/// 9112, 9.6).
pub fn lingering_close(mut stream: &TcpStream, timeout: Duration, max_bytes: usize) {
    let deadline = Instant::now() + timeout;
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
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
