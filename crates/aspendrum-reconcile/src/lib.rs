//! Decided and applied, compared: a copy is collated with its original section by section, out of the tables that are
//! in force and not out of what was sent. The verdict says what may run. No I/O, no clock.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod edition;
pub mod mending;
pub mod verdict;

pub use edition::{edition, Section};
pub use mending::{Mending, Step};
pub use verdict::{Bounds, Standing, Verdict, Word};

/// Milliseconds on the node's own steady clock.
pub type Ms = f64;
