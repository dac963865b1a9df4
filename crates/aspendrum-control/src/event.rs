//! The events that other threads send to the node's thread.

use crate::errors::PlatformError;
use crate::peer_message::PeerMessage;
use crate::storage::WriteResult;
use aspendrum_consensus::{Command, CommandOutcome, NodeId};
use aspendrum_model::message::ToControl;
use aspendrum_model::servers::ServerInstance;
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::FrameSender;
use aspendrum_net::memory_budget::MemoryReservation;
use crossbeam_channel::Sender;
use serde_json::Value;
use std::time::Instant;

/// Identifies a connection from an agent.
pub type ConnectionId = u64;

/// A report requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportQuery {
    /// The nodes whose agents are connected to this control node.
    Nodes,
    /// How each configuration version routes a request.
    Explain {
        /// The request's host.
        host: String,
        /// The request's path.
        path: String,
    },
}

/// An event for the node's thread.
pub enum Event {
    /// A message from another control node was received.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The message.
        message: PeerMessage,
        /// The memory reserved for it.
        memory: MemoryReservation,
    },
    /// The connection to another control node was established or lost.
    PeerLink {
        /// The other node.
        node: NodeId,
        /// The connection; `None` if it was lost.
        link: Option<FrameSender>,
    },
    /// An agent connected.
    AgentConnected {
        /// Its connection.
        id: ConnectionId,
        /// Sends messages to the agent.
        link: FrameSender,
    },
    /// A message from an agent was received.
    AgentMessage {
        /// Its connection.
        id: ConnectionId,
        /// The message.
        message: ToControl,
        /// The memory reserved for it.
        memory: MemoryReservation,
    },
    /// An incoming connection was closed. It may have been that of an agent or of a control node.
    Disconnected {
        /// The connection.
        id: ConnectionId,
    },
    /// An operator submitted a command.
    Command {
        /// The command.
        command: Command,
        /// When the call was received.
        received_at: Instant,
        /// Receives the outcome.
        reply: Sender<CommandOutcome>,
    },
    /// An operator requested a report.
    Report {
        /// The requested report.
        query: ReportQuery,
        /// Receives the report.
        reply: Sender<Value>,
    },
    /// A poll of the platform's list of servers has finished.
    ServerListPolled {
        /// When the poll started.
        started_at: Instant,
        /// The list, or the error that prevented reading it.
        result: Result<Vec<ServerInstance>, PlatformError>,
    },
    /// A write to the disk has finished.
    WriteFinished(WriteResult),
    /// The settings were reloaded.
    SettingsReloaded(Box<Settings>),
    /// A shutdown of the process was requested.
    ShutdownRequested {
        /// Notified when the process may exit.
        ready: Sender<()>,
    },
}
