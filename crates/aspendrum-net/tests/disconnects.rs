//! Clients that disconnect: how one poll over all connections detects them, and what becomes of a request in progress.

use aspendrum_net::disconnect_metrics::{DisconnectMetrics, DisconnectReporter, REACTION_DEADLINE};
use aspendrum_net::disconnects::{ClientConnection, DisconnectWatcher, MIN_REQUEST_AGE};
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

/// Both ends of a connection: the client's, and ours, which is watched.
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

/// Polls until a client is found to have disconnected.
fn wait_for_disconnect(
    watcher: &DisconnectWatcher,
    connections: &[Arc<Connection>],
) -> Vec<Arc<Connection>> {
    let until = Instant::now() + PATIENCE;
    loop {
        let found = watcher.poll_disconnects(connections);
        if !found.is_empty() || Instant::now() > until {
            return found;
        }
        thread::yield_now();
    }
}

#[test]
fn only_clients_that_have_disconnected_are_found_and_each_once() {
    let watcher = DisconnectWatcher::default();
    let (leaving_client, one) = watched();
    let (mut staying_client, other) = watched();
    assert!(one.0.begin_request(7, &watcher) && other.0.begin_request(8, &watcher));
    staying_client.write_all(b"more").unwrap();
    let started_at = Instant::now();
    drop(leaving_client);
    let connections = [one.clone(), other.clone()];
    let found = wait_for_disconnect(&watcher, &connections);
    assert!(
        started_at.elapsed() >= MIN_REQUEST_AGE - Duration::from_millis(2),
        "a request that ends soon costs no system call"
    );
    assert!(found.len() == 1 && found[0].0.request() == Some(7));
    assert!(one.0.has_disconnected() && !other.0.has_disconnected());
    assert!(watcher.poll_disconnects(&connections).is_empty());
    assert!(
        one.0.time_since_disconnect(&watcher).is_some()
            && other.0.time_since_disconnect(&watcher).is_none()
    );
    // Nobody would read the response to a further request on that connection.
    assert!(!one.0.begin_request(9, &watcher));
    assert!(one.0.mark_overdue() && !one.0.mark_overdue());
}

#[test]
fn connections_without_a_request_are_not_checked() {
    let watcher = DisconnectWatcher::default();
    let ((idle, one), (leaving_client, other)) = (watched(), watched());
    assert!(one.0.begin_request(1, &watcher) && other.0.begin_request(2, &watcher));
    one.0.end_request();
    drop((idle, leaving_client));
    let found = wait_for_disconnect(&watcher, &[one.clone(), other]);
    assert!(found.len() == 1 && found[0].0.request() == Some(2) && !one.0.has_disconnected());
}

/// Danger: a shutdown of our own receiving side looks like a client's close, and its request would be aborted.
#[test]
fn a_connection_that_is_shut_down_here_does_not_count_as_disconnected() {
    let watcher = DisconnectWatcher::default();
    let ((mut client, one), (leaving_client, other)) = (watched(), watched());
    one.0.shut_down_if_idle();
    client.write_all(b"a request that crosses it").unwrap();
    assert!(one.0.begin_request(1, &watcher) && other.0.begin_request(2, &watcher));
    drop(leaving_client);
    let found = wait_for_disconnect(&watcher, &[one.clone(), other]);
    assert!(found.len() == 1 && !one.0.has_disconnected());
}

/// Danger: a request that has arrived is lost with its connection.
#[test]
fn a_connection_that_holds_a_request_is_not_shut_down() {
    let (mut client, own) = pair();
    let presence = ClientConnection::new(own.clone());
    client.write_all(b"request").unwrap();
    let mut first = [0];
    own.peek(&mut first).unwrap();
    presence.shut_down_if_idle();
    let mut came = [0; 7];
    (&*own).read_exact(&mut came).unwrap();
    client.write_all(b"more").unwrap();
    (&*own).read_exact(&mut came[..4]).unwrap();
    presence.shut_down_if_idle();
    assert_eq!((&*own).read(&mut came).unwrap(), 0);
}

fn stage(forward: &ForwardHandle) -> (ForwardStage, bool) {
    let progress = forward.progress();
    (progress.stage, progress.is_aborted)
}

#[test]
fn a_request_is_never_sent_after_its_client_has_disconnected() {
    for kind in [RequestKind::Idempotent, RequestKind::OnceOnly] {
        let (mut server, own) = pair();
        let forward = ForwardHandle::new(kind);
        assert!(forward.begin_attempt(0, &own));
        assert_eq!(forward.handle_disconnect(), ForwardStage::Connecting);
        // The server sees the end of the connection, and would have seen half a request.
        assert_eq!(server.read(&mut [0]).unwrap(), 0);
        assert!(!forward.advance(0, ForwardStage::Sending) && forward.end_attempt(0));
        assert!(
            !forward.begin_attempt(1, &own) && forward.end_attempt(1),
            "a retry"
        );
        assert_eq!(stage(&forward), (ForwardStage::Waiting, false));
    }
}

