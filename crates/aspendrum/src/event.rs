//! The messages between the dispatcher and the limiter's other threads.

use aspendrum_core::api::{
    Event, ListKind, LoadReport, Millis, NewRequest, Outcome, RequestId, ServerEntry, ServerId,
};
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::net::SocketAddr;
use std::sync::Arc;

/// An event for the dispatcher.
pub enum DispatcherEvent {
    /// A request was read.
    Request {
        /// The request, as passed to the decision engine.
        request: NewRequest,
        /// The mailbox for the request's decisions.
        decisions: MailboxSender<RequestDecision>,
        /// Cancels attempts of the request.
        forward: Arc<ForwardHandle>,
    },
    /// The client disconnected while its request was in progress.
    ClientDisconnected {
        /// The id of the request.
        id: RequestId,
    },
    /// The attempt in flight has ended.
    AttemptEnded(AttemptEnd),
    /// The request got its response without a decision and receives no further decisions.
    Abandoned {
        /// The id of the request.
        id: RequestId,
    },
    /// An event that is passed to the decision engine unchanged.
    Engine(Event<'static>),
    /// A server list from discovery, or a failure to get one.
    Servers {
        /// The kind of list.
        list: ListKind,
        /// The version of the list.
        version: u32,
        /// The listed servers.
        entries: Vec<ServerEntry>,
    },
    /// A datagram from another limiter.
    PeerDatagram {
        /// The number of the sender.
        from: u16,
        /// The payload.
        data: Vec<u8>,
    },
    /// A new configuration changed the address of the counter.
    CounterAddressChanged {
        /// The new address.
        address: SocketAddr,
    },
    /// Stops the dispatcher.
    Stop,
}

/// The result of an attempt to run a request on a server.
pub struct AttemptEnd {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u8,
    /// The server.
    pub server: ServerId,
    /// The outcome.
    pub outcome: Outcome,
    /// The duration of the attempt, in milliseconds.
    pub rtt: Millis,
    /// The units charged by the server.
    pub charged: u16,
    /// The load reported by the server.
    pub load: LoadReport,
}

/// A decision of the dispatcher about a request. All variants but `Forward` end the request.
pub enum RequestDecision {
    /// Forward the request to a server.
    Forward {
        /// The number of the attempt.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// The timeout of the attempt in milliseconds. If absent, only the client's deadline applies.
        timeout: Option<Millis>,
    },
    /// Reject the request, which did not run.
    Shed {
        /// The time after which the client may retry, in milliseconds.
        retry_after: Option<Millis>,
    },
    /// Give up on the request, which may have run.
    Drop,
    /// The client has disconnected; no response is written.
    ClientDisconnected,
}

/// A request of the decision engine to the discovery client, used when discovery is polled.
#[derive(Clone, Copy, PartialEq)]
pub enum DiscoveryRequest {
    /// Start (`true`) or stop (`false`) watching for changes.
    Watch(bool),
    /// Fetch the complete list.
    Fetch,
}
