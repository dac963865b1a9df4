//! The content of a message, with the memory reserved for it.

use crate::memory_budget::{MemoryBudget, MemoryReservation};
use std::io::{self, Read};
use std::ops::Deref;
use std::time::Instant;

/// The maximum size of a single read.
const MAX_READ_BYTES: usize = 64 << 10;

/// The content of a message, without framing. Its memory is part of a budget until it is dropped.
#[derive(Debug, Default)]
pub struct Content {
    pub(super) bytes: Vec<u8>,
    pub(super) memory: MemoryReservation,
}

impl Content {
    /// Returns an empty content whose memory is taken from `budget`.
    pub(super) fn in_budget(budget: &MemoryBudget) -> Content {
        Content {
            bytes: Vec::new(),
            memory: budget.reservation(),
        }
    }

    /// Returns how many bytes fit into the allocated memory.
    pub(super) fn room(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    /// Allocates memory for `bytes` more bytes. Returns false if the budget has no room for them.
    pub(super) fn try_grow(&mut self, bytes: usize) -> bool {
        let is_reserved = self.memory.try_extend(bytes);
        if is_reserved {
            self.allocate(bytes);
        }
        is_reserved
    }

    /// Allocates memory for `bytes` more bytes, waiting until `deadline` for room in the budget.
    pub(super) fn grow_until(&mut self, bytes: usize, deadline: Instant) -> bool {
        let is_reserved = self.memory.extend_until(bytes, deadline);
        if is_reserved {
            self.allocate(bytes);
        }
        is_reserved
    }

    fn allocate(&mut self, bytes: usize) {
        self.bytes.reserve_exact(self.room() + bytes);
    }

    /// Appends the first bytes of `bytes` that fit into the allocated memory, at most `max_bytes`. Returns how many.
    pub(super) fn append_within_room(&mut self, bytes: &[u8], max_bytes: usize) -> usize {
        let size = bytes.len().min(max_bytes).min(self.room());
        self.bytes.extend_from_slice(&bytes[..size]);
        size
    }

    /// Reads once, at most `max_bytes`, into the allocated memory. `Ok(0)` is the end of the input.
    pub(super) fn read_within_room(
        &mut self,
        from: &mut impl Read,
        max_bytes: usize,
    ) -> io::Result<usize> {
        let start = self.bytes.len();
        let size = max_bytes.min(self.room()).min(MAX_READ_BYTES);
        self.bytes.resize(start + size, 0);
        let read = from.read(&mut self.bytes[start..]);
        let received = *read.as_ref().unwrap_or(&0);
        self.bytes.truncate(start + received);
        read
    }
}

impl Deref for Content {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Vec<u8>> for Content {
    /// Wraps bytes that belong to no budget.
    fn from(bytes: Vec<u8>) -> Content {
        Content {
            bytes,
            memory: MemoryReservation::default(),
        }
    }
}

impl PartialEq for Content {
    fn eq(&self, other: &Content) -> bool {
        self.bytes == other.bytes
    }
}

impl<const LENGTH: usize> PartialEq<&[u8; LENGTH]> for Content {
    fn eq(&self, other: &&[u8; LENGTH]) -> bool {
        self.bytes == *other
    }
}
