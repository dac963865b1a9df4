//! Millisecond conversions, and a monotonic clock that is based on Unix time.

use aspendrum_core::api::Millis;
use aspendrum_core::settings::MILLIS_PER_SECOND;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Converts milliseconds to a duration. Negative and unrepresentable values become zero.
pub fn duration_from_millis(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / MILLIS_PER_SECOND).unwrap_or(Duration::ZERO)
}

/// Converts a duration to milliseconds.
pub fn millis_from_duration(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Unix time in milliseconds, read from the system clock once and then advanced by the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Millis,
}

impl Clock {
    /// Starts the clock at the current system time.
    #[expect(
        clippy::disallowed_methods,
        reason = "limiters and servers exchange times as Unix time; read once, never after"
    )]
    pub fn start() -> Clock {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, millis_from_duration);
        Clock {
            start: Instant::now(),
            start_unix,
        }
    }

    /// Returns the time at the given instant.
    pub fn time_at(&self, instant: Instant) -> Millis {
        self.start_unix + millis_from_duration(instant.saturating_duration_since(self.start))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.time_at(Instant::now())
    }

    /// Returns the instant at the given time.
    pub fn instant_at(&self, time: Millis) -> Instant {
        self.start + duration_from_millis(time - self.start_unix)
    }
}
