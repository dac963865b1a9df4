//! Datagrams between limiters, over a link for each direction of each pair.
//!
//! Limiter `i` knows limiter `j` by an address of its own, at which the mesh listens. What arrives there goes to `j` from the
//! address by which `j` knows `i`, so that `j` sees a datagram from the peer that its own list names.

use crate::fault::{Fault, REORDER_DELAY};
use crate::link::Link;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Limiters may not send datagrams of this size; the mesh carries them nevertheless, so that they are seen.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The datagrams between all limiters of a run. It carries them until it is dropped.
pub struct Mesh {
    size: usize,
    /// By sender, then receiver: the socket by which the sender knows the receiver.
    sockets: Vec<Arc<UdpSocket>>,
    /// By sender, then receiver.
    links: Vec<Arc<Link>>,
    /// By sender: the socket by which it reaches all others at once.
    broadcast_sockets: Vec<Arc<UdpSocket>>,
    tasks: JoinSet<()>,
}

impl Mesh {
    /// A mesh of so many limiters at that loopback address.
    ///
    /// # Errors
    /// No port is free.
    pub async fn bind(ip: IpAddr, size: usize) -> io::Result<Mesh> {
        Mesh::bind_each(&vec![ip; size]).await
    }

    /// A mesh of limiters with an IP address each, at which their datagrams come from.
    ///
    /// # Errors
    /// No port is free.
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

    /// The addresses by which a limiter knows each limiter, itself included.
    ///
    /// # Errors
    /// The system does not know a socket's address.
    pub fn peers(&self, limiter: usize) -> io::Result<Vec<SocketAddr>> {
        let others = 0..self.size;
        others
            .map(|other| self.sockets[self.index(limiter, other)].local_addr())
            .collect()
    }

    /// The address by which a limiter reaches all others at once.
    ///
    /// # Errors
    /// The system does not know the socket's address.
    pub fn broadcast_addr(&self, limiter: usize) -> io::Result<SocketAddr> {
        self.broadcast_sockets[limiter].local_addr()
    }

    /// The link from one limiter to another.
    pub fn link(&self, from: usize, to: usize) -> &Arc<Link> {
        &self.links[self.index(from, to)]
    }

    /// Carries datagrams from now on. `addresses` are the limiters' own, in their order.
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

/// Forwards what the sender sends to the socket, over all paths.
async fn forward(socket: Arc<UdpSocket>, sender: SocketAddr, paths: Vec<Path>) {
    let mut datagram = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error reports an earlier datagram that found nobody.
        match socket.recv_from(&mut datagram).await {
            Ok((size, from)) if from == sender => {
                paths.iter().for_each(|path| path.carry(&datagram[..size]));
            }
            _ => {}
        }
    }
}

/// A link, and its end: the socket from which the receiver expects the sender, and where the receiver listens.
#[derive(Clone)]
struct Path {
    link: Arc<Link>,
    source: Arc<UdpSocket>,
    receiver: SocketAddr,
}

impl Path {
    fn carry(&self, datagram: &[u8]) {
        let fault = self.link.fault();
        let is_hit = |share: f64| share > 0.0 && rand::random::<f64>() < share;
        if fault.is_cut || is_hit(fault.loss) {
            return self.link.record_loss();
        }
        self.send(datagram, &fault, is_hit(fault.reordering));
        if is_hit(fault.duplication) {
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
