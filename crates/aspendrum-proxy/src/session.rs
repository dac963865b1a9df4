//! Open connections of clients.

use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::threads::lock;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Connections that a proxy keeps open between requests without asking what for.
const CROWDED: usize = 600;

/// A client's connection, as the threads see it that do not serve it.
pub struct ClientSession {
    pub(crate) stream: Arc<TcpStream>,
    /// Whether the client is still there, and its request in flight.
    pub connection: ClientConnection,
    is_busy: AtomicBool,
}

impl ClientSession {
    /// A connection without a request.
    pub fn new(stream: TcpStream) -> ClientSession {
        let stream = Arc::new(stream);
        let connection = ClientConnection::new(stream.clone());
        ClientSession {
            stream,
            connection,
            is_busy: AtomicBool::new(false),
        }
    }

    /// A request has begun to arrive, or has not been answered.
    pub(crate) fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Release);
    }
}

impl AsRef<ClientConnection> for ClientSession {
    fn as_ref(&self) -> &ClientConnection {
        &self.connection
    }
}

/// All open connections of clients, by a number of their own.
#[derive(Default)]
pub struct SessionRegistry {
    open: Mutex<HashMap<u64, Arc<ClientSession>>>,
}

impl SessionRegistry {
    /// How many are open.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// So many are open that each answer is the last of its connection: threads and descriptors are for requests.
    pub fn is_crowded(&self) -> bool {
        self.count() > CROWDED
    }

    /// Those with a request in flight.
    pub fn in_flight(&self) -> Vec<Arc<ClientSession>> {
        let open = lock(&self.open);
        open.values()
            .filter(|session| session.connection.request().is_some())
            .cloned()
            .collect()
    }

    /// Ends those without a request: only the side that is read, so that a request which has come by now is still read
    /// and answered.
    pub fn close_idle(&self) {
        let open = lock(&self.open);
        let idle = open
            .values()
            .filter(|session| !session.is_busy.load(Ordering::Acquire));
        idle.for_each(|session| session.connection.shut_down_if_idle());
    }

    /// Adds a connection that was accepted, under a number of its own.
    pub fn insert(&self, number: u64, session: Arc<ClientSession>) {
        lock(&self.open).insert(number, session);
    }

    pub(crate) fn remove(&self, number: u64) {
        lock(&self.open).remove(&number);
    }
}
