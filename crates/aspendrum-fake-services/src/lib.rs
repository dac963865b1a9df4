//! Fakes of the services that rate limiters and the system talk to: servers, the shared counter, discovery and the
//! platform. They are written from the protocols alone, without access to the internals of limiters or the system. Each
//! has its own faults and records what reached it.

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

/// The clock of a test run, in milliseconds since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// Returns the time of `moment`; 0 if it was before the start.
    pub fn at(&self, moment: Instant) -> f64 {
        let elapsed = moment.saturating_duration_since(self.started_at);
        elapsed.as_secs_f64() * MILLIS_PER_SECOND
    }

    /// Returns the moment at which the clock started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }
}

/// Locks a mutex, ignoring poisoning. Only for data that stays consistent if a holder panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
