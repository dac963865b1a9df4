//! The datagrams between agents, and the actions of an agent.
//!
//! Datagrams are encoded with postcard, which identifies variants and fields by position. Their order must not change
//! (`tests/wire_bytes.rs`).

use crate::view::Neighbour;
use aspendrum_model::message::StateDigest;
use aspendrum_model::time::Millis;
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A datagram between agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Starts a shuffle.
    ShuffleRequest {
        /// Entries of the sender's view, and the sender itself.
        offer: Vec<Neighbour>,
    },
    /// Completes a shuffle.
    ShuffleReply {
        /// Entries of the sender's view, in exchange for those of the request.
        offer: Vec<Neighbour>,
    },
    /// Requests the receiver's majority report.
    ReportRequest {
        /// When the request was sent, in milliseconds on the requester's clock. Copied into the reply.
        sent_at: u64,
    },
    /// Forwards a majority report: `age` milliseconds ago, a majority of control held no state newer than `decided`.
    Report {
        /// Copied from the request.
        sent_at: u64,
        /// The age of the report at the time of sending, in milliseconds.
        age: u32,
        /// The sender's state, which the report confirms.
        decided: StateDigest,
    },
    /// Replies that the sender has no valid majority report.
    NoReport {
        /// Copied from the request.
        sent_at: u64,
    },
}

/// An action for the owner of a [`GossipNode`](crate::GossipNode) to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// The receiving agent.
        to: Ipv4Addr,
        /// The datagram.
        message: GossipMessage,
    },
    /// Record that at this time a majority of control held no state newer than that of this agent.
    ConfirmedAsOf(Millis),
    /// Fetch a snapshot from this neighbour, which holds a newer state.
    FetchSnapshot(Ipv4Addr),
}
