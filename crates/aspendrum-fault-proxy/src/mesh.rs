//! Datagrams between limiters, each direction of each pair by itself.
//!
//! Limiter `i` knows limiter `j` by an address of its own, at which the mesh listens: what comes there goes
//! to `j` from the address by which `j` knows `i`, so that `j` sees a datagram from the peer that its own
//! list names.

use crate::{Fault, Link, HELD_BACK};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A longer datagram is not allowed between limiters; the mesh carries it nevertheless, and it is seen.
const SPACE: usize = 2048;

pub struct Mesh {
    n: usize,
    /// By sender, then receiver: the socket that the sender knows the receiver by, and the way there.
    sockets: Vec<Arc<UdpSocket>>,
    links: Vec<Arc<Link>>,
    /// By sender: the address for all the others.
    to_all: Vec<Arc<UdpSocket>>,
    tasks: JoinSet<()>,
}

impl Mesh {
    /// Sockets for `n` limiters at that loopback address.
    pub async fn bind(at: IpAddr, n: usize) -> io::Result<Mesh> {
        Mesh::among(&vec![at; n]).await
    }

    /// Sockets for members that each have an IP number of their own: whoever hears one sees it there.
    pub async fn among(members: &[IpAddr]) -> io::Result<Mesh> {
        let n = members.len();
        let (mut sockets, mut to_all) = (Vec::with_capacity(n * n), Vec::with_capacity(n));
        for _ in 0..n {
            for at in members {
                sockets.push(Arc::new(UdpSocket::bind((*at, 0)).await?));
            }
        }
        for at in members {
            to_all.push(Arc::new(UdpSocket::bind((*at, 0)).await?));
        }
        let links = (0..n * n).map(|_| Link::whole()).collect();
        Ok(Mesh {
            n,
            sockets,
            links,
            to_all,
            tasks: JoinSet::new(),
        })
    }

    /// The addresses by which limiter `me` knows each limiter, its own included.
    pub fn peers(&self, me: usize) -> io::Result<Vec<SocketAddr>> {
        (0..self.n)
            .map(|other| self.sockets[me * self.n + other].local_addr())
            .collect()
    }

    /// The address by which limiter `me` reaches all others at once.
    pub fn peers_all(&self, me: usize) -> io::Result<SocketAddr> {
        self.to_all[me].local_addr()
    }

    /// The way from one limiter to another.
    pub fn link(&self, from: usize, to: usize) -> &Arc<Link> {
        &self.links[from * self.n + to]
    }

    /// Carries from now on; `listens` are the limiters' own addresses, in their order.
    pub fn carry(&mut self, listens: &[SocketAddr]) {
        for from in 0..self.n {
            for to in 0..self.n {
                let way = self.way(from, to, listens);
                let (socket, sender) = (self.sockets[from * self.n + to].clone(), listens[from]);
                self.tasks.spawn(async move {
                    let mut space = [0; SPACE];
                    loop {
                        // A failure here is the echo of a datagram that found nobody.
                        match socket.recv_from(&mut space).await {
                            Ok((size, who)) if who == sender => way.carry(&space[..size]),
                            _ => {}
                        }
                    }
                });
            }
            let ways: Vec<Way> = (0..self.n)
                .filter(|to| *to != from)
                .map(|to| self.way(from, to, listens))
                .collect();
            let (socket, sender) = (self.to_all[from].clone(), listens[from]);
            self.tasks.spawn(async move {
                let mut space = [0; SPACE];
                loop {
                    match socket.recv_from(&mut space).await {
                        Ok((size, who)) if who == sender => {
                            ways.iter().for_each(|w| w.carry(&space[..size]))
                        }
                        _ => {}
                    }
                }
            });
        }
    }

    fn way(&self, from: usize, to: usize, listens: &[SocketAddr]) -> Way {
        let link = self.links[from * self.n + to].clone();
        Way {
            link,
            out: self.sockets[to * self.n + from].clone(),
            to: listens[to],
        }
    }
}

/// The end of one link: the socket from which the receiver expects the sender, and where the receiver
/// listens.
#[derive(Clone)]
struct Way {
    link: Arc<Link>,
    out: Arc<UdpSocket>,
    to: SocketAddr,
}

impl Way {
    fn carry(&self, data: &[u8]) {
        let fault = self.link.fault();
        let hit = |share: f64| share > 0.0 && rand::random::<f64>() < share;
        if fault.cut || hit(fault.lose) {
            return self.link.lost();
        }
        self.send(data, &fault, hit(fault.reorder));
        if hit(fault.twice) {
            self.send(data, &fault, false);
        }
    }

    fn send(&self, data: &[u8], fault: &Fault, held: bool) {
        let late = fault.delay(rand::random()) + if held { HELD_BACK } else { Duration::ZERO };
        if late.is_zero() {
            return self.deliver(data);
        }
        let (way, data) = (self.clone(), data.to_vec());
        way.link.under_way.fetch_add(1, Relaxed);
        tokio::spawn(async move {
            sleep(late).await;
            way.link.under_way.fetch_sub(1, Relaxed);
            way.deliver(&data);
        });
    }

    fn deliver(&self, data: &[u8]) {
        match self.out.try_send_to(data, self.to) {
            Ok(_) => self.link.passed(data.len()),
            Err(_) => self.link.lost(),
        }
    }
}
