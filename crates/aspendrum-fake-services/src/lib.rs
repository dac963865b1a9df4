//! Fakes of the services that rate limiters and the system talk to, written from their protocols: servers, the shared
//! counter, discovery and the platform. Each can fail in its own ways and records what reached it; none knows the limiters'
//! or the system's insides.

pub mod cloud;
pub mod counter;
pub mod discovery;
mod fake_process;
pub mod http;
pub mod origin;
mod resp;
pub mod server;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The clock of a test run: milliseconds since it began.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The time of that moment; 0 if it was before the beginning.
    pub fn at(&self, moment: Instant) -> f64 {
        let elapsed = moment.saturating_duration_since(self.started_at);
        elapsed.as_secs_f64() * MILLIS_PER_SECOND
    }

    /// The moment of its beginning.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }
}

/// Locks plain data, which is consistent also after a panic of its holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
