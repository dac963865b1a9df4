//! The messages between the dispatcher and the limiter's other threads.

use aspendrum_core::api::{
    Event, ListKind, LoadReport, Millis, NewRequest, Outcome, RequestId, ServerEntry, ServerId,
};
use aspendrum_net::forward::ForwardHandle;
use aspendrum_net::mailbox::MailboxSender;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the dispatcher is notified of.
pub enum DispatcherEvent {
    /// A request was read.
    Request {
        /// What the decision engine needs to know of it.
        request: NewRequest,
        /// Where its decisions are sent.
        decisions: MailboxSender<RequestDecision>,
        /// The means to cancel its attempts.
        forward: Arc<ForwardHandle>,
    },
    /// The client disconnected while its request was in progress.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The attempt in flight has ended.
    AttemptEnded(AttemptEnd),
    /// The request has its response without a decision; no further decision is read.
    Abandoned {
        /// The request.
        id: RequestId,
    },
    /// An event that goes to the decision engine unchanged.
    Engine(Event<'static>),
    /// Discovery's list, or that there is none.
    Servers {
        /// What the list is.
        list: ListKind,
        /// Its version.
        version: u32,
        /// Its servers.
        entries: Vec<ServerEntry>,
    },
    /// A datagram of another limiter.
    PeerDatagram {
        /// The other limiter's number.
        from: u16,
        /// Its contents.
        data: Vec<u8>,
    },
    /// A new configuration names another address of the counter.
    CounterMoved {
        /// The address.
        to: SocketAddr,
    },
    /// The limiter stops.
    Stop,
}

/// How an attempt to run a request at a server ended.
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u8,
    /// The server.
    pub server: ServerId,
    /// The outcome.
    pub outcome: Outcome,
    /// How long the attempt took.
    pub rtt: Millis,
    /// Units that the server charged.
    pub charged: u16,
    /// The load that the server reported.
    pub load: LoadReport,
}

/// What the dispatcher decides for a request. One of the last three ends it.
pub enum RequestDecision {
    /// Send it to a server.
    Forward {
        /// The attempt's number.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// How long the attempt may take; the client's deadline, if there is none.
        timeout: Option<Millis>,
    },
    /// Reject it: it did not run.
    Shed {
        /// After how long the client may retry.
        retry_after: Option<Millis>,
    },
    /// Give it up: it may have run.
    Drop,
    /// The client has disconnected: there is nobody to respond to.
    ClientDisconnected,
}

/// What the decision engine requests of discovery, where lists must be asked for.
#[derive(Clone, Copy, PartialEq)]
pub enum DiscoveryRequest {
    /// Watch for changes, or no longer.
    Watch(bool),
    /// Fetch the complete list.
    Fetch,
}
