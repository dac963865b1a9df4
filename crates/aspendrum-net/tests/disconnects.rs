//! Clients that leave, as one look over all connections hears them, and what that does to a request on its way.

use aspendrum_net::disconnect_metrics::{DisconnectMetrics, DisconnectReporter, BOUND};
use aspendrum_net::disconnects::{ClientConnection, DisconnectWatcher, WAITED};
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

struct Connection(ClientConnection);

impl AsRef<ClientConnection> for Connection {
    fn as_ref(&self) -> &ClientConnection {
        &self.0
    }
}

/// Both ends of a connection: the client's, and the one that is watched.
fn pair() -> (TcpStream, Arc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let own = listener.accept().unwrap().0;
    // A test that fails ends.
    [&client, &own]
        .iter()
        .for_each(|stream| stream.set_read_timeout(Some(PATIENCE)).unwrap());
    (client, Arc::new(own))
}

fn watched() -> (TcpStream, Arc<Connection>) {
    let (client, own) = pair();
    (client, Arc::new(Connection(ClientConnection::new(own))))
}

/// Looks until a client is found to have left.
fn left(watch: &DisconnectWatcher, connections: &[Arc<Connection>]) -> Vec<Arc<Connection>> {
    let until = Instant::now() + PATIENCE;
    loop {
        let found = watch.poll_disconnects(connections);
        if !found.is_empty() || Instant::now() > until {
            return found;
        }
        thread::yield_now();
    }
}

#[test]
fn only_clients_that_have_left_are_found_and_each_once() {
    let watch = DisconnectWatcher::default();
    let (leaver, one) = watched();
    let (mut stayer, other) = watched();
    assert!(one.0.begin(7, &watch) && other.0.begin(8, &watch));
    stayer.write_all(b"more").unwrap();
    let begun = Instant::now();
    drop(leaver);
    let connections = [one.clone(), other.clone()];
    let found = left(&watch, &connections);
    assert!(
        begun.elapsed() >= WAITED - Duration::from_millis(2),
        "a request that ends soon costs no call"
    );
    assert!(found.len() == 1 && found[0].0.request() == Some(7));
    assert!(one.0.has_disconnected() && !other.0.has_disconnected());
    assert!(watch.poll_disconnects(&connections).is_empty());
    assert!(
        one.0.time_since_disconnect(&watch).is_some()
            && other.0.time_since_disconnect(&watch).is_none()
    );
    // Whatever else would be read on that connection has nobody to answer.
    assert!(!one.0.begin(9, &watch));
    assert!(one.0.becomes_overdue() && !one.0.becomes_overdue());
}

#[test]
fn nothing_is_looked_after_between_requests() {
    let watch = DisconnectWatcher::default();
    let ((idle, one), (leaver, other)) = (watched(), watched());
    assert!(one.0.begin(1, &watch) && other.0.begin(2, &watch));
    one.0.end();
    drop((idle, leaver));
    let found = left(&watch, &[one.clone(), other]);
    assert!(found.len() == 1 && found[0].0.request() == Some(2) && !one.0.has_disconnected());
}

/// Danger: the end of our own reading side looks as a client's close does, and its request would be given up.
#[test]
fn a_connection_that_is_ended_here_is_not_left() {
    let watch = DisconnectWatcher::default();
    let ((mut client, one), (leaver, other)) = (watched(), watched());
    one.0.end_idle();
    client.write_all(b"a request that crosses it").unwrap();
    assert!(one.0.begin(1, &watch) && other.0.begin(2, &watch));
    drop(leaver);
    let found = left(&watch, &[one.clone(), other]);
    assert!(found.len() == 1 && !one.0.has_disconnected());
}

/// Danger: a request that has come is lost with its connection.
#[test]
fn a_connection_that_holds_a_request_is_not_ended() {
    let (mut client, own) = pair();
    let presence = ClientConnection::new(own.clone());
    client.write_all(b"request").unwrap();
    let mut first = [0];
    own.peek(&mut first).unwrap();
    presence.end_idle();
    let mut came = [0; 7];
    (&*own).read_exact(&mut came).unwrap();
    client.write_all(b"more").unwrap();
    (&*own).read_exact(&mut came[..4]).unwrap();
    presence.end_idle();
    assert_eq!((&*own).read(&mut came).unwrap(), 0);
}

fn stage(forward: &ForwardHandle) -> (ForwardStage, bool) {
    let progress = forward.progress();
    (progress.stage, progress.broken_off)
}

#[test]
fn a_departed_request_is_never_sent() {
    for kind in [RequestKind::Idempotent, RequestKind::OnceOnly] {
        let (mut server, own) = pair();
        let forward = ForwardHandle::new(kind);
        assert!(forward.enter(0, &own));
        assert_eq!(forward.depart(), ForwardStage::Dialling);
        // What the socket carried would be half a request.
        assert_eq!(server.read(&mut [0]).unwrap(), 0);
        assert!(!forward.reach(0, ForwardStage::Sending) && forward.leave(0));
        assert!(!forward.enter(1, &own) && forward.leave(1), "a further try");
        assert_eq!(stage(&forward), (ForwardStage::Waiting, false));
    }
}

