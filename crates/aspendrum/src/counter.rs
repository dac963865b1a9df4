//! The client of the shared counter, which distributes calls over a few connections by the name of the total.
//!
//! The dispatcher writes calls directly to established connections, because a separate writer thread cost a sixth of
//! the limiter's CPU time. Connections are opened on a separate thread, because connecting may block.

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
    /// Connections to previous addresses, kept until their last call gets a reply or times out.
    retired: Vec<Arc<CounterConnection>>,
    opener: MailboxSender<Arc<CounterConnection>>,
    dispatcher: Arc<DispatcherHandle>,
    limits: Arc<Limits>,
}

impl CounterClient {
    /// Creates a client, which opens its connections with the first calls.
    ///
    /// # Errors
    /// Fails if the thread that opens connections cannot be started.
    pub fn start(
        address: SocketAddr,
        dispatcher: &Arc<DispatcherHandle>,
        limits: &Arc<Limits>,
    ) -> io::Result<CounterClient> {
        // Sized for the connections to two addresses, because old ones may still be queued after an address change.
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

    /// Adds `amount` to the total with the given name. A new total expires after `ttl` milliseconds. Outcomes are
    /// reported to the dispatcher, for each name in the order of the calls.
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

    /// Switches to another address immediately.
    ///
    /// Calls that have not been written are sent to the new address. For written calls the old address's replies are
    /// awaited, because repeating them could add the amount twice. A reply from the new address may arrive before one
    /// from the old address for the same name; this is harmless, because both addresses reply with correct totals.
    pub fn change_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        tracing::info!(%address, "the counter has moved");
        self.address = address;
        let connections = self.connections_to(address);
        let old = std::mem::replace(&mut self.connections, connections);
        for (from, to) in old.iter().zip(&self.connections) {
            to.take_over_queued(from.retire(), || self.request_open(to));
        }
        self.retired.extend(old);
    }

    /// Reports calls that have timed out. The dispatcher calls this whenever one of its timers fires.
    pub fn expire(&mut self) {
        self.connections
            .iter()
            .for_each(|connection| connection.expire());
        self.retired.retain(|connection| {
            connection.expire();
            !connection.is_done()
        });
    }

    /// Requests that the connection be opened. Returns false if the queue of the opener thread is full.
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
