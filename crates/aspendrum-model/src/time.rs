//! The unit of time that all programs of the system use.

/// A time in milliseconds on the monotonic clock of one node, or a duration in milliseconds.
///
/// The nodes' clocks do not agree, so messages carry ages, never points in time.
pub type Millis = f64;
