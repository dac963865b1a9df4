//! Datagrams between limiters, over one link for each direction of each pair.
//!
//! For each pair of limiters `i` and `j` the mesh listens at an address that `i` uses for `j`. It forwards datagrams from
//! there to `j`, with the address that `j` uses for `i` as the source, so that `j` recognizes the peer of its own list.

use crate::fault::{Fault, REORDER_DELAY};
use crate::link::Link;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The largest datagram that the mesh forwards. It exceeds the size limit of limiters, so that oversized datagrams
/// reach receivers.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Forwards the datagrams between all limiters of a run, until it is dropped.
pub struct Mesh {
    size: usize,
    /// By sender, then receiver: the socket whose address the sender uses for the receiver.
    sockets: Vec<Arc<UdpSocket>>,
    /// The links, by sender, then receiver.
    links: Vec<Arc<Link>>,
    /// By sender: the socket whose address the sender uses to reach all other limiters.
    broadcast_sockets: Vec<Arc<UdpSocket>>,
    tasks: JoinSet<()>,
}

impl Mesh {
    /// Creates a mesh of `size` limiters at one loopback address.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn bind(ip: IpAddr, size: usize) -> io::Result<Mesh> {
        Mesh::bind_each(&vec![ip; size]).await
    }

    /// Creates a mesh of limiters with one IP address each, from which their datagrams are sent.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn bind_each(ips: &[IpAddr]) -> io::Result<Mesh> {
        let size = ips.len();
        let mut sockets = Vec::with_capacity(size * size);
        for _ in 0..size {
            sockets.extend(bind_all(ips).await?);
        }
        Ok(Mesh {
            size,
            sockets,
            links: (0..size * size).map(|_| Link::healthy()).collect(),
            broadcast_sockets: bind_all(ips).await?,
            tasks: JoinSet::new(),
        })
    }

    fn index(&self, from: usize, to: usize) -> usize {
        from * self.size + to
    }

    /// Returns the addresses that a limiter uses for each limiter, including itself.
    ///
    /// # Errors
    /// Fails if the address of a socket is not available.
    pub fn peers(&self, limiter: usize) -> io::Result<Vec<SocketAddr>> {
        let others = 0..self.size;
        others
            .map(|other| self.sockets[self.index(limiter, other)].local_addr())
            .collect()
    }

    /// Returns the address that a limiter uses to reach all other limiters.
    ///
    /// # Errors
    /// Fails if the address of the socket is not available.
    pub fn broadcast_addr(&self, limiter: usize) -> io::Result<SocketAddr> {
        self.broadcast_sockets[limiter].local_addr()
    }

    /// Returns the link from one limiter to another.
    pub fn link(&self, from: usize, to: usize) -> &Arc<Link> {
        &self.links[self.index(from, to)]
    }

    /// Starts to forward datagrams. `addresses` holds the addresses of the limiters, in their order.
    pub fn start(&mut self, addresses: &[SocketAddr]) {
        for from in 0..self.size {
            for to in 0..self.size {
                let socket = self.sockets[self.index(from, to)].clone();
                let path = self.path(from, to, addresses);
                self.tasks
                    .spawn(forward(socket, addresses[from], vec![path]));
            }
            let others = (0..self.size).filter(|to| *to != from);
            let paths = others.map(|to| self.path(from, to, addresses)).collect();
            let socket = self.broadcast_sockets[from].clone();
            self.tasks.spawn(forward(socket, addresses[from], paths));
        }
    }

    fn path(&self, from: usize, to: usize, addresses: &[SocketAddr]) -> Path {
        Path {
            link: self.link(from, to).clone(),
            source: self.sockets[self.index(to, from)].clone(),
            receiver: addresses[to],
        }
    }
}

async fn bind_all(ips: &[IpAddr]) -> io::Result<Vec<Arc<UdpSocket>>> {
    let mut sockets = Vec::with_capacity(ips.len());
    for ip in ips {
        sockets.push(Arc::new(UdpSocket::bind((*ip, 0)).await?));
    }
    Ok(sockets)
}

/// Forwards datagrams that `sender` sends to the socket, over all paths.
async fn forward(socket: Arc<UdpSocket>, sender: SocketAddr, paths: Vec<Path>) {
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports an earlier datagram that could not be delivered.
        match socket.recv_from(&mut datagram).await {
            Ok((size, from)) if from == sender => {
                paths
                    .iter()
                    .for_each(|path| path.transmit(&datagram[..size]));
            }
            _ => {}
        }
    }
}

/// A link with its end: the socket whose address the receiver uses for the sender, and the address of the receiver.
#[derive(Clone)]
struct Path {
    link: Arc<Link>,
    source: Arc<UdpSocket>,
    receiver: SocketAddr,
}

impl Path {
    fn transmit(&self, datagram: &[u8]) {
        let fault = self.link.fault();
        let occurs = |share: f64| share > 0.0 && rand::random::<f64>() < share;
        if fault.is_cut || occurs(fault.loss) {
            return self.link.record_loss();
        }
        self.send(datagram, &fault, occurs(fault.reordering));
        if occurs(fault.duplication) {
            self.send(datagram, &fault, false);
        }
    }

    fn send(&self, datagram: &[u8], fault: &Fault, is_reordered: bool) {
        let reorder_delay = if is_reordered {
            REORDER_DELAY
        } else {
            Duration::ZERO
        };
        let delay = fault.delay(rand::random()) + reorder_delay;
        if delay.is_zero() {
            return self.deliver(datagram);
        }
        let (path, datagram) = (self.clone(), datagram.to_vec());
        path.link.begin_delay();
        tokio::spawn(async move {
            sleep(delay).await;
            path.link.end_delay();
            path.deliver(&datagram);
        });
    }

    fn deliver(&self, datagram: &[u8]) {
        match self.source.try_send_to(datagram, self.receiver) {
            Ok(_) => self.link.record_delivery(datagram.len()),
            Err(_) => self.link.record_loss(),
        }
    }
}
