//! The plumbing that old and new programs share: rings, threads, letter boxes, connections to servers, HTTP
//! framing, frames between own processes. Nothing here decides.

pub mod caller;
pub mod daemon;
pub mod departure_figures;
pub mod departures;
pub mod forward;
pub mod frames;
pub mod mailbox;
pub mod matcher;
pub mod message;
pub mod pool;
pub mod reception;
pub mod ring;
pub mod workers;
