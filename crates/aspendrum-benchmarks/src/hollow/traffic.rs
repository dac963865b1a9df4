//! Hollow servers behind a whole limiter, and clients before it: what it adds to a request, and what a
//! request costs it. All servers of a list are one listener, which answers at once.

use crate::measure::{Line, Samples};
use crate::sizes::SERVERS_PORT;
use aspendrum_model::config::Config;
use aspendrum_net::http1::{self, encode_response, single_header, MessageLimits, Parsed};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::{lock, spawn};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
const BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 20,
};
const WAIT: Duration = Duration::from_secs(2);
const BODY: [u8; 1500] = [b'x'; 1500];
/// Clients, each with a connection that it keeps.
const CLIENTS: usize = 16;

/// Connections that hollow servers took.
#[derive(Default)]
pub(super) struct Taken(AtomicU64);

/// Listens for all servers at once.
pub(super) fn serve() -> io::Result<Arc<Taken>> {
    let listener = TcpListener::bind(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, SERVERS_PORT))?;
    let taken = Arc::new(Taken::default());
    let own = taken.clone();
    spawn("servers", STACK, move || {
        while let Ok((stream, _)) = listener.accept() {
            own.0.fetch_add(1, Relaxed);
            let _ = spawn("server", STACK, move || attend(&stream));
        }
    })?;
    Ok(taken)
}

fn attend(stream: &TcpStream) {
    let _ = (
        stream.set_nodelay(true),
        stream.set_read_timeout(Some(Duration::from_secs(20))),
    );
    let mut ring = RingBuffer::new(1 << 10, 1 << 20);
    loop {
        match http1::parse_request(&mut ring, &BOUNDS) {
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(n) if n > 0 => {}
                _ => return,
            },
            Parsed::Invalid(_) => return,
            Parsed::Complete(asked) => {
                let id = single_header(&asked.headers, "Try-Id").unwrap_or("");
                let headers = [("Try-Id", id), ("Seal", "hollow"), ("Server-Load", "0,0,2")];
                if (&*stream)
                    .write_all(&encode_response(200, &headers, false, &BODY))
                    .is_err()
                {
                    return;
                }
            }
        }
    }
}

/// One kept connection of a client.
struct Client(Option<(TcpStream, RingBuffer)>);

impl Client {
    /// The status of the answer, if one came.
    fn call(&mut self, to: SocketAddr, request: &[u8]) -> Option<u16> {
        let (stream, mut ring) = match self.0.take() {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect_timeout(&to, WAIT).ok()?;
                stream
                    .set_nodelay(true)
                    .and_then(|()| stream.set_read_timeout(Some(WAIT)))
                    .ok()?;
                (stream, RingBuffer::new(4 << 10, 1 << 20))
            }
        };
        (&stream).write_all(request).ok()?;
        loop {
            match http1::parse_response(&mut ring, &BOUNDS) {
                Parsed::Incomplete => match ring.fill(&mut &stream) {
                    Ok(n) if n > 0 => {}
                    _ => return None,
                },
                Parsed::Invalid(_) => return None,
                Parsed::Complete(got) => {
                    self.0 = (!got.close).then_some((stream, ring));
                    return Some(got.status);
                }
            }
        }
    }
}

/// What became of requests.
pub(super) struct Came {
    pub sent: usize,
    pub served: usize,
    pub refused: usize,
    /// From when each was due to its answer, milliseconds.
    pub took: Samples,
    pub connections: u64,
}

impl Came {
    pub(super) fn tell(&self, line: Line) {
        let line = line
            .with("sent", self.sent)
            .with("served", self.served)
            .with("refused", self.refused);
        let line = line
            .number("took_ms", self.took.median())
            .number("took_99_ms", self.took.at(0.99));
        let each = self.connections as f64 / self.sent.max(1) as f64;
        line.number("connections_each", each).tell();
    }
}

/// Sends that many requests a second, evenly, on routes and with keys of the configuration in turn.
pub(super) fn send(
    to: SocketAddr,
    config: &Config,
    rate: f64,
    span: Duration,
    taken: &Taken,
) -> Came {
    let before = taken.0.load(Relaxed);
    let mut places: Vec<(String, String)> = config
        .route_entries()
        .map(|p| (p.host.to_string(), format!("{}x", p.prefix)))
        .collect();
    places.sort();
    let keys: Vec<String> = config
        .tenants
        .iter()
        .flatten()
        .filter_map(|t| t.keys.first().cloned())
        .collect();
    let (next, all) = (AtomicU64::new(0), Mutex::new((0, 0, 0, Vec::new())));
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut client = Client(None);
                loop {
                    let n = next.fetch_add(1, Relaxed);
                    let due = begun + Duration::from_secs_f64(n as f64 / rate);
                    if due > begun + span {
                        return;
                    }
                    sleep(due.saturating_duration_since(Instant::now()));
                    // Steps that share no factor with how many there are: no two neighbours go one way.
                    let (host, path) = &places[(n as usize * 7919) % places.len()];
                    let key = &keys[(n as usize * 104_729) % keys.len()];
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nHost: {host}\r\nTry-Id: {n:016x}\r\nBudget-Ms: 2000\r\n\
                         Credential: {key}\r\n\r\n"
                    );
                    let status = client.call(to, request.as_bytes());
                    let took = due.elapsed().as_secs_f64() * 1000.0;
                    let mut all = lock(&all);
                    all.0 += 1;
                    match status {
                        Some(200) => {
                            all.1 += 1;
                            all.3.push(took);
                        }
                        Some(_) => all.2 += 1,
                        None => {}
                    }
                }
            });
        }
    });
    let (sent, served, refused, took) = all.into_inner().unwrap_or_else(|e| e.into_inner());
    let connections = taken.0.load(Relaxed) - before;
    Came {
        sent,
        served,
        refused,
        took: Samples::of(took),
        connections,
    }
}
