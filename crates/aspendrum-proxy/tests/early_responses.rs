//! Servers that answer, stop reading or end their connection before a long request has been sent completely.

mod common;

use aspendrum_net::http1::{self, MessageLimits, Parsed};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::session::ClientSession;
use aspendrum_proxy::{request, ProxyState};
use common::{proxy, CONFIG};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The size of a body that no socket buffers hold.
const BODY_BYTES: usize = 16 << 20;
/// How much of a request a server reads before it does what the test asks for.
const EARLY_BYTES: usize = 256 << 10;
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 16 << 10,
    body_bytes: 2 * BODY_BYTES,
};

/// What a server does after [`EARLY_BYTES`] of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Early {
    /// Sends these bytes, then keeps the connection open without reading.
    Send(&'static str),
    /// Sends these bytes, then resets the connection.
    SendAndReset(&'static str),
    /// Sends these bytes, then closes its sending side without reading on.
    SendAndHalfClose(&'static str),
    /// Sends the first bytes, reads the whole request, and sends the others.
    SendInParts(&'static str, &'static str),
    /// Reads the whole request and answers it.
    ReadAll,
}

/// The time of a request that is answered, in milliseconds.
const LONG_BUDGET_MS: u64 = 40_000;
/// The time of a request that is not answered, in milliseconds.
const SHORT_BUDGET_MS: u64 = 400;
/// The time within which a proxy responds that does not wait for a server to read the body, in milliseconds. It is far above
/// what this takes on an idle machine.
const PROMPT_MS: u128 = 15_000;

/// The rate of a server that would read a body for longer than [`LONG_BUDGET_MS`], but takes a piece within each second.
const TRICKLE_BYTES_PER_S: f64 = 200_000.0;

/// A response in which `{id}` stands for the request's `Try-Id`.
const OK: &str = "HTTP/1.1 200 OK\nTry-Id: {id}\nSeal: s\nContent-Length: 4\n\nbody";

fn proxy_with_long_timeouts(servers: &[SocketAddr]) -> Arc<ProxyState> {
    let timeout = format!("\"limit-ms\":{LONG_BUDGET_MS}");
    let config = CONFIG.replace("\"limit-ms\":2000", &timeout);
    proxy("\"retry-slack\":100", &config, servers)
}

/// Servers and the proxy in front of them.
struct Harness {
    state: Arc<ProxyState>,
    /// The `Try-Id` of each request that a server has begun to read, except health checks.
    received: Arc<Mutex<Vec<String>>>,
    /// The connections that servers keep open.
    _held: Arc<Mutex<Vec<TcpStream>>>,
}

impl Harness {
    /// Starts two servers. The first request at any of them is handled in the given way, all others are read.
    fn new(first: Early) -> Harness {
        let received = Arc::new(Mutex::new(Vec::new()));
        let held = Arc::new(Mutex::new(Vec::new()));
        let listeners = [0, 1].map(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        for (number, listener) in listeners.into_iter().enumerate() {
            let (received, held) = (received.clone(), held.clone());
            thread::spawn(move || {
                for stream in listener.incoming() {
                    let (received, held) = (received.clone(), held.clone());
                    thread::spawn(move || serve(number, stream.unwrap(), first, &received, &held));
                }
            });
        }
        Harness {
            state: proxy_with_long_timeouts(&addresses),
            received,
            _held: held,
        }
    }

    /// Sends a request with a long body and returns the response, with its time in milliseconds.
    fn request(&self, path: &str, budget_ms: u64, framing: Framing) -> (String, u128) {
        let mut bytes = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nTry-Id: t1\r\nBudget-Ms: {budget_ms}\r\nCredential: k1\r\n"
        )
        .into_bytes();
        let body = vec![b'x'; BODY_BYTES];
        match framing {
            Framing::Length => write!(bytes, "Content-Length: {BODY_BYTES}\r\n\r\n").unwrap(),
            Framing::Chunked => {
                write!(
                    bytes,
                    "Transfer-Encoding: chunked\r\n\r\n{BODY_BYTES:x}\r\n"
                )
                .unwrap();
            }
        }
        bytes.extend_from_slice(&body);
        if framing == Framing::Chunked {
            bytes.extend_from_slice(b"\r\n0\r\n\r\n");
        }
        let mut buffer = RingBuffer::new(1024, 2 * BODY_BYTES);
        assert!(buffer.append(&bytes));
        let Parsed::Complete(request) = http1::parse_request(&mut buffer, &LIMITS) else {
            panic!("the request is not valid");
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let session = ClientSession::new(client);
        let started_at = Instant::now();
        let response = request::handle(&self.state, &session, &request, started_at);
        let response = response.encode(response.closes_connection(false, false));
        let text = String::from_utf8(response).unwrap().replace("\r\n", "\n");
        (text, started_at.elapsed().as_millis())
    }

    fn received_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Framing {
    Length,
    Chunked,
}

/// Reads the head of a request. Returns its text and the bytes behind it.
fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
            return Some((head, bytes.len() - end - 4));
        }
    }
}

fn header<'h>(head: &'h str, name: &str) -> Option<&'h str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn read_bytes(stream: &mut TcpStream, count: usize) -> bool {
    std::io::copy(&mut stream.take(count as u64), &mut std::io::sink())
        .is_ok_and(|read| read == count as u64)
}

