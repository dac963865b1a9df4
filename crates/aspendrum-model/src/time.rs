//! Times as the programs of the system count them.

/// Milliseconds on the monotonic clock of the node that counts them, or a duration in milliseconds.
///
/// No two nodes' clocks agree: what crosses a connection is an age, never a time.
pub type Millis = f64;
