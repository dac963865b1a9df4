//! The monotonic clock of the process.

use aspendrum_consensus::Millis;
use std::time::Instant;

/// A monotonic clock that counts milliseconds since its creation at process start. Wall-clock time is not used because
/// the clocks of different machines do not agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts an instant to the time of this clock; 0 for an instant before the clock's start.
    pub fn to_millis(&self, instant: Instant) -> Millis {
        let since_start = instant.saturating_duration_since(self.started_at);
        since_start.as_secs_f64() * 1000.0
    }
}
