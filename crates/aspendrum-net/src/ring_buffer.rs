//! One ring buffer for one direction of a connection: starts small, grows to its limit, shrinks once empty.

use std::io::{self, Read, Write};

pub struct RingBuffer {
    buf: Vec<u8>,
    start: usize,
    len: usize,
    small: usize,
    top: usize,
}

impl RingBuffer {
    pub fn new(small: usize, top: usize) -> RingBuffer {
        RingBuffer {
            buf: Vec::new(),
            start: 0,
            len: 0,
            small: small.min(top),
            top,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Reads once into free room. `Ok(0)` is the end of the input; a ring at its limit is an error, so that
    /// no sender can make it grow.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.len == self.top {
            return Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "more than the ring may hold",
            ));
        }
        self.room(1);
        let (size, end) = (self.buf.len(), self.start + self.len);
        let free = if end < size {
            end..size
        } else {
            end - size..self.start
        };
        let n = from.read(&mut self.buf[free])?;
        self.len += n;
        Ok(n)
    }

    /// Puts all of it in; false, with nothing put, if it would pass the limit.
    pub fn append(&mut self, data: &[u8]) -> bool {
        if self.len + data.len() > self.top {
            return false;
        }
        self.room(data.len());
        let size = self.buf.len();
        let at = (self.start + self.len) % size.max(1);
        let first = data.len().min(size - at);
        self.buf[at..at + first].copy_from_slice(&data[..first]);
        self.buf[..data.len() - first].copy_from_slice(&data[first..]);
        self.len += data.len();
        true
    }

    /// All that it holds, in one piece.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.start + self.len > self.buf.len() {
            self.buf.rotate_left(self.start);
            self.start = 0;
        }
        &self.buf[self.start..self.start + self.len]
    }

    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        self.start = if self.len == 0 {
            0
        } else {
            (self.start + n) % self.buf.len()
        };
        if self.len == 0 && self.buf.len() > 4 * self.small {
            self.buf = Vec::new();
        }
    }

    /// Writes all it holds. On a failure it keeps what did not go out.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<()> {
        while self.len > 0 {
            match to.write(self.contiguous()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    fn room(&mut self, more: usize) {
        let need = self.len + more;
        if need <= self.buf.len() {
            return;
        }
        let size = need.next_power_of_two().clamp(self.small, self.top);
        self.buf.rotate_left(self.start);
        self.start = 0;
        self.buf.reserve_exact(size - self.buf.len());
        self.buf.resize(size, 0);
    }
}

/// The read ended with its time, not with the connection.
pub fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

impl Write for RingBuffer {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        if self.append(data) {
            Ok(data.len())
        } else {
            Err(io::ErrorKind::OutOfMemory.into())
        }
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
