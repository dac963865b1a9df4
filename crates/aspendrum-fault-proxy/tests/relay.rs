//! Streams over a link that is healthy, cut, refusing connections or reset.

use aspendrum_fault_proxy::{Fault, Relay};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const SOON: Duration = Duration::from_secs(5);
const HERE: [u8; 4] = [127, 0, 0, 1];

/// Sends back whatever it gets.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind((IpAddr::from(HERE), 0)).await.unwrap();
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
    let mut space = vec![0; word.len()];
    timeout(SOON, stream.read_exact(&mut space)).await??;
    assert_eq!(space, word);
    Ok(())
}

#[tokio::test]
async fn a_cut_connection_stays_open_and_silent_and_goes_on_once_healed() {
    let relay = Relay::start(HERE.into(), echo().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.backward.set_fault(1, Fault::CUT);
    stream.write_all(b"held").await.unwrap();
    let mut space = [0; 4];
    let early = timeout(Duration::from_millis(100), stream.read_exact(&mut space)).await;
    assert!(early.is_err(), "nothing comes, and the connection stands");
    relay.backward.clear_fault(1);
    timeout(SOON, stream.read_exact(&mut space))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&space, b"held");
}

#[tokio::test]
async fn no_connection_comes_up_while_cut_and_new_ones_do_once_healed() {
    let relay = Relay::start(HERE.into(), echo().await).await.unwrap();
    relay.forward.set_fault(1, Fault::CUT);
    // The backlog is full a few milliseconds after the cut; whoever connects before has a silent connection.
    sleep(Duration::from_millis(200)).await;
    for _ in 0..3 {
        let dialled = timeout(Duration::from_millis(100), TcpStream::connect(relay.addr())).await;
        assert!(dialled.is_err(), "neither up nor refused: {dialled:?}");
    }
    relay.forward.clear_fault(1);
    timeout(SOON, async {
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
async fn whoever_dials_a_link_that_refuses_is_told_at_once() {
    let relay = Relay::start(HERE.into(), echo().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.backward.set_fault(1, Fault::REFUSE);
    relay.backward.reset_connections();
    let mut space = [0; 1];
    let end = timeout(SOON, stream.read(&mut space)).await.unwrap();
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
        timeout(SOON, refused).await.unwrap(),
        io::ErrorKind::ConnectionRefused
    );
    relay.backward.clear_fault(1);
    timeout(SOON, async {
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
async fn a_reset_ends_what_is_open_and_nothing_after() {
    let relay = Relay::start(HERE.into(), echo().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut stream, b"whole").await.unwrap();
    relay.forward.reset_connections();
    let mut space = [0; 1];
    let end = timeout(SOON, stream.read(&mut space)).await.unwrap();
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(relay.addr()).await.unwrap();
    round_trip(&mut next, b"next").await.unwrap();
}

#[tokio::test]
async fn nobody_behind_it_is_a_reset() {
    let nobody = TcpListener::bind((IpAddr::from(HERE), 0))
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let relay = Relay::start(HERE.into(), nobody).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr()).await.unwrap();
    assert!(round_trip(&mut stream, b"lost").await.is_err());
}
