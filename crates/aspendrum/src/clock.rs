//! Conversions of milliseconds, and a clock that shows Unix time but is never set back or forward.

use aspendrum_core::api::Ms;
use aspendrum_core::settings::MS;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds as a duration; negative ones and those beyond any duration count as zero.
pub fn duration_from_millis(millis: Ms) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / MS).unwrap_or(Duration::ZERO)
}

/// A duration in milliseconds.
pub fn millis_from_duration(duration: Duration) -> Ms {
    duration.as_secs_f64() * MS
}

/// Unix time in milliseconds, read once from the system and advanced by the monotonic clock from then on.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_unix: Ms,
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
    pub fn time_at(&self, instant: Instant) -> Ms {
        self.start_unix + millis_from_duration(instant.saturating_duration_since(self.start))
    }

    /// The present time.
    pub fn now(&self) -> Ms {
        self.time_at(Instant::now())
    }

    /// The instant at that time.
    pub fn instant_at(&self, time: Ms) -> Instant {
        self.start + duration_from_millis(time - self.start_unix)
    }
}
