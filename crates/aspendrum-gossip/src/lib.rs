//! Gossip between agents: partial views of the fleet, which are exchanged in shuffles ([`view`]), and majority reports,
//! which agents forward to each other while control is unreachable ([`node`]).
//!
//! The crate does no I/O and reads no clock: callers pass in the time and perform the returned [`GossipAction`]s.

pub mod message;
pub mod node;
pub mod view;

pub use message::{GossipAction, GossipMessage};
pub use node::GossipNode;
pub use view::{Neighbour, PartialView};
