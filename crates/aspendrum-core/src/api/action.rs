//! Actions: the engine's output.

use super::{Millis, RequestId, ServerId};

/// Something is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Forward {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How long to wait for a response; 0: until the client gives up.
        timeout: Millis,
    },
    /// Answer a request: it may be sent again. A final answer.
    Shed {
        /// The request.
        id: RequestId,
        /// After how long the client may retry; 0 if no advice is sent.
        retry_after: Millis,
        /// It was beyond its tenant's quota.
        beyond_quota: bool,
    },
    /// Answer a request with an error. A final answer.
    Drop {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number among those of the request, from 0 on.
        forward: u8,
    },
    /// Add to a name in the shared counter, and read its total.
    AddToCounter {
        /// The name.
        name: u64,
        /// How much; may be negative or 0.
        units: f32,
        /// How long the counter is to keep the name.
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
    /// Send [`Event::Timer`](super::Event::Timer) later.
    Timer {
        /// Comes back with the event.
        token: u32,
        /// How much later.
        wait: Millis,
    },
    /// Ask discovery for the list of servers once.
    FetchServers,
    /// Subscribe to discovery's list of servers, or end that.
    WatchServers {
        /// Subscribe.
        on: bool,
    },
    /// Send a datagram to another instance.
    SendDatagram {
        /// The instance's number; `None`: all others.
        to: Option<u32>,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Log a line.
    Log(String),
    /// Report that the engine is at fault.
    Fault(String),
}
