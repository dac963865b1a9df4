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
        Ok(Mesh { n, sockets, links, to_all, tasks: JoinSet::new() })
    }

    /// The addresses by which limiter `me` knows each limiter, its own included.
    pub fn peers(&self, me: usize) -> io::Result<Vec<SocketAddr>> {
        (0..self.n).map(|other| self.sockets[me * self.n + other].local_addr()).collect()
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
            let ways: Vec<Way> =
                (0..self.n).filter(|to| *to != from).map(|to| self.way(from, to, listens)).collect();
            let (socket, sender) = (self.to_all[from].clone(), listens[from]);
            self.tasks.spawn(async move {
                let mut space = [0; SPACE];
                loop {
                    match socket.recv_from(&mut space).await {
                        Ok((size, who)) if who == sender => ways.iter().for_each(|w| w.carry(&space[..size])),
                        _ => {}
                    }
                }
            });
        }
    }

    fn way(&self, from: usize, to: usize, listens: &[SocketAddr]) -> Way {
        let link = self.links[from * self.n + to].clone();
        Way { link, out: self.sockets[to * self.n + from].clone(), to: listens[to] }
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    const SOON: Duration = Duration::from_secs(5);

    async fn fleet(n: usize) -> (Mesh, Vec<UdpSocket>) {
        let here: IpAddr = [127, 0, 0, 1].into();
        let mut mesh = Mesh::bind(here, n).await.unwrap();
        let mut sockets = Vec::new();
        for _ in 0..n {
            sockets.push(UdpSocket::bind((here, 0)).await.unwrap());
        }
        let listens: Vec<_> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        mesh.carry(&listens);
        (mesh, sockets)
    }

    async fn next(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
        let mut space = [0; 64];
        let (size, from) = timeout(SOON, socket.recv_from(&mut space)).await.unwrap().unwrap();
        (space[..size].to_vec(), from)
    }

    #[tokio::test]
    async fn a_peer_is_seen_at_the_address_that_the_receivers_own_list_names() {
        let (mesh, sockets) = fleet(3).await;
        for (from, to) in [(0, 1), (1, 0), (2, 1), (0, 2)] {
            sockets[from].send_to(b"word", mesh.peers(from).unwrap()[to]).await.unwrap();
            assert_eq!(next(&sockets[to]).await, (b"word".to_vec(), mesh.peers(to).unwrap()[from]));
        }
        sockets[1].send_to(b"all", mesh.peers_all(1).unwrap()).await.unwrap();
        for to in [0, 2] {
            assert_eq!(next(&sockets[to]).await, (b"all".to_vec(), mesh.peers(to).unwrap()[1]));
        }
    }

    #[tokio::test]
    async fn one_direction_is_cut_while_the_other_carries_and_heals() {
        let (mesh, sockets) = fleet(2).await;
        mesh.link(0, 1).put(7, Fault::CUT);
        sockets[0].send_to(b"lost", mesh.peers(0).unwrap()[1]).await.unwrap();
        sockets[1].send_to(b"back", mesh.peers(1).unwrap()[0]).await.unwrap();
        assert_eq!(next(&sockets[0]).await.0, b"back");
        until(|| mesh.link(0, 1).carried().lost == 1).await;
        mesh.link(0, 1).heal(7);
        sockets[0].send_to(b"whole", mesh.peers(0).unwrap()[1]).await.unwrap();
        assert_eq!(next(&sockets[1]).await.0, b"whole");
        assert_eq!(mesh.link(0, 1).carried().messages, 1);
    }

    async fn until(what: impl Fn() -> bool) {
        timeout(SOON, async {
            while !what() {
                sleep(Duration::from_millis(1)).await;
            }
        })
        .await
        .unwrap();
    }

    #[tokio::test]
    async fn a_datagram_comes_twice_and_a_delayed_one_behind_a_later_one() {
        let (mesh, sockets) = fleet(2).await;
        let (to, link) = (mesh.peers(0).unwrap()[1], mesh.link(0, 1));
        link.put(1, Fault { twice: 1.0, ..Fault::default() });
        sockets[0].send_to(b"two", to).await.unwrap();
        assert_eq!([next(&sockets[1]).await.0, next(&sockets[1]).await.0], [b"two", b"two"]);
        for fault in
            [Fault { delay_ms: 500.0, ..Fault::default() }, Fault { reorder: 1.0, ..Fault::default() }]
        {
            link.put(1, fault);
            sockets[0].send_to(b"first", to).await.unwrap();
            until(|| link.carried().under_way == 1 || link.carried().messages > 2).await;
            if fault.reorder == 0.0 {
                link.heal(1);
                sockets[0].send_to(b"later", to).await.unwrap();
                assert_eq!(next(&sockets[1]).await.0, b"later");
            }
            assert_eq!(next(&sockets[1]).await.0, b"first");
        }
    }

    #[tokio::test]
    async fn a_share_is_lost_and_the_rest_arrives() {
        let (mesh, sockets) = fleet(2).await;
        let link = mesh.link(0, 1);
        link.put(1, Fault { lose: 0.5, ..Fault::default() });
        for _ in 0..200 {
            sockets[0].send_to(b"word", mesh.peers(0).unwrap()[1]).await.unwrap();
        }
        until(|| link.carried().lost + link.carried().messages == 200).await;
        // Of 200 at a half, fewer than 50 or more than 150 come once in 10^12 runs.
        assert!((50..=150).contains(&link.carried().lost), "{:?}", link.carried());
    }
}
