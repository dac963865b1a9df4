//! Simulated servers and clients of a real limiter, to measure the latency that the limiter adds to a request and the
//! cost of a request. One listener represents all servers and responds at once.

use crate::figure::FigureLine;
use crate::fleet_data::SERVER_PORT;
use crate::measure::Samples;
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

const STACK_BYTES: usize = 128 << 10;
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 20,
};
const MAX_BUFFER_BYTES: usize = 1 << 20;
const SERVER_BUFFER_BYTES: usize = 1 << 10;
const CLIENT_BUFFER_BYTES: usize = 4 << 10;
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const BODY: [u8; 1500] = [b'x'; 1500];
/// The number of clients, each with one keep-alive connection.
const CLIENTS: usize = 16;
// Prime steps that do not divide the numbers of routes and keys: consecutive requests differ in both.
const ROUTE_STEP: usize = 7919;
const KEY_STEP: usize = 104_729;

/// The simulated servers.
#[derive(Default)]
pub(super) struct Servers {
    connections: AtomicU64,
}

impl Servers {
    /// Starts a listener that represents all servers.
    pub(super) fn start() -> io::Result<Arc<Servers>> {
        let addr = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, SERVER_PORT);
        let listener = TcpListener::bind(addr)?;
        let servers = Arc::new(Servers::default());
        let accepting = servers.clone();
        spawn("servers", STACK_BYTES, move || {
            while let Ok((stream, _)) = listener.accept() {
                accepting.connections.fetch_add(1, Relaxed);
                // If no thread can be started, the connection is closed and the client sees a failure.
                let _ = spawn("server", STACK_BYTES, move || serve(&stream));
            }
        })?;
        Ok(servers)
    }

    fn connections(&self) -> u64 {
        self.connections.load(Relaxed)
    }
}

fn serve(stream: &TcpStream) {
    // Socket options are best effort: a failure only affects the figures.
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(SERVER_IDLE_TIMEOUT));
    let mut ring = RingBuffer::new(SERVER_BUFFER_BYTES, MAX_BUFFER_BYTES);
    loop {
        match http1::parse_request(&mut ring, &LIMITS) {
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(bytes) if bytes > 0 => {}
                _ => return,
            },
            Parsed::Invalid(_) => return,
            Parsed::Complete(request) => {
                let id = single_header(&request.headers, "Try-Id").unwrap_or("");
                let headers = [("Try-Id", id), ("Seal", "hollow"), ("Server-Load", "0,0,2")];
                let response = encode_response(200, &headers, false, &BODY);
                if (&*stream).write_all(&response).is_err() {
                    return;
                }
            }
        }
    }
}

/// A client connection and the buffer of received bytes.
struct ClientConnection {
    stream: TcpStream,
    ring: RingBuffer,
}

impl ClientConnection {
    fn open(addr: SocketAddr) -> io::Result<ClientConnection> {
        let stream = TcpStream::connect_timeout(&addr, CLIENT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(CLIENT_TIMEOUT))?;
        Ok(ClientConnection {
            stream,
            ring: RingBuffer::new(CLIENT_BUFFER_BYTES, MAX_BUFFER_BYTES),
        })
    }
}

/// A client that reuses its connection.
struct Client {
    addr: SocketAddr,
    connection: Option<ClientConnection>,
}

impl Client {
    /// Sends a request. Returns the status of the response, or `None` if there is no valid response.
    fn call(&mut self, request: &[u8]) -> Option<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => ClientConnection::open(self.addr).ok()?,
        };
        (&connection.stream).write_all(request).ok()?;
        loop {
            match http1::parse_response(&mut connection.ring, &LIMITS) {
                Parsed::Incomplete => match connection.ring.fill(&mut &connection.stream) {
                    Ok(bytes) if bytes > 0 => {}
                    _ => return None,
                },
                Parsed::Invalid(_) => return None,
                Parsed::Complete(response) => {
                    self.connection = (!response.close).then_some(connection);
                    return Some(response.status);
                }
            }
        }
    }
}

