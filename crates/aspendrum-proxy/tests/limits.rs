//! The limits of a new configuration hold on connections that were there before it.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::StateSection;
use aspendrum_proxy::listener;
use common::{test_proxy, CONFIG, GOOD, READ};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

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

/// Danger: the operator allows longer bodies, and a request that uses that on a kept connection ends without an answer: its
/// buffer still has the size of the configuration that was in force when the connection came.
///
/// Found by reading, for LOST after a configuration: the full buffer was an error of the read, and the connection closed.
#[test]
fn a_kept_connection_takes_the_longer_body_that_a_new_configuration_allows() {
    let proxy = test_proxy(1, |_| Some(GOOD));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let own = proxy.state.clone();
    thread::spawn(move || listener::accept(&own, listener));
    let mut client = TcpStream::connect(address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    assert_eq!(status(&mut client, READ), "200");
    let config = CONFIG
        .replace("00000001", "00000002")
        .replace("\"body-bytes\":65536", "\"body-bytes\":1048576");
    let text = compress(config.as_bytes());
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(StateSection::config(2, text));
    let head = READ.replace("\n\n", &format!("\nContent-Length: {BODY}\n\n"));
    let long = format!("{head}{}", "x".repeat(BODY));
    assert_eq!(status(&mut client, &long), "200");
}
