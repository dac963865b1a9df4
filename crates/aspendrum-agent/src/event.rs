//! Events sent to the coordinator by the other threads of the agent.

use aspendrum_gossip::GossipMessage;
use aspendrum_model::message::{FromControl, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::FrameSender;
use aspendrum_net::memory_budget::MemoryReservation;
use crossbeam_channel::Sender;
use std::net::Ipv4Addr;

/// An event for the coordinator. Connections have increasing ids, which identify events of a connection that has been
/// replaced.
pub enum Event {
    /// A connection to a control node was established.
    ControlConnected {
        /// The id of the connection.
        id: u64,
        /// The address of the control node.
        ip: Ipv4Addr,
        /// The sending half of the connection.
        link: FrameSender,
    },
    /// A message was received from control.
    ControlMessage {
        /// The id of the connection.
        id: u64,
        /// The message.
        message: FromControl,
        /// The memory reserved for it.
        memory: MemoryReservation,
    },
    /// The connection to control has ended.
    ControlDisconnected {
        /// The id of the connection.
        id: u64,
    },
    /// The proxy has connected.
    ProxyConnected {
        /// The id of the connection.
        id: u64,
        /// The sending half of the connection.
        link: FrameSender,
    },
    /// A message was received from the proxy.
    ProxyMessage {
        /// The id of the connection.
        id: u64,
        /// The message.
        message: ToControl,
        /// The memory reserved for it.
        memory: MemoryReservation,
    },
    /// The connection to the proxy has ended.
    ProxyDisconnected {
        /// The id of the connection.
        id: u64,
    },
    /// A gossip datagram was received from another agent.
    Gossip {
        /// The address of the sending agent.
        from: Ipv4Addr,
        /// The message.
        message: GossipMessage,
    },
    /// Another agent has requested a snapshot.
    SnapshotRequest {
        /// Receives the snapshot as concatenated frames.
        reply: Sender<Vec<u8>>,
    },
    /// One section of a snapshot fetched from another agent.
    SnapshotSection {
        /// The section.
        section: StateSection,
        /// The memory reserved for it.
        memory: MemoryReservation,
    },
    /// The settings were reloaded.
    SettingsChanged(Box<Settings>),
    /// The process is shutting down.
    Shutdown {
        /// Notified once the proxy no longer needs this agent.
        done: Sender<()>,
    },
}
