//! Checks the record of a test run against the rules that the system must keep.
//!
//! A record holds only what clients, operators and fake services observed, never what the system under test reports
//! about itself. There are two kinds of runs: a fleet of rate limiters ([`limiter`]), and the whole system
//! ([`system`]). This crate does no I/O and reads no clock; times are milliseconds since the start of the run.

pub mod limiter;
pub mod system;

pub use aspendrum_model::time::Millis;
