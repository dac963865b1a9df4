//! The limiter's lifecycle state (running, draining, stopped) and its uptime.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// The lifecycle of one limiter, shared by all its threads.
pub(crate) struct Lifecycle {
    started_at: Instant,
    is_draining: AtomicBool,
    is_stopped: AtomicBool,
    /// When a connection was last accepted, by [`Lifecycle::uptime_ms`].
    last_accepted_ms: AtomicU64,
}

impl Lifecycle {
    pub(crate) fn start() -> Lifecycle {
        Lifecycle {
            started_at: Instant::now(),
            is_draining: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
            last_accepted_ms: AtomicU64::new(0),
        }
    }

    /// Returns the milliseconds since the start.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }

    pub(crate) fn record_accept(&self) {
        self.last_accepted_ms
            .store(self.uptime_ms(), Ordering::Relaxed);
    }

    pub(crate) fn last_accepted_ms(&self) -> u64 {
        self.last_accepted_ms.load(Ordering::Relaxed)
    }
}
