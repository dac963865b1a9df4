//! What machines of control say to each other.

use crate::directory::KnownFront;
use aspendrum_consensus::membership::DiskId;
use aspendrum_consensus::{Epoch, Message, Place};
use aspendrum_model::servers::ServerInstance;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    Hello(Box<Hello>),
    /// A sign of life. `polled`: so long ago the platform's list was read here, in milliseconds.
    Heartbeat {
        polled: Option<u32>,
    },
    Consensus(Message),
    /// The proxies whose agents are connected to the sender, or were until a moment ago.
    Fronts(Vec<KnownFront>),
    /// The platform's list, read that many milliseconds ago.
    Servers {
        age: u32,
        list: Vec<ServerInstance>,
    },
}

/// The first message of a connection, and again whenever something of it changes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    pub place: Place,
    pub zone: String,
    /// The disk that the sender may vote with; 0: none.
    pub disk: DiskId,
    /// The sender was told to end, or cannot write to its disk.
    pub leaving: bool,
    pub epoch: Epoch,
    /// Other machines of control that the sender knows of, and their zones.
    pub others: Vec<(Place, String)>,
}
