//! The sending side of an exchange. It never blocks, so that a response which arrives before the request has been sent
//! completely is read at once (RFC 9112, 9.5: a client monitors the connection while it sends a body).

use crate::ring_buffer::{is_timeout, RingBuffer};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::{send, SendFlags};
use std::io::{self, ErrorKind, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How far a request has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Bytes are left to be sent.
    Sending,
    /// All bytes have been handed to the operating system.
    Sent,
    /// A write failed. No more bytes are sent, but a response may have arrived.
    Failed,
}

/// A request that is being sent: the contents of a connection's outgoing buffer, and a body that follows them.
pub struct Upload<'b> {
    body: &'b [u8],
    on_sent: &'b dyn Fn(),
    progress: Progress,
    has_written: bool,
}

impl<'b> Upload<'b> {
    /// Creates a request whose `body` is sent directly behind the outgoing buffer. `on_sent` is called once the last byte
    /// has been handed to the operating system.
    pub fn new(body: &'b [u8], on_sent: &'b dyn Fn()) -> Upload<'b> {
        Upload {
            body,
            on_sent,
            progress: Progress::Sending,
            has_written: false,
        }
    }

    /// Creates a request that consists of the outgoing buffer only.
    pub fn without_body() -> Upload<'static> {
        Upload::new(&[], &|| ())
    }

    /// Whether bytes are left to be sent.
    pub(crate) fn is_sending(&self) -> bool {
        self.progress == Progress::Sending
    }

    /// Whether the request has been sent completely.
    pub(crate) fn is_sent(&self) -> bool {
        self.progress == Progress::Sent
    }

    /// Whether any byte was handed to the operating system. Otherwise, the server cannot have executed the request.
    pub(crate) fn has_written(&self) -> bool {
        self.has_written
    }

    /// Writes as much as the socket accepts without blocking. If it accepts everything, this is one system call for the
    /// buffer and one for the body.
    pub(crate) fn advance(&mut self, outgoing: &mut RingBuffer, stream: &TcpStream) {
        let mut stream = NonBlockingWriter(stream);
        let buffered_bytes = outgoing.len();
        let written = outgoing.drain(&mut stream);
        self.has_written |= outgoing.len() < buffered_bytes;
        match written.and_then(|()| self.write_body(&mut stream)) {
            Ok(()) => {
                self.progress = Progress::Sent;
                (self.on_sent)();
            }
            Err(e) if is_timeout(&e) => {}
            Err(_) => self.progress = Progress::Failed,
        }
    }

    fn write_body(&mut self, to: &mut impl Write) -> io::Result<()> {
        while !self.body.is_empty() {
            match to.write(self.body) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(written) => {
                    self.body = &self.body[written..];
                    self.has_written = true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Writes to a blocking socket without blocking.
struct NonBlockingWriter<'s>(&'s TcpStream);

impl Write for NonBlockingWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        send(self.0, bytes, flags).map_err(io::Error::from)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Which operations on a socket do not block. Both, if the connection has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Readiness {
    pub(crate) is_readable: bool,
    pub(crate) is_writable: bool,
}

/// Waits until the socket can be read or written, for at most `timeout`.
pub(crate) fn await_readiness(stream: &TcpStream, timeout: Duration) -> io::Result<Readiness> {
    let timeout = Timespec::try_from(timeout).map_err(|_| ErrorKind::InvalidInput)?;
    let mut polled = [PollFd::new(stream, PollFlags::IN | PollFlags::OUT)];
    match poll(&mut polled, Some(&timeout)) {
        Ok(_) => {}
        Err(rustix::io::Errno::INTR) => return Ok(Readiness::default()),
        Err(error) => return Err(error.into()),
    }
    let ready = polled[0].revents();
    let has_failed = ready.intersects(PollFlags::ERR | PollFlags::HUP | PollFlags::NVAL);
    Ok(Readiness {
        is_readable: has_failed || ready.contains(PollFlags::IN),
        is_writable: has_failed || ready.contains(PollFlags::OUT),
    })
}
