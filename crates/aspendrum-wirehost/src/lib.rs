//! The adapter between the simulator's wire and the decision module. It translates and decides nothing.

pub mod frame;
pub mod host;
pub mod settings;

/// The wire tells seconds, the module milliseconds.
const MS: f64 = 1000.0;
