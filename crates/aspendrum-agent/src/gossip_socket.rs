//! Datagrams between agents.

use crate::event::Event;
use aspendrum_gossip::GossipMessage;
use aspendrum_model::settings::Settings;
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::spawn;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::Arc;

const STACK_BYTES: usize = 96 << 10;
/// A datagram of ours is shorter: eight neighbours and a time stamp.
const MAX_DATAGRAM: usize = 256;

/// Sends and receives datagrams of agents.
pub struct GossipSocket {
    socket: Arc<UdpSocket>,
    settings: Settings,
}

impl GossipSocket {
    /// Listens for as long as the process runs.
    ///
    /// # Errors
    ///
    /// The port cannot be bound, or no thread can be started.
    pub fn open(
        settings: &Settings,
        events: &Arc<MailboxSender<Event>>,
    ) -> io::Result<GossipSocket> {
        let port = settings.gossip_port();
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(settings.ip, port))?);
        let (own_socket, events) = (socket.clone(), events.clone());
        spawn("gossip", STACK_BYTES, move || receive(&own_socket, &events))?;
        Ok(GossipSocket {
            socket,
            settings: settings.clone(),
        })
    }

    /// Sends a datagram to another agent. It may be lost, as any datagram.
    pub fn send(&self, to: Ipv4Addr, message: &GossipMessage) {
        let mut space = [0; MAX_DATAGRAM];
        let port = self.settings.gossip_port();
        if let Ok(bytes) = postcard::to_slice(message, &mut space) {
            let _ = self
                .socket
                .send_to(bytes, self.settings.dial_addr(SocketAddrV4::new(to, port)));
        }
    }
}

fn receive(socket: &UdpSocket, events: &MailboxSender<Event>) {
    let mut space = [0; MAX_DATAGRAM];
    loop {
        let Ok((size, from)) = socket.recv_from(&mut space) else {
            continue;
        };
        let (Ok(message), IpAddr::V4(from)) = (postcard::from_bytes(&space[..size]), from.ip())
        else {
            continue;
        };
        events.send(Event::Gossip { from, message }, None);
    }
}
