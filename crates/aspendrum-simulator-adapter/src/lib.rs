//! The adapter between the simulator's wire and the decision module. It translates and decides nothing.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs, clippy::wildcard_imports)]

pub mod frame;
pub mod host;
