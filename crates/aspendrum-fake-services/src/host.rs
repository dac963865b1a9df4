//! A process that listens at one address, dies with all its connections, and comes back there.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

pub struct Host {
    addr: SocketAddr,
    /// Up or not, by the number of its life: odd numbers are lives.
    life: watch::Sender<u64>,
}

impl Host {
    /// Up from now on, at a port of its own.
    pub async fn bind(at: IpAddr) -> io::Result<(Host, TcpListener)> {
        let listener = TcpListener::bind((at, 0)).await?;
        Ok((
            Host {
                addr: listener.local_addr()?,
                life: watch::Sender::new(1),
            },
            listener,
        ))
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its connections are reset and new ones refused. False: it was down.
    pub fn die(&self) -> bool {
        self.life.send_if_modified(|n| {
            let up = *n % 2 == 1;
            *n += u64::from(up);
            up
        })
    }

    /// Starts again at the same address; `None`: it is up. [`Host::begin`] completes it.
    pub async fn back(&self) -> io::Result<Option<TcpListener>> {
        if *self.life.borrow() % 2 == 1 {
            return Ok(None);
        }
        TcpListener::bind(self.addr).await.map(Some)
    }

    pub fn begin(&self) {
        self.life.send_modify(|n| *n += u64::from(*n % 2 == 0));
    }

    /// Takes connections for as long as this life lasts; those that are open at its end are reset.
    pub fn listen<S, F>(&self, listener: TcpListener, serve: S)
    where
        S: Fn(TcpStream) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let mut lives = self.life.subscribe();
        let life = *lives.borrow_and_update();
        tokio::spawn(async move {
            // Dropped at its end, and all connections with it.
            let mut tasks = JoinSet::new();
            loop {
                tokio::select! {
                    _ = lives.wait_for(|n| *n != life) => return,
                    taken = listener.accept() => {
                        if let Ok((stream, _)) = taken {
                            let _ = stream.set_nodelay(true);
                            // Whatever still stands when the process dies is reset.
                            let _ = stream.set_zero_linger();
                            tasks.spawn(serve(stream));
                        }
                        while tasks.try_join_next().is_some() {}
                    }
                }
            }
        });
    }
}
