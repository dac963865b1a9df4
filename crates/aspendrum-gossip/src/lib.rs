//! What agents know of each other, and what they lend each other while control is out of reach: partial views that
//! are shuffled between neighbours, and a majority's word passed on with its age. No I/O, no clock.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod circle;
pub mod view;

pub use circle::{Act, Circle, Word};
pub use view::{Neighbour, View};

/// Milliseconds on the agent's own steady clock.
pub type Ms = f64;
