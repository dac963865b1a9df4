//! The socket over which proxies send each other counter datagrams.

use super::message::CounterMessage;
use aspendrum_model::settings::Settings;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, UdpSocket};

/// No datagram of ours is longer.
const MAX_SENT: usize = 32;
/// Longer datagrams are cut, and then not understood.
const MAX_RECEIVED: usize = 64;

/// Sends and receives counter datagrams.
pub struct CounterSocket {
    socket: UdpSocket,
    settings: Settings,
}

impl CounterSocket {
    /// Over a socket that is bound to this proxy's counter port.
    pub fn new(socket: UdpSocket, settings: &Settings) -> CounterSocket {
        CounterSocket {
            socket,
            settings: settings.clone(),
        }
    }

    /// Sends a datagram to another proxy. It may be lost, as any datagram.
    pub fn send(&self, to: Ipv4Addr, message: &CounterMessage) {
        let mut space = [0; MAX_SENT];
        if let Ok(bytes) = postcard::to_slice(message, &mut space) {
            let address = SocketAddrV4::new(to, self.settings.counter_port());
            let _ = self.socket.send_to(bytes, self.settings.dial_addr(address));
        }
    }

    /// Waits for the next datagram; `None` if none can be read, or it is no message of ours.
    pub fn receive(&self) -> Option<(Ipv4Addr, CounterMessage)> {
        let mut space = [0; MAX_RECEIVED];
        let (size, from) = self.socket.recv_from(&mut space).ok()?;
        let message = postcard::from_bytes(&space[..size]).ok()?;
        match from.ip() {
            IpAddr::V4(ip) => Some((ip, message)),
            IpAddr::V6(_) => None,
        }
    }
}
