//! The pass-through baseline: a process that replaces a limiter and admits everything. It reads the same configuration,
//! serves the readiness check, forwards every query once to the servers in round-robin order, and relays their responses.
//! Tests use it to show that the checker detects violations, and benchmarks measure a limiter's overhead relative to it.

use aspendrum_fake_services::http::{self, Message, MessageKind};
use aspendrum_fake_services::lock;
use derive_more::{Display, Error};
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};

/// An error of the baseline.
#[derive(Debug, Display, Error)]
pub enum PassThroughError {
    /// The configuration cannot be read.
    #[display("{}: {source}", file.display())]
    UnreadableConfig {
        /// The path of the file.
        file: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// The configuration is not JSON.
    #[display("{}: {source}", file.display())]
    InvalidJson {
        /// The path of the file.
        file: PathBuf,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The configuration has no valid listen address.
    #[display("`listen` is not an address")]
    NoListenAddress,
    /// The configuration has no list of servers.
    #[display("`known.hosts` is not a list")]
    NoHosts,
    /// The list of servers has no valid address.
    #[display("`known.hosts` has no server with a valid address")]
    NoServer,
    /// The async runtime cannot be built.
    #[display("cannot build the async runtime: {_0}")]
    Runtime(io::Error),
    /// The listener or the signal handler cannot be set up.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
}

/// The part of a limiter's configuration that the baseline uses.
struct Config {
    listen: SocketAddr,
    servers: Vec<SocketAddr>,
}

impl Config {
    fn read(file: &Path) -> Result<Config, PassThroughError> {
        let text =
            std::fs::read_to_string(file).map_err(|source| PassThroughError::UnreadableConfig {
                file: file.to_path_buf(),
                source,
            })?;
        let config: Value =
            serde_json::from_str(&text).map_err(|source| PassThroughError::InvalidJson {
                file: file.to_path_buf(),
                source,
            })?;
        let address = |value: &Value| value.as_str().and_then(|t| t.parse::<SocketAddr>().ok());
        let listen = address(&config["listen"]).ok_or(PassThroughError::NoListenAddress)?;
        let hosts = config["known"]["hosts"]
            .as_array()
            .ok_or(PassThroughError::NoHosts)?;
        let servers: Vec<SocketAddr> = hosts
            .iter()
            .filter_map(|host| address(&host["dial"]))
            .collect();
        if servers.is_empty() {
            return Err(PassThroughError::NoServer);
        }
        Ok(Config { listen, servers })
    }
}

/// Runs the baseline until SIGTERM.
///
/// # Errors
/// [`PassThroughError`] if the configuration is invalid or the listener cannot be set up.
pub fn serve(config: &Path) -> Result<(), PassThroughError> {
    let Config { listen, servers } = Config::read(config)?;
    let servers = Arc::new(Servers {
        idle: servers.iter().map(|_| Mutex::default()).collect(),
        addresses: servers,
        next: AtomicUsize::new(0),
    });
    // Single-threaded, since the limiter that it is compared with is configured with one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(PassThroughError::Runtime)?;
    runtime
        .block_on(accept_until_terminated(listen, servers))
        .map_err(|source| PassThroughError::Listen {
            address: listen,
            source,
        })
}

async fn accept_until_terminated(listen: SocketAddr, servers: Arc<Servers>) -> io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(listen).await?;
    loop {
        tokio::select! {
            _ = terminated.recv() => return Ok(()),
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let servers = servers.clone();
                // An error closes only this client's connection.
                tokio::spawn(async move { servers.serve_client(stream).await });
            }
        }
    }
}

/// The servers, with the idle connections to each.
struct Servers {
    addresses: Vec<SocketAddr>,
    next: AtomicUsize,
    idle: Vec<Mutex<Vec<TcpStream>>>,
}

impl Servers {
    async fn serve_client(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut buffer, kind) = (Vec::new(), MessageKind::Request);
        while let Some(query) = http::read_message(&mut stream, &mut buffer, kind).await? {
            stream.write_all(&self.respond(&query).await).await?;
            if query.wants_close() {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn respond(&self, query: &Message) -> Vec<u8> {
        if query.target().starts_with("/health/ready") {
            return http::encode_response(200, &[], b"");
        }
        match self.forward(query).await {
            Ok(response) => http::encode_response(response.status(), &[], &response.body),
            Err(_) => http::encode_response(502, &[], b""),
        }
    }

    async fn forward(&self, query: &Message) -> io::Result<Message> {
        let server = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
        let idle = lock(&self.idle[server]).pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(self.addresses[server]).await?,
        };
        stream.set_nodelay(true)?;
        stream.write_all(&encode_request(query)).await?;
        let mut buffer = Vec::new();
        let response = http::read_message(&mut stream, &mut buffer, MessageKind::Response).await?;
        let response = response.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        lock(&self.idle[server]).push(stream);
        Ok(response)
    }
}

fn encode_request(query: &Message) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", query.method(), query.target());
    for (name, value) in &query.headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut request = (head + "\r\n").into_bytes();
    request.extend_from_slice(&query.body);
    request
}
