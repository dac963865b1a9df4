//! The units in which tokens and times are counted.

/// Milliseconds of the clock that all limiters read.
pub type ClockMillis = u64;

/// Billionths of a token. Whole numbers, so that a transfer adds exactly what it took.
pub type NanoTokens = u64;

/// One token, in [`NanoTokens`].
pub const ONE_TOKEN: NanoTokens = 1_000_000_000;
