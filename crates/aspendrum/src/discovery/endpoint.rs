//! The address of the discovery service, which a configuration reload may change, and the connection to it.

use aspendrum_net::connection::Connection;
use aspendrum_net::threads::lock;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// The discovery service's current address.
pub(crate) struct DiscoveryEndpoint(Mutex<State>);

struct State {
    address: SocketAddr,
    /// The connection in use.
    stream: Option<Arc<TcpStream>>,
    has_address_changed: bool,
}

impl DiscoveryEndpoint {
    pub(crate) fn new(address: SocketAddr) -> DiscoveryEndpoint {
        DiscoveryEndpoint(Mutex::new(State {
            address,
            stream: None,
            has_address_changed: false,
        }))
    }

    /// Changes the address and closes the connection to the old one immediately: a watch on it could block for seconds,
    /// and the complete list fetched from the new address includes any change that the watch would report. Returns
    /// whether the address has changed.
    pub(crate) fn change_address(&self, address: SocketAddr) -> bool {
        let mut state = lock(&self.0);
        if state.address == address {
            return false;
        }
        if let Some(stream) = state.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.address = address;
        state.has_address_changed = true;
        true
    }

    pub(super) fn address(&self) -> SocketAddr {
        lock(&self.0).address
    }

    /// Returns whether the address has changed since the last call, and clears the flag.
    pub(super) fn take_address_changed(&self) -> bool {
        std::mem::take(&mut lock(&self.0).has_address_changed)
    }

    /// Registers the connection in use. Returns false if the address has changed since it was opened.
    pub(super) fn register(&self, connection: &Connection) -> bool {
        let mut state = lock(&self.0);
        state.stream = (state.address == connection.address).then(|| connection.stream.clone());
        state.stream.is_some()
    }
}
