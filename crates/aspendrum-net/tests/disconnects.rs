//! Detection of client disconnects by polling, and handling of requests whose clients have disconnected.

use aspendrum_net::disconnect_metrics::{DisconnectMetrics, DisconnectReporter, REACTION_DEADLINE};
use aspendrum_net::disconnects::{ClientConnection, DisconnectWatcher, MIN_REQUEST_AGE};
use aspendrum_net::forward::{ForwardHandle, ForwardStage, RequestKind};
use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::memory_budget::MemoryBudget;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Connection(ClientConnection);

impl AsRef<ClientConnection> for Connection {
    fn as_ref(&self) -> &ClientConnection {
        &self.0
    }
}

/// Returns both ends of a connection: the client's, and the local one.
fn connected_pair() -> (TcpStream, Arc<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let local = listener.accept().unwrap().0;
    // Keeps a failing test from blocking indefinitely.
    [&client, &local]
        .iter()
        .for_each(|stream| stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap());
    (client, Arc::new(local))
}

fn watched_connection() -> (TcpStream, Arc<Connection>) {
    let (client, local) = connected_pair();
    (client, Arc::new(Connection(ClientConnection::new(local))))
}

/// Polls until a disconnect is detected.
fn wait_for_disconnect(
    watcher: &DisconnectWatcher,
    connections: &[Arc<Connection>],
) -> Vec<Arc<Connection>> {
    let until = Instant::now() + TEST_TIMEOUT;
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
    let (disconnecting_client, one) = watched_connection();
    let (mut connected_client, other) = watched_connection();
    assert!(one.0.begin_request(7, &watcher) && other.0.begin_request(8, &watcher));
    connected_client.write_all(b"more").unwrap();
    let started_at = Instant::now();
    drop(disconnecting_client);
    let connections = [one.clone(), other.clone()];
    let found = wait_for_disconnect(&watcher, &connections);
    assert!(
        started_at.elapsed() >= MIN_REQUEST_AGE - Duration::from_millis(2),
        "a short request costs no system call"
    );
    assert!(found.len() == 1 && found[0].0.request() == Some(7));
    assert!(one.0.has_disconnected() && !other.0.has_disconnected());
    assert!(watcher.poll_disconnects(&connections).is_empty());
    assert!(
        one.0.time_since_disconnect(&watcher).is_some()
            && other.0.time_since_disconnect(&watcher).is_none()
    );
    // The response to a further request on this connection would not be read.
    assert!(!one.0.begin_request(9, &watcher));
    assert!(one.0.mark_overdue() && !one.0.mark_overdue());
}

#[test]
fn connections_without_a_request_are_not_checked() {
    let watcher = DisconnectWatcher::default();
    let ((idle, one), (disconnecting_client, other)) = (watched_connection(), watched_connection());
    assert!(one.0.begin_request(1, &watcher) && other.0.begin_request(2, &watcher));
    one.0.end_request();
    drop((idle, disconnecting_client));
    let found = wait_for_disconnect(&watcher, &[one.clone(), other]);
    assert!(found.len() == 1 && found[0].0.request() == Some(2) && !one.0.has_disconnected());
}

/// Guards against treating a local shutdown of the receiving side as a client disconnect, which would abort the
/// request.
#[test]
fn a_connection_that_is_shut_down_here_does_not_count_as_disconnected() {
    let watcher = DisconnectWatcher::default();
    let ((mut client, one), (disconnecting_client, other)) =
        (watched_connection(), watched_connection());
    one.0.shut_down_if_idle();
    client.write_all(b"a request that crosses it").unwrap();
    assert!(one.0.begin_request(1, &watcher) && other.0.begin_request(2, &watcher));
    drop(disconnecting_client);
    let found = wait_for_disconnect(&watcher, &[one.clone(), other]);
    assert!(found.len() == 1 && !one.0.has_disconnected());
}

/// Guards against losing a request that has already been received when its connection is shut down.
#[test]
fn a_connection_that_holds_a_request_is_not_shut_down() {
    let (mut client, local) = connected_pair();
    let connection = ClientConnection::new(local.clone());
    client.write_all(b"request").unwrap();
    let mut first = [0];
    local.peek(&mut first).unwrap();
    connection.shut_down_if_idle();
    let mut received = [0; 7];
    (&*local).read_exact(&mut received).unwrap();
    client.write_all(b"more").unwrap();
    (&*local).read_exact(&mut received[..4]).unwrap();
    connection.shut_down_if_idle();
    assert_eq!((&*local).read(&mut received).unwrap(), 0);
}

fn stage(forward: &ForwardHandle) -> (ForwardStage, bool) {
    let progress = forward.progress();
    (progress.stage, progress.is_aborted)
}

#[test]
fn a_request_is_never_sent_after_its_client_has_disconnected() {
    for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
        let (mut server, local) = connected_pair();
        let forward = ForwardHandle::new(kind);
        assert!(forward.begin_attempt(0, &local));
        assert_eq!(forward.handle_disconnect(), ForwardStage::Connecting);
        // The server sees the end of the connection, at most after an incomplete request.
        assert_eq!(server.read(&mut [0]).unwrap(), 0);
        assert!(!forward.advance(0, ForwardStage::Sending) && forward.end_attempt(0));
        assert!(
            !forward.begin_attempt(1, &local) && forward.end_attempt(1),
            "a retry"
        );
        assert_eq!(stage(&forward), (ForwardStage::Waiting, false));
    }
}

