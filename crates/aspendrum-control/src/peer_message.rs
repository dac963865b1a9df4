//! The messages between control nodes, encoded with postcard. Variants and fields are identified by their order, which
//! must not change: nodes of two versions run side by side during an update.

use crate::proxy_table::ProxyEntry;
use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::{Epoch, Message, NodeId};
use aspendrum_model::servers::ServerInstance;
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Introduces the sender: the first message of a connection, sent again whenever its content changes.
    Hello(Box<Hello>),
    /// Shows that the sender is alive, each half second.
    Heartbeat {
        /// How long ago the platform's list of servers was read, as far as the sender knows, milliseconds.
        server_list_age: Option<u32>,
    },
    /// A message between replicas.
    Consensus(Message),
    /// The proxies whose agents are connected to the sender, or were until a moment ago.
    Proxies(Vec<ProxyEntry>),
    /// The platform's list of servers.
    Servers {
        /// How long ago it was read, milliseconds.
        age: u32,
        /// All servers.
        list: Vec<ServerInstance>,
    },
}

/// A control node's description of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// The zone that it runs in.
    pub zone: String,
    /// The disk that it may vote with; [`aspendrum_consensus::membership::FOUNDING_DISK`] if it has none.
    pub disk: DiskId,
    /// Whether it is shutting down or cannot write to its disk.
    pub is_leaving: bool,
    /// The newest epoch that it knows of.
    pub epoch: Epoch,
    /// The other control nodes that it knows of.
    pub known_nodes: Vec<KnownNode>,
}

/// A control node that the sender of a [`Hello`] knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownNode {
    /// The node.
    pub node: NodeId,
    /// The zone that it runs in; empty if the sender does not know it.
    pub zone: String,
}
