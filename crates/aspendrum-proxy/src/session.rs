//! Open connections of clients.

use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::threads::lock;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a new connection waits for its first request before it counts as idle: clients give a connection one second to come up,
/// and on a busy machine the request arrives well behind it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that a proxy keeps open between requests without asking what for.
const CROWDED: usize = 600;

/// A client's connection, as the threads see it that do not serve it.
pub struct ClientSession {
    pub(crate) stream: Arc<TcpStream>,
    /// Whether the client is still there, and its request in flight.
    pub connection: ClientConnection,
    is_busy: AtomicBool,
    has_had_request: AtomicBool,
    opened_at: Instant,
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
            has_had_request: AtomicBool::new(false),
            opened_at: Instant::now(),
        }
    }

    /// A request has begun to arrive, or has not been answered.
    pub(crate) fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Release);
        if is_busy {
            self.has_had_request.store(true, Ordering::Release);
        }
    }

    /// Its client is not known to be about to send a request: it has had an answer, or has sent nothing for long.
    fn is_idle(&self) -> bool {
        let is_new = !self.has_had_request.load(Ordering::Acquire)
            && self.opened_at.elapsed() < FIRST_REQUEST_TIMEOUT;
        !is_new && !self.is_busy.load(Ordering::Acquire)
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

    /// Ends those that are idle: only the side that is read, so that a request which has come by now is still read
    /// and answered.
    pub fn close_idle(&self) {
        let open = lock(&self.open);
        let idle = open.values().filter(|session| session.is_idle());
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
