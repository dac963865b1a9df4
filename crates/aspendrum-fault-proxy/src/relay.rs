//! Streams: a relay listens in the place of whatever it leads to and carries bytes both ways, each direction
//! over a link of its own.
//!
//! While either direction is cut, open connections stay open and silent and new ones never come up, as with a
//! machine that has vanished: the line of the listener is kept full, and the kernel lets no other connection
//! in. Once healed, held bytes flow on, and what tried to connect meanwhile gets a reset. Where a link refuses, nobody
//! listens while it is cut.

use crate::{Link, RESEND};
use socket2::SockRef;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

const BACKLOG: i32 = 1024;
/// The line of a listener with the least backlog is full after one or two; a third finds no place.
const FILLERS: usize = 3;
const FILL_WAIT: Duration = Duration::from_millis(20);

/// Ends with its last reference.
pub struct Relay {
    addr: SocketAddr,
    /// From whoever dials to whoever is dialled, and back.
    pub there: Arc<Link>,
    pub back: Arc<Link>,
    task: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Listens at that loopback address and leads to `to`.
    pub async fn start(at: IpAddr, to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((at, 0)).await?;
        SockRef::from(&listener).listen(BACKLOG)?;
        let addr = listener.local_addr()?;
        let (there, back) = (Link::whole(), Link::whole());
        let run = accept(listener, to, there.clone(), back.clone());
        Ok(Relay {
            addr,
            there,
            back,
            task: tokio::spawn(run).abort_handle(),
        })
    }

    /// Where to dial instead.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn accept(mut listener: TcpListener, to: SocketAddr, there: Arc<Link>, back: Arc<Link>) {
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            () = there.shut() => {}
            () = back.shut() => {}
            taken = listener.accept() => {
                if let Ok((stream, _)) = taken {
                    tasks.spawn(carry(stream, to, there.clone(), back.clone()));
                }
                while tasks.try_join_next().is_some() {}
                continue;
            }
        }
        if there.fault().refuse || back.fault().refuse {
            let Ok(addr) = listener.local_addr() else {
                return;
            };
            drop(listener);
            there.open().await;
            back.open().await;
            listener = again(addr).await;
            continue;
        }
        let fillers = fill(&listener).await;
        there.open().await;
        back.open().await;
        drop(fillers);
        // Whoever came meanwhile is reset, as by a machine that is back and knows of no such connection.
        while let Ok(Ok((stream, _))) = timeout(FILL_WAIT, listener.accept()).await {
            let _ = stream.set_zero_linger();
        }
        let _ = SockRef::from(&listener).listen(BACKLOG);
    }
}

/// Listens there again, as soon as it can be had.
async fn again(addr: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            let _ = SockRef::from(&listener).listen(BACKLOG);
            return listener;
        }
        sleep(FILL_WAIT).await;
    }
}

/// Fills the listener's line, so that no connection comes up.
async fn fill(listener: &TcpListener) -> Vec<TcpStream> {
    let _ = SockRef::from(listener).listen(0);
    let mut fillers = Vec::new();
    let Ok(addr) = listener.local_addr() else {
        return fillers;
    };
    for _ in 0..FILLERS {
        match timeout(FILL_WAIT, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

async fn carry(near: TcpStream, to: SocketAddr, there: Arc<Link>, back: Arc<Link>) {
    let (mut reset_there, mut reset_back) = (there.resets.subscribe(), back.resets.subscribe());
    let far = tokio::select! {
        far = TcpStream::connect(to) => far,
        _ = reset_there.changed() => Err(io::ErrorKind::ConnectionReset.into()),
        _ = reset_back.changed() => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(far) = far else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let ended = {
        let ways =
            async { tokio::try_join!(way(near_in, far_out, &there), way(far_in, near_out, &back)) };
        tokio::select! {
            done = ways => done,
            _ = reset_there.changed() => Err(Broken),
            _ = reset_back.changed() => Err(Broken),
        }
    };
    // Dropped by a reset, both halves close without a word more; what broke on one side breaks on the other.
    drop(ended);
}

/// A direction that broke.
struct Broken;

/// Ends the connection with a reset, unless its half was taken out.
struct Reset(Option<OwnedWriteHalf>);

impl Drop for Reset {
    fn drop(&mut self) {
        if let Some(half) = self.0.take() {
            let _ = SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropped, it would say a goodbye in good order first.
            half.forget();
        }
    }
}

async fn way(
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: &Link,
) -> Result<Option<OwnedWriteHalf>, Broken> {
    let mut space = vec![0; 16 << 10];
    let mut to = Reset(Some(to));
    loop {
        let size = from.read(&mut space).await.map_err(|_| Broken)?;
        link.open().await;
        let fault = link.fault();
        let again = if fault.lose > 0.0 && rand::random::<f64>() < fault.lose {
            RESEND
        } else {
            Duration::ZERO
        };
        let late = fault.delay(rand::random()) + again;
        if !late.is_zero() {
            sleep(late).await;
            // A link that was cut meanwhile holds it.
            link.open().await;
        }
        let Some(half) = to.0.as_mut() else {
            return Err(Broken);
        };
        if size == 0 {
            half.shutdown().await.map_err(|_| Broken)?;
            // An end that came in good order: kept until the other direction has ended too.
            return Ok(to.0.take());
        }
        half.write_all(&space[..size]).await.map_err(|_| Broken)?;
        link.passed(size);
    }
}
