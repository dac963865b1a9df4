//! A pool of connections to servers. A connection is opened if none is idle and kept between requests. The most
//! recently used connection is reused first. Idle connections are closed before their servers would close them, and the
//! total number of connections is bounded. The pool never retries a request.

use crate::connection::{Connection, ConnectionOptions};
use crate::descriptor_permit::DescriptorPermit;
use crate::threads::lock;
use aspendrum_core::api::{Outcome, ServerId};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The limits of a pool and of its connections.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// The maximum number of open connections, idle or in use.
    pub max_connections: usize,
    /// The minimum idle time before a connection is reused. It leaves time for surplus bytes after a response to
    /// arrive, so that they are detected and not parsed as the response to the next request.
    pub min_idle: Duration,
    /// The buffer sizes and timeouts of each connection.
    pub connection: ConnectionOptions,
}

/// The address and the idle connections of one server, the most recently used last.
#[derive(Default)]
struct IdleConnections {
    address: Option<SocketAddr>,
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// Removes and returns the most recently used connection whose idle time is between `min_idle` and `max_idle`.
    fn take(&mut self, min_idle: Duration, max_idle: Duration) -> Option<Connection> {
        let fits = |connection: &Connection| {
            let idle_time = connection.idle_since.elapsed();
            idle_time >= min_idle && idle_time <= max_idle
        };
        let newest = self.connections.iter().rposition(fits)?;
        Some(self.connections.remove(newest))
    }
}

/// A pool of connections to all servers.
pub struct Pool {
    idle: Mutex<HashMap<ServerId, IdleConnections>>,
    open_count: Arc<AtomicUsize>,
    limits: PoolLimits,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(limits: PoolLimits) -> Pool {
        Pool {
            idle: Mutex::default(),
            open_count: Arc::default(),
            limits,
        }
    }

    /// Returns the buffer sizes and timeouts of the connections.
    pub fn connection_options(&self) -> &ConnectionOptions {
        &self.limits.connection
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<ServerId, IdleConnections>> {
        lock(&self.idle)
    }

    /// Sets the address of a server. If it has changed, idle connections to the old address are closed.
    pub fn set_address(&self, server: ServerId, address: SocketAddr) {
        let mut idle = self.idle();
        let of_server = idle.entry(server).or_default();
        if of_server.address != Some(address) {
            *of_server = IdleConnections {
                address: Some(address),
                connections: Vec::new(),
            };
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(of_server) = self.idle().get_mut(&server) {
            of_server.connections.clear();
        }
    }

    /// Removes a server and closes its idle connections.
    pub fn remove_server(&self, server: ServerId) {
        self.idle().remove(&server);
    }

    /// Removes all servers except the given ones.
    pub fn retain(&self, servers: &HashSet<ServerId>) {
        self.idle().retain(|server, _| servers.contains(server));
    }

    /// Returns a connection to the server: one that has been idle for at least [`PoolLimits::min_idle`] and at most
    /// `max_idle`, or else a new one.
    /// `before_use` receives the socket first, so that another thread can shut it down. If it returns false, no
    /// connection is returned.
    ///
    /// # Errors
    /// Nothing was sent in any of these cases. Returns [`Outcome::ConnectFailed`] if the server is unknown or no new
    /// connection was opened, which includes `before_use` refusing one. Returns [`Outcome::NotSent`] if `before_use`
    /// refused an idle connection or the maximum number of connections is in use.
    pub fn acquire(
        &self,
        server: ServerId,
        connect_timeout: Duration,
        max_idle: Duration,
        before_use: impl FnOnce(&Arc<TcpStream>) -> bool,
    ) -> Result<Connection, Outcome> {
        loop {
            let (address, idle) = self.take_idle(server, max_idle)?;
            match idle {
                Some(mut connection) if connection.is_fresh() && connection.is_reusable() => {
                    connection.record_idle_time();
                    return if before_use(&connection.stream) {
                        Ok(connection)
                    } else {
                        Err(Outcome::NotSent)
                    };
                }
                Some(_) => {}
                None => {
                    let permit = self.acquire_permit().ok_or(Outcome::NotSent)?;
                    let options = &self.limits.connection;
                    let opened =
                        Connection::open(address, connect_timeout, options, permit, before_use);
                    return opened.map_err(|_| Outcome::ConnectFailed);
                }
            }
        }
    }

    /// Returns the address of the server, and an idle connection to it if there is one.
    fn take_idle(
        &self,
        server: ServerId,
        max_idle: Duration,
    ) -> Result<(SocketAddr, Option<Connection>), Outcome> {
        let mut idle = self.idle();
        let of_server = idle.get_mut(&server).ok_or(Outcome::ConnectFailed)?;
        let connection = of_server.take(self.limits.min_idle, max_idle);
        let address = of_server.address.ok_or(Outcome::ConnectFailed)?;
        Ok((address, connection))
    }

    /// Returns a connection to the pool. It is closed instead if it holds surplus bytes, if the server expects the rest of
    /// a request, if the server was removed, or if the address of the server has changed.
    pub fn release(&self, server: ServerId, mut connection: Connection) {
        if !connection.is_receive_buffer_empty() || !connection.is_request_sent() {
            return;
        }
        connection.idle_since = Instant::now();
        if let Some(of_server) = self.idle().get_mut(&server) {
            if of_server.address == Some(connection.address) {
                of_server.connections.push(connection);
            }
        }
    }

    /// Returns a permit for one more connection. At the limit, the connection that has been idle longest is closed
    /// first; `None` if there is no idle connection.
    fn acquire_permit(&self) -> Option<DescriptorPermit> {
        if self.open_count.load(Ordering::Relaxed) >= self.limits.max_connections {
            let mut idle = self.idle();
            let with_idle = idle.values_mut().filter(|s| !s.connections.is_empty());
            let oldest = with_idle.min_by_key(|s| s.connections.first().map(|c| c.idle_since))?;
            drop(oldest.connections.remove(0));
        }
        Some(DescriptorPermit::new(&self.open_count))
    }

    /// Closes the connections whose idle timeout has expired.
    pub fn close_expired(&self) {
        for of_server in self.idle().values_mut() {
            of_server.connections.retain(Connection::is_fresh);
        }
    }
}
