//! One connection of a client, and the answers that go out on it.

use crate::http;
use crate::Shop;
use aspendrum_core::api::Millis;
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::lock;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

pub const IDLE: u8 = 0;
pub const BUSY: u8 = 1;
pub const CLOSED: u8 = 2;

/// One client connection. Whoever closes it must find it idle, and shuts only the side that is read: a query
/// that had come by then is still read, and gets the connection's last answer.
pub struct Client {
    pub stream: Arc<TcpStream>,
    pub state: AtomicU8,
    /// When it was taken in, and when it last showed a sign of life or had an answer, in milliseconds since
    /// the limiter's start.
    pub opened: u64,
    pub used: AtomicU64,
    /// It has asked a well-formed query. Until then it may be anybody: floods of such connections must not
    /// push out those of the usual clients.
    pub known: AtomicBool,
    /// The query in hand, and whether its client is still there.
    pub presence: ClientConnection,
    pub out: Mutex<RingBuffer>,
}

impl Client {
    /// The connection by itself, where nobody else holds it.
    pub fn into_stream(self) -> Option<TcpStream> {
        drop(self.presence);
        Arc::into_inner(self.stream)
    }

    pub fn turn(&self, from: u8, to: u8) -> bool {
        self.state
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire)
            .is_ok()
    }

    /// Writes one whole answer, and says whether the connection goes on. That nobody reads it any more is no
    /// failure of ours.
    pub fn answer(
        &self,
        shop: &Shop,
        status: u16,
        advice: Millis,
        close: bool,
        kind: &[u8],
        body: &[u8],
    ) -> bool {
        let mut ring = lock(&self.out);
        // Draining began while the query was in hand: its client must not send another one here.
        let close = close || shop.draining() || self.state.load(Ordering::Acquire) == CLOSED;
        let fits = http::reply(&mut ring, status, advice, close, kind, body);
        let written = fits && ring.drain(&mut &*self.stream).is_ok();
        if !written {
            tracing::debug!("an answer found no reader");
        }
        written && !close
    }
}

impl AsRef<ClientConnection> for Client {
    fn as_ref(&self) -> &ClientConnection {
        &self.presence
    }
}