#[test]
fn a_run_is_broken_off_if_it_may_be_repeated_and_is_let_finish_otherwise() {
    for kind in [RequestKind::Idempotent, RequestKind::OnceOnly] {
        let (mut server, own) = pair();
        let begun = Instant::now();
        let forward = ForwardHandle::new(kind);
        assert!(
            forward.enter(0, &own)
                && forward.reach(0, ForwardStage::Sending)
                && forward.reach(0, ForwardStage::AtServer)
        );
        assert_eq!(forward.depart(), ForwardStage::AtServer);
        assert_eq!(
            stage(&forward),
            (ForwardStage::AtServer, false),
            "it may end by itself"
        );
        assert_eq!(forward.progress().returned_for, None);
        forward.break_off();
        let broken_off = kind == RequestKind::Idempotent;
        assert_eq!(stage(&forward), (ForwardStage::AtServer, broken_off));
        if broken_off {
            assert_eq!(server.read(&mut [0]).unwrap(), 0);
        }
        // What still comes is read either way.
        server.write_all(b"x").unwrap();
        assert_eq!((&*own).read(&mut [0]).unwrap(), 1);
        assert_eq!(forward.leave(0), broken_off);
        // Danger: a run that was let finish counts as waiting in the moment between its end and the request's.
        assert!(forward
            .progress()
            .returned_for
            .is_some_and(|returned_for| returned_for <= begun.elapsed()));
        // A late word does not strike the connection's next request.
        forward.break_off();
        assert_eq!((&*own).write(b"x").is_ok(), !broken_off);
    }
}

/// Danger: a thread waits for a server that does not come up, for a client that is gone.
#[test]
fn a_connection_in_the_making_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    // Nobody takes connections in, and the line of those that wait is full.
    socket2::SockRef::from(&listener).listen(0).unwrap();
    let short = Duration::from_millis(200);
    let waiting: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&at, short).ok()).collect();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let stream = Arc::new(TcpStream::from(socket));
    let forward = Arc::new(ForwardHandle::new(RequestKind::OnceOnly));
    assert!(forward.enter(0, &stream));
    let begun = Instant::now();
    let own = stream.clone();
    let dialling = thread::spawn(move || {
        socket2::SockRef::from(&*own)
            .connect_timeout(&at.into(), PATIENCE)
            .is_err()
    });
    // A word that comes before it dials finds nothing to end: it is said again.
    while !dialling.is_finished() {
        forward.depart();
        thread::yield_now();
        assert!(begun.elapsed() < PATIENCE);
    }
    assert!(dialling.join().unwrap() && begun.elapsed() < PATIENCE);
    drop(waiting);
}

#[test]
fn violations_are_counted_by_kind_and_stage_and_told_once() {
    let figures = DisconnectMetrics::default();
    let mut report = DisconnectReporter::default();
    assert_eq!(report.line(&figures), None);
    figures.record_disconnect(RequestKind::Idempotent, ForwardStage::AtServer);
    figures.record_sent_late(RequestKind::OnceOnly, BOUND);
    figures.record_overdue(RequestKind::Idempotent, ForwardStage::AtServer, true);
    assert_eq!((figures.departures(), figures.violations()), (1, 0));
    figures.record_overdue(RequestKind::OnceOnly, ForwardStage::Waiting, false);
    figures.record_sent_late(RequestKind::OnceOnly, BOUND + Duration::from_millis(1));
    assert_eq!(figures.violations(), 2);
    assert_eq!(
        figures.text(),
        "departures_heard{kind=\"repeatable\",stage=\"at_server\"} 1\n\
         departures_overdue{kind=\"once_only\",stage=\"waiting\"} 1\n\
         departures_server_kept_on{kind=\"repeatable\",stage=\"at_server\"} 1\n\
         departures_sent_late{kind=\"once_only\"} 1\n"
    );
    let line = report.line(&figures).unwrap();
    assert!(
        line.starts_with("event=clients_left departures=1 violations=2 departures_heard{kind="),
        "{line}"
    );
    assert_eq!(report.line(&figures), None);
}

/// Danger: an order that lay in the socket of a machine that stood still comes into force when its caller has long given
/// the opposite one elsewhere.
#[test]
fn an_order_whose_caller_has_gone_is_not_begun() {
    let at = {
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        free.local_addr().unwrap().to_string().parse().unwrap()
    };
    let (tell, served) = channel();
    let (go_on, gate) = channel::<()>();
    let (tell, gate) = (Mutex::new(tell), Mutex::new(gate));
    let serve = move |request: Request| {
        tell.lock().unwrap().send(request.path.clone()).unwrap();
        // The first call holds up what is behind it, as a machine that stands still does.
        if request.path == "/first" {
            gate.lock().unwrap().recv().unwrap();
        }
        Reply::plain(200)
    };
    let bounds = MessageLimits {
        head: 1 << 10,
        body: 1 << 10,
    };
    let (idle, workers) = (PATIENCE, PATIENCE);
    http_server::listen(
        at,
        ServerOptions {
            stack: 128 << 10,
            bounds,
            idle,
            workers,
        },
        serve,
    )
    .unwrap();
    let call = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").into_bytes()
    };
    for (method, begun) in [("POST", false), ("GET", true)] {
        let mut caller = TcpStream::connect(at).unwrap();
        caller.write_all(&call("POST", "/first")).unwrap();
        assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/first");
        caller.write_all(&call(method, "/second")).unwrap();
        drop(caller);
        go_on.send(()).unwrap();
        if begun {
            assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/second");
        }
    }
    // Whoever stays is served; nothing of the order came before.
    let mut stayer = TcpStream::connect(at).unwrap();
    stayer.write_all(&call("POST", "/third")).unwrap();
    assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/third");
}
