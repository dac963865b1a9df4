//! Clients that disconnect while their request is in progress.

use crate::support::client::{connect, request};
use crate::support::configuration::config;
use crate::support::fake_services::{counter, discovery, Behaviour, FakeServer};
use crate::support::{eventually, limiter, list, start};
use serde_json::json;
use std::io::Write;
use std::net::Shutdown;
use std::thread;
use std::time::{Duration, Instant};

/// Risk: work for nobody, and a descriptor that stays in use.
#[test]
fn a_disconnect_ends_the_attempt_in_flight() {
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

/// Risk: the bytes of a pipelined request hide the close that follows them, and both requests are seen through.
#[test]
fn a_disconnect_after_a_pipelined_request_is_detected() {
    let server = FakeServer::start(Behaviour::Hangs);
    let list = list(&[server.address], 2);
    let mut config = config(&[server.address], counter(None), discovery(list));
    // Far longer than this test waits: nothing else ends the request.
    for key in ["AimS", "HardLimitS"] {
        config["settings"]["Profiles"][2][key] = json!(60.0);
    }
    // Connections of health checks would end too.
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

/// A client may have disconnected before the dispatcher knows its request.
#[test]
fn clients_that_disconnect_at_once_leave_nothing_behind() {
    let server = FakeServer::start(Behaviour::Hangs);
    let limiter = limiter(&[server.address]);
    for _ in 0..20 {
        let mut stream = connect(&limiter);
        stream
            .write_all(request("pay").replace("900m", "60000m").as_bytes())
            .unwrap();
    }
    thread::sleep(Duration::from_millis(100));
    // An attempt aborted before its request was written leaves a connection that ends without one.
    assert!(eventually(
        || server.ended_connections() == server.connections()
    ));
    limiter.stop();
}
