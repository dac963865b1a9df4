//! The limits of a new configuration apply to existing connections.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::StateSection;
use aspendrum_proxy::listener;
use common::{test_proxy, TestProxy, CONFIG, OK_RESPONSE, READ};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the first idle timeout of the test.
const LONG_IDLE_TIME: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: &str = "\"idle-ms\":15000";
/// A body length above the limit of the first configuration.
const BODY: usize = 200_000;

fn status(client: &mut TcpStream, request: &str) -> String {
    client
        .write_all(request.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"body") {
        client.read_exact(&mut byte).unwrap();
        response.push(byte[0]);
    }
    String::from_utf8_lossy(&response[9..12]).to_string()
}

/// Connects a client to a listener of the proxy.
fn connect(proxy: &TestProxy) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let state = proxy.state.clone();
    thread::spawn(move || listener::accept(&state, listener));
    let client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client
}

/// Applies the first configuration under another version, with one part replaced.
fn apply(proxy: &TestProxy, version: u32, (original, replacement): (&str, &str)) {
    assert!(CONFIG.contains(original));
    let config = CONFIG
        .replace("00000001", &format!("{version:08x}"))
        .replace(original, replacement);
    let text = compress(config.as_bytes());
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(StateSection::config(version, text));
}

/// Guards against a connection buffer that keeps the size of the configuration at the time of the connection: a
/// request with a body that a new configuration allows then fills the buffer, and the connection closes without
/// a response.
#[test]
fn a_kept_connection_accepts_the_longer_body_of_a_new_configuration() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
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

/// Guards against a waiting connection that keeps the idle timeout of its last request: a client that relies on the
/// longer timeout of a new configuration then loses a request that crosses the close.
#[test]
fn a_waiting_connection_gets_the_longer_idle_timeout_of_a_new_configuration() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    apply(&proxy, 2, (IDLE_TIMEOUT, "\"idle-ms\":300"));
    let mut client = connect(&proxy);
    assert_eq!(status(&mut client, READ), "200");
    apply(&proxy, 3, (IDLE_TIMEOUT, "\"idle-ms\":600000"));
    client.set_read_timeout(Some(LONG_IDLE_TIME)).unwrap();
    let read_result = client.read(&mut [0]);
    assert!(
        read_result.is_err(),
        "the connection was closed: {read_result:?}"
    );
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(status(&mut client, READ), "200");
}

/// A connection is closed once its idle timeout has expired.
#[test]
fn a_connection_is_closed_after_its_idle_timeout() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    apply(&proxy, 2, (IDLE_TIMEOUT, "\"idle-ms\":300"));
    let mut client = connect(&proxy);
    assert_eq!(status(&mut client, READ), "200");
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}
