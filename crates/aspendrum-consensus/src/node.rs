//! The identity of control nodes.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

pub use aspendrum_model::time::Millis;

/// A control node, identified by its IPv4 address. Encoded as a plain `u32`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{}", self.address())]
pub struct NodeId(u32);

impl NodeId {
    /// Creates the id of the node with this IPv4 address, given as an integer.
    pub const fn new(address: u32) -> NodeId {
        NodeId(address)
    }

    /// Returns the IPv4 address of the node.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from(self.0)
    }

    /// Returns the IPv4 address as an integer.
    pub fn as_u32(self) -> u32 {
        self.0
    }
}

impl From<Ipv4Addr> for NodeId {
    fn from(address: Ipv4Addr) -> NodeId {
        NodeId(u32::from(address))
    }
}
