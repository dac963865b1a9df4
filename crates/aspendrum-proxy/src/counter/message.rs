//! Datagrams between proxies. Postcard encodes variants and fields by position, and proxies of other versions decode
//! these bytes, so nothing here may be reordered, split or merged.

use super::id::CounterId;
use serde::{Deserialize, Serialize};

/// The transfer of a counter to its next owner. The sender no longer grants anything from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterHandover {
    /// The counter.
    pub counter: CounterId,
    /// The total of the current window, or `None` if the sender was still waiting to take over the counter and
    /// granted nothing.
    pub total: Option<f32>,
    /// The time since the window began, or since the sender began to wait, in milliseconds.
    pub age_ms: u32,
}

/// A datagram between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterMessage {
    /// Adds to a counter owned by the receiver.
    Add {
        /// The call number, returned in the reply.
        call: u32,
        /// The counter.
        counter: CounterId,
        /// The number of units to add.
        amount: f32,
    },
    /// The reply to [`CounterMessage::Add`] after the amount has been added.
    Total {
        /// The call number of the request.
        call: u32,
        /// The total of the counter's window, including the amount added.
        total: f32,
    },
    /// The reply to [`CounterMessage::Add`] if nothing was added: another proxy may still own the counter, or the
    /// receiver does not know the tenant.
    Unavailable {
        /// The call number of the request.
        call: u32,
    },
    /// Transfers a counter that the sender no longer owns.
    Handover(CounterHandover),
}
