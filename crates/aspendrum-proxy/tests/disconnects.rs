//! Clients that close their connection while a request of theirs is in flight: nothing is forwarded for them any more,
//! and a run that may be repeated is broken off. The servers here report how each run ended.

mod common;

use aspendrum_net::http1::{parse_request, Parsed, Request};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::{listener, ProxyState};
use common::{proxy, BOUNDS, CONFIG, READ, SEND};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A run goes on for so long unless its connection ends: far longer than a disconnect may go unnoticed.
const LONG: Duration = Duration::from_secs(8);
/// A run that a test waits for.
const SHORT: Duration = Duration::from_millis(800);
/// Whatever a test waits for has come by then.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a server saw of one request.
#[derive(Debug, PartialEq)]
enum Seen {
    Started(String),
    /// The proxy closed the connection, or its sending side, while the run was under way.
    BrokenOff(String),
    /// The run came to its end.
    Finished(String),
    /// A run that was broken off is dropped.
    Dropped(String),
}

/// A server whose runs last until their connection ends, or their time is over.
struct HoldingServer {
    addr: SocketAddr,
    seen: Receiver<Seen>,
    /// Runs that are broken off are dropped once this is open.
    drops: Arc<Gate>,
}

/// Closed until it is opened for good.
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
    /// It drops a run as soon as its connection ends.
    fn start(run: Duration) -> HoldingServer {
        let server = HoldingServer::that_ignores_disconnects(run);
        server.drops.open();
        server
    }

    /// It goes on with runs that are broken off until `drops` is opened.
    fn that_ignores_disconnects(run: Duration) -> HoldingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (report, seen) = channel();
        let drops = Arc::new(Gate::default());
        let gate = drops.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (report, gate) = (report.clone(), gate.clone());
                thread::spawn(move || serve(&stream, run, &report, &gate));
            }
        });
        HoldingServer { addr, seen, drops }
    }

    fn next(&self) -> Seen {
        self.seen
            .recv_timeout(PATIENCE)
            .expect("a server sees what becomes of a request")
    }
}

