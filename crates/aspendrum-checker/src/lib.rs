//! Checks the record of a test run against the rules that the system must keep.
//!
//! A record holds what clients, operators and fake services saw, and never what the system says of itself. There are two
//! kinds of runs: of a fleet of rate limiters ([`limiter`]), and of the whole system ([`system`]). Nothing here does I/O or
//! reads a clock; times are milliseconds since the run began.

pub mod limiter;
pub mod system;

pub use aspendrum_model::time::Millis;
