//! The datagrams between agents, and what an agent is to do next.
//!
//! Datagrams are postcard: variants and fields are encoded by their order, so neither may be reordered
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
        /// Neighbours that the sender gives away, and the sender itself.
        offer: Vec<Neighbour>,
    },
    /// Completes a shuffle.
    ShuffleReply {
        /// Neighbours that the sender gives in return.
        offer: Vec<Neighbour>,
    },
    /// Asks what a majority of control holds, and how long ago that was so.
    ReportRequest {
        /// When the request was sent, in milliseconds on the requester's clock; comes back in the reply.
        sent_at: u64,
    },
    /// Passes a majority report on: `age` milliseconds ago a majority held nothing newer than `decided`.
    Report {
        /// Copied from the request.
        sent_at: u64,
        /// The report's age when this was sent, in milliseconds.
        age: u32,
        /// The state that the sender holds, which is what the report confirms.
        decided: StateDigest,
    },
    /// The sender has no valid majority report either.
    NoReport {
        /// Copied from the request.
        sent_at: u64,
    },
}

/// What the owner of a [`GossipNode`](crate::GossipNode) is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// The receiving agent.
        to: Ipv4Addr,
        /// What to send.
        message: GossipMessage,
    },
    /// At this time a majority held nothing newer than what is held here.
    ConfirmedAsOf(Millis),
    /// This neighbour holds newer state: fetch a snapshot from it.
    FetchSnapshot(Ipv4Addr),
}