fn serve(stream: &TcpStream, run: Duration, report: &Sender<Seen>, drops: &Gate) {
    let mut ring = RingBuffer::new(1024, 1 << 20);
    loop {
        let asked = match parse_request(&mut ring, &BOUNDS) {
            Parsed::Complete(asked) => asked,
            Parsed::Invalid(status) => panic!("{status}"),
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(size) if size > 0 => continue,
                _ => return,
            },
        };
        if asked.path == "/healthz" {
            let well = b"HTTP/1.1 200 OK\r\nServer-Id: i-0\r\nContent-Length: 0\r\n\r\n";
            if (&mut &*stream).write_all(well).is_err() {
                return;
            }
            continue;
        }
        let id = try_id(&asked);
        let _ = report.send(Seen::Started(id.clone()));
        stream.set_read_timeout(Some(run)).unwrap();
        let ended = (&mut &*stream).read(&mut [0]);
        stream.set_read_timeout(None).unwrap();
        let run_over = matches!(&ended, Err(e) if e.kind() == ErrorKind::WouldBlock);
        if !run_over {
            let _ = report.send(Seen::BrokenOff(id.clone()));
            drops.wait();
            let _ = report.send(Seen::Dropped(id));
            return;
        }
        let _ = report.send(Seen::Finished(id.clone()));
        let answer =
            format!("HTTP/1.1 200 OK\r\nTry-Id: {id}\r\nSeal: 1\r\nContent-Length: 4\r\n\r\nbody");
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn try_id(asked: &Request) -> String {
    let id = asked.headers.iter().find(|h| h.0 == "Try-Id").unwrap();
    String::from_utf8(id.1.clone()).unwrap()
}

/// A listening proxy in front of that server; its routes' limits are longer than any test.
fn listening(server: SocketAddr) -> (Arc<ProxyState>, SocketAddr) {
    let config = CONFIG.replace("\"limit-ms\":2000", "\"limit-ms\":60000");
    let config = config.replace("\"goal-ms\":800", "\"goal-ms\":60000");
    let config = config.replace(
        "\"body-bytes\":65536",
        &format!("\"body-bytes\":{}", 2 * LARGE),
    );
    let state = proxy("\"retry-slack\":100", &config, &[server]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let own = state.clone();
    thread::spawn(move || listener::accept(&own, listener));
    (state, addr)
}

/// A client that has sent that request under that id, and waits as long as any test.
fn client(front: SocketAddr, text: &str, id: &str) -> TcpStream {
    let own = if text.starts_with("GET") { "t1" } else { "t2" };
    let text = text.replace(&format!("Try-Id: {own}"), &format!("Try-Id: {id}"));
    let text = text
        .replace("Budget-Ms: 2000", "Budget-Ms: 60000")
        .replace('\n', "\r\n");
    let mut stream = TcpStream::connect(front).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    stream
}

fn started(id: &str) -> Seen {
    Seen::Started(id.into())
}

fn broken_off(id: &str) -> Seen {
    Seen::BrokenOff(id.into())
}

fn dropped(id: &str) -> Seen {
    Seen::Dropped(id.into())
}

/// Waits until that holds of the number of the proxy's client connections.
fn await_connections(state: &ProxyState, holds: impl Fn(usize) -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds(state.sessions.count()) {
        assert!(
            Instant::now() < until,
            "{} connections are open",
            state.sessions.count()
        );
        thread::yield_now();
    }
}

/// Reads all that comes until the other side closes.
fn read_to_end(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Danger: a server runs a request for nobody, and others wait for its slot.
#[test]
fn a_run_that_may_be_repeated_is_broken_off_once_its_client_has_left() {
    let server = HoldingServer::start(LONG);
    let (state, front) = listening(server.addr);
    let leaving_client = client(front, READ, "a1");
    assert_eq!(server.next(), started("a1"));
    drop(leaving_client);
    assert_eq!(server.next(), broken_off("a1"));
    await_connections(&state, |open| open == 0);
    assert_eq!(
        (
            state.disconnect_metrics.disconnects(),
            state.disconnect_metrics.violations()
        ),
        (1, 0)
    );
}

/// Danger: some kinds of closes go unnoticed: a reset, the end of the sending side alone, an HTTP/1.0 client, a close
/// behind a pipelined request.
#[test]
fn every_kind_of_disconnect_is_noticed() {
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
    let server = HoldingServer::start(LONG);
    let (state, front) = listening(server.addr);
    for (text, leave) in [
        (READ, reset),
        (READ, half_closed),
        (READ, behind_bytes),
        (&older, behind_bytes),
    ] {
        let leaving_client = client(front, text, "a1");
        assert_eq!(server.next(), started("a1"));
        let left = leave(leaving_client);
        assert_eq!(server.next(), broken_off("a1"));
        assert_eq!(server.next(), dropped("a1"));
        // A client that still reads learns that there is no answer, and may retry.
        assert!(left.is_none_or(|mut stream| read_to_end(&mut stream).is_empty()));
        await_connections(&state, |open| open == 0);
    }
    assert_eq!(state.disconnect_metrics.violations(), 0);
}

/// Danger: the outcome of a once-only request is unknown where its run is cut; and a client that only closed its sending
/// side waits for it.
#[test]
fn a_once_only_run_may_finish() {
    let server = HoldingServer::start(SHORT);
    let (state, front) = listening(server.addr);
    for half_closed in [false, true] {
        let mut leaving_client = client(front, SEND, "a1");
        assert_eq!(server.next(), started("a1"));
        leaving_client
            .shutdown(if half_closed {
                Shutdown::Write
            } else {
                Shutdown::Both
            })
            .unwrap();
        assert_eq!(server.next(), Seen::Finished("a1".into()));
        if half_closed {
            assert!(read_to_end(&mut leaving_client).starts_with("HTTP/1.1 200 "));
        }
        await_connections(&state, |open| open == 0);
    }
    assert_eq!(state.disconnect_metrics.violations(), 0);
}

/// Danger: a queued request whose client has left takes a slot from one whose client is there.
#[test]
fn a_queued_request_is_not_sent_once_its_client_has_left() {
    let server = HoldingServer::start(SHORT.mul_f64(4.0));
    let (state, front) = listening(server.addr);
    // The proxy sends a new server three requests at once; the fourth waits for the end of one of these.
    let staying_clients: Vec<TcpStream> = (0..3)
        .map(|n| client(front, SEND, &format!("s{n}")))
        .collect();
    for _ in &staying_clients {
        assert!(matches!(server.next(), Seen::Started(_)));
    }
    let leaving_client = client(front, SEND, "a1");
    await_connections(&state, |open| open == 4);
    drop(leaving_client);
    await_connections(&state, |open| open <= 3);
    // Slots come free, and the next queued request gets the first.
    let _next = client(front, SEND, "b1");
    let mut seen = Vec::new();
    while !seen.contains(&started("b1")) {
        seen.push(server.next());
    }
    assert!(!seen.contains(&started("a1")), "{seen:?}");
}

/// Danger: a draining proxy does not watch clients any more.
#[test]
fn a_draining_proxy_notices_disconnects() {
    let server = HoldingServer::start(LONG);
    let (state, front) = listening(server.addr);
    let leaving_client = client(front, READ, "a1");
    assert_eq!(server.next(), started("a1"));
    state.begin_drain(Duration::from_secs(30));
    state.sessions.close_idle();
    drop(leaving_client);
    assert_eq!(server.next(), broken_off("a1"));
}

/// Danger: many clients leave, and a healthy server is ejected for that.
#[test]
fn a_server_is_not_ejected_for_runs_that_were_broken_off() {
    let server = HoldingServer::start(LONG);
    let (_shop, front) = listening(server.addr);
    for _ in 0..6 {
        let leaving_client = client(front, READ, "a1");
        assert_eq!(server.next(), started("a1"));
        drop(leaving_client);
        assert_eq!(server.next(), broken_off("a1"));
        assert_eq!(server.next(), dropped("a1"));
    }
    let _staying_client = client(front, READ, "b1");
    assert_eq!(server.next(), started("b1"));
}

/// Danger: a slot counts as free while its server still runs a request, and the next one waits behind it.
#[test]
fn a_slot_is_free_once_its_server_has_dropped_the_run() {
    let server = HoldingServer::that_ignores_disconnects(LONG);
    let (state, front) = listening(server.addr);
    let leaving_clients: Vec<TcpStream> = (0..3).map(|_| client(front, READ, "a1")).collect();
    (0..3).for_each(|_| assert_eq!(server.next(), started("a1")));
    drop(leaving_clients);
    (0..3).for_each(|_| assert_eq!(server.next(), broken_off("a1")));
    let _staying_client = client(front, READ, "b1");
    await_connections(&state, |open| open == 4);
    server.drops.open();
    assert_eq!(
        server.next(),
        dropped("a1"),
        "b1 started before a slot was free"
    );
}

/// More than the buffers of two sockets take.
const LARGE: usize = 24 << 20;

/// Danger: the rest of a body goes to a server that would run the request for nobody.
#[test]
fn a_body_in_transit_is_not_sent_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (state, front) = listening(listener.local_addr().unwrap());
    let body = vec![b'x'; LARGE];
    let head = SEND.replace("Transfer-Encoding: chunked\n\n3\nabc\n0\n\n", "");
    let head = format!("{head}Content-Length: {LARGE}\n\n").replace('\n', "\r\n");
    let mut leaving_client = TcpStream::connect(front).unwrap();
    leaving_client.write_all(head.as_bytes()).unwrap();
    leaving_client.write_all(&body).unwrap();
    // The server has read the head, and reads on only once the disconnect has been noticed.
    let (mut server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(PATIENCE)).unwrap();
    server.read_exact(&mut [0; 64]).unwrap();
    drop(leaving_client);
    let until = Instant::now() + PATIENCE;
    while state.disconnect_metrics.disconnects() == 0 {
        assert!(Instant::now() < until, "the disconnect was not noticed");
        thread::yield_now();
    }
    let mut came = Vec::new();
    let _ = server.read_to_end(&mut came);
    assert!(came.len() < LARGE, "{} bytes came of {LARGE}", came.len());
}
