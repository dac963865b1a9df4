//! Calls to the shared counter, distributed over a few connections by the name of the total.
//!
//! The dispatcher writes calls itself where a connection is established: a thread in between cost a sixth of a limiter's CPU
//! time. Connecting, which may take long, is done by a thread of its own.

mod connection;
pub mod resp;

use crate::dispatcher_handle::DispatcherHandle;
use crate::limits::Limits;
use aspendrum_core::api::Millis;
use aspendrum_net::mailbox::{self, MailboxReceiver, MailboxSender};
use aspendrum_net::threads::spawn;
use connection::{Call, CounterConnection};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// The connections to the counter.
pub struct CounterClient {
    address: SocketAddr,
    connections: Vec<Arc<CounterConnection>>,
    /// Connections to earlier addresses, until their last call is answered or timed out.
    retired: Vec<Arc<CounterConnection>>,
    opener: MailboxSender<Arc<CounterConnection>>,
    dispatcher: Arc<DispatcherHandle>,
    limits: Arc<Limits>,
}

impl CounterClient {
    /// A client that opens its connections with the first calls.
    ///
    /// # Errors
    /// The error of the thread that opens connections.
    pub fn start(
        address: SocketAddr,
        dispatcher: &Arc<DispatcherHandle>,
        limits: &Arc<Limits>,
    ) -> io::Result<CounterClient> {
        // Room for the connections to two addresses: after a move the old ones may still wait to be opened.
        let capacity = 2 * limits.counter.connections;
        let start_opener = |requests: MailboxReceiver<Arc<CounterConnection>>| {
            spawn("counter", limits.threads.stack_bytes, move || {
                open_connections(&requests)
            })
        };
        let opener = mailbox::spawn_receiver(capacity, start_opener)?;
        let mut client = CounterClient {
            address,
            connections: Vec::new(),
            retired: Vec::new(),
            opener,
            dispatcher: dispatcher.clone(),
            limits: limits.clone(),
        };
        client.connections = client.connections_to(address);
        Ok(client)
    }

    fn connections_to(&self, address: SocketAddr) -> Vec<Arc<CounterConnection>> {
        let connection = |_| {
            Arc::new(CounterConnection::new(
                address,
                &self.dispatcher,
                &self.limits,
            ))
        };
        (0..self.limits.counter.connections)
            .map(connection)
            .collect()
    }

    /// Adds `amount` to the total of that name, which expires after `ttl` if it is new. The outcome is reported to the
    /// dispatcher, in the order of the calls of that name.
    pub fn add(&self, name: u64, amount: f32, ttl: Millis) {
        let index = name as usize % self.connections.len().max(1);
        let Some(connection) = self.connections.get(index) else {
            return;
        };
        let call = Call {
            name,
            amount,
            ttl,
            called_at: Instant::now(),
        };
        connection.call(call, || self.request_open(connection));
    }

    /// Goes over to another address at once.
    ///
    /// Calls that were not written yet go there. For those that were, the replies are awaited: they have been added or will
    /// be. Both addresses reply with true totals, so that a reply of the new one may overtake one of the same name.
    pub fn move_to(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        tracing::info!(%address, "the counter has moved");
        self.address = address;
        let connections = self.connections_to(address);
        let old = std::mem::replace(&mut self.connections, connections);
        for (from, to) in old.iter().zip(&self.connections) {
            to.adopt_queued(from.retire(), || self.request_open(to));
        }
        self.retired.extend(old);
    }

    /// Reports calls whose time-out has passed. The dispatcher calls this with each of its timers.
    pub fn expire(&mut self) {
        self.connections
            .iter()
            .for_each(|connection| connection.expire());
        self.retired.retain(|connection| {
            connection.expire();
            !connection.is_done()
        });
    }

    /// Has the connection opened. Returns false if too many wait for that already.
    fn request_open(&self, connection: &Arc<CounterConnection>) -> bool {
        self.opener.try_send(connection.clone()).is_ok()
    }
}

impl Drop for CounterClient {
    fn drop(&mut self) {
        self.opener.close();
    }
}

fn open_connections(requests: &MailboxReceiver<Arc<CounterConnection>>) {
    while let Ok(connection) = requests.recv_deadline(None) {
        connection.open();
    }
}
