//! Graceful shutdown: how long requests are accepted, and how later clients are answered.

mod common;

use aspendrum_proxy::drain::DrainSchedule;
use aspendrum_proxy::listener;
use aspendrum_proxy::session::{ClientSession, SessionRegistry};
use common::{test_proxy, OK_RESPONSE, READ};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Guards against a request that is accepted shortly before the end of the grace period and then cut off.
#[test]
fn an_accepted_request_has_its_full_time_before_the_end() {
    for (grace, longest, accept_time) in [
        (6000.0, 2000.0, 3000.0),
        (6000.0, 3000.0, 2600.0),
        (6000.0, 60_000.0, 1000.0),
    ] {
        let drain = DrainSchedule::new(grace, longest);
        assert_eq!(drain.accepts_until, accept_time, "{drain:?}");
        assert!(
            drain.accepts_until <= grace / 2.0 && drain.deadline < grace,
            "{drain:?}"
        );
    }
    let short = DrainSchedule::new(400.0, 2000.0);
    assert!(
        short.accepts_until <= 200.0 && short.deadline <= 400.0,
        "{short:?}"
    );
    let drain = DrainSchedule::new(6000.0, 2000.0);
    assert!(
        !drain.is_finished(1000.0, 0, 5000.0),
        "clients use earlier lookups of the directory"
    );
    assert!(
        drain.is_finished(1300.0, 0, 500.0)
            && !drain.is_finished(1300.0, 0, 300.0)
            && !drain.is_finished(1300.0, 1, 500.0)
    );
    assert!(drain.is_finished(5600.0, 1, 0.0));
}

/// Guards against a draining proxy that closes a kept-alive connection while the next request on it is under way.
/// Announcing the close in a response avoids that.
#[test]
fn kept_connections_stay_open_while_requests_are_accepted() {
    let drain = DrainSchedule::new(6000.0, 2000.0);
    assert!(!drain.closes_idle(drain.accepts_until - 1.0));
    assert!(drain.closes_idle(drain.accepts_until));
}

fn exchange(stream: &mut TcpStream, text: &str) -> String {
    stream
        .write_all(text.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let mut received = Vec::new();
    let mut byte = [0];
    // Reads to the end of the head. The only body in these responses has four bytes.
    while !received.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
    let text = String::from_utf8(received).unwrap();
    if text.contains("Content-Length: 4") {
        stream.read_exact(&mut [0; 4]).unwrap();
    }
    text
}

/// Guards against a draining proxy that accepts requests until the end of its grace period.
#[test]
fn a_draining_proxy_accepts_no_request_past_its_schedule() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accept_state = proxy.state.clone();
    let accepting = thread::spawn(move || listener::accept(&accept_state, listener));
    let mut kept = TcpStream::connect(address).unwrap();
    kept.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    assert!(exchange(&mut kept, READ).starts_with("HTTP/1.1 200 "));
    let mut late = TcpStream::connect(address).unwrap();
    late.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    // This client has begun to send when the shutdown begins.
    late.write_all(b"GET /read/2 HTTP/1.1\r\n").unwrap();
    proxy.state.begin_drain(Duration::from_millis(200));
    let closing = exchange(&mut kept, READ);
    assert!(
        closing.starts_with("HTTP/1.1 200 ") && closing.contains("Connection: close"),
        "{closing}"
    );
    while proxy.state.accepts_requests() {
        thread::yield_now();
    }
    let rejected = exchange(&mut late, "Host: a.example\nTry-Id: t9\nCredential: k1\n\n");
    assert!(
        rejected.starts_with("HTTP/1.1 503 ") && rejected.contains("Retry-After"),
        "{rejected}"
    );
    assert!(
        rejected.contains("Try-Id: t9") && rejected.contains("Connection: close"),
        "{rejected}"
    );
    assert_eq!(
        proxy.received().len(),
        2,
        "the rejected request reached a server"
    );
    // The next connection closes the listener, and later ones are refused.
    let _ = TcpStream::connect(address);
    accepting.join().unwrap();
    assert!(TcpStream::connect(address).is_err());
}

/// Guards against a shutdown that begins while a pipelined request waits behind the one at the server: the
/// pipelined request was read, and its connection was closed without a response and without an announcement.
#[test]
fn a_draining_proxy_answers_pipelined_requests() {
    static BLOCKED: (Mutex<bool>, Condvar) = (Mutex::new(true), Condvar::new());
    let proxy = test_proxy(1, |n| {
        if n == 0 {
            drop(
                BLOCKED
                    .1
                    .wait_while(BLOCKED.0.lock().unwrap(), |blocked| *blocked)
                    .unwrap(),
            );
        }
        Some(OK_RESPONSE)
    });
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accept_state = proxy.state.clone();
    thread::spawn(move || listener::accept(&accept_state, listener));
    let mut client = TcpStream::connect(address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let both = [READ.to_string(), READ.replace("t1", "ahead")].concat();
    client
        .write_all(both.replace('\n', "\r\n").as_bytes())
        .unwrap();
    while proxy.received().is_empty() {
        thread::yield_now();
    }
    proxy.state.begin_drain(Duration::from_secs(10));
    *BLOCKED.0.lock().unwrap() = false;
    BLOCKED.1.notify_all();
    let mut responses = String::new();
    client.read_to_string(&mut responses).unwrap();
    assert_eq!(responses.matches("HTTP/1.1 200 ").count(), 2, "{responses}");
    assert_eq!(
        responses.matches("Connection: close").count(),
        1,
        "{responses}"
    );
}

/// Guards against a draining proxy that closes a new connection as idle before its first request has arrived,
/// so that the request gets no response. On a machine with 40 other busy processes, this lost 1 to 6 requests
/// per run of `proxies_that_end_slowly_lose_nothing`: their clients saw an orderly close within 1 ms of sending
/// on a new connection.
#[test]
fn a_new_connection_is_not_idle_before_its_first_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    let sessions = SessionRegistry::default();
    let session = ClientSession::new(accepted.try_clone().unwrap());
    sessions.insert(1, Arc::new(session));
    sessions.close_idle();
    let received = accepted.read(&mut [0; 1]);
    assert!(
        received
            .as_ref()
            .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
        "{received:?}: closed before its first request"
    );
}

/// Guards against losing clients in the accept queue at the end of a shutdown: the listener accepted one
/// connection, found that it must end, and closed with the others unaccepted. The connection by which the
/// shutdown wakes the listener is behind theirs in the queue. Of 11 connections lost in the runs above, one was
/// lost this way.
#[test]
fn clients_in_the_accept_queue_get_responses_before_the_listener_closes() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut clients = [(); 3].map(|()| TcpStream::connect(address).unwrap());
    let request = READ.replace('\n', "\r\n");
    for client in &mut clients {
        client.write_all(request.as_bytes()).unwrap();
    }
    proxy.state.begin_drain(Duration::ZERO);
    listener::accept(&proxy.state, listener);
    for (number, mut client) in clients.into_iter().enumerate() {
        client
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let mut response = String::new();
        let read = client.read_to_string(&mut response);
        assert!(
            read.is_ok() && response.starts_with("HTTP/1.1 503 "),
            "client {number}: {read:?} {response}"
        );
    }
}