#[test]
fn an_attempt_is_aborted_if_it_is_idempotent_and_is_left_to_end_otherwise() {
    for kind in [RequestKind::Idempotent, RequestKind::OnceOnly] {
        let (mut server, own) = pair();
        let started_at = Instant::now();
        let forward = ForwardHandle::new(kind);
        assert!(
            forward.begin_attempt(0, &own)
                && forward.advance(0, ForwardStage::Sending)
                && forward.advance(0, ForwardStage::AtServer)
        );
        assert_eq!(forward.handle_disconnect(), ForwardStage::AtServer);
        assert_eq!(
            stage(&forward),
            (ForwardStage::AtServer, false),
            "it may end by itself"
        );
        assert_eq!(forward.progress().ended_ago, None);
        forward.abort_idempotent();
        let is_aborted = kind == RequestKind::Idempotent;
        assert_eq!(stage(&forward), (ForwardStage::AtServer, is_aborted));
        if is_aborted {
            assert_eq!(server.read(&mut [0]).unwrap(), 0);
        }
        // What still arrives is read either way.
        server.write_all(b"x").unwrap();
        assert_eq!((&*own).read(&mut [0]).unwrap(), 1);
        assert_eq!(forward.end_attempt(0), is_aborted);
        // Danger: an attempt that was left to end counts as waiting in the moment between its end and the request's.
        assert!(forward
            .progress()
            .ended_ago
            .is_some_and(|ended_ago| ended_ago <= started_at.elapsed()));
        // A late abort does not affect the connection's next request.
        forward.abort_idempotent();
        assert_eq!((&*own).write(b"x").is_ok(), !is_aborted);
    }
}

/// Danger: a thread waits for a server that does not answer, for a client that is gone.
#[test]
fn a_connection_attempt_is_aborted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    // Nobody accepts connections, and the backlog is full.
    socket2::SockRef::from(&listener).listen(0).unwrap();
    let short = Duration::from_millis(200);
    let waiting: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&at, short).ok()).collect();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let stream = Arc::new(TcpStream::from(socket));
    let forward = Arc::new(ForwardHandle::new(RequestKind::OnceOnly));
    assert!(forward.begin_attempt(0, &stream));
    let started_at = Instant::now();
    let own = stream.clone();
    let connecting = thread::spawn(move || {
        socket2::SockRef::from(&*own)
            .connect_timeout(&at.into(), PATIENCE)
            .is_err()
    });
    // A disconnect before the connection attempt begins finds nothing to abort, so it is repeated.
    while !connecting.is_finished() {
        forward.handle_disconnect();
        thread::yield_now();
        assert!(started_at.elapsed() < PATIENCE);
    }
    assert!(connecting.join().unwrap() && started_at.elapsed() < PATIENCE);
    drop(waiting);
}

#[test]
fn violations_are_counted_by_kind_and_stage_and_reported_once() {
    let metrics = DisconnectMetrics::default();
    let mut reporter = DisconnectReporter::default();
    assert_eq!(reporter.next_line(&metrics), None);
    metrics.record_disconnect(RequestKind::Idempotent, ForwardStage::AtServer);
    metrics.record_send(RequestKind::OnceOnly, REACTION_DEADLINE);
    metrics.record_overdue(RequestKind::Idempotent, ForwardStage::AtServer, true);
    assert_eq!((metrics.disconnects(), metrics.violations()), (1, 0));
    metrics.record_overdue(RequestKind::OnceOnly, ForwardStage::Waiting, false);
    metrics.record_send(
        RequestKind::OnceOnly,
        REACTION_DEADLINE + Duration::from_millis(1),
    );
    assert_eq!(metrics.violations(), 2);
    assert_eq!(
        metrics.text(),
        "departures_heard{kind=\"repeatable\",stage=\"at_server\"} 1\n\
         departures_overdue{kind=\"once_only\",stage=\"waiting\"} 1\n\
         departures_server_kept_on{kind=\"repeatable\",stage=\"at_server\"} 1\n\
         departures_sent_late{kind=\"once_only\"} 1\n"
    );
    let line = reporter.next_line(&metrics).unwrap();
    assert!(
        line.starts_with("event=clients_left departures=1 violations=2 departures_heard{kind="),
        "{line}"
    );
    assert_eq!(reporter.next_line(&metrics), None);
}

/// Danger: an order that lay in the socket of a suspended machine is carried out when its caller has long given the
/// opposite one elsewhere.
#[test]
fn an_order_whose_caller_has_disconnected_is_not_carried_out() {
    let at = {
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        free.local_addr().unwrap().to_string().parse().unwrap()
    };
    let (tell, served) = channel();
    let (go_on, gate) = channel::<()>();
    let (tell, gate) = (Mutex::new(tell), Mutex::new(gate));
    let serve = move |request: Request| {
        tell.lock().unwrap().send(request.path.clone()).unwrap();
        // The first call holds up what follows, as a suspended machine does.
        if request.path == "/first" {
            gate.lock().unwrap().recv().unwrap();
        }
        Reply::plain(200)
    };
    let bounds = MessageLimits {
        head_bytes: 1 << 10,
        body_bytes: 1 << 10,
    };
    let (idle, workers) = (PATIENCE, PATIENCE);
    http_server::listen(
        at,
        ServerOptions {
            stack_bytes: 128 << 10,
            limits: bounds,
            idle_timeout: idle,
            worker_idle_timeout: workers,
        },
        serve,
    )
    .unwrap();
    let call = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").into_bytes()
    };
    for (method, is_served) in [("POST", false), ("GET", true)] {
        let mut caller = TcpStream::connect(at).unwrap();
        caller.write_all(&call("POST", "/first")).unwrap();
        assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/first");
        caller.write_all(&call(method, "/second")).unwrap();
        drop(caller);
        go_on.send(()).unwrap();
        if is_served {
            assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/second");
        }
    }
    // A caller that stays is served; the order was not carried out before.
    let mut staying_caller = TcpStream::connect(at).unwrap();
    staying_caller.write_all(&call("POST", "/third")).unwrap();
    assert_eq!(served.recv_timeout(PATIENCE).unwrap(), "/third");
}
