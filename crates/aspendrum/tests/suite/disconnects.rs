//! Client disconnects while a request is in progress.

use crate::support::client::{connect, request};
use crate::support::configuration::config;
use crate::support::fake_services::{counter, discovery, Behaviour, FakeServer};
use crate::support::{eventually, limiter, list, start};
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

/// Guards against running a request whose client is gone, and against keeping its file descriptor in use.
#[test]
fn a_disconnect_aborts_the_attempt_in_flight() {
    let server = FakeServer::start(Behaviour::Hangs);
    let limiter = limiter(&[server.address]);
    let mut stream = connect(&limiter);
    stream.write_all(request("pay").as_bytes()).unwrap();
    assert!(eventually(|| server.requests() == 1));
    let started_at = Instant::now();
    stream.shutdown(Shutdown::Both).unwrap();
    assert!(eventually(|| server.ended_connections() == 1));
    assert!(started_at.elapsed() < Duration::from_millis(800));
    limiter.stop();
}

/// Guards against missing a disconnect because the unread bytes of a pipelined request precede it. Both requests would
/// then be run.
#[test]
fn a_disconnect_after_a_pipelined_request_is_detected() {
    let server = FakeServer::start(Behaviour::Hangs);
    let list = list(&[server.address], 2);
    let mut config = config(&[server.address], counter(None), discovery(list));
    // Much longer than the test, so that only the disconnect can end the request.
    for key in ["AimS", "HardLimitS"] {
        config["settings"]["Profiles"][2][key] = json!(60.0);
    }
    // Health checks would also open and close connections to the server.
    config["settings"]["Limits"]["Probes"] = json!(false);
    let limiter = start(&config);
    let mut stream = connect(&limiter);
    let long_request = || request("pay").replace("900m", "60000m");
    stream.write_all(long_request().as_bytes()).unwrap();
    assert!(eventually(|| server.requests() == 1));
    stream.write_all(long_request().as_bytes()).unwrap();
    drop(stream);
    assert!(eventually(|| server.ended_connections() == 1));
    assert_eq!(
        server.requests(),
        1,
        "nobody waits for the pipelined request"
    );
    limiter.stop();
}

/// A client may disconnect before the dispatcher receives its request.
#[test]
fn attempts_of_clients_that_disconnect_immediately_are_aborted() {
    let server = FakeServer::start(Behaviour::Hangs);
    let limiter = limiter(&[server.address]);
    for _ in 0..20 {
        let mut stream = connect(&limiter);
        stream
            .write_all(request("pay").replace("900m", "60000m").as_bytes())
            .unwrap();
    }
    thread::sleep(Duration::from_millis(100));
    // An attempt that is aborted before its request is written opens a connection that carries no request.
    assert!(eventually(
        || server.ended_connections() == server.connections()
    ));
    limiter.stop();
}
