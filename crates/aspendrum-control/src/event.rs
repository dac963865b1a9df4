//! What the server's thread is told.

use crate::peer_message::PeerMessage;
use crate::storage::Stored;
use aspendrum_consensus::{Order, Outcome, Place};
use aspendrum_model::message::ToControl;
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use crossbeam_channel::Sender;
use serde_json::Value;
use std::time::Instant;

pub enum Event {
    PeerSaid {
        from: Place,
        message: PeerMessage,
    },
    /// A connection to a peer came up, or went.
    PeerLink {
        place: Place,
        link: Option<Link>,
    },
    AgentConnected {
        id: u64,
        link: Link,
    },
    AgentSaid {
        id: u64,
        message: ToControl,
    },
    AgentGone {
        id: u64,
    },
    /// An order of the operator, taken at that time.
    Order {
        order: Order,
        taken: Instant,
        answer: Sender<Outcome>,
    },
    /// What is known of nodes, or what each version does with a request for that host and path.
    Report {
        of: Option<(String, String)>,
        answer: Sender<Value>,
    },
    Polled {
        asked: Instant,
        list: Result<Vec<ServerInstance>, String>,
    },
    Stored(Stored),
    Settings(Box<Settings>),
    /// The process is told to end; `done` hears when it may.
    Leave {
        done: Sender<()>,
    },
}
