//! Events that the other threads send to the coordinator.

use aspendrum_gossip::GossipMessage;
use aspendrum_model::message::{FromControl, StateSection, ToControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::Link;
use crossbeam_channel::Sender;
use std::net::Ipv4Addr;

/// An event for the coordinator. Connections are numbered: an event of one that was replaced is recognised by its `id`.
pub enum Event {
    /// A connection to control is open.
    ControlConnected {
        /// The connection's number.
        id: u64,
        /// The control node.
        ip: Ipv4Addr,
        /// Its sending side.
        link: Link,
    },
    /// Control sent a message.
    ControlMessage {
        /// The connection's number.
        id: u64,
        /// The message.
        message: FromControl,
    },
    /// The connection to control has ended.
    ControlDisconnected {
        /// The connection's number.
        id: u64,
    },
    /// The proxy has connected.
    ProxyConnected {
        /// The connection's number.
        id: u64,
        /// Its sending side.
        link: Link,
    },
    /// The proxy sent a message.
    ProxyMessage {
        /// The connection's number.
        id: u64,
        /// The message.
        message: ToControl,
    },
    /// The connection of the proxy has ended.
    ProxyDisconnected {
        /// The connection's number.
        id: u64,
    },
    /// A datagram of another agent.
    Gossip {
        /// The agent.
        from: Ipv4Addr,
        /// Its message.
        message: GossipMessage,
    },
    /// Another agent asks for a snapshot.
    SnapshotRequest {
        /// Takes the snapshot: one frame after another.
        reply: Sender<Vec<u8>>,
    },
    /// Part of another agent's snapshot.
    SnapshotChunk(StateSection),
    /// The settings file has changed.
    SettingsChanged(Box<Settings>),
    /// The process is to end.
    Shutdown {
        /// Notified when the proxy no longer needs this agent.
        done: Sender<()>,
    },
}
