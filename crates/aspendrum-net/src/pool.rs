//! Pooled connections to servers: opened when none is idle, kept between requests, the newest used first, closed well
//! before a server would close them, and bounded in number. The pool never retries a request.

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
    /// The most connections, idle or not.
    pub max_connections: usize,
    /// The shortest idle time before a connection is used again. Surplus bytes after a response have arrived by then,
    /// so that they are detected and not taken for the next request's response.
    pub min_idle: Duration,
    /// The buffers and time-outs of each connection.
    pub connection: ConnectionOptions,
}

/// One server's address and idle connections, the newest last.
#[derive(Default)]
struct IdleConnections {
    address: Option<SocketAddr>,
    connections: Vec<Connection>,
}

impl IdleConnections {
    /// Removes the newest connection that has been idle from `min_idle` to `max_idle`.
    fn take(&mut self, min_idle: Duration, max_idle: Duration) -> Option<Connection> {
        let fits = |connection: &Connection| {
            let idle_time = connection.idle_since.elapsed();
            idle_time >= min_idle && idle_time <= max_idle
        };
        let newest = self.connections.iter().rposition(fits)?;
        Some(self.connections.remove(newest))
    }
}

/// The connections to all servers.
pub struct Pool {
    idle: Mutex<HashMap<ServerId, IdleConnections>>,
    open_count: Arc<AtomicUsize>,
    limits: PoolLimits,
}

impl Pool {
    /// A pool without connections.
    pub fn new(limits: PoolLimits) -> Pool {
        Pool {
            idle: Mutex::default(),
            open_count: Arc::default(),
            limits,
        }
    }

    /// The buffers and time-outs of its connections.
    pub fn connection_options(&self) -> &ConnectionOptions {
        &self.limits.connection
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<ServerId, IdleConnections>> {
        lock(&self.idle)
    }

    /// Sets a server's address. If it changed, idle connections to the old one are closed.
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

    /// Forgets a server that is gone.
    pub fn forget(&self, server: ServerId) {
        self.idle().remove(&server);
    }

    /// Forgets all servers but these.
    pub fn retain(&self, servers: &HashSet<ServerId>) {
        self.idle().retain(|server, _| servers.contains(server));
    }

    /// A connection to the server: one that has been idle for `max_idle` or less, or else a new one. `before_use`
    /// receives its socket first, so that another thread can shut it down, and decides whether to go on.
    ///
    /// # Errors
    /// Nothing was sent. [`Outcome::ConnectFailed`]: the server cannot be reached. [`Outcome::NotSent`]: the server has
    /// nothing to do with it, as no descriptor was free or `before_use` refused.
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
                    connection.end_idle();
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

    /// The server's address, and an idle connection to it if there is one.
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

    /// Keeps a connection for the next request, unless more than the response has arrived on it.
    pub fn release(&self, server: ServerId, mut connection: Connection) {
        if !connection.nothing_received() {
            return;
        }
        connection.idle_since = Instant::now();
        if let Some(of_server) = self.idle().get_mut(&server) {
            if of_server.address == Some(connection.address) {
                of_server.connections.push(connection);
            }
        }
    }

    /// A permit for one more descriptor. If all are in use, the connection that has been idle longest is closed for it.
    fn acquire_permit(&self) -> Option<DescriptorPermit> {
        if self.open_count.load(Ordering::Relaxed) >= self.limits.max_connections {
            let mut idle = self.idle();
            let with_idle = idle.values_mut().filter(|s| !s.connections.is_empty());
            let oldest = with_idle.min_by_key(|s| s.connections.first().map(|c| c.idle_since))?;
            drop(oldest.connections.remove(0));
        }
        Some(DescriptorPermit::new(&self.open_count))
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        for of_server in self.idle().values_mut() {
            of_server.connections.retain(Connection::is_fresh);
        }
    }
}
