//! Actions, the output of the engine.

use super::{Millis, RequestId, ServerId};

/// An action for the caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Forward {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long to wait for a response; 0: until the client's deadline.
        timeout: Millis,
    },
    /// Reject a request so that its client may safely retry. This is a final answer.
    Shed {
        /// The request.
        id: RequestId,
        /// The delay after which the client may retry; 0 if none is sent.
        retry_after: Millis,
        /// The request was beyond its tenant's quota.
        beyond_quota: bool,
    },
    /// Answer a request with an error. This is a final answer.
    Drop {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request, from 0 on.
        attempt: u8,
    },
    /// Add units to a name in the shared counter, and read its total.
    AddToCounter {
        /// The name.
        name: u64,
        /// The units to add; may be negative or 0.
        units: f32,
        /// How long the counter must keep the name.
        ttl: Millis,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseConnections {
        /// The server.
        server: ServerId,
    },
    /// Send [`Event::Timer`](super::Event::Timer) after a delay.
    Timer {
        /// Returned with the event.
        token: u32,
        /// The delay.
        wait: Millis,
    },
    /// Fetch the server list from discovery once.
    FetchServers,
    /// Subscribe to discovery's server list, or unsubscribe.
    WatchServers {
        /// Whether to subscribe.
        on: bool,
    },
    /// Send a datagram to another instance.
    SendDatagram {
        /// The instance's number; `None`: all other instances.
        to: Option<u32>,
        /// The content.
        data: Vec<u8>,
    },
    /// Log a message.
    Log(String),
    /// Report an internal error of the engine.
    Fault(String),
}
