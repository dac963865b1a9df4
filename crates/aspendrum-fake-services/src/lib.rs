//! Stand-ins for what limiters and the system talk to, written from the protocols: servers, the shared counter,
//! discovery, the platform. Each can fail in its own ways and records what reached it; none knows of limiters' insides.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod cloud;
pub mod counter;
pub mod discovery;
pub mod host;
pub mod http;
pub mod origin;
pub mod server;

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// A run's clock: milliseconds since it began.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.0).as_secs_f64() * 1000.0
    }

    pub fn begun(&self) -> Instant {
        self.0
    }
}

/// For plain data, which is whole whoever panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
