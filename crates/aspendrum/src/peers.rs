//! Datagrams between limiters, if the settings allow them.

use crate::dispatcher_handle::DispatcherHandle;
use crate::event::DispatcherEvent;
use aspendrum_net::threads::spawn;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// The maximum size of a datagram. Longer ones are neither sent nor received.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The addresses of the other limiters.
pub struct PeerAddresses {
    /// The addresses, indexed by limiter number.
    pub peers: Vec<SocketAddr>,
    /// The broadcast address that reaches all of them.
    pub broadcast: Option<SocketAddr>,
}

/// The socket for datagrams to and from other limiters.
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    addresses: PeerAddresses,
}

impl PeerSocket {
    /// Binds the socket and starts a thread that passes each datagram from a known peer to the dispatcher.
    ///
    /// # Errors
    /// Fails if the socket cannot be bound or the receiving thread cannot be started.
    pub fn start(
        listen: SocketAddr,
        addresses: PeerAddresses,
        dispatcher: &Arc<DispatcherHandle>,
        stack_bytes: usize,
    ) -> io::Result<PeerSocket> {
        let socket = Arc::new(UdpSocket::bind(listen)?);
        let receiver = socket.clone();
        let known_peers = addresses.peers.clone();
        let dispatcher = dispatcher.clone();
        spawn("peers", stack_bytes, move || {
            receive(&receiver, &known_peers, &dispatcher)
        })?;
        Ok(PeerSocket { socket, addresses })
    }

    /// Sends a datagram to the peer with the given number, or to all peers. Errors are ignored, because the network may
    /// lose datagrams too.
    pub fn send(&self, to: Option<u32>, data: &[u8]) {
        let address = match to {
            Some(peer) => self.addresses.peers.get(peer as usize).copied(),
            None => self.addresses.broadcast,
        };
        if let Some(address) = address.filter(|_| data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.send_to(data, address);
        }
    }
}

fn receive(socket: &UdpSocket, known_peers: &[SocketAddr], dispatcher: &DispatcherHandle) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // An error reports that an earlier datagram could not be delivered.
        let Ok((size, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let number = known_peers.iter().position(|peer| *peer == sender);
        let from = number.and_then(|number| u16::try_from(number).ok());
        let Some(from) = from.filter(|_| size <= MAX_DATAGRAM_BYTES) else {
            continue;
        };
        if !dispatcher.send(DispatcherEvent::PeerDatagram {
            from,
            data: buffer[..size].to_vec(),
        }) {
            return;
        }
    }
}
