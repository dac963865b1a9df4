//! The record of a run, from what clients and stand-ins saw and never from what limiters say of themselves,
//! and its judge. Free of I/O and clocks: times are milliseconds since the run began.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod departures;
pub mod orders;
pub mod quota;
pub mod record;
pub mod rules;
pub mod system;
pub mod verdict;

pub use record::Record;
pub use verdict::{judge, Verdict};
