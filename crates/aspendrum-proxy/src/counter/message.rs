//! Datagrams between proxies. Postcard writes variants and fields by their order: a proxy of another version reads
//! these bytes, so nothing here may be reordered, split or merged.

use super::id::CounterId;
use serde::{Deserialize, Serialize};

/// A counter on its way to its next owner. Its last owner grants nothing from it any more.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterHandover {
    /// The counter.
    pub counter: CounterId,
    /// What its current window holds; `None` if its last owner still waited to take it over, and granted nothing.
    pub total: Option<f32>,
    /// Milliseconds since its window began, or since its last owner began to wait.
    pub age_ms: u32,
}

/// A datagram between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterMessage {
    /// Adds to a counter that the receiver owns.
    Add {
        /// Comes back with the answer.
        call: u32,
        /// The counter.
        counter: CounterId,
        /// How much to add.
        amount: f32,
    },
    /// Answers [`CounterMessage::Add`].
    Total {
        /// The call that is answered.
        call: u32,
        /// What the counter's window holds, with the amount added.
        total: f32,
    },
    /// Answers [`CounterMessage::Add`]: nothing was added. Another proxy may still own the counter, or its tenant is not
    /// known to the receiver.
    Unavailable {
        /// The call that is answered.
        call: u32,
    },
    /// The sender does not own that counter any more.
    Handover(CounterHandover),
}