fn serve(
    number: usize,
    mut stream: TcpStream,
    first: Early,
    received: &Mutex<Vec<String>>,
    held: &Mutex<Vec<TcpStream>>,
) {
    while let Some((head, body_read)) = read_head(&mut stream) {
        if head.starts_with("GET /healthz ") {
            let text = format!("HTTP/1.1 200 OK\nServer-Id: i-{number}\nContent-Length: 0\n\n");
            send(&mut stream, &text);
            continue;
        }
        let id = header(&head, "Try-Id").unwrap().to_string();
        let count = {
            let mut received = received.lock().unwrap();
            received.push(id.clone());
            received.len()
        };
        let body_bytes: usize = header(&head, "Content-Length").unwrap().parse().unwrap();
        let rest = body_bytes - body_read;
        let early = if count == 1 { first } else { Early::ReadAll };
        let text = |text: &str| text.replace("{id}", &id);
        if early != Early::ReadAll && !read_bytes(&mut stream, EARLY_BYTES) {
            return;
        }
        match early {
            Early::Send(response) => {
                send(&mut stream, &text(response));
                return held.lock().unwrap().push(stream);
            }
            Early::SendAndReset(response) => return send(&mut stream, &text(response)),
            Early::SendAndHalfClose(response) => {
                send(&mut stream, &text(response));
                stream.shutdown(Shutdown::Write).unwrap();
                return held.lock().unwrap().push(stream);
            }
            Early::SendInParts(begin, end) => {
                send(&mut stream, &text(begin));
                if !read_bytes(&mut stream, rest - EARLY_BYTES) {
                    return;
                }
                send(&mut stream, &text(end));
            }
            Early::ReadAll => {
                if !read_bytes(&mut stream, rest) {
                    return;
                }
                send(&mut stream, &text(OK));
            }
        }
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream
        .write_all(text.replace('\n', "\r\n").as_bytes())
        .unwrap();
}

/// Guards against an answer that is withheld, or a request that runs at a second server, because the first one answers
/// before it has read a long body.
#[test]
fn an_early_answer_is_returned_at_once_and_the_request_runs_once() {
    let answers = [
        Early::Send(OK),
        Early::SendAndReset(OK),
        Early::SendAndHalfClose(OK),
    ];
    for first in answers {
        for framing in [Framing::Length, Framing::Chunked] {
            let harness = Harness::new(first);
            let (response, time_ms) = harness.request("/send/1", LONG_BUDGET_MS, framing);
            assert_eq!(
                response, "HTTP/1.1 200 OK\nTry-Id: t1\nSeal: s\nContent-Length: 4\n\nbody",
                "{first:?}"
            );
            assert!(time_ms < PROMPT_MS, "{first:?}: {time_ms} ms");
            assert_eq!(harness.received_count(), 1, "{first:?}");
            // The server expects the rest of the body on that connection, so the next request goes out on another one.
            let (response, _) = harness.request("/send/2", LONG_BUDGET_MS, framing);
            assert!(
                response.starts_with("HTTP/1.1 200 OK\n"),
                "{first:?}: {response}"
            );
        }
    }
}

/// Guards against taking the begin of an answer, or an answer to an earlier request, for the whole.
#[test]
fn the_rest_of_the_body_is_sent_while_an_early_answer_is_incomplete() {
    let early = "HTTP/1.1 200 OK\nTry-Id: t0\nSeal: old\nContent-Length: 3\n\nold";
    let (begin, end) = OK.split_at(40);
    for first in [
        Early::SendInParts(begin, end),
        Early::SendInParts(early, OK),
    ] {
        let harness = Harness::new(first);
        let (response, _) = harness.request("/send/1", LONG_BUDGET_MS, Framing::Length);
        assert!(
            response.ends_with("Seal: s\nContent-Length: 4\n\nbody"),
            "{first:?}: {response}"
        );
        assert_eq!(harness.received_count(), 1, "{first:?}");
    }
}

/// Guards against sending a request that must not run twice to a second server, or promising that it has not run, after
/// a server has taken a part of it.
#[test]
fn a_server_that_takes_a_part_of_a_request_may_have_run_it() {
    let cases = [
        (Early::Send(""), SHORT_BUDGET_MS, "504"),
        (Early::SendAndReset(""), LONG_BUDGET_MS, "502"),
        (Early::SendAndHalfClose(""), LONG_BUDGET_MS, "502"),
        (
            Early::Send("HTTP/1.1 500 Broken\nTry-Id: {id}\nSeal: s\nContent-Length: 0\n\n"),
            LONG_BUDGET_MS,
            "500",
        ),
    ];
    for (first, budget_ms, status) in cases {
        let harness = Harness::new(first);
        let (response, time_ms) = harness.request("/send/1", budget_ms, Framing::Length);
        assert_eq!(&response[9..12], status, "{first:?}");
        assert!(time_ms < PROMPT_MS, "{first:?}: {time_ms} ms");
        assert_eq!(harness.received_count(), 1, "{first:?}");
    }
}

/// What may run twice, or has not run by the server's word, is sent to another server.
#[test]
fn an_early_refusal_and_a_lost_repeatable_request_are_retried() {
    let refusal = "HTTP/1.1 503 Full\nTry-Id: {id}\nNot-Run: 1\nContent-Length: 0\n\n";
    let cases = [
        (Early::Send(refusal), "/send/1"),
        (Early::SendAndReset(refusal), "/send/1"),
        (Early::SendAndReset(""), "/read/1"),
    ];
    for (first, path) in cases {
        let harness = Harness::new(first);
        let (response, _) = harness.request(path, LONG_BUDGET_MS, Framing::Length);
        assert!(
            response.starts_with("HTTP/1.1 200 OK\n"),
            "{first:?}: {response}"
        );
        assert_eq!(harness.received_count(), 2, "{first:?}");
    }
}

/// Reads at most this many bytes per second.
fn read_at_rate(stream: &mut TcpStream, bytes_per_s: f64) {
    let started_at = Instant::now();
    let (mut read_bytes, mut piece) = (0.0, [0; 64 << 10]);
    while let Ok(read) = stream.read(&mut piece) {
        if read == 0 {
            return;
        }
        read_bytes += read as f64;
        while read_bytes > started_at.elapsed().as_secs_f64() * bytes_per_s {
            thread::yield_now();
        }
    }
}

/// Guards against a thread that a server keeps for longer than its request has time, by reading now and then.
#[test]
fn a_server_that_reads_a_trickle_does_not_hold_its_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || read_at_rate(&mut stream, TRICKLE_BYTES_PER_S));
        }
    });
    let harness = Harness {
        state: proxy_with_long_timeouts(&[address]),
        received: Arc::default(),
        _held: Arc::default(),
    };
    let (response, time_ms) = harness.request("/send/1", SHORT_BUDGET_MS, Framing::Length);
    assert_eq!(&response[9..12], "504");
    assert!(time_ms < PROMPT_MS, "{time_ms} ms");
}
