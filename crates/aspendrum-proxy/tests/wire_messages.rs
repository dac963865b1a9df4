//! Byte-level tests of the proxy's HTTP messages to clients and servers, and of its metrics page. The fixture
//! files must not change when functions are renamed.

mod common;

use aspendrum_core::api::LoadReport;
use aspendrum_net::forward::{ForwardStage, RequestKind};
use aspendrum_net::http1::{parse_request, parse_response, Parsed, Request, Response};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_proxy::response::{ClientResponse, ConnectionPolicy};
use aspendrum_proxy::wire::{self, RequestHead, ResponseClass};
use aspendrum_proxy::{listener, request};
use common::{proxy, test_proxy, test_proxy_with, CONFIG, MESSAGE_LIMITS, OK_RESPONSE, READ, SEND};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The fixture has one section per message, below its name. Lines end with LF here and with CRLF on the wire.
const MESSAGES: &str = include_str!("fixtures/http_messages.txt");
const METRICS: &str = include_str!("fixtures/metrics.txt");
/// An upper bound for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);

fn parse_whole_request(text: &str) -> Request {
    let mut ring = RingBuffer::new(1024, 1 << 20);
    ring.write_all(text.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let Parsed::Complete(request) = parse_request(&mut ring, &MESSAGE_LIMITS) else {
        panic!("{text}")
    };
    request
}

fn parse_whole_response(text: &str) -> Response {
    let mut ring = RingBuffer::new(1024, 1 << 20);
    ring.write_all(text.replace('\n', "\r\n").as_bytes())
        .unwrap();
    let Parsed::Complete(response) = parse_response(&mut ring, &MESSAGE_LIMITS) else {
        panic!("{text}")
    };
    response
}

/// Formats a message as a section of the fixture. On the wire, each line of the head ends with CRLF.
fn section(name: &str, bytes: &[u8]) -> String {
    let text = std::str::from_utf8(bytes).unwrap();
    assert!(!text.replace("\r\n", "").contains(['\r', '\n']), "{text:?}");
    format!("### {name}\n{}\n", text.replace("\r\n", "\n"))
}

const SERVER_RESPONSE: &str =
    "HTTP/1.1 200 Fine\nTry-Id: t1\nSeal: 3e1b.07\nServer-Id: i-1\nServer-Load: 1,2,4\nWarm-Ms: 1500\n\
    Keep-Alive: timeout=5, max=100\nConnection: keep-alive, x-hop\nX-Hop: 1\nX-More: yes\n\
    Content-Type: text/plain\nContent-Length: 4\n\nbody";

/// Returns the messages to servers, by section name.
fn to_servers() -> Vec<(&'static str, Vec<u8>)> {
    let (read, send) = (parse_whole_request(READ), parse_whole_request(SEND));
    let delete = parse_whole_request(
        "DELETE /read/1 HTTP/1.1\nHost: a.example\nTry-Id: t3\nTransfer-Encoding: chunked\nTE: trailers\n\
        Upgrade: h2c\nTrailer: x\nProxy-Connection: close\nExpect: 100-continue\nContent-Encoding: gzip\n\n0\n\n",
    );
    let empty_post = parse_whole_request("POST /send/2 HTTP/1.1\nHost: a.example\nTry-Id: t4\n\n");
    vec![
        (
            "forward of a GET",
            wire::encode_forward(&read, "i-1", Some("ann"), 1988),
        ),
        (
            "forward of a POST with a body",
            wire::encode_forward(&send, "i-2", Some("ann"), 1),
        ),
        (
            "forward without a tenant",
            wire::encode_forward(&delete, "i-1", None, 60_000),
        ),
        (
            "forward of a POST without a body",
            wire::encode_forward(&empty_post, "i-1", None, 5),
        ),
        (
            "health check",
            wire::encode_health_check("/healthz", "10.128.0.9:8080"),
        ),
    ]
}

/// Returns the responses to clients, by section name.
fn to_clients() -> Vec<(&'static str, Vec<u8>)> {
    let server_response = parse_whole_response(SERVER_RESPONSE);
    let unnamed = parse_whole_response("HTTP/1.1 500\nTry-Id: t1\nContent-Length: 0\n\n");
    let generated = |status, id, retry_after| {
        ClientResponse::generated(status, id, retry_after, ConnectionPolicy::KeepAlive)
    };
    vec![
        (
            "server's answer",
            wire::encode_forwarded(&server_response, 200, false),
        ),
        (
            "server's answer, connection closes",
            wire::encode_forwarded(&server_response, 200, true),
        ),
        (
            "server's answer under another status",
            wire::encode_forwarded(&server_response, 502, false),
        ),
        (
            "server's answer without a reason phrase",
            wire::encode_forwarded(&unnamed, 500, false),
        ),
        ("own answer", wire::encode_generated(404, "t1", None, false)),
        (
            "own answer, connection closes",
            wire::encode_generated(401, "t1", None, true),
        ),
        (
            "own answer without a request id",
            wire::encode_generated(400, "", None, false),
        ),
        (
            "own answer with Retry-After",
            wire::encode_generated(429, "t1", Some(1234.5678), true),
        ),
        (
            "own answer with the least Retry-After",
            wire::encode_generated(503, "t1", Some(0.0), true),
        ),
        (
            "own answer out of time",
            generated(504, "t1", None).encode(false),
        ),
        (
            "own answer of an unknown outcome",
            generated(502, "t1", None).encode(true),
        ),
        (
            "own answer that sends elsewhere",
            generated(503, "t1", Some(150.0)).encode(true),
        ),
        (
            "answer passed on",
            ClientResponse::forwarded(
                server_response,
                200,
                Instant::now(),
                ConnectionPolicy::KeepAlive,
            )
            .encode(true),
        ),
        ("answer to nobody", ClientResponse::empty().encode(true)),
        (
            "rejection while draining",
            request::reject(&parse_whole_request(READ)).encode(true),
        ),
        (
            "rejection of an unreadable head",
            request::reject(&parse_whole_request("GET / HTTP/1.1\n\n")).encode(true),
        ),
    ]
}

#[test]
fn messages_to_servers_and_clients_keep_their_bytes() {
    let all = to_servers().into_iter().chain(to_clients());
    let written: String = all.map(|(name, bytes)| section(name, &bytes)).collect();
    assert_eq!(written, MESSAGES);
}

#[test]
fn request_headers_are_parsed_by_their_wire_names() {
    let request = parse_whole_request(READ);
    let head = RequestHead::parse(&request).unwrap();
    assert_eq!(
        (head.host, head.try_id, head.budget, head.credential),
        ("a.example", "t1", Some(2000.0), Some("k1"))
    );
    let bare = parse_whole_request("GET / HTTP/1.1\nHost: a.example\ntry-id: t1\n\n");
    let head = RequestHead::parse(&bare).unwrap();
    assert_eq!(
        (head.host, head.try_id, head.budget, head.credential),
        ("a.example", "t1", None, None)
    );
    for invalid in [
        "GET / HTTP/1.1\nHost: a.example\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id:\n\n",
        "GET / HTTP/1.1\nTry-Id: t1\n\n",
        "GET / HTTP/1.1\nHost: a.example\nHost: b.example\nTry-Id: t1\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id: t1\nTry-Id: t1\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id: t1\nBudget-Ms: soon\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id: t1\nBudget-Ms: -1\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id: t1\nBudget-Ms: inf\n\n",
        "GET / HTTP/1.1\nHost: a.example\nTry-Id: t1\nCredential: k1\nCredential: k1\n\n",
    ] {
        assert!(
            RequestHead::parse(&parse_whole_request(invalid)).is_none(),
            "{invalid}"
        );
    }
}

#[test]
fn server_responses_are_classified_by_status_and_headers() {
    let sealed = "Try-Id: t1\nSeal: 1\n";
    for (status, headers, expected) in [
        (200, sealed, ResponseClass::Final),
        (299, sealed, ResponseClass::Final),
        (200, "Try-Id: t1\n", ResponseClass::Invalid),
        (
            200,
            "Try-Id: t1\nSeal: 1\nContent-Encoding: gzip\n",
            ResponseClass::Invalid,
        ),
        (304, "", ResponseClass::Final),
        (400, "", ResponseClass::Final),
        (400, "Not-Run: 1\n", ResponseClass::Final),
        (404, sealed, ResponseClass::Final),
        (408, sealed, ResponseClass::Failed),
        (429, sealed, ResponseClass::Failed),
        (500, sealed, ResponseClass::Failed),
        (503, sealed, ResponseClass::Failed),
        (503, "Not-Run: 1\n", ResponseClass::NotRun),
        (504, "Not-Run: 1\n", ResponseClass::NotRun),
        (200, "Not-Run: 1\n", ResponseClass::NotRun),
        (421, "", ResponseClass::Misdirected),
        (421, "Not-Run: 1\n", ResponseClass::Misdirected),
    ] {
        let text = format!("HTTP/1.1 {status} X\n{headers}Content-Length: 0\n\n");
        assert_eq!(
            ResponseClass::from_response(&parse_whole_response(&text)),
            expected,
            "{text}"
        );
    }
}

#[test]
fn server_headers_are_parsed_by_their_wire_names() {
    let response = parse_whole_response(SERVER_RESPONSE);
    assert!(
        wire::is_response_to(&response, "t1")
            && !wire::is_response_to(&response, "t2")
            && !wire::lacks_try_id(&response)
    );
    assert_eq!(wire::server_id(&response), Some("i-1"));
    assert_eq!(
        wire::server_load(&response),
        LoadReport {
            count: 1,
            values: [0.75, 0.0, 0.0, 0.0]
        }
    );
    assert_eq!(
        (
            wire::slow_start_left(&response),
            wire::keep_alive_s(&response)
        ),
        (Some(1500.0), Some(5.0))
    );
    let bare = parse_whole_response("HTTP/1.1 200 OK\nContent-Length: 0\n\n");
    assert!(wire::lacks_try_id(&bare) && !wire::is_response_to(&bare, ""));
    assert_eq!(
        (wire::server_id(&bare), wire::server_load(&bare)),
        (None, LoadReport::default())
    );
    assert_eq!(
        (wire::slow_start_left(&bare), wire::keep_alive_s(&bare)),
        (None, None)
    );
    for unreadable in ["1,2", "1,2,x", "1,2,0", "-9,1,2"] {
        let text = format!("HTTP/1.1 200 OK\nServer-Load: {unreadable}\nContent-Length: 0\n\n");
        assert_eq!(
            wire::server_load(&parse_whole_response(&text)),
            LoadReport::default(),
            "{unreadable}"
        );
    }
}

#[test]
fn a_connection_closes_on_client_request_or_while_draining() {
    let response = |policy| ClientResponse::generated(200, "t1", None, policy);
    for (policy, draining, pipelined, closes) in [
        (ConnectionPolicy::KeepAlive, false, false, false),
        (ConnectionPolicy::KeepAlive, true, false, true),
        (ConnectionPolicy::KeepAlive, true, true, false),
        (ConnectionPolicy::CloseIfIdle, false, false, true),
        (ConnectionPolicy::CloseIfIdle, true, true, false),
        (ConnectionPolicy::Close, false, true, true),
    ] {
        assert_eq!(
            response(policy).closes_connection(draining, pipelined),
            closes,
            "{policy:?} {draining} {pipelined}"
        );
    }
    assert!(ClientResponse::empty().closes_connection(false, true));
}

/// Sends bytes to a proxy and returns everything received until it closes the connection.
fn exchange(config: &str, bytes: &[u8], half_close: bool) -> String {
    let state = proxy(
        "\"retry-slack\":100",
        config,
        &["127.0.0.1:1".parse().unwrap()],
    );
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || listener::accept(&state, listener));
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    client.write_all(bytes).unwrap();
    if half_close {
        client.shutdown(Shutdown::Write).unwrap();
    }
    let mut text = String::new();
    client.read_to_string(&mut text).unwrap();
    text.replace("\r\n", "\n")
}

