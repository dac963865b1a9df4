//! Streams over a relay whose links are healthy, cut, refusing connections or reset.

use aspendrum_fault_proxy::{Fault, Relay};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// Starts a server that echoes everything it receives.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind((IpAddr::from(LOOPBACK), 0))
        .await
        .unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn round_trip(stream: &mut TcpStream, word: &[u8]) -> io::Result<()> {
    stream.write_all(word).await?;
    let mut buffer = vec![0; word.len()];
    timeout(TIMEOUT, stream.read_exact(&mut buffer)).await??;
    assert_eq!(buffer, word);
    Ok(())
}

#[tokio::test]
async fn a_cut_connection_stays_open_and_resumes_after_the_cut() {
    let relay = Relay::start(LOOPBACK.into(), start_echo_server().await)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.backward.set_fault(1, Fault::CUT);
    stream.write_all(b"held").await.unwrap();
    let mut buffer = [0; 4];
    let early = timeout(Duration::from_millis(100), stream.read_exact(&mut buffer)).await;
    assert!(
        early.is_err(),
        "no data arrives and the connection stays open"
    );
    relay.backward.clear_fault(1);
    timeout(TIMEOUT, stream.read_exact(&mut buffer))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&buffer, b"held");
}

#[tokio::test]
async fn connection_attempts_hang_during_a_cut_and_succeed_after_it() {
    let relay = Relay::start(LOOPBACK.into(), start_echo_server().await)
        .await
        .unwrap();
    relay.forward.set_fault(1, Fault::CUT);
    // The backlog is full a few milliseconds after the cut. Earlier connections are established, but get no response.
    sleep(Duration::from_millis(200)).await;
    for _ in 0..3 {
        let dialled = timeout(Duration::from_millis(100), TcpStream::connect(relay.addr())).await;
        assert!(
            dialled.is_err(),
            "neither established nor refused: {dialled:?}"
        );
    }
    relay.forward.clear_fault(1);
    timeout(TIMEOUT, async {
        loop {
            let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
            if round_trip(&mut stream, b"back").await.is_ok() {
                return;
            }
        }
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn connections_over_a_refusing_link_are_refused_immediately() {
    let relay = Relay::start(LOOPBACK.into(), start_echo_server().await)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.backward.set_fault(1, Fault::REFUSE);
    relay.backward.reset_connections();
    let mut buffer = [0; 1];
    let end = timeout(TIMEOUT, stream.read(&mut buffer)).await.unwrap();
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    let refused = async {
        loop {
            match TcpStream::connect(relay.addr()).await {
                Err(e) => return e.kind(),
                Ok(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    };
    assert_eq!(
        timeout(TIMEOUT, refused).await.unwrap(),
        io::ErrorKind::ConnectionRefused
    );
    relay.backward.clear_fault(1);
    timeout(TIMEOUT, async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(relay.addr()).await {
                return round_trip(&mut stream, b"back").await.unwrap();
            }
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let relay = Relay::start(LOOPBACK.into(), start_echo_server().await)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.forward.reset_connections();
    let mut buffer = [0; 1];
    let end = timeout(TIMEOUT, stream.read(&mut buffer)).await.unwrap();
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut next, b"next").await.unwrap();
}

#[tokio::test]
async fn an_unreachable_destination_resets_the_connection() {
    let unreachable = TcpListener::bind((IpAddr::from(LOOPBACK), 0))
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let relay = Relay::start(LOOPBACK.into(), unreachable).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    assert!(round_trip(&mut stream, b"lost").await.is_err());
}
