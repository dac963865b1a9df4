//! The limits of a new configuration hold on connections that were there before it.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::StateSection;
use aspendrum_proxy::listener;
use common::{test_proxy, TestProxy, CONFIG, GOOD, READ};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a connection may rest at first.
const LONG_REST: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: &str = "\"idle-ms\":15000";
/// More than the first configuration allows.
const BODY: usize = 200_000;

fn status(client: &mut TcpStream, request: &str) -> String {
    client
        .write_all(request.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let mut answer = Vec::new();
    let mut byte = [0];
    while !answer.ends_with(b"body") {
        client.read_exact(&mut byte).unwrap();
        answer.push(byte[0]);
    }
    String::from_utf8_lossy(&answer[9..12]).to_string()
}

/// A client's connection to the proxy's own listener.
fn connect(proxy: &TestProxy) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = proxy.state.clone();
    thread::spawn(move || listener::accept(&state, listener));
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client
}

/// Puts the first configuration in force as another version, with one part replaced.
fn apply(proxy: &TestProxy, version: u32, (part, replacement): (&str, &str)) {
    assert!(CONFIG.contains(part));
    let config = CONFIG
        .replace("00000001", &format!("{version:08x}"))
        .replace(part, replacement);
    let text = compress(config.as_bytes());
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(StateSection::config(version, text));
}

/// Danger: the operator allows longer bodies, and a request that uses that on a kept connection ends without an answer: its
/// buffer still has the size of the configuration that was in force when the connection came.
///
/// Found by reading, for LOST after a configuration: the full buffer was an error of the read, and the connection closed.
#[test]
fn a_kept_connection_takes_the_longer_body_that_a_new_configuration_allows() {
    let proxy = test_proxy(1, |_| Some(GOOD));
    let mut client = connect(&proxy);
    assert_eq!(status(&mut client, READ), "200");
    apply(
        &proxy,
        2,
        ("\"body-bytes\":65536", "\"body-bytes\":1048576"),
    );
    let head = READ.replace("\n\n", &format!("\nContent-Length: {BODY}\n\n"));
    let long = format!("{head}{}", "x".repeat(BODY));
    assert_eq!(status(&mut client, &long), "200");
}

/// Danger: the operator lets connections rest for longer, and a client that goes by that loses its request: it crosses the
/// close of a connection that waits by the configuration before.
///
/// Found by reading, for LOST after a configuration: the time-out of a connection that waits was that of its last request.
#[test]
fn a_connection_that_waits_rests_for_as_long_as_a_new_configuration_allows() {
    let proxy = test_proxy(1, |_| Some(GOOD));
    apply(&proxy, 2, (IDLE_TIMEOUT, "\"idle-ms\":300"));
    let mut client = connect(&proxy);
    assert_eq!(status(&mut client, READ), "200");
    apply(&proxy, 3, (IDLE_TIMEOUT, "\"idle-ms\":600000"));
    client.set_read_timeout(Some(LONG_REST)).unwrap();
    let ended = client.read(&mut [0]);
    assert!(ended.is_err(), "the connection was closed: {ended:?}");
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(status(&mut client, READ), "200");
}

/// One that may rest no longer is closed.
#[test]
fn a_connection_that_waits_too_long_is_closed() {
    let proxy = test_proxy(1, |_| Some(GOOD));
    apply(&proxy, 2, (IDLE_TIMEOUT, "\"idle-ms\":300"));
    let mut client = connect(&proxy);
    assert_eq!(status(&mut client, READ), "200");
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}