#[test]
fn unparsable_requests_get_an_error_status_and_a_closed_connection() {
    let head_limit = "\"hdr-bytes\":16384";
    let small_head = CONFIG.replace(head_limit, "\"hdr-bytes\":64");
    let large = format!(
        "GET /read/{} HTTP/1.1\r\nHost: a.example\r\n\r\n",
        "x".repeat(100)
    );
    let closed =
        |status: &str| format!("HTTP/1.1 {status}\nContent-Length: 0\nConnection: close\n\n");
    assert_eq!(
        exchange(CONFIG, b"what is this?\r\n\r\n", false),
        closed("400 Bad Request")
    );
    let two_lengths = b"POST /send/1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    assert_eq!(
        exchange(CONFIG, two_lengths, false),
        closed("400 Bad Request")
    );
    let too_long = b"POST /send/1 HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
    assert_eq!(
        exchange(CONFIG, too_long, false),
        closed("413 Content Too Large")
    );
    assert_eq!(
        exchange(&small_head, large.as_bytes(), false),
        closed("431 Request Header Fields Too Large")
    );
    let short_timeout = CONFIG.replace("\"hdr-ms\":3000", "\"hdr-ms\":30");
    assert_ne!(short_timeout, CONFIG);
    assert_eq!(
        exchange(&short_timeout, b"GET /read/1 HT", false),
        closed("408 Request Timeout")
    );
    assert_eq!(
        exchange(CONFIG, b"", true),
        "",
        "a client that sent nothing gets no response"
    );
    assert_eq!(exchange(CONFIG, b"GET /read/1 HT", true), "");
    let close = b"GET /none HTTP/1.1\r\nHost: a.example\r\nTry-Id: t1\r\nConnection: close\r\n\r\n";
    assert_eq!(
        exchange(CONFIG, close, false),
        "HTTP/1.1 404 Not Found\nContent-Length: 0\nTry-Id: t1\nConnection: close\n\n"
    );
}

