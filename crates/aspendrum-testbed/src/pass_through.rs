//! The baseline: a process that stands where a limiter would and lets all in. It reads the same
//! configuration, answers that it is ready, forwards every query once to the servers in turn and passes their
//! answers back. With it the judge shows that it finds what it looks for, and a limiter's cost is told as a
//! ratio.

use aspendrum_fake_services::http::{self, Message, MessageKind};
use aspendrum_fake_services::lock;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

struct Servers {
    dials: Vec<SocketAddr>,
    next: AtomicUsize,
    idle: Vec<Mutex<Vec<TcpStream>>>,
}

/// Serves until SIGTERM.
pub fn serve(config: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(config).map_err(|e| format!("{}: {e}", config.display()))?;
    let told: Value =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", config.display()))?;
    let address = |value: &Value| value.as_str().and_then(|t| t.parse::<SocketAddr>().ok());
    let listen = address(&told["listen"]).ok_or("listen is not an address")?;
    let hosts = told["known"]["hosts"]
        .as_array()
        .ok_or("known.hosts is no list")?;
    let dials: Vec<SocketAddr> = hosts.iter().filter_map(|h| address(&h["dial"])).collect();
    if dials.is_empty() {
        return Err("known.hosts names no server".into());
    }
    let idle = dials.iter().map(|_| Mutex::default()).collect();
    let servers = Arc::new(Servers {
        dials,
        next: AtomicUsize::new(0),
        idle,
    });
    // One thread: the limiter it is held against has one core too.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    let failed = |e: io::Error| format!("{listen}: {e}");
    runtime.block_on(async {
        use tokio::signal::unix::{signal, SignalKind};
        let mut end = signal(SignalKind::terminate()).map_err(failed)?;
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        loop {
            tokio::select! {
                _ = end.recv() => return Ok(()),
                taken = listener.accept() => {
                    let Ok((stream, _)) = taken else { continue };
                    let servers = servers.clone();
                    // A client that goes wrong ends its own connection.
                    tokio::spawn(async move { servers.client(stream).await });
                }
            }
        }
    })
}

impl Servers {
    async fn client(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(query) =
            http::read_message(&mut stream, &mut rest, MessageKind::Request).await?
        {
            let answer = if query.target().starts_with("/health/ready") {
                http::encode_response(200, &[], b"")
            } else {
                match self.forward(&query).await {
                    Ok(answer) => http::encode_response(answer.status(), &[], &answer.body),
                    Err(_) => http::encode_response(502, &[], b""),
                }
            };
            stream.write_all(&answer).await?;
            if query.wants_close() {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn forward(&self, query: &Message) -> io::Result<Message> {
        let place = self.next.fetch_add(1, Ordering::Relaxed) % self.dials.len();
        let kept = lock(&self.idle[place]).pop();
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect(self.dials[place]).await?,
        };
        stream.set_nodelay(true)?;
        let mut text = format!("{} {} HTTP/1.1\r\n", query.method(), query.target());
        query
            .headers
            .iter()
            .for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(&query.body);
        stream.write_all(&bytes).await?;
        let ended = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let answer = http::read_message(&mut stream, &mut Vec::new(), MessageKind::Response)
            .await?
            .ok_or_else(ended)?;
        lock(&self.idle[place]).push(stream);
        Ok(answer)
    }
}
