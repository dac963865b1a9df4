//! The decision engine of the aspendrum gateway, without I/O, clocks or threads.
//!
//! [`engine::DecisionEngine`] handles timestamped events and returns actions; both are defined in
//! [`api`]. [`settings`] parses an engine's settings. [`peer_message`] defines the format of
//! datagrams between instances.

pub mod api;
pub mod engine;
pub mod peer_message;
pub mod settings;

mod rng;
mod spread;
mod state;
