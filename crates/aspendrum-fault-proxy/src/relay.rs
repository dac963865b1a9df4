//! Streams: a relay listens in place of a process and forwards bytes in both directions, over one link for each.
//!
//! While either direction is cut, open connections stay open without traffic and new ones hang, as if the machine had
//! vanished: the relay keeps the listen backlog full, so that the kernel accepts no further connection. When the cut
//! ends, delayed bytes are forwarded, and connections that were attempted during the cut are reset. If a link refuses
//! connections, the relay closes its listener while the link is cut.

use crate::fault::RESEND_DELAY;
use crate::link::Link;
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
/// The smallest backlog is full after one or two connections, so a third one hangs.
const BACKLOG_FILLERS: usize = 3;
/// A connection that is not established within this time counts as hanging.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
const BIND_RETRY: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 << 10;

/// A relay. Dropping it ends the relay and all its connections.
pub struct Relay {
    address: SocketAddr,
    /// The direction from the connecting process to the destination.
    pub forward: Arc<Link>,
    /// The direction from the destination to the connecting process.
    pub backward: Arc<Link>,
    task: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The links and the destination of a relay.
#[derive(Clone)]
struct Route {
    destination: SocketAddr,
    forward: Arc<Link>,
    backward: Arc<Link>,
}

impl Route {
    async fn wait_until_cut(&self) {
        tokio::select! {
            () = self.forward.wait_until_cut() => {}
            () = self.backward.wait_until_cut() => {}
        }
    }

    async fn wait_until_open(&self) {
        self.forward.wait_until_open().await;
        self.backward.wait_until_open().await;
    }

    fn refuses_connections(&self) -> bool {
        self.forward.fault().refuses_connections || self.backward.fault().refuses_connections
    }
}

impl Relay {
    /// Starts a relay that listens at a free port of `ip` and connects to `destination`.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(ip: IpAddr, destination: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((ip, 0)).await?;
        SockRef::from(&listener).listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (forward, backward) = (Link::healthy(), Link::healthy());
        let route = Route {
            destination,
            forward: forward.clone(),
            backward: backward.clone(),
        };
        let task = tokio::spawn(serve(listener, route)).abort_handle();
        Ok(Relay {
            address,
            forward,
            backward,
            task,
        })
    }

    /// Returns the address to which processes connect in place of the destination.
    pub fn addr(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(mut listener: TcpListener, route: Route) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = route.wait_until_cut() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(forward_connection(stream, route.clone()));
                }
                while connections.try_join_next().is_some() {}
                continue;
            }
        }
        if route.refuses_connections() {
            let Ok(address) = listener.local_addr() else {
                return;
            };
            drop(listener);
            route.wait_until_open().await;
            listener = rebind(address).await;
        } else {
            let fillers = fill_backlog(&listener).await;
            route.wait_until_open().await;
            drop(fillers);
            reset_backlog(&listener).await;
        }
    }
}

/// Binds the address again, with retries until it is free.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            let _ = SockRef::from(&listener).listen(BACKLOG);
            return listener;
        }
        sleep(BIND_RETRY).await;
    }
}

/// Fills the listener's backlog. No connection is established until the returned streams are dropped.
async fn fill_backlog(listener: &TcpListener) -> Vec<TcpStream> {
    let _ = SockRef::from(listener).listen(0);
    let mut fillers = Vec::new();
    let Ok(address) = listener.local_addr() else {
        return fillers;
    };
    for _ in 0..BACKLOG_FILLERS {
        match timeout(FILL_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Resets the connections that were attempted during the cut, as a restarted machine resets connections that it does
/// not know.
async fn reset_backlog(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(FILL_TIMEOUT, listener.accept()).await {
        let _ = stream.set_zero_linger();
    }
    let _ = SockRef::from(listener).listen(BACKLOG);
}

/// Forwards one connection.
async fn forward_connection(near: TcpStream, route: Route) {
    let mut forward_resets = route.forward.subscribe_resets();
    let mut backward_resets = route.backward.subscribe_resets();
    let far = tokio::select! {
        far = TcpStream::connect(route.destination) => far,
        _ = forward_resets.changed() => Err(io::ErrorKind::ConnectionReset.into()),
        _ = backward_resets.changed() => Err(io::ErrorKind::ConnectionReset.into()),
    };
    let Ok(far) = far else {
        let _ = near.set_zero_linger();
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let result = {
        let directions = async {
            let forward = forward_direction(near_in, far_out, &route.forward);
            let backward = forward_direction(far_in, near_out, &route.backward);
            tokio::try_join!(forward, backward)
        };
        tokio::select! {
            result = directions => result,
            _ = forward_resets.changed() => Err(BrokenDirection),
            _ = backward_resets.changed() => Err(BrokenDirection),
        }
    };
    // After a reset both halves are dropped without further bytes, so that a broken connection breaks on both sides.
    drop(result);
}

/// The error of a broken direction of a connection.
struct BrokenDirection;

/// The sending half of a connection. Resets the connection when dropped, unless the half was taken.
struct ResetOnDrop(Option<OwnedWriteHalf>);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if let Some(half) = self.0.take() {
            let _ = SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropping the half would shut the connection down in an orderly way.
            half.forget();
        }
    }
}

/// Forwards one direction until its orderly end. Returns the sending half, which must be kept until the other direction
/// has ended too.
async fn forward_direction(
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: &Link,
) -> Result<Option<OwnedWriteHalf>, BrokenDirection> {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut to = ResetOnDrop(Some(to));
    loop {
        let size = from.read(&mut chunk).await.map_err(|_| BrokenDirection)?;
        link.wait_until_open().await;
        let fault = link.fault();
        let is_lost = fault.loss > 0.0 && rand::random::<f64>() < fault.loss;
        let resend_delay = if is_lost {
            RESEND_DELAY
        } else {
            Duration::ZERO
        };
        let delay = fault.delay(rand::random()) + resend_delay;
        if !delay.is_zero() {
            sleep(delay).await;
            // The link may have been cut during the delay.
            link.wait_until_open().await;
        }
        let Some(half) = to.0.as_mut() else {
            return Err(BrokenDirection);
        };
        if size == 0 {
            half.shutdown().await.map_err(|_| BrokenDirection)?;
            return Ok(to.0.take());
        }
        half.write_all(&chunk[..size])
            .await
            .map_err(|_| BrokenDirection)?;
        link.record_delivery(size);
    }
}
