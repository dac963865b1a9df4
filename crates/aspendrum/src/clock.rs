//! Milliseconds, and a clock that never steps.

use aspendrum_core::api::Millis;
use aspendrum_core::settings::MILLIS_PER_SECOND;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds as the standard library has them; what is below nothing counts as nothing.
pub fn ms(ms: Millis) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / MILLIS_PER_SECOND).unwrap_or(Duration::ZERO)
}
/// A duration in milliseconds, as the module has it.
pub fn as_ms(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Unix time in milliseconds, as every machine reads it, but one that never steps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Millis,
}

impl Clock {
    #[expect(
        clippy::disallowed_methods,
        reason = "the deployments in service tell moments so; read once, never after"
    )]
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, as_ms);
        Clock {
            start: Instant::now(),
            unix,
        }
    }

    pub fn at(&self, when: Instant) -> Millis {
        self.unix + as_ms(when.saturating_duration_since(self.start))
    }

    pub fn now(&self) -> Millis {
        self.at(Instant::now())
    }

    pub fn instant(&self, at: Millis) -> Instant {
        self.start + ms(at - self.unix)
    }
}
