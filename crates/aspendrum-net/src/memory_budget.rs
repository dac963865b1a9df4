//! The memory that a process may hold for the messages of its peers, shared by all of its connections. Memory is
//! reserved before it is allocated. A reservation that does not fit fails, or waits until others are released.

use crate::threads::lock;
use std::fmt::{self, Debug, Formatter};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

/// The size up to which a reservation counts as small.
const SMALL_BYTES: usize = 64 << 10;
/// The part of a budget that only small reservations may use, so that large messages do not keep out the rest.
const SMALL_DIVISOR: usize = 8;

/// A budget of bytes. Clones share it.
#[derive(Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

struct Shared {
    total: Limit,
    /// The part of the total that large reservations may use.
    large: Limit,
    /// The number of threads that wait for a release. It is changed under the lock.
    waiting: AtomicUsize,
    /// Whether a thread that waits has a large reservation already.
    is_holder_waiting: AtomicBool,
    lock: Mutex<()>,
    released: Condvar,
}

/// A number of bytes in use, up to a maximum.
struct Limit {
    used_bytes: AtomicUsize,
    max_bytes: usize,
}

impl Limit {
    fn new(max_bytes: usize) -> Limit {
        Limit {
            used_bytes: AtomicUsize::new(0),
            max_bytes,
        }
    }

    fn try_add(&self, bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.max_bytes);
        self.used_bytes
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add)
            .is_ok()
    }

    fn subtract(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::SeqCst);
    }
}

/// Returns how many bytes of a reservation count as large.
fn large_bytes(bytes: usize) -> usize {
    if bytes > SMALL_BYTES {
        bytes
    } else {
        0
    }
}

impl MemoryBudget {
    /// Creates a budget in which large reservations can use `max_bytes_for_large`, and small ones a little more.
    pub fn new(max_bytes_for_large: usize) -> MemoryBudget {
        let max_bytes = max_bytes_for_large.saturating_add(max_bytes_for_large / SMALL_DIVISOR);
        MemoryBudget {
            shared: Arc::new(Shared {
                total: Limit::new(max_bytes),
                large: Limit::new(max_bytes_for_large),
                waiting: AtomicUsize::new(0),
                is_holder_waiting: AtomicBool::new(false),
                lock: Mutex::new(()),
                released: Condvar::new(),
            }),
        }
    }

    /// Creates a budget that grants every reservation, for programs whose peers are trusted.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::new(usize::MAX)
    }

    /// Returns the size of the largest reservation that is ever granted.
    pub fn max_reservation_bytes(&self) -> usize {
        self.shared.large.max_bytes
    }

    /// Returns the number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.shared.total.used_bytes.load(Ordering::SeqCst)
    }

    /// Returns an empty reservation, which can be extended.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: Some(self.clone()),
            bytes: 0,
        }
    }

    /// Reserves `bytes`, or returns `None` if they do not fit.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.reservation();
        reservation.try_extend(bytes).then_some(reservation)
    }

    /// Reserves `bytes`, waiting for releases until `deadline`.
    pub fn reserve_until(&self, bytes: usize, deadline: Instant) -> Option<MemoryReservation> {
        let mut reservation = self.reservation();
        reservation
            .extend_until(bytes, deadline)
            .then_some(reservation)
    }

    /// Extends a reservation of `from` bytes to `to` bytes.
    fn try_extend(&self, from: usize, to: usize) -> bool {
        let large = large_bytes(to) - large_bytes(from);
        if !self.shared.large.try_add(large) {
            return false;
        }
        let fits = self.shared.total.try_add(to - from);
        if !fits {
            self.shared.large.subtract(large);
        }
        fits
    }

    /// Extends a reservation, waiting until `deadline`. Only one thread at a time waits with a large reservation: if
    /// several did, each would wait for the memory that the others hold.
    fn extend_until(&self, from: usize, to: usize, deadline: Instant) -> bool {
        if self.try_extend(from, to) {
            return true;
        }
        let shared = &*self.shared;
        if large_bytes(to) > shared.large.max_bytes || to > shared.total.max_bytes {
            return false;
        }
        if large_bytes(from) == 0 {
            return self.await_extension(from, to, deadline);
        }
        if shared.is_holder_waiting.swap(true, Ordering::SeqCst) {
            return false;
        }
        let is_extended = self.await_extension(from, to, deadline);
        shared.is_holder_waiting.store(false, Ordering::SeqCst);
        is_extended
    }

    fn await_extension(&self, from: usize, to: usize, deadline: Instant) -> bool {
        let shared = &*self.shared;
        let mut guard = lock(&shared.lock);
        // Announced before the next attempt, so that a release in between wakes this thread.
        shared.waiting.fetch_add(1, Ordering::SeqCst);
        let is_extended = loop {
            if self.try_extend(from, to) {
                break true;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break false;
            }
            guard = shared
                .released
                .wait_timeout(guard, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        };
        shared.waiting.fetch_sub(1, Ordering::SeqCst);
        is_extended
    }

    /// Shrinks a reservation of `from` bytes to `to` bytes.
    fn shrink(&self, from: usize, to: usize) {
        let shared = &*self.shared;
        shared.large.subtract(large_bytes(from) - large_bytes(to));
        shared.total.subtract(from - to);
        if shared.waiting.load(Ordering::SeqCst) > 0 {
            let _guard = lock(&shared.lock);
            shared.released.notify_all();
        }
    }
}

/// Reserved bytes of a budget, released when dropped. The default belongs to no budget and can be extended freely.
#[derive(Default)]
pub struct MemoryReservation {
    budget: Option<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more. Returns false, without a change, if they do not fit.
    pub fn try_extend(&mut self, bytes: usize) -> bool {
        let total = self.bytes.saturating_add(bytes);
        let fits = match &self.budget {
            Some(budget) => budget.try_extend(self.bytes, total),
            None => true,
        };
        if fits {
            self.bytes = total;
        }
        fits
    }

    /// Reserves `bytes` more, waiting for releases until `deadline`. Returns false, without a change, if they do not
    /// fit by then.
    pub fn extend_until(&mut self, bytes: usize, deadline: Instant) -> bool {
        let total = self.bytes.saturating_add(bytes);
        let fits = match &self.budget {
            Some(budget) => budget.extend_until(self.bytes, total, deadline),
            None => true,
        };
        if fits {
            self.bytes = total;
        }
        fits
    }

    /// Releases the bytes beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            return;
        }
        if let Some(budget) = &self.budget {
            budget.shrink(self.bytes, bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl Debug for MemoryBudget {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes used", self.used_bytes())
    }
}

impl Debug for MemoryReservation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} reserved bytes", self.bytes)
    }
}
