//! Clients that disconnect while a request is in flight: nothing more is forwarded for them, and idempotent
//! requests are aborted. The servers here report how the run of each request ended.

mod common;

use aspendrum_net::http1::{parse_request, Parsed, Request};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::{listener, ProxyState};
use common::{proxy, CONFIG, MESSAGE_LIMITS, READ, SEND};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The duration of a run that is expected to be aborted, which is far longer than the detection of a disconnect.
const LONG_RUN: Duration = Duration::from_secs(8);
/// The duration of a run whose end a test awaits.
const SHORT_RUN: Duration = Duration::from_millis(800);
/// An upper bound for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A server's event for one request.
#[derive(Debug, PartialEq)]
enum RunEvent {
    Started(String),
    /// The proxy closed the connection, or its sending side, during the run.
    Aborted(String),
    /// The run completed.
    Finished(String),
    /// The server dropped an aborted run.
    Dropped(String),
}

/// A server whose runs last until their connection ends or their time is over.
struct HoldingServer {
    addr: SocketAddr,
    events: Receiver<RunEvent>,
    /// Aborted runs are dropped once this gate is open.
    drop_gate: Arc<Gate>,
}

/// A gate that is closed at first and stays open once opened.
#[derive(Default)]
struct Gate {
    open: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn open(&self) {
        *self.open.lock().unwrap() = true;
        self.opened.notify_all();
    }

    fn wait(&self) {
        let closed = self.open.lock().unwrap();
        drop(self.opened.wait_while(closed, |open| !*open).unwrap());
    }
}

impl HoldingServer {
    /// Starts a server that drops a run as soon as its connection ends.
    fn start(run: Duration) -> HoldingServer {
        let server = HoldingServer::start_ignoring_disconnects(run);
        server.drop_gate.open();
        server
    }

    /// Starts a server that continues aborted runs until `drop_gate` is opened.
    fn start_ignoring_disconnects(run: Duration) -> HoldingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (report, events) = channel();
        let drop_gate = Arc::new(Gate::default());
        let gate = drop_gate.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (report, gate) = (report.clone(), gate.clone());
                thread::spawn(move || serve(&stream, run, &report, &gate));
            }
        });
        HoldingServer {
            addr,
            events,
            drop_gate,
        }
    }

    fn next_event(&self) -> RunEvent {
        self.events
            .recv_timeout(TIMEOUT)
            .expect("the server reports each run")
    }
}

