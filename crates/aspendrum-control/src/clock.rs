//! The process' monotonic clock.

use aspendrum_consensus::Millis;
use std::time::Instant;

/// Counts milliseconds since the process started. The time of day is not used, as the machines' clocks do not agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started_at: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts an instant to this clock; 0 for an instant before the clock's start.
    pub fn at(&self, moment: Instant) -> Millis {
        let since_start = moment.saturating_duration_since(self.started_at);
        since_start.as_secs_f64() * 1000.0
    }
}