#[test]
fn a_tenant_beyond_its_quota_gets_429_with_retry_after() {
    let config = CONFIG.replace("\"rate-s\":0", "\"rate-s\":1,\"burst\":1");
    assert_ne!(config, CONFIG);
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    proxy
        .state
        .dispatcher
        .apply(aspendrum_model::message::StateSection::config(
            2,
            aspendrum_model::compression::compress(
                config.replace("00000001", "00000002").as_bytes(),
            ),
        ));
    let responses = (0..50).map(|_| proxy.request(READ));
    let rejected = responses
        .into_iter()
        .find(|a| a.starts_with("HTTP/1.1 429 "))
        .expect("one in fifty");
    let (before, rest) = rejected.split_once("Retry-After: ").unwrap();
    assert_eq!(
        before,
        "HTTP/1.1 429 Too Many Requests\nContent-Length: 0\nTry-Id: t1\n"
    );
    let (seconds, after) = rest.split_once('\n').unwrap();
    let (whole, fraction) = seconds.split_once('.').unwrap();
    assert!(whole.parse::<u32>().is_ok() && fraction.len() == 3 && fraction.parse::<u32>().is_ok());
    assert_eq!(after, "Connection: close\n\n");
}

#[test]
fn a_mutating_request_that_outlasts_its_budget_gets_504() {
    let proxy = test_proxy_with("\"retry-slack\":100", 1, |_| loop {
        thread::park();
    });
    let response = proxy.request(&SEND.replace("Budget-Ms: 2000", "Budget-Ms: 500"));
    assert_eq!(
        response,
        "HTTP/1.1 504 Gateway Timeout\nContent-Length: 0\nTry-Id: t2\n\n"
    );
}

#[test]
fn metrics_keep_their_names_and_format() {
    let state = proxy("\"retry-slack\":100", CONFIG, &[]);
    assert_eq!(
        state.disconnect_metrics.text(),
        "",
        "counters with value 0 are omitted"
    );
    let stages = [
        ForwardStage::Waiting,
        ForwardStage::Connecting,
        ForwardStage::Sending,
        ForwardStage::AtServer,
    ];
    let mut events = 0;
    for kind in [RequestKind::Idempotent, RequestKind::NonIdempotent] {
        for stage in stages {
            events += 1;
            (0..events).for_each(|_| state.disconnect_metrics.record_disconnect(kind, stage));
            state.disconnect_metrics.record_overdue(kind, stage, false);
            state.disconnect_metrics.record_overdue(kind, stage, true);
        }
        state
            .disconnect_metrics
            .record_send(kind, Duration::from_millis(501));
        state
            .disconnect_metrics
            .record_send(kind, Duration::from_millis(500));
    }
    assert_eq!(state.disconnect_metrics.text(), METRICS);
    assert_eq!(
        (
            state.disconnect_metrics.disconnects(),
            state.disconnect_metrics.violations()
        ),
        (36, 10)
    );
}
