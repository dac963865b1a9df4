//! The unit of time that all programs of the system use.

use std::time::Duration;

/// A time in milliseconds on the monotonic clock of one node, or a duration in milliseconds.
///
/// The nodes' clocks do not agree, so messages carry ages, never points in time.
pub type Millis = f64;

/// Numbers that others name may be absurd: a duration is never longer, so that it can be added to any time of day or clock.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// The duration of so many milliseconds: none for a negative number or one that is not a number, and a year at most.
pub fn duration_from_millis(millis: Millis) -> Duration {
    if millis.is_nan() || millis <= 0.0 {
        return Duration::ZERO;
    }
    let duration = Duration::try_from_secs_f64(millis / 1000.0);
    duration.map_or(MAX_DURATION, |duration| duration.min(MAX_DURATION))
}
