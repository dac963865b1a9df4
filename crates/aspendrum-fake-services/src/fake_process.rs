//! A fake process that listens at one address. A kill resets all its connections, and a restart binds the same address.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A fake process.
pub(crate) struct FakeProcess {
    address: SocketAddr,
    /// The number of starts and kills. The process is up while the number is odd.
    generation: watch::Sender<u64>,
}

fn is_up(generation: u64) -> bool {
    generation % 2 == 1
}

impl FakeProcess {
    /// Starts a process that is up, at a free port of `ip`.
    pub(crate) async fn bind(ip: IpAddr) -> io::Result<(FakeProcess, TcpListener)> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let process = FakeProcess {
            address: listener.local_addr()?,
            generation: watch::Sender::new(1),
        };
        Ok((process, listener))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kills the process: its connections are reset and new ones refused. Returns false if it was down already.
    pub(crate) fn kill(&self) -> bool {
        self.generation.send_if_modified(|generation| {
            let was_up = is_up(*generation);
            *generation += u64::from(was_up);
            was_up
        })
    }

    /// Begins a restart by binding the address. Returns `None` if the process is up. [`FakeProcess::complete_restart`]
    /// must follow.
    pub(crate) async fn begin_restart(&self) -> io::Result<Option<TcpListener>> {
        if is_up(*self.generation.borrow()) {
            return Ok(None);
        }
        TcpListener::bind(self.address).await.map(Some)
    }

    pub(crate) fn complete_restart(&self) {
        self.generation
            .send_modify(|generation| *generation += u64::from(!is_up(*generation)));
    }

    /// Serves connections until the process is killed, which resets the open ones.
    pub(crate) fn listen<S, F>(&self, listener: TcpListener, serve: S)
    where
        S: Fn(TcpStream) -> F + Send + 'static,
        F: Future<Output = ()> + Send + 'static,
    {
        let mut generations = self.generation.subscribe();
        let own = *generations.borrow_and_update();
        tokio::spawn(async move {
            // The set aborts all connections when it is dropped.
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    _ = generations.wait_for(|generation| *generation != own) => return,
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            let _ = stream.set_nodelay(true);
                            // A connection that is open when the process ends is reset.
                            let _ = stream.set_zero_linger();
                            connections.spawn(serve(stream));
                        }
                        while connections.try_join_next().is_some() {}
                    }
                }
            }
        });
    }
}