fn serve(stream: &TcpStream, run: Duration, report: &Sender<RunEvent>, drop_gate: &Gate) {
    let mut ring = RingBuffer::new(1024, 1 << 20);
    loop {
        let request = match parse_request(&mut ring, &MESSAGE_LIMITS) {
            Parsed::Complete(request) => request,
            Parsed::Invalid(status) => panic!("{status}"),
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(size) if size > 0 => continue,
                _ => return,
            },
        };
        if request.path == "/healthz" {
            let health_response = b"HTTP/1.1 200 OK\r\nServer-Id: i-0\r\nContent-Length: 0\r\n\r\n";
            if (&mut &*stream).write_all(health_response).is_err() {
                return;
            }
            continue;
        }
        let id = try_id(&request);
        let _ = report.send(RunEvent::Started(id.clone()));
        stream.set_read_timeout(Some(run)).unwrap();
        let ended = (&mut &*stream).read(&mut [0]);
        stream.set_read_timeout(None).unwrap();
        let has_completed = matches!(&ended, Err(e) if e.kind() == ErrorKind::WouldBlock);
        if !has_completed {
            let _ = report.send(RunEvent::Aborted(id.clone()));
            drop_gate.wait();
            let _ = report.send(RunEvent::Dropped(id));
            return;
        }
        let _ = report.send(RunEvent::Finished(id.clone()));
        let response =
            format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nSeal: 1\r\nContent-Length: 4\r\n\r\nbody");
        if (&mut &*stream).write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn try_id(request: &Request) -> String {
    let id = request.headers.iter().find(|h| h.0 == "Try-Id").unwrap();
    String::from_utf8(id.1.clone()).unwrap()
}

/// Starts a proxy in front of the given server, with timeouts longer than any test.
fn start_proxy(server: SocketAddr) -> (Arc<ProxyState>, SocketAddr) {
    let config = CONFIG.replace("\"limit-ms\":2000", "\"limit-ms\":60000");
    let config = config.replace("\"goal-ms\":800", "\"goal-ms\":60000");
    let config = config.replace(
        "\"body-bytes\":65536",
        &format!("\"body-bytes\":{}", 2 * LARGE_BODY_BYTES),
    );
    let state = proxy("\"retry-slack\":100", &config, &[server]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let accept_state = state.clone();
    thread::spawn(move || listener::accept(&accept_state, listener));
    (state, addr)
}

/// Sends a request under the given id, with a time budget longer than any test.
fn client(proxy_addr: SocketAddr, text: &str, id: &str) -> TcpStream {
    let original_id = if text.starts_with("GET") { "t1" } else { "t2" };
    let text = text.replace(&format!("Try-Id: {original_id}"), &format!("Try-Id: {id}"));
    let text = text
        .replace("Budget-Ms: 2000", "Budget-Ms: 60000")
        .replace('\n', "\r\n");
    let mut stream = TcpStream::connect(proxy_addr).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

fn started(id: &str) -> RunEvent {
    RunEvent::Started(id.into())
}

fn aborted(id: &str) -> RunEvent {
    RunEvent::Aborted(id.into())
}

fn dropped(id: &str) -> RunEvent {
    RunEvent::Dropped(id.into())
}

/// Waits until the number of the proxy's client connections matches the predicate.
fn await_connections(state: &ProxyState, predicate: impl Fn(usize) -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !predicate(state.sessions.count()) {
        assert!(
            Instant::now() < until,
            "{} connections are open",
            state.sessions.count()
        );
        thread::yield_now();
    }
}

/// Reads until the other side closes the connection.
fn read_to_end(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Guards against a run that occupies a server's slot after its client has disconnected.
#[test]
fn an_idempotent_run_is_aborted_after_its_client_disconnects() {
    let server = HoldingServer::start(LONG_RUN);
    let (state, proxy_addr) = start_proxy(server.addr);
    let leaving_client = client(proxy_addr, READ, "a1");
    assert_eq!(server.next_event(), started("a1"));
    drop(leaving_client);
    assert_eq!(server.next_event(), aborted("a1"));
    await_connections(&state, |open| open == 0);
    assert_eq!(
        (
            state.disconnect_metrics.disconnects(),
            state.disconnect_metrics.violations()
        ),
        (1, 0)
    );
}

/// Guards against undetected disconnects: a reset, a half-close, an HTTP/1.0 client, and a close behind a pipelined
/// request.
#[test]
fn every_kind_of_disconnect_is_detected() {
    let reset: fn(TcpStream) -> Option<TcpStream> = |stream| {
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        None
    };
    let half_closed: fn(TcpStream) -> Option<TcpStream> = |stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        Some(stream)
    };
    let behind_bytes: fn(TcpStream) -> Option<TcpStream> = |mut stream| {
        stream
            .write_all(READ.replace("t1", "ahead").replace('\n', "\r\n").as_bytes())
            .unwrap();
        None
    };
    let older = READ.replace("HTTP/1.1", "HTTP/1.0");
    let server = HoldingServer::start(LONG_RUN);
    let (state, proxy_addr) = start_proxy(server.addr);
    for (text, leave) in [
        (READ, reset),
        (READ, half_closed),
        (READ, behind_bytes),
        (&older, behind_bytes),
    ] {
        let leaving_client = client(proxy_addr, text, "a1");
        assert_eq!(server.next_event(), started("a1"));
        let left = leave(leaving_client);
        assert_eq!(server.next_event(), aborted("a1"));
        assert_eq!(server.next_event(), dropped("a1"));
        // A client that still reads learns that there is no response, and may retry.
        assert!(left.is_none_or(|mut stream| read_to_end(&mut stream).is_empty()));
        await_connections(&state, |open| open == 0);
    }
    assert_eq!(state.disconnect_metrics.violations(), 0);
}

/// Guards against aborting a non-idempotent run, which leaves its outcome unknown. A client that closed only
/// its sending side still gets the response.
#[test]
fn a_non_idempotent_run_may_finish() {
    let server = HoldingServer::start(SHORT_RUN);
    let (state, proxy_addr) = start_proxy(server.addr);
    for half_closed in [false, true] {
        let mut leaving_client = client(proxy_addr, SEND, "a1");
        assert_eq!(server.next_event(), started("a1"));
        leaving_client
            .shutdown(if half_closed {
                Shutdown::Write
            } else {
                Shutdown::Both
            })
            .unwrap();
        assert_eq!(server.next_event(), RunEvent::Finished("a1".into()));
        if half_closed {
            assert!(read_to_end(&mut leaving_client).starts_with("HTTP/1.1 200 "));
        }
        await_connections(&state, |open| open == 0);
    }
    assert_eq!(state.disconnect_metrics.violations(), 0);
}

/// Guards against a queued request that takes a slot although its client has disconnected.
#[test]
fn a_queued_request_is_not_sent_after_its_client_disconnects() {
    let server = HoldingServer::start(SHORT_RUN.mul_f64(4.0));
    let (state, proxy_addr) = start_proxy(server.addr);
    // The proxy sends three requests to a new server at once. The fourth waits for one of them to finish.
    let staying_clients: Vec<TcpStream> = (0..3)
        .map(|n| client(proxy_addr, SEND, &format!("s{n}")))
        .collect();
    for _ in &staying_clients {
        assert!(matches!(server.next_event(), RunEvent::Started(_)));
    }
    let leaving_client = client(proxy_addr, SEND, "a1");
    await_connections(&state, |open| open == 4);
    drop(leaving_client);
    await_connections(&state, |open| open <= 3);
    // Slots become free, and the next queued request gets the first one.
    let _next_client = client(proxy_addr, SEND, "b1");
    let mut events = Vec::new();
    while !events.contains(&started("b1")) {
        events.push(server.next_event());
    }
    assert!(!events.contains(&started("a1")), "{events:?}");
}

/// Guards against a draining proxy that no longer watches its clients.
#[test]
fn a_draining_proxy_detects_disconnects() {
    let server = HoldingServer::start(LONG_RUN);
    let (state, proxy_addr) = start_proxy(server.addr);
    let leaving_client = client(proxy_addr, READ, "a1");
    assert_eq!(server.next_event(), started("a1"));
    state.begin_drain(Duration::from_secs(30));
    state.sessions.close_idle();
    drop(leaving_client);
    assert_eq!(server.next_event(), aborted("a1"));
}

/// Guards against ejecting a healthy server because many clients disconnected.
#[test]
fn a_server_is_not_ejected_for_aborted_runs() {
    let server = HoldingServer::start(LONG_RUN);
    let (_state, proxy_addr) = start_proxy(server.addr);
    for _ in 0..6 {
        let leaving_client = client(proxy_addr, READ, "a1");
        assert_eq!(server.next_event(), started("a1"));
        drop(leaving_client);
        assert_eq!(server.next_event(), aborted("a1"));
        assert_eq!(server.next_event(), dropped("a1"));
    }
    let _staying_client = client(proxy_addr, READ, "b1");
    assert_eq!(server.next_event(), started("b1"));
}

/// Guards against counting a slot as free while its server still runs a request, which makes the next
/// request wait there.
#[test]
fn a_slot_becomes_free_when_its_server_has_dropped_the_run() {
    let server = HoldingServer::start_ignoring_disconnects(LONG_RUN);
    let (state, proxy_addr) = start_proxy(server.addr);
    let leaving_clients: Vec<TcpStream> = (0..3).map(|_| client(proxy_addr, READ, "a1")).collect();
    (0..3).for_each(|_| assert_eq!(server.next_event(), started("a1")));
    drop(leaving_clients);
    (0..3).for_each(|_| assert_eq!(server.next_event(), aborted("a1")));
    let _staying_client = client(proxy_addr, READ, "b1");
    await_connections(&state, |open| open == 4);
    server.drop_gate.open();
    assert_eq!(
        server.next_event(),
        dropped("a1"),
        "b1 started before a slot was free"
    );
}

/// A body larger than the buffers of two sockets.
const LARGE_BODY_BYTES: usize = 24 << 20;

/// Guards against sending the rest of a body to a server that would run the request for a disconnected client.
#[test]
fn a_body_in_transit_is_not_sent_completely_after_a_disconnect() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (state, proxy_addr) = start_proxy(listener.local_addr().unwrap());
    let body = vec![b'x'; LARGE_BODY_BYTES];
    let head = SEND.replace("Transfer-Encoding: chunked\n\n3\nabc\n0\n\n", "");
    let head = format!("{head}Content-Length: {LARGE_BODY_BYTES}\n\n").replace('\n', "\r\n");
    let mut leaving_client = TcpStream::connect(proxy_addr).unwrap();
    leaving_client.write_all(head.as_bytes()).unwrap();
    leaving_client.write_all(&body).unwrap();
    // The server has read the head, and reads on only after the disconnect has been detected.
    let (mut server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(TIMEOUT)).unwrap();
    server.read_exact(&mut [0; 64]).unwrap();
    drop(leaving_client);
    let until = Instant::now() + TIMEOUT;
    while state.disconnect_metrics.disconnects() == 0 {
        assert!(Instant::now() < until, "the disconnect was not detected");
        thread::yield_now();
    }
    let mut received = Vec::new();
    let _ = server.read_to_end(&mut received);
    assert!(
        received.len() < LARGE_BODY_BYTES,
        "{} of {LARGE_BODY_BYTES} bytes received",
        received.len()
    );
}
