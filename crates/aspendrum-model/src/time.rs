//! The representation of time shared by all programs.

use std::time::Duration;

/// A point in time in milliseconds by the monotonic clock of a node, or a duration in milliseconds.
///
/// The clocks of the nodes are not synchronized, so messages contain ages instead of points in time.
pub type Millis = f64;

/// The upper limit of durations from external input, so that adding them to a point in time cannot overflow.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// Converts milliseconds to a duration of at most a year. Negative numbers and NaN are converted to 0.
pub fn duration_from_millis(millis: Millis) -> Duration {
    if millis.is_nan() || millis <= 0.0 {
        return Duration::ZERO;
    }
    let duration = Duration::try_from_secs_f64(millis / 1000.0);
    duration.map_or(MAX_DURATION, |duration| duration.min(MAX_DURATION))
}
