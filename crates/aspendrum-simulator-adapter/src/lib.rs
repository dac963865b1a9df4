//! Translates between the simulator's frames and the events and actions of decision engines.

pub mod adapter;
pub mod batch;
pub mod error;
pub mod reply;

mod record;
