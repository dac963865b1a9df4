//! Units of tokens and times.

/// Milliseconds of the clock shared by all limiters.
pub type ClockMillis = u64;

/// Billionths of a token. Integers, so that a transfer adds exactly the amount that it removed.
pub type NanoTokens = u64;

/// One token, in [`NanoTokens`].
pub const ONE_TOKEN: NanoTokens = 1_000_000_000;
