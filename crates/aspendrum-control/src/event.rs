//! The events that the other threads send to the node's thread.

use crate::errors::PlatformError;
use crate::peer_message::PeerMessage;
use crate::storage::WriteResult;
use aspendrum_consensus::{Command, NodeId, Outcome};
use aspendrum_model::message::ToControl;
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use crossbeam_channel::Sender;
use serde_json::Value;
use std::time::Instant;

/// Identifies a connection from an agent.
pub type ConnectionId = u64;

/// A report that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportQuery {
    /// The nodes whose agents are connected here.
    Nodes,
    /// What each version of the configuration does with a request.
    Explain {
        /// The request's host.
        host: String,
        /// The request's path.
        path: String,
    },
}

/// An event for the node's thread.
pub enum Event {
    /// Another control node sent a message.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// What it sent.
        message: PeerMessage,
    },
    /// The connection to another control node came up, or was lost.
    PeerLink {
        /// The other node.
        node: NodeId,
        /// The connection; none if it was lost.
        link: Option<Link>,
    },
    /// An agent connected.
    AgentConnected {
        /// Its connection.
        id: ConnectionId,
        /// Carries updates to the agent.
        link: Link,
    },
    /// An agent sent a message.
    AgentMessage {
        /// Its connection.
        id: ConnectionId,
        /// What it sent.
        message: ToControl,
    },
    /// A connection ended, whether an agent's or not.
    Disconnected {
        /// The connection.
        id: ConnectionId,
    },
    /// An operator gave a command.
    Command {
        /// The command.
        command: Command,
        /// When the call came.
        received_at: Instant,
        /// Receives the outcome.
        reply: Sender<Outcome>,
    },
    /// An operator asked for a report.
    Report {
        /// Which report.
        query: ReportQuery,
        /// Receives the report.
        reply: Sender<Value>,
    },
    /// A poll of the platform's list of servers has ended.
    ServerListPolled {
        /// When the poll began.
        asked_at: Instant,
        /// The list, or why it could not be read.
        result: Result<Vec<ServerInstance>, PlatformError>,
    },
    /// A write to the disk has ended.
    WriteFinished(WriteResult),
    /// The settings were read again.
    SettingsReloaded(Box<Settings>),
    /// The process is to end.
    ShutdownRequested {
        /// Notified when the process may end.
        ready: Sender<()>,
    },
}
