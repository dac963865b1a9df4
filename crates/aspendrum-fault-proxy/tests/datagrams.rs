//! Datagrams over links with loss, delay, duplication, reordering and cuts.

use aspendrum_fault_proxy::{Fault, Mesh};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);

async fn mesh_of(n: usize) -> (Mesh, Vec<UdpSocket>) {
    let ip: IpAddr = [127, 0, 0, 1].into();
    let mut mesh = Mesh::bind(ip, n).await.unwrap();
    let mut sockets = Vec::new();
    for _ in 0..n {
        sockets.push(UdpSocket::bind((ip, 0)).await.unwrap());
    }
    let addresses: Vec<_> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    mesh.start(&addresses);
    (mesh, sockets)
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (size, from) = timeout(TIMEOUT, socket.recv_from(&mut buffer))
        .await
        .unwrap()
        .unwrap();
    (buffer[..size].to_vec(), from)
}

#[tokio::test]
async fn a_datagram_comes_from_the_address_in_the_receivers_peer_list() {
    let (mesh, sockets) = mesh_of(3).await;
    for (from, to) in [(0, 1), (1, 0), (2, 1), (0, 2)] {
        sockets[from]
            .send_to(b"word", mesh.peers(from).unwrap()[to])
            .await
            .unwrap();
        assert_eq!(
            receive(&sockets[to]).await,
            (b"word".to_vec(), mesh.peers(to).unwrap()[from])
        );
    }
    sockets[1]
        .send_to(b"all", mesh.broadcast_addr(1).unwrap())
        .await
        .unwrap();
    for to in [0, 2] {
        assert_eq!(
            receive(&sockets[to]).await,
            (b"all".to_vec(), mesh.peers(to).unwrap()[1])
        );
    }
}

#[tokio::test]
async fn one_direction_is_cut_while_the_other_works_and_recovers() {
    let (mesh, sockets) = mesh_of(2).await;
    mesh.link(0, 1).set_fault(7, Fault::CUT);
    sockets[0]
        .send_to(b"lost", mesh.peers(0).unwrap()[1])
        .await
        .unwrap();
    sockets[1]
        .send_to(b"back", mesh.peers(1).unwrap()[0])
        .await
        .unwrap();
    assert_eq!(receive(&sockets[0]).await.0, b"back");
    wait_until(|| mesh.link(0, 1).stats().lost == 1).await;
    mesh.link(0, 1).clear_fault(7);
    sockets[0]
        .send_to(b"whole", mesh.peers(0).unwrap()[1])
        .await
        .unwrap();
    assert_eq!(receive(&sockets[1]).await.0, b"whole");
    assert_eq!(mesh.link(0, 1).stats().messages, 1);
}

async fn wait_until(condition: impl Fn() -> bool) {
    timeout(TIMEOUT, async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_datagram_is_duplicated_and_a_delayed_one_arrives_after_a_later_one() {
    let (mesh, sockets) = mesh_of(2).await;
    let (to, link) = (mesh.peers(0).unwrap()[1], mesh.link(0, 1));
    link.set_fault(
        1,
        Fault {
            duplication: 1.0,
            ..Fault::default()
        },
    );
    sockets[0].send_to(b"two", to).await.unwrap();
    assert_eq!(
        [receive(&sockets[1]).await.0, receive(&sockets[1]).await.0],
        [b"two", b"two"]
    );
    for fault in [
        Fault {
            delay_ms: 500.0,
            ..Fault::default()
        },
        Fault {
            reordering: 1.0,
            ..Fault::default()
        },
    ] {
        link.set_fault(1, fault);
        sockets[0].send_to(b"first", to).await.unwrap();
        wait_until(|| link.stats().in_flight == 1 || link.stats().messages > 2).await;
        if fault.reordering == 0.0 {
            link.clear_fault(1);
            sockets[0].send_to(b"later", to).await.unwrap();
            assert_eq!(receive(&sockets[1]).await.0, b"later");
        }
        assert_eq!(receive(&sockets[1]).await.0, b"first");
    }
}

#[tokio::test]
async fn a_share_of_datagrams_is_lost_and_the_rest_arrives() {
    let (mesh, sockets) = mesh_of(2).await;
    let link = mesh.link(0, 1);
    link.set_fault(
        1,
        Fault {
            loss: 0.5,
            ..Fault::default()
        },
    );
    for _ in 0..200 {
        sockets[0]
            .send_to(b"word", mesh.peers(0).unwrap()[1])
            .await
            .unwrap();
    }
    wait_until(|| link.stats().lost + link.stats().messages == 200).await;
    // With 200 datagrams at 0.5, fewer than 50 or more than 150 losses occur once in 10^12 runs.
    assert!(
        (50..=150).contains(&link.stats().lost),
        "{:?}",
        link.stats()
    );
}