#[test]
fn idempotent_attempts_are_aborted_and_others_are_left_to_complete() {
    for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
        let (mut server, local) = connected_pair();
        let started_at = Instant::now();
        let forward = ForwardHandle::new(kind);
        assert!(
            forward.begin_attempt(0, &local)
                && forward.advance(0, ForwardStage::Sending)
                && forward.advance(0, ForwardStage::AtServer)
        );
        assert_eq!(forward.handle_disconnect(), ForwardStage::AtServer);
        assert_eq!(
            stage(&forward),
            (ForwardStage::AtServer, false),
            "it may complete on its own"
        );
        assert_eq!(forward.progress().time_since_end, None);
        forward.abort_idempotent();
        let is_aborted = kind == RequestKind::Idempotent;
        assert_eq!(stage(&forward), (ForwardStage::AtServer, is_aborted));
        if is_aborted {
            assert_eq!(server.read(&mut [0]).unwrap(), 0);
        }
        // Received bytes can still be read in both cases.
        server.write_all(b"x").unwrap();
        assert_eq!((&*local).read(&mut [0]).unwrap(), 1);
        assert_eq!(forward.end_attempt(0), is_aborted);
        // Guards against counting the request as waiting between the end of the attempt and the end of the request.
        assert!(forward
            .progress()
            .time_since_end
            .is_some_and(|time_since_end| time_since_end <= started_at.elapsed()));
        // A late abort does not affect the next request on the connection.
        forward.abort_idempotent();
        assert_eq!((&*local).write(b"x").is_ok(), !is_aborted);
    }
}

/// Guards against a thread that waits for an unresponsive server after its client has disconnected.
#[test]
fn a_connection_attempt_is_aborted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // No connections are accepted, and the backlog is full.
    socket2::SockRef::from(&listener).listen(0).unwrap();
    let connect_timeout = Duration::from_millis(200);
    let backlog: Vec<TcpStream> =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, connect_timeout).ok()).collect();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let stream = Arc::new(TcpStream::from(socket));
    let forward = Arc::new(ForwardHandle::new(RequestKind::NonIdempotent));
    assert!(forward.begin_attempt(0, &stream));
    let started_at = Instant::now();
    let local = stream.clone();
    let connecting = thread::spawn(move || {
        socket2::SockRef::from(&*local)
            .connect_timeout(&address.into(), TEST_TIMEOUT)
            .is_err()
    });
    // A disconnect before the connection attempt begins has nothing to abort, so it is repeated.
    while !connecting.is_finished() {
        forward.handle_disconnect();
        thread::yield_now();
        assert!(started_at.elapsed() < TEST_TIMEOUT);
    }
    assert!(connecting.join().unwrap() && started_at.elapsed() < TEST_TIMEOUT);
    drop(backlog);
}

#[test]
fn violations_are_counted_by_kind_and_stage_and_reported_once() {
    let metrics = DisconnectMetrics::default();
    let mut reporter = DisconnectReporter::default();
    assert_eq!(reporter.next_line(&metrics), None);
    metrics.record_disconnect(RequestKind::Idempotent, ForwardStage::AtServer);
    metrics.record_send(RequestKind::NonIdempotent, REACTION_DEADLINE);
    metrics.record_overdue(RequestKind::Idempotent, ForwardStage::AtServer, true);
    assert_eq!((metrics.disconnects(), metrics.violations()), (1, 0));
    metrics.record_overdue(RequestKind::NonIdempotent, ForwardStage::Waiting, false);
    metrics.record_send(
        RequestKind::NonIdempotent,
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

/// Guards against executing a command that was in the socket buffer of a suspended machine, after its client has sent
/// the opposite command to another node.
#[test]
fn a_command_whose_client_has_disconnected_is_not_executed() {
    let address = {
        let free = TcpListener::bind("127.0.0.1:0").unwrap();
        free.local_addr().unwrap().to_string().parse().unwrap()
    };
    let (served_sender, served) = channel();
    let (release_first, first_released) = channel::<()>();
    let (served_sender, first_released) = (Mutex::new(served_sender), Mutex::new(first_released));
    let serve = move |request: Request| {
        served_sender
            .lock()
            .unwrap()
            .send(request.path.clone())
            .unwrap();
        // The first call delays the following ones, like a suspended machine.
        if request.path == "/first" {
            first_released.lock().unwrap().recv().unwrap();
        }
        Reply::empty(200)
    };
    let limits = MessageLimits {
        head_bytes: 1 << 10,
        body_bytes: 1 << 10,
    };
    http_server::listen(
        address,
        ServerOptions {
            stack_bytes: 128 << 10,
            limits,
            idle_timeout: TEST_TIMEOUT,
            worker_idle_timeout: TEST_TIMEOUT,
            memory: MemoryBudget::unlimited(),
        },
        serve,
    )
    .unwrap();
    let call = |method: &str, path: &str| {
        format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n").into_bytes()
    };
    for (method, is_served) in [("POST", false), ("GET", true)] {
        let mut client = TcpStream::connect(address).unwrap();
        client.write_all(&call("POST", "/first")).unwrap();
        assert_eq!(served.recv_timeout(TEST_TIMEOUT).unwrap(), "/first");
        client.write_all(&call(method, "/second")).unwrap();
        drop(client);
        release_first.send(()).unwrap();
        if is_served {
            assert_eq!(served.recv_timeout(TEST_TIMEOUT).unwrap(), "/second");
        }
    }
    // A connected client is served. No earlier command was executed, or its path would have been received first.
    let mut connected_client = TcpStream::connect(address).unwrap();
    connected_client.write_all(&call("POST", "/third")).unwrap();
    assert_eq!(served.recv_timeout(TEST_TIMEOUT).unwrap(), "/third");
}
