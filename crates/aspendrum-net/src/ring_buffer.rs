//! A ring buffer for one direction of a connection. It starts small, grows up to a limit, and releases grown storage
//! when it becomes empty.

use crate::memory_budget::{MemoryBudget, MemoryReservation};
use std::io::{self, Read, Write};

/// A ring buffer of bytes.
pub struct RingBuffer {
    storage: Vec<u8>,
    start: usize,
    len: usize,
    initial_bytes: usize,
    max_bytes: usize,
    /// The memory reserved for storage beyond the initial size.
    growth: MemoryReservation,
}

/// When the buffer becomes empty, storage larger than this multiple of the initial size is released.
const MAX_RETAINED_GROWTH: usize = 4;

impl RingBuffer {
    /// Creates an empty buffer. It allocates at least `initial_bytes` on first use, and never more than `max_bytes`.
    pub fn new(initial_bytes: usize, max_bytes: usize) -> RingBuffer {
        let initial_bytes = initial_bytes.min(max_bytes);
        RingBuffer {
            storage: Vec::new(),
            start: 0,
            len: 0,
            initial_bytes,
            max_bytes,
            growth: MemoryReservation::default(),
        }
    }

    /// Takes the memory for growth beyond the initial size from `budget`. The buffer must be empty.
    pub fn with_budget(mut self, budget: &MemoryBudget) -> RingBuffer {
        self.growth = budget.reservation();
        self
    }

    /// Changes the size limit. The limit is never set below the current length or the initial size.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes.max(self.len).max(self.initial_bytes);
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes in the buffer.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Reads once into the free space. `Ok(0)` indicates the end of the input.
    ///
    /// # Errors
    /// Returns the error of the read, `OutOfMemory` if the buffer has reached its size limit, or `QuotaExceeded` if the
    /// memory budget has no room for its growth.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        if self.len == self.max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "ring buffer size limit reached",
            ));
        }
        if !self.reserve(1) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let (size, end) = (self.storage.len(), self.start + self.len);
        let free = if end < size {
            end..size
        } else {
            end - size..self.start
        };
        let read = from.read(&mut self.storage[free])?;
        self.len += read;
        Ok(read)
    }

    /// Appends all of `data`. Returns false and appends nothing if that would exceed the limit or the memory budget.
    pub fn append(&mut self, data: &[u8]) -> bool {
        if self.len + data.len() > self.max_bytes || !self.reserve(data.len()) {
            return false;
        }
        let size = self.storage.len();
        let end = (self.start + self.len) % size.max(1);
        let until_wrap = data.len().min(size - end);
        self.storage[end..end + until_wrap].copy_from_slice(&data[..until_wrap]);
        self.storage[..data.len() - until_wrap].copy_from_slice(&data[until_wrap..]);
        self.len += data.len();
        true
    }

    /// Returns the contents as one slice. Rotates the storage if the contents wrap around.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.start + self.len > self.storage.len() {
            self.storage.rotate_left(self.start);
            self.start = 0;
        }
        &self.storage[self.start..self.start + self.len]
    }

    /// Removes up to `bytes` bytes from the front.
    pub fn consume(&mut self, bytes: usize) {
        let bytes = bytes.min(self.len);
        self.len -= bytes;
        self.start = if self.len == 0 {
            0
        } else {
            (self.start + bytes) % self.storage.len()
        };
        if self.len == 0 && self.storage.len() > MAX_RETAINED_GROWTH * self.initial_bytes {
            self.storage = Vec::new();
            self.growth.shrink_to(0);
        }
    }

    /// Writes the entire contents to `to`.
    ///
    /// # Errors
    /// Returns the error of the write. The buffer retains the bytes that were not written.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<()> {
        while self.len > 0 {
            match to.write(self.contiguous()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.consume(written),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Grows the storage to at least `bytes`, within the limit and the memory budget, so that a read can return more.
    pub(crate) fn grow_to(&mut self, bytes: usize) {
        let bytes = bytes.min(self.max_bytes);
        if bytes > self.len {
            self.reserve(bytes - self.len);
        }
    }

    /// Ensures that there is free space for `additional` bytes. Returns false if the memory budget has no room for it.
    fn reserve(&mut self, additional: usize) -> bool {
        let needed = self.len + additional;
        if needed <= self.storage.len() {
            return true;
        }
        let size = needed
            .next_power_of_two()
            .clamp(self.initial_bytes, self.max_bytes);
        let growth = (size - self.initial_bytes).saturating_sub(self.growth.bytes());
        if !self.growth.try_extend(growth) {
            return false;
        }
        self.storage.rotate_left(self.start);
        self.start = 0;
        self.storage.reserve_exact(size - self.storage.len());
        self.storage.resize(size, 0);
        true
    }
}

/// Whether a read failed because its timeout expired.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// A write is appended to the buffer completely or not at all.
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
