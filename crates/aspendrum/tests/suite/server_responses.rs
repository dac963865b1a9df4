//! Requests whose server fails. A request that may have run is retried or reported as rejected only if its endpoint
//! group allows it.

use crate::support::client::{connect, exchange, request, status, status_of};
use crate::support::configuration::config;
use crate::support::fake_services::{
    counter, discovery, unused_address, Behaviour, FakeServer, REJECTS, RESPONDS_MALFORMED,
    RESPONDS_OK,
};
use crate::support::{limiter, list, start};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

const HALF_A_BODY: Behaviour =
    Behaviour::RespondsAndCloses("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel");
const NO_LENGTH: Behaviour = Behaviour::RespondsAndCloses("HTTP/1.1 200 OK\r\n\r\nhello");
const ANOTHER_PROTOCOL: Behaviour = Behaviour::Responds("220 mail.example ESMTP\r\n\r\n");
const SERVER_ERROR: Behaviour =
    Behaviour::Responds("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
const UNREADABLE_REPORT: Behaviour = Behaviour::Responds(
    "HTTP/1.1 200 OK\r\nX-Pressure: TEXT cpu_share=lots\r\nX-Units-Charged: 1e30\r\nContent-Length: 5\r\n\r\nhello",
);
const INTERIM_RESPONSES: Behaviour = Behaviour::Responds(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
);
const SWITCHES_PROTOCOL: Behaviour =
    Behaviour::Responds("HTTP/1.1 101 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
const TWO_LENGTHS: Behaviour =
    Behaviour::Responds("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello");
const CHUNKED: Behaviour = Behaviour::Responds(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
);

#[test_case("pay", RESPONDS_OK, 200, 1 ; "non-idempotent and ok")]
#[test_case("pay", UNREADABLE_REPORT, 200, 1 ; "an unreadable report and an impossible charge invalidate only themselves")]
#[test_case("pay", INTERIM_RESPONSES, 200, 1 ; "interim responses first")]
#[test_case("pay", SWITCHES_PROTOCOL, 504, 1 ; "another protocol offered")]
#[test_case("pay", TWO_LENGTHS, 504, 1 ; "two lengths")]
#[test_case("look", CHUNKED, 200, 1 ; "a chunked body arrives whole")]
#[test_case("look", Behaviour::Closes, 503, 2 ; "idempotent and closed is retried elsewhere then rejected")]
#[test_case("pay", Behaviour::Closes, 504, 1 ; "non-idempotent and closed may have run")]
#[test_case("pay", HALF_A_BODY, 504, 1 ; "half a response is none")]
#[test_case("pay", NO_LENGTH, 504, 1 ; "a response that only the close ends is none")]
#[test_case("pay", ANOTHER_PROTOCOL, 504, 1 ; "another protocol")]
#[test_case("pay", SERVER_ERROR, 504, 1 ; "an error may have run")]
#[test_case("pay", Behaviour::Hangs, 504, 1 ; "a hang ends in time")]
#[test_case("look", Behaviour::Hangs, 503, 1 ; "a hang of an idempotent request is rejected")]
#[test_case("pay", REJECTS, 503, 2 ; "rejected by a server never ran and may be retried")]
fn a_request_is_handled_according_to_the_behaviour_of_its_servers(
    group: &str,
    behaviour: Behaviour,
    expected_status: u16,
    expected_attempts: usize,
) {
    let servers = [FakeServer::start(behaviour), FakeServer::start(behaviour)];
    let limiter = limiter(&[servers[0].address, servers[1].address]);
    let started_at = Instant::now();
    let response = exchange(&mut connect(&limiter), &request(group));
    assert_eq!(status(&response), expected_status, "{response}");
    assert!(started_at.elapsed() < Duration::from_secs(2));
    let attempts: usize = servers.iter().map(FakeServer::requests).sum();
    assert_eq!(attempts, expected_attempts);
    assert_eq!(response.ends_with("\r\n\r\nhello"), expected_status == 200);
    limiter.stop();
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let limiter = limiter(&[unused_address()]);
    assert_eq!(status_of(&limiter, &request("pay")), 503);
    limiter.stop();
}

/// A client error is returned to the client. It does not affect the server's health and is not retried on other
/// servers.
#[test]
fn a_request_with_a_client_error_is_not_retried() {
    let servers = [
        FakeServer::start(RESPONDS_MALFORMED),
        FakeServer::start(RESPONDS_MALFORMED),
    ];
    let limiter = limiter(&[servers[0].address, servers[1].address]);
    for expected_attempts in 1..=8 {
        assert_eq!(status_of(&limiter, &request("look")), 400);
        let attempts: usize = servers.iter().map(FakeServer::requests).sum();
        assert_eq!(attempts, expected_attempts);
    }
    limiter.stop();
}

/// Extra bytes after a response, sent immediately or shortly later, must not be read as the response to the next
/// request.
#[test_case(0 ; "at once")]
#[test_case(5 ; "a moment later")]
fn bytes_after_a_response_are_not_read_as_the_next_response(delay_ms: u64) {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    let stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    let server = FakeServer::start(Behaviour::RespondsTwice(response, delay_ms, stale));
    let limiter = limiter(&[server.address]);
    let mut stream = connect(&limiter);
    for number in 0..30 {
        let response = exchange(&mut stream, &request("look"));
        assert!(response.ends_with("hello"), "{number}: {response}");
        thread::sleep(Duration::from_millis(number % 13));
    }
    limiter.stop();
}

/// The test first fills the backlog of a listener that never accepts, so that further connects hang.
#[test]
fn a_request_cancelled_while_connecting_gets_an_immediate_response() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let timeout = Duration::from_millis(50);
    let in_backlog: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&address, timeout))
        .collect();
    let mut config = config(&[address], counter(None), discovery(list(&[address], 2)));
    config["settings"]["Limits"]["ConnectTimeoutS"] = json!(5.0);
    let limiter = start(&config);
    let started_at = Instant::now();
    let response = exchange(
        &mut connect(&limiter),
        &request("pay").replace("900m", "300m"),
    );
    let elapsed = started_at.elapsed();
    assert!(
        status(&response) >= 500 && elapsed < Duration::from_millis(600),
        "{response}"
    );
    drop(in_backlog);
    limiter.stop();
}

/// If a non-idempotent request were sent on a connection that the server closes at the same time, it would be unknown
/// whether the request ran.
#[test]
fn a_connection_closed_while_idle_is_not_reused() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let server = FakeServer::start(Behaviour::RespondsAndCloses(response));
    let limiter = limiter(&[server.address]);
    let mut stream = connect(&limiter);
    for expected_connections in 1..=3 {
        assert_eq!(status(&exchange(&mut stream, &request("pay"))), 200);
        assert_eq!(server.connections(), expected_connections);
        thread::sleep(Duration::from_millis(20));
    }
    limiter.stop();
}
