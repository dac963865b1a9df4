//! The decisions of the aspendrum gateway, free of I/O, clocks and threads.
//!
//! [`engine::DecisionEngine`] handles events with their time and answers with actions; both are defined in [`api`].
//! [`settings`] reads what an engine is started with. [`peer_message`] is the format of datagrams between instances.

pub mod api;
pub mod engine;
pub mod peer_message;
pub mod settings;

mod rng;
mod spread;
mod state;
