//! The UDP socket for gossip between agents.

use crate::event::Event;
use aspendrum_gossip::GossipMessage;
use aspendrum_model::settings::Settings;
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;

const STACK_BYTES: usize = 96 << 10;
/// An upper bound on the encoded size of a gossip message. The largest one carries eight neighbors.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Sends and receives gossip datagrams.
pub struct GossipSocket {
    socket: Arc<UdpSocket>,
    settings: Settings,
}

impl GossipSocket {
    /// Binds the gossip port and spawns a thread that receives datagrams while the process runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound or the thread cannot be spawned.
    pub fn open(
        settings: &Settings,
        events: &Arc<MailboxSender<Event>>,
    ) -> io::Result<GossipSocket> {
        let port = settings.gossip_port();
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(settings.ip, port))?);
        let (receiving_socket, events) = (socket.clone(), events.clone());
        spawn("gossip", STACK_BYTES, move || {
            receive(&receiving_socket, &events)
        })?;
        Ok(GossipSocket {
            socket,
            settings: settings.clone(),
        })
    }

    /// Sends a datagram to another agent. Delivery is not guaranteed.
    pub fn send(&self, to: Ipv4Addr, message: &GossipMessage) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let port = self.settings.gossip_port();
        if let Ok(bytes) = postcard::to_slice(message, &mut buffer) {
            let _ = self
                .socket
                .send_to(bytes, self.settings.dial_addr(SocketAddrV4::new(to, port)));
        }
    }
}

fn receive(socket: &UdpSocket, events: &MailboxSender<Event>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let (Ok(message), IpAddr::V4(from)) = (postcard::from_bytes(&buffer[..size]), from.ip())
        else {
            continue;
        };
        events.send(Event::Gossip { from, message }, None);
    }
}
