//! Client connections: their timeouts, and floods of connections.

use crate::support::client::{connect, exchange, request, status, status_of, READINESS_REQUEST};
use crate::support::fake_services::{read_message, FakeServer, RESPONDS_OK};
use crate::support::limiter;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Guards against a client that sends nothing, or only part of a request, and occupies a thread and a file descriptor.
#[test_case("", 0 ; "nothing")]
#[test_case("GET /look HTTP/1.1\r\nHost:", 408 ; "half a head")]
#[test_case("POST /pay HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 408 ; "half a body")]
fn a_connection_without_a_whole_request_is_closed_in_time(text: &str, expected_status: u16) {
    let limiter = limiter(&[FakeServer::start(RESPONDS_OK).address]);
    let started_at = Instant::now();
    assert_eq!(status_of(&limiter, text), expected_status);
    assert!(started_at.elapsed() < Duration::from_millis(2900));
    limiter.stop();
}

/// Idle connections occupy file descriptors that other clients may need.
#[test]
fn idle_connections_are_closed_sooner_while_there_are_many() {
    let limiter = limiter(&[FakeServer::start(RESPONDS_OK).address]);
    let mut idle: Vec<_> = (0..90).map(|_| connect(&limiter)).collect();
    for stream in &mut idle {
        assert_eq!(status(&exchange(stream, READINESS_REQUEST)), 200);
    }
    let started_at = Instant::now();
    assert_eq!(idle[89].read(&mut [0]).unwrap(), 0);
    assert!(started_at.elapsed() < Duration::from_millis(2000));
    limiter.stop();
}

/// Guards against hundreds of silent connections displacing those of active clients or causing rejections.
#[test]
fn a_flood_of_silent_connections_does_not_affect_active_clients() {
    let limiter = limiter(&[FakeServer::start(RESPONDS_OK).address]);
    let mut usual: Vec<_> = (0..40).map(|_| connect(&limiter)).collect();
    for stream in &mut usual {
        assert_eq!(status(&exchange(stream, &request("look"))), 200);
    }
    let flood: Vec<_> = (0..300).map(|_| connect(&limiter)).collect();
    assert_eq!(status_of(&limiter, &request("look")), 200);
    for stream in &mut usual {
        assert_eq!(status(&exchange(stream, &request("look"))), 200);
    }
    drop(flood);
    limiter.stop();
}

/// The operating system accepts connections before the limiter does, so the limiter must respond even without free file
/// descriptors.
#[test]
fn more_clients_than_descriptors_are_all_answered() {
    let limiter = limiter(&[FakeServer::start(RESPONDS_OK).address]);
    let idle: Vec<_> = (0..200).map(|_| connect(&limiter)).collect();
    let send_request = |_| {
        let mut stream = connect(&limiter);
        stream.write_all(request("look").as_bytes()).unwrap();
        stream
    };
    let mut busy: Vec<_> = (0..200).map(send_request).collect();
    for stream in &mut busy {
        let response = read_message(stream, &mut Vec::new()).unwrap_or_default();
        assert!([200, 503].contains(&status(&response)), "{response}");
    }
    drop(idle);
    limiter.stop();
}

#[test]
fn a_connection_is_closed_after_the_response_if_the_client_requests_it() {
    let limiter = limiter(&[FakeServer::start(RESPONDS_OK).address]);
    let mut stream = connect(&limiter);
    let text = request("look").replace("Host: x", "Host: x\r\nConnection: close");
    stream.write_all(text.repeat(2).as_bytes()).unwrap();
    let mut responses = String::new();
    let _ = stream.read_to_string(&mut responses);
    assert_eq!(responses.matches("HTTP/1.1 200").count(), 1);
    limiter.stop();
}

#[test]
fn connections_to_clients_and_servers_are_reused_and_pipelined_requests_are_queued() {
    let server = FakeServer::start(RESPONDS_OK);
    let limiter = limiter(&[server.address]);
    let mut stream = connect(&limiter);
    let pipelined = [request("look"), request("look"), request("pay")].concat();
    stream.write_all(pipelined.as_bytes()).unwrap();
    let mut rest = Vec::new();
    for _ in 0..3 {
        assert_eq!(status(&read_message(&mut stream, &mut rest).unwrap()), 200);
    }
    let connections = server.connections();
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(50));
        assert_eq!(status(&exchange(&mut stream, &request("look"))), 200);
    }
    assert_eq!(server.connections(), connections);
    limiter.stop();
}
