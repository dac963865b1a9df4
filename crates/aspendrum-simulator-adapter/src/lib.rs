//! The adapter between the simulator's wire and the decision module. It translates and decides nothing.

pub mod frame;
pub mod host;
