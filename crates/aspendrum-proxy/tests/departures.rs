//! Clients that close their connection while a request of theirs is in hand: nothing is sent on for them any more, and
//! a run that may be repeated is broken off. Servers here tell how each run ended.

mod common;

use aspendrum_net::http1::{parse_request, Parsed, Request};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::{door, Shop};
use common::{proxy, BOUNDS, CONFIG, READ, SEND};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A run goes on for so long unless its connection ends: far longer than a departure may go unheard.
const LONG: Duration = Duration::from_secs(8);
/// A run that a test waits for.
const SHORT: Duration = Duration::from_millis(800);
/// Whatever a test waits for has come by then.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a server saw of one request.
#[derive(Debug, PartialEq)]
enum Seen {
    Begun(String),
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
        let server = HoldingServer::that_works_on(run);
        server.drops.open();
        server
    }

    /// It works on what is broken off until `drops` is opened.
    fn that_works_on(run: Duration) -> HoldingServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, seen) = channel();
        let drops = Arc::new(Gate::default());
        let gate = drops.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (tell, gate) = (tell.clone(), gate.clone());
                thread::spawn(move || hold(&stream, run, &tell, &gate));
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

fn hold(stream: &TcpStream, run: Duration, tell: &Sender<Seen>, drops: &Gate) {
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
        let _ = tell.send(Seen::Begun(id.clone()));
        stream.set_read_timeout(Some(run)).unwrap();
        let ended = (&mut &*stream).read(&mut [0]);
        stream.set_read_timeout(None).unwrap();
        let run_over = matches!(&ended, Err(e) if e.kind() == ErrorKind::WouldBlock);
        if !run_over {
            let _ = tell.send(Seen::BrokenOff(id.clone()));
            drops.wait();
            let _ = tell.send(Seen::Dropped(id));
            return;
        }
        let _ = tell.send(Seen::Finished(id.clone()));
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

/// A proxy that listens, in front of that server; its routes' limits are longer than any test.
fn listening(server: SocketAddr) -> (Arc<Shop>, SocketAddr) {
    let config = CONFIG.replace("\"limit-ms\":2000", "\"limit-ms\":60000");
    let config = config.replace("\"goal-ms\":800", "\"goal-ms\":60000");
    let config = config.replace(
        "\"body-bytes\":65536",
        &format!("\"body-bytes\":{}", 2 * LARGE),
    );
    let shop = proxy("\"retry-slack\":100", &config, &[server]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let own = shop.clone();
    thread::spawn(move || door::accept(&own, listener));
    (shop, addr)
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

fn begun(id: &str) -> Seen {
    Seen::Begun(id.into())
}

fn broken_off(id: &str) -> Seen {
    Seen::BrokenOff(id.into())
}

fn dropped(id: &str) -> Seen {
    Seen::Dropped(id.into())
}

/// Waits until that holds of the number of the proxy's clients.
fn connections_come_to(shop: &Shop, holds: impl Fn(usize) -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds(shop.clients.count()) {
        assert!(
            Instant::now() < until,
            "{} connections are open",
            shop.clients.count()
        );
        thread::yield_now();
    }
}

/// Reads all that comes until the other side closes.
fn rest(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Danger: a server works for nobody, and others wait for its place.
#[test]
fn a_run_that_may_be_repeated_is_broken_off_once_its_client_has_left() {
    let server = HoldingServer::start(LONG);
    let (shop, front) = listening(server.addr);
    let leaver = client(front, READ, "a1");
    assert_eq!(server.next(), begun("a1"));
    drop(leaver);
    assert_eq!(server.next(), broken_off("a1"));
    connections_come_to(&shop, |open| open == 0);
    assert_eq!(
        (shop.departures.disconnects(), shop.departures.violations()),
        (1, 0)
    );
}

/// Danger: a close that looks otherwise is not heard: a reset, the end of the sending side alone, an older client, a
/// close that hides behind a request sent ahead.
#[test]
fn every_way_of_leaving_is_heard() {
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
    let (shop, front) = listening(server.addr);
    for (text, leave) in [
        (READ, reset),
        (READ, half_closed),
        (READ, behind_bytes),
        (&older, behind_bytes),
    ] {
        let leaver = client(front, text, "a1");
        assert_eq!(server.next(), begun("a1"));
        let left = leave(leaver);
        assert_eq!(server.next(), broken_off("a1"));
        assert_eq!(server.next(), dropped("a1"));
        // Whoever still reads learns that there is no answer, and may ask again.
        assert!(left.is_none_or(|mut stream| rest(&mut stream).is_empty()));
        connections_come_to(&shop, |open| open == 0);
    }
    assert_eq!(shop.departures.violations(), 0);
}

/// Danger: what a transfer came to is unknown where it is cut; and whoever only ended its sending side waits for it.
#[test]
fn a_once_only_run_is_let_finish() {
    let server = HoldingServer::start(SHORT);
    let (shop, front) = listening(server.addr);
    for half_closed in [false, true] {
        let mut leaver = client(front, SEND, "a1");
        assert_eq!(server.next(), begun("a1"));
        leaver
            .shutdown(if half_closed {
                Shutdown::Write
            } else {
                Shutdown::Both
            })
            .unwrap();
        assert_eq!(server.next(), Seen::Finished("a1".into()));
        if half_closed {
            assert!(rest(&mut leaver).starts_with("HTTP/1.1 200 "));
        }
        connections_come_to(&shop, |open| open == 0);
    }
    assert_eq!(shop.departures.violations(), 0);
}

/// Danger: a request whose client has left waits for a place, and takes it from one whose client is there.
#[test]
fn a_request_that_waits_for_a_place_is_not_sent_once_its_client_has_left() {
    let server = HoldingServer::start(SHORT.mul_f64(4.0));
    let (shop, front) = listening(server.addr);
    // The proxy sends a new server three requests at once; the fourth waits for the end of one of these.
    let stayers: Vec<TcpStream> = (0..3)
        .map(|n| client(front, SEND, &format!("s{n}")))
        .collect();
    for _ in &stayers {
        assert!(matches!(server.next(), Seen::Begun(_)));
    }
    let leaver = client(front, SEND, "a1");
    connections_come_to(&shop, |open| open == 4);
    drop(leaver);
    connections_come_to(&shop, |open| open <= 3);
    // Places come free, and the next one who waits gets the first.
    let _next = client(front, SEND, "b1");
    let mut seen = Vec::new();
    while !seen.contains(&begun("b1")) {
        seen.push(server.next());
    }
    assert!(!seen.contains(&begun("a1")), "{seen:?}");
}

/// Danger: a proxy that ends looks after nobody any more.
#[test]
fn departures_are_heard_by_a_proxy_that_ends() {
    let server = HoldingServer::start(LONG);
    let (shop, front) = listening(server.addr);
    let leaver = client(front, READ, "a1");
    assert_eq!(server.next(), begun("a1"));
    shop.begin_drain(Duration::from_secs(30));
    shop.clients.close_idle();
    drop(leaver);
    assert_eq!(server.next(), broken_off("a1"));
}

/// Danger: a crowd that leaves sets a sound server aside.
#[test]
fn a_server_is_not_judged_by_runs_that_were_broken_off() {
    let server = HoldingServer::start(LONG);
    let (_shop, front) = listening(server.addr);
    for _ in 0..6 {
        let leaver = client(front, READ, "a1");
        assert_eq!(server.next(), begun("a1"));
        drop(leaver);
        assert_eq!(server.next(), broken_off("a1"));
        assert_eq!(server.next(), dropped("a1"));
    }
    let _stayer = client(front, READ, "b1");
    assert_eq!(server.next(), begun("b1"));
}

/// Danger: a place counts as free while its server is still at work, and whoever is sent there waits behind it.
#[test]
fn a_place_is_free_once_its_server_has_dropped_the_run() {
    let server = HoldingServer::that_works_on(LONG);
    let (shop, front) = listening(server.addr);
    let leavers: Vec<TcpStream> = (0..3).map(|_| client(front, READ, "a1")).collect();
    (0..3).for_each(|_| assert_eq!(server.next(), begun("a1")));
    drop(leavers);
    (0..3).for_each(|_| assert_eq!(server.next(), broken_off("a1")));
    let _stayer = client(front, READ, "b1");
    connections_come_to(&shop, |open| open == 4);
    server.drops.open();
    assert_eq!(
        server.next(),
        dropped("a1"),
        "b1 began before a place was free"
    );
}

/// More than the buffers of two sockets take.
const LARGE: usize = 24 << 20;

/// Danger: a body that has not left whole goes on to a server that would run it for nobody.
#[test]
fn a_body_that_is_on_its_way_is_not_sent_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (shop, front) = listening(listener.local_addr().unwrap());
    let body = vec![b'x'; LARGE];
    let head = SEND.replace("Transfer-Encoding: chunked\n\n3\nabc\n0\n\n", "");
    let head = format!("{head}Content-Length: {LARGE}\n\n").replace('\n', "\r\n");
    let mut leaver = TcpStream::connect(front).unwrap();
    leaver.write_all(head.as_bytes()).unwrap();
    leaver.write_all(&body).unwrap();
    // The server has read the head, and reads on only once the departure has been heard.
    let (mut server, _) = listener.accept().unwrap();
    server.set_read_timeout(Some(PATIENCE)).unwrap();
    server.read_exact(&mut [0; 64]).unwrap();
    drop(leaver);
    let until = Instant::now() + PATIENCE;
    while shop.departures.disconnects() == 0 {
        assert!(Instant::now() < until, "the departure was not heard");
        thread::yield_now();
    }
    let mut came = Vec::new();
    let _ = server.read_to_end(&mut came);
    assert!(came.len() < LARGE, "{} bytes came of {LARGE}", came.len());
}
