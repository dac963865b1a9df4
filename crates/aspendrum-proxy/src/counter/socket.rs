//! The socket for counter datagrams between proxies.

use super::message::CounterMessage;
use aspendrum_model::settings::Settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, UdpSocket};

/// The maximum length of an encoded message, in bytes.
const MAX_MESSAGE_BYTES: usize = 32;
/// The length of the receive buffer, in bytes. Longer datagrams are truncated and fail to decode.
const RECEIVE_BUFFER_BYTES: usize = 64;

/// Sends and receives counter datagrams.
pub struct CounterSocket {
    socket: UdpSocket,
    settings: Settings,
}

impl CounterSocket {
    /// Wraps a socket that is bound to this proxy's counter port.
    pub fn new(socket: UdpSocket, settings: &Settings) -> CounterSocket {
        CounterSocket {
            socket,
            settings: settings.clone(),
        }
    }

    /// Sends a datagram to another proxy. Errors are ignored, since a datagram may be lost in any case.
    pub fn send(&self, to: Ipv4Addr, message: &CounterMessage) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        if let Ok(bytes) = postcard::to_slice(message, &mut buffer) {
            let address = SocketAddrV4::new(to, self.settings.counter_port());
            let _ = self.socket.send_to(bytes, self.settings.dial_addr(address));
        }
    }

    /// Waits for the next datagram. Returns `None` if receiving fails or the datagram cannot be decoded.
    pub fn receive(&self) -> Option<(Ipv4Addr, CounterMessage)> {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        let (size, from) = self.socket.recv_from(&mut buffer).ok()?;
        let message = postcard::from_bytes(&buffer[..size]).ok()?;
        match from.ip() {
            IpAddr::V4(ip) => Some((ip, message)),
            IpAddr::V6(_) => None,
        }
    }
}
