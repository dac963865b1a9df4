//! The identity of a control node.

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
    /// The node with that address, given as an integer.
    pub const fn new(address: u32) -> NodeId {
        NodeId(address)
    }

    /// The node's address.
    pub fn address(self) -> Ipv4Addr {
        Ipv4Addr::from(self.0)
    }

    /// The address as an integer.
    pub fn as_u32(self) -> u32 {
        self.0
    }
}

impl From<Ipv4Addr> for NodeId {
    fn from(address: Ipv4Addr) -> NodeId {
        NodeId(u32::from(address))
    }
}