/// The results of the requests of a run.
#[derive(Default)]
pub(super) struct TrafficResult {
    sent: usize,
    served: usize,
    refused: usize,
    /// The times from the scheduled send times of served requests to their responses, in milliseconds.
    response_times: Vec<f64>,
    server_connections: u64,
}

impl TrafficResult {
    fn record(&mut self, status: Option<u16>, response_time: f64) {
        self.sent += 1;
        match status {
            Some(200) => {
                self.served += 1;
                self.response_times.push(response_time);
            }
            Some(_) => self.refused += 1,
            None => {}
        }
    }

    /// Adds the results to the line and prints it.
    pub(super) fn print(self, line: FigureLine) {
        let response_times = Samples::new(self.response_times);
        let connections_per_request = self.server_connections as f64 / self.sent.max(1) as f64;
        line.with("sent", self.sent)
            .with("served", self.served)
            .with("refused", self.refused)
            .number("took_ms", response_times.median())
            .number("took_99_ms", response_times.quantile(0.99))
            .number("connections_each", connections_per_request)
            .print();
    }
}

/// Generates valid requests for a configuration, cycling through all routes and the first key of each tenant.
struct RequestGenerator {
    /// The host and a path of each route.
    targets: Vec<(String, String)>,
    keys: Vec<String>,
}

impl RequestGenerator {
    fn new(config: &Config) -> RequestGenerator {
        let target = |host: &str, prefix: &str| (host.to_string(), format!("{prefix}x"));
        let mut targets: Vec<(String, String)> = config
            .route_entries()
            .map(|entry| target(entry.host, entry.prefix))
            .collect();
        targets.sort();
        let tenants = config.tenants.iter().flatten();
        RequestGenerator {
            targets,
            keys: tenants.filter_map(|t| t.keys.first().cloned()).collect(),
        }
    }

    fn request(&self, number: usize) -> String {
        let (host, path) = &self.targets[(number * ROUTE_STEP) % self.targets.len()];
        let key = &self.keys[(number * KEY_STEP) % self.keys.len()];
        format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nTry-Id: {number:016x}\r\nBudget-Ms: 2000\r\n\
             Credential: {key}\r\n\r\n"
        )
    }
}

/// Requests at a constant rate.
pub(super) struct Traffic {
    /// The destination address.
    pub(super) addr: SocketAddr,
    /// The number of requests per second.
    pub(super) rate: f64,
    /// The duration of the run.
    pub(super) duration: Duration,
}

impl Traffic {
    /// Sends the requests. The scheduled time of each request does not depend on the results of earlier requests.
    pub(super) fn send(&self, config: &Config, servers: &Servers) -> TrafficResult {
        let connections_before = servers.connections();
        let requests = RequestGenerator::new(config);
        let next_number = AtomicU64::new(0);
        let result = Mutex::new(TrafficResult::default());
        let started_at = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| self.run_client(&requests, &next_number, started_at, &result));
            }
        });
        let mut result = result.into_inner().unwrap_or_else(|e| e.into_inner());
        result.server_connections = servers.connections() - connections_before;
        result
    }

    fn run_client(
        &self,
        requests: &RequestGenerator,
        next_number: &AtomicU64,
        started_at: Instant,
        result: &Mutex<TrafficResult>,
    ) {
        let mut client = Client {
            addr: self.addr,
            connection: None,
        };
        loop {
            let number = next_number.fetch_add(1, Relaxed);
            let scheduled_at = started_at + Duration::from_secs_f64(number as f64 / self.rate);
            if scheduled_at > started_at + self.duration {
                return;
            }
            sleep(scheduled_at.saturating_duration_since(Instant::now()));
            let request = requests.request(number as usize);
            let status = client.call(request.as_bytes());
            let response_time = scheduled_at.elapsed().as_secs_f64() * 1000.0;
            lock(result).record(status, response_time);
        }
    }
}
