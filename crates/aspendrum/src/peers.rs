//! Datagrams between limiters, where the settings allow them.

use crate::notes::{Door, Note};
use aspendrum_net::threads::spawn;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

/// A longer datagram is not allowed.
const LONGEST: usize = 256;

pub struct Peers {
    socket: Arc<UdpSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn start(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        door: &Arc<Door>,
        stack: usize,
    ) -> std::io::Result<Peers> {
        let socket = Arc::new(UdpSocket::bind(listen)?);
        let (theirs, known, door) = (socket.clone(), peers.clone(), door.clone());
        spawn("peers", stack, move || {
            let mut space = [0; LONGEST + 1];
            loop {
                // A failure here is the echo of a datagram that found nobody.
                let Ok((n, sender)) = theirs.recv_from(&mut space) else {
                    continue;
                };
                let from = known
                    .iter()
                    .position(|p| *p == sender)
                    .and_then(|i| u16::try_from(i).ok());
                let Some(from) = from.filter(|_| n <= LONGEST) else {
                    continue;
                };
                if !door.tell(Note::Peer {
                    from,
                    data: space[..n].to_vec(),
                }) {
                    return;
                }
            }
        })?;
        Ok(Peers { socket, peers, all })
    }

    /// To one peer by its number, or to all. What does not fit or go is lost, as the network may lose it.
    pub fn tell(&self, to: Option<u32>, data: &[u8]) {
        let addr = match to {
            Some(n) => self.peers.get(n as usize).copied(),
            None => self.all,
        };
        if let Some(addr) = addr.filter(|_| data.len() <= LONGEST) {
            let _ = self.socket.send_to(data, addr);
        }
    }
}
