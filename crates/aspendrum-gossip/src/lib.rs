//! Gossip between agents: a partial view of the fleet that is exchanged in shuffles ([`view`]), and majority reports that
//! agents pass on to each other while control is out of reach ([`node`]).
//!
//! The crate does no I/O and reads no clock: callers pass the time in and carry out the returned [`GossipAction`]s.

pub mod message;
pub mod node;
pub mod view;

pub use message::{GossipAction, GossipMessage};
pub use node::GossipNode;
pub use view::{Neighbour, PartialView};
