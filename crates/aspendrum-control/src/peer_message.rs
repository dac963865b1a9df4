//! The messages between control nodes, encoded with postcard. Postcard identifies variants and fields by their order,
//! so the order must not change: nodes of two versions run side by side during a rolling update.

use crate::proxy_table::ProxyEntry;
use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::{Epoch, Message, NodeId};
use aspendrum_model::servers::ServerInstance;
use serde::{Deserialize, Serialize};

/// A message from one control node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Describes the sender. It is the first message of a connection, and is sent again whenever the sender's status or
    /// epoch changes.
    Hello(Box<Hello>),
    /// Signals every half second that the sender is alive.
    Heartbeat {
        /// The time in milliseconds since the last poll of the platform's list of servers that the sender has observed;
        /// `None` if it has observed none.
        server_list_age: Option<u32>,
    },
    /// A message of the consensus protocol.
    Consensus(Message),
    /// The proxies whose agents are connected to the sender, or have just left it for another control node.
    Proxies(Vec<ProxyEntry>),
    /// The platform's list of servers.
    Servers {
        /// The time since the list was read, in milliseconds.
        age: u32,
        /// All servers.
        list: Vec<ServerInstance>,
    },
}

/// The identity and status of a control node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub node: NodeId,
    /// The zone that it runs in.
    pub zone: String,
    /// The disk with which the sender may vote; [`aspendrum_consensus::membership::UNASSIGNED_DISK`] if there is none.
    pub disk: DiskId,
    /// Whether the sender is shutting down, or its disk is stalled or has failed.
    pub is_leaving: bool,
    /// The newest epoch known to the sender.
    pub epoch: Epoch,
    /// The other control nodes known to the sender.
    pub known_nodes: Vec<KnownNode>,
}

/// A control node known to the sender of a [`Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownNode {
    /// The node.
    pub node: NodeId,
    /// The zone that it runs in; empty if the sender does not know it.
    pub zone: String,
}
