//! The address of discovery, which a new configuration may change, and the connection to it.

use aspendrum_net::connection::Connection;
use aspendrum_net::threads::lock;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Where discovery is reached.
pub(crate) struct DiscoveryEndpoint(Mutex<State>);

struct State {
    address: SocketAddr,
    /// The connection in use.
    stream: Option<Arc<TcpStream>>,
    has_moved: bool,
}

impl DiscoveryEndpoint {
    pub(crate) fn new(address: SocketAddr) -> DiscoveryEndpoint {
        DiscoveryEndpoint(Mutex::new(State {
            address,
            stream: None,
            has_moved: false,
        }))
    }

    /// Goes over to another address, and ends the connection to the old one at once: a watch there may be silent for
    /// seconds, and whatever it would still report is in the complete list that is fetched from the new one. Returns
    /// whether the address is another one.
    pub(crate) fn move_to(&self, address: SocketAddr) -> bool {
        let mut state = lock(&self.0);
        if state.address == address {
            return false;
        }
        if let Some(stream) = state.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.address = address;
        state.has_moved = true;
        true
    }

    pub(super) fn address(&self) -> SocketAddr {
        lock(&self.0).address
    }

    /// Whether the address has changed since the last call.
    pub(super) fn take_has_moved(&self) -> bool {
        std::mem::take(&mut lock(&self.0).has_moved)
    }

    /// Registers the connection in use. Returns false if the address has changed meanwhile: the connection is of no use.
    pub(super) fn register(&self, connection: &Connection) -> bool {
        let mut state = lock(&self.0);
        state.stream = (state.address == connection.address).then(|| connection.stream.clone());
        state.stream.is_some()
    }
}
