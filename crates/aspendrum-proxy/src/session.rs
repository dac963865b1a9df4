//! Sessions: the open connections of clients.

use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::threads::lock;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a new connection waits for its first request before it counts as idle. Clients allow one second for a
/// connection to be established, and on a busy machine the request arrives well after it.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of open connections up to which connections are kept alive between requests.
const KEEP_ALIVE_LIMIT: usize = 600;

/// A client's connection, as seen by threads other than the one serving it.
pub struct ClientSession {
    pub(crate) stream: Arc<TcpStream>,
    /// Tracks whether the client is connected, and its request in flight.
    pub connection: ClientConnection,
    is_busy: AtomicBool,
    has_received_request: AtomicBool,
    opened_at: Instant,
}

impl ClientSession {
    /// Creates the session of a connection without a request.
    pub fn new(stream: TcpStream) -> ClientSession {
        let stream = Arc::new(stream);
        let connection = ClientConnection::new(stream.clone());
        ClientSession {
            stream,
            connection,
            is_busy: AtomicBool::new(false),
            has_received_request: AtomicBool::new(false),
            opened_at: Instant::now(),
        }
    }

    /// Sets whether a request has begun to arrive or is being handled.
    pub(crate) fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::Release);
        if is_busy {
            self.has_received_request.store(true, Ordering::Release);
        }
    }

    /// Whether no request is expected on the connection: one was answered, or the wait for the first has timed out.
    fn is_idle(&self) -> bool {
        let is_new = !self.has_received_request.load(Ordering::Acquire)
            && self.opened_at.elapsed() < FIRST_REQUEST_TIMEOUT;
        !is_new && !self.is_busy.load(Ordering::Acquire)
    }
}

impl AsRef<ClientConnection> for ClientSession {
    fn as_ref(&self) -> &ClientConnection {
        &self.connection
    }
}

/// All open client connections, by session number.
#[derive(Default)]
pub struct SessionRegistry {
    open: Mutex<HashMap<u64, Arc<ClientSession>>>,
}

impl SessionRegistry {
    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Whether there are too many open connections to keep them alive after a response. Threads and file
    /// descriptors are then reserved for requests.
    pub fn exceeds_keep_alive_limit(&self) -> bool {
        self.count() > KEEP_ALIVE_LIMIT
    }

    /// Returns the sessions with a request in flight.
    pub fn in_flight(&self) -> Vec<Arc<ClientSession>> {
        let open = lock(&self.open);
        open.values()
            .filter(|session| session.connection.request().is_some())
            .cloned()
            .collect()
    }

    /// Shuts down the receiving side of idle connections, so that a request that has already arrived is still
    /// read and answered.
    pub fn close_idle(&self) {
        let open = lock(&self.open);
        let idle = open.values().filter(|session| session.is_idle());
        idle.for_each(|session| session.connection.shut_down_if_idle());
    }

    /// Adds an accepted connection under a unique session number.
    pub fn insert(&self, number: u64, session: Arc<ClientSession>) {
        lock(&self.open).insert(number, session);
    }

    pub(crate) fn remove(&self, number: u64) {
        lock(&self.open).remove(&number);
    }
}
