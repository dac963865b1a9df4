//! Conversions of milliseconds, and a clock that shows Unix time but is never set back or forward.

use aspendrum_core::api::Millis;
use aspendrum_core::settings::MILLIS_PER_SECOND;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds as a duration; negative ones and those beyond any duration count as zero.
pub fn duration_from_millis(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / MILLIS_PER_SECOND).unwrap_or(Duration::ZERO)
}

/// A duration in milliseconds.
pub fn millis_from_duration(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Unix time in milliseconds, read once from the system and advanced by the monotonic clock from then on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Millis,
}

impl Clock {
    /// Reads the system's time.
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

    /// The time at that instant.
    pub fn time_at(&self, instant: Instant) -> Millis {
        self.start_unix + millis_from_duration(instant.saturating_duration_since(self.start))
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        self.time_at(Instant::now())
    }

    /// The instant at that time.
    pub fn instant_at(&self, time: Millis) -> Instant {
        self.start + duration_from_millis(time - self.start_unix)
    }
}
