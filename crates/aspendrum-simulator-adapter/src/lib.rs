//! The adapter between the simulator's frames and the decision engine. It translates and decides
//! nothing.

pub mod adapter;
pub mod batch;
pub mod error;
pub mod reply;

mod record;
