//! Fake servers, counters and discovery services.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How a fake server handles a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    Responds(&'static str),
    RespondsAndCloses(&'static str),
    /// Closes the connection after reading the request.
    Closes,
    /// Sends no response and keeps the connection open.
    Hangs,
    /// Responds after a delay in milliseconds.
    RespondsAfter(u64, &'static str),
    /// Responds, and sends further bytes after a delay in milliseconds.
    RespondsTwice(&'static str, u64, &'static str),
}

pub(crate) const RESPONDS_MALFORMED: Behaviour =
    Behaviour::Responds("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
pub(crate) const RESPONDS_OK: Behaviour =
    Behaviour::Responds("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
pub(crate) const REJECTS: Behaviour =
    Behaviour::Responds("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");

/// The events counted by a fake server.
#[derive(Default)]
pub(crate) struct ServerLog {
    connections: AtomicUsize,
    requests: AtomicUsize,
    /// Connections closed by the peer.
    ended_connections: AtomicUsize,
}

/// A running fake server.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    log: Arc<ServerLog>,
}

impl FakeServer {
    pub(crate) fn start(behaviour: Behaviour) -> FakeServer {
        let log = Arc::new(ServerLog::default());
        let own_log = log.clone();
        let address = listen(move |stream| serve(stream, behaviour, &own_log));
        FakeServer { address, log }
    }

    pub(crate) fn connections(&self) -> usize {
        self.log.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn requests(&self) -> usize {
        self.log.requests.load(Ordering::SeqCst)
    }

    pub(crate) fn ended_connections(&self) -> usize {
        self.log.ended_connections.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, behaviour: Behaviour, log: &ServerLog) {
    log.connections.fetch_add(1, Ordering::SeqCst);
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest) {
        log.requests
            .fetch_add(usize::from(request.contains("X-Txn")), Ordering::SeqCst);
        match behaviour {
            Behaviour::Responds(response) => send(&mut stream, response),
            Behaviour::RespondsAndCloses(response) => return send(&mut stream, response),
            Behaviour::Closes => return,
            Behaviour::Hangs => {}
            Behaviour::RespondsAfter(millis, response) => {
                thread::sleep(Duration::from_millis(millis));
                send(&mut stream, response);
            }
            Behaviour::RespondsTwice(response, millis, more) => {
                send(&mut stream, response);
                thread::sleep(Duration::from_millis(millis));
                send(&mut stream, more);
            }
        }
    }
    log.ended_connections.fetch_add(1, Ordering::SeqCst);
}

fn send(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

/// Accepts connections indefinitely and serves each on its own thread.
pub(crate) fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Returns an address without a listener.
pub(crate) fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Reads one HTTP message, head and body. Returns `None` if the connection has ended.
pub(crate) fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(rest).to_string();
        if let Some(head_end) = text.find("\r\n\r\n") {
            let end = head_end + 4 + content_length(&text[..head_end]);
            if rest.len() >= end {
                rest.drain(..end);
                return Some(text[..end].to_string());
            }
        }
        match stream.read(&mut chunk) {
            Ok(read) if read > 0 => rest.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
}

fn content_length(head: &str) -> usize {
    let head = head.to_ascii_lowercase();
    let value = head
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next());
    value.map_or(0, |length| length.parse().unwrap())
}

/// Returns a response with a body.
pub(crate) fn response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a counter with one total. It replies to each call with `reply`, or with the total if `reply` is `None`.
pub(crate) fn counter(reply: Option<&'static str>) -> SocketAddr {
    /// The number of lines of one call.
    const CALL_LINES: usize = 9;
    /// The index of the line with the amount.
    const AMOUNT: usize = 6;
    listen(move |mut stream| {
        let (mut received, mut total, mut chunk) = (Vec::new(), 0.0, [0; 4096]);
        while let Ok(read) = stream.read(&mut chunk) {
            if read == 0 {
                return;
            }
            received.extend_from_slice(&chunk[..read]);
            let text = String::from_utf8_lossy(&received).to_string();
            let lines: Vec<&str> = text.split_inclusive("\r\n").collect();
            for call in lines.chunks_exact(CALL_LINES) {
                total += call[AMOUNT].trim().parse::<f64>().unwrap();
                let size = total.to_string().len();
                send(
                    &mut stream,
                    &reply.map_or(format!("${size}\r\n{total}\r\n"), str::to_string),
                );
            }
            let consumed: usize = lines
                .chunks_exact(CALL_LINES)
                .flatten()
                .map(|line| line.len())
                .sum();
            received.drain(..consumed);
        }
    })
}

/// Starts a discovery service that responds with `list`, to a watch only after five seconds.
pub(crate) fn discovery(list: String) -> SocketAddr {
    listen(move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            if request.contains("from=") {
                thread::sleep(Duration::from_secs(5));
            }
            send(&mut stream, &response(&list));
        }
    })
}
