//! The exact bytes that are written to connections and parsed from them. They must not change when types are renamed.

use aspendrum_net::disconnect_metrics::{DisconnectMetrics, REACTION_DEADLINE};
use aspendrum_net::forward::{ForwardStage, RequestKind};
use aspendrum_net::frames::{encode_frame, read_frame, FrameSender};
use aspendrum_net::http1::{self, MessageLimits, Parsed, Request, Response};
use aspendrum_net::http_client::HttpClient;
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::path_matcher::{match_path, query_parameter, PathMatch, PathNode};
use aspendrum_net::ring_buffer::RingBuffer;
use serde::{Deserialize, Serialize};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 256,
    body_bytes: 64,
};

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum Sample {
    Empty,
    Named { number: u64, text: String },
}

fn sample() -> Sample {
    Sample::Named {
        number: 300,
        text: "abc".into(),
    }
}

const SAMPLE_FRAME: &[u8] = b"\x07\x00\x00\x00\x01\xac\x02\x03abc";

#[test]
fn a_frame_is_its_length_in_four_bytes_and_postcard() {
    assert_eq!(encode_frame(&sample()), SAMPLE_FRAME);
    assert_eq!(encode_frame(&Sample::Empty), b"\x01\x00\x00\x00\x00");
    assert_eq!(encode_frame(&()), b"\x00\x00\x00\x00");
    let mut two: &[u8] = &[SAMPLE_FRAME, b"\x01\x00\x00\x00\x00"].concat();
    assert_eq!(read_frame::<Sample>(&mut two).unwrap(), sample());
    assert_eq!(read_frame::<Sample>(&mut two).unwrap(), Sample::Empty);
    assert_eq!(
        read_frame::<Sample>(&mut two).unwrap_err().kind(),
        ErrorKind::UnexpectedEof
    );
}

#[test]
fn invalid_frames_are_rejected() {
    let error_kind = |mut bytes: &[u8]| read_frame::<Sample>(&mut bytes).unwrap_err().kind();
    assert_eq!(
        error_kind(&SAMPLE_FRAME[..5]),
        ErrorKind::UnexpectedEof,
        "truncated"
    );
    assert_eq!(
        error_kind(b"\x01\x00\x00\x00\x02"),
        ErrorKind::InvalidData,
        "an unknown variant"
    );
    assert_eq!(
        error_kind(b"\x01\x00\x00\x02"),
        ErrorKind::InvalidData,
        "longer than 32 MiB"
    );
    assert_eq!(
        error_kind(b"\x00\x00\x00\x02"),
        ErrorKind::UnexpectedEof,
        "32 MiB"
    );
}

/// Returns both ends of a connection.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let server = listener.accept().unwrap().0;
    [&client, &server]
        .iter()
        .for_each(|stream| stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap());
    (client, server)
}

fn read_to_end(mut stream: &TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
}

#[test]
fn a_link_writes_frames_in_order_and_closes_after_the_last() {
    let (peer, local) = connected_pair();
    let link = FrameSender::from_stream(Arc::new(local), TEST_TIMEOUT, 8).unwrap();
    link.send(&sample());
    link.send(&Sample::Empty);
    link.close_after_flush();
    drop(link);
    assert_eq!(
        read_to_end(&peer),
        [SAMPLE_FRAME, b"\x01\x00\x00\x00\x00"].concat()
    );
}

#[test]
fn encoded_responses_have_the_expected_bytes() {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    assert_eq!(
        text(http1::encode_response(200, &[], false, b"")),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(
        text(http1::encode_response(429, &[("Retry-After", "1"), ("X", "y")], true, b"body")),
        "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 4\r\nRetry-After: 1\r\nX: y\r\nConnection: close\r\n\r\nbody"
    );
}

#[test]
fn each_status_has_its_reason_phrase() {
    let reasons = [
        (200, "OK"),
        (307, "Temporary Redirect"),
        (400, "Bad Request"),
        (401, "Unauthorized"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (413, "Content Too Large"),
        (421, "Misdirected Request"),
        (422, "Unprocessable Content"),
        (429, "Too Many Requests"),
        (431, "Request Header Fields Too Large"),
        (500, "Internal Server Error"),
        (502, "Bad Gateway"),
        (503, "Service Unavailable"),
        (504, "Gateway Timeout"),
        (299, "Answer"),
    ];
    for (status, reason) in reasons {
        assert_eq!(http1::reason_phrase(status), reason);
    }
}

fn ring_buffer(bytes: &[u8]) -> RingBuffer {
    let mut buffer = RingBuffer::new(64, 1024);
    assert!(buffer.append(bytes));
    buffer
}

#[test]
fn requests_are_parsed_completely_and_in_order() {
    let mut buffer = ring_buffer(
        b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody\
          GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
    );
    let Parsed::Complete(first) = http1::parse_request(&mut buffer, &LIMITS) else {
        panic!("the first request was not parsed")
    };
    let headers = vec![
        ("Host".to_string(), b"h".to_vec()),
        ("Content-Length".to_string(), b"4".to_vec()),
    ];
    let (method, path, body) = ("POST".to_string(), "/a?b=c".to_string(), b"body".to_vec());
    assert_eq!(
        first,
        Request {
            method,
            path,
            headers,
            body: body.into(),
            closes_connection: false
        }
    );
    let Parsed::Complete(second) = http1::parse_request(&mut buffer, &LIMITS) else {
        panic!("the second request was not parsed")
    };
    assert!(second.method == "GET" && second.closes_connection && second.body.is_empty());
    assert!(matches!(
        http1::parse_request(&mut buffer, &LIMITS),
        Parsed::Incomplete
    ));
}

#[test]
fn invalid_requests_are_rejected_with_the_expected_status() {
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
    let head_of_300 = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(300));
    let cases = [
        ("GET / HTTP/9.9\r\n\r\n".to_string(), 400),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n".to_string(),
            400,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n".to_string(),
            400,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_string(),
            400,
        ),
        (format!("{chunked}Content-Length: 1\r\n\r\n"), 400),
        (format!("{chunked}\r\n41\r\n"), 400),
        (
            "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n".to_string(),
            413,
        ),
        (head_of_300, 431),
    ];
    for (text, status) in cases {
        let Parsed::Invalid(found) =
            http1::parse_request(&mut ring_buffer(text.as_bytes()), &LIMITS)
        else {
            panic!("{text}")
        };
        assert_eq!(found, status, "{text}");
    }
}

#[test]
fn responses_are_parsed_completely() {
    let mut buffer = ring_buffer(
        b"HTTP/1.1 100 Continue\r\n\r\n\
          HTTP/1.1 200 Fine\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: t\r\n\r\n\
          HTTP/1.0 204 None\r\n\r\n",
    );
    let Parsed::Complete(first) = http1::parse_response(&mut buffer, &LIMITS) else {
        panic!("the first response was not parsed")
    };
    let headers = vec![("Transfer-Encoding".to_string(), b"chunked".to_vec())];
    let (reason, body) = ("Fine".to_string(), b"abcd".to_vec());
    assert_eq!(
        first,
        Response {
            status: 200,
            reason,
            headers,
            body: body.into(),
            close: false
        }
    );
    let Parsed::Complete(second) = http1::parse_response(&mut buffer, &LIMITS) else {
        panic!("the second response was not parsed")
    };
    assert!(second.status == 204 && second.close, "HTTP/1.0 closes");
    assert!(buffer.is_empty());
}

#[test]
fn responses_without_a_valid_length_are_rejected() {
    for text in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 101 Upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n",
    ] {
        assert!(
            matches!(
                http1::parse_response(&mut ring_buffer(text.as_bytes()), &LIMITS),
                Parsed::Invalid(502)
            ),
            "{text}"
        );
    }
}

#[test]
fn hop_by_hop_headers_are_recognized() {
    let headers = vec![("Connection".to_string(), b"close, X-Own".to_vec())];
    let always = "connection keep-alive te trailer transfer-encoding upgrade proxy-connection content-length expect x-own";
    for name in always.split(' ') {
        assert!(
            http1::is_hop_by_hop(&headers, name)
                && http1::is_hop_by_hop(&headers, &name.to_uppercase()),
            "{name}"
        );
    }
    assert!(!http1::is_hop_by_hop(&headers, "Host") && !http1::is_hop_by_hop(&Vec::new(), "X-Own"));
}

/// Starts a server that replies to each request with the next of the given responses. Returns its address and a handle
/// that yields the received requests.
fn server(responses: Vec<&'static [u8]>) -> (SocketAddrV4, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string().parse().unwrap();
    let serve = move || {
        let mut requests = Vec::new();
        let mut stream: Option<TcpStream> = None;
        for response in responses {
            let mut connection = stream
                .take()
                .unwrap_or_else(|| listener.accept().unwrap().0);
            connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let mut bytes = vec![0; 1024];
            let size = connection.read(&mut bytes).unwrap();
            requests.push(String::from_utf8_lossy(&bytes[..size]).into_owned());
            connection.write_all(response).unwrap();
            stream = Some(connection).filter(|_| !response.is_empty());
        }
        requests
    };
    (address, thread::spawn(serve))
}

#[test]
fn client_calls_have_the_expected_bytes_and_reuse_the_connection() {
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let (to, requests) = server(vec![response, response, response]);
    let mut client = HttpClient::new(to, LIMITS);
    assert_eq!(
        client.call("GET", "/a", b"", TEST_TIMEOUT).unwrap().body,
        b"ok"
    );
    assert_eq!(
        client
            .call("POST", "/b", b"body", TEST_TIMEOUT)
            .unwrap()
            .status,
        200
    );
    assert_eq!(
        client.call("POST", "/c", b"", TEST_TIMEOUT).unwrap().reason,
        "OK"
    );
    let json = "Content-Type: application/json\r\nContent-Length:";
    assert_eq!(
        requests.join().unwrap(),
        [
            format!("GET /a HTTP/1.1\r\nHost: {to}\r\n\r\n"),
            format!("POST /b HTTP/1.1\r\nHost: {to}\r\n{json} 4\r\n\r\nbody"),
            format!("POST /c HTTP/1.1\r\nHost: {to}\r\n{json} 0\r\n\r\n"),
        ]
    );
}

/// Operators see these texts after the address of the server.
#[test]
fn failed_calls_report_the_reason() {
    let call = |to| {
        HttpClient::new(to, LIMITS)
            .call("GET", "/", b"", TEST_TIMEOUT)
            .map_err(|why| why.to_string())
    };
    let (to, requests) = server(vec![b""]);
    assert_eq!(call(to).unwrap_err(), "Reset");
    requests.join().unwrap();
    let (to, requests) = server(vec![b"no answer\r\n\r\n"]);
    assert_eq!(call(to).unwrap_err(), "Error");
    requests.join().unwrap();
    // The socket is bound, so that the port stays reserved, but it does not listen.
    let closed_port =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    closed_port
        .bind(&SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0).into())
        .unwrap();
    let to = closed_port.local_addr().unwrap().as_socket_ipv4().unwrap();
    assert_eq!(call(to).unwrap_err(), "Connection refused (os error 111)");
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = unresponsive
        .local_addr()
        .unwrap()
        .to_string()
        .parse()
        .unwrap();
    let result = HttpClient::new(to, LIMITS).call("GET", "/", b"", Duration::from_millis(5));
    assert_eq!(
        result.map_err(|why| why.to_string()).unwrap_err(),
        "TimedOut"
    );
}

#[test]
fn server_responses_have_the_expected_bytes() {
    let serve = |request: Request| match request.path.as_str() {
        "/text" => Reply::text("text".into()),
        "/json" => Reply::json(b"{}".to_vec()),
        "/moved" => Reply {
            status: 307,
            headers: vec![("Location", "/there".to_string())],
            ..Reply::empty(307)
        },
        _ => Reply::empty(404),
    };
    let options = ServerOptions {
        stack_bytes: 128 << 10,
        limits: LIMITS,
        idle_timeout: TEST_TIMEOUT,
        worker_idle_timeout: TEST_TIMEOUT,
        memory: MemoryBudget::unlimited(),
    };
    let address_with_port = |port| SocketAddrV4::new(Ipv4Addr::new(127, 0, 8, 1), port);
    let port = (20_000..30_000)
        .find(|port| http_server::listen(address_with_port(*port), options.clone(), serve).is_ok());
    let address = address_with_port(port.expect("a port is free"));
    let calls = [
        (
            "GET /text HTTP/1.1\r\n\r\nGET /json HTTP/1.1\r\nConnection: close\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plain\r\n\r\ntext\
             HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{}",
        ),
        (
            "GET /moved HTTP/1.1\r\n\r\nGET /else HTTP/1.1\r\nConnection: close\r\n\r\n",
            "HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 0\r\nLocation: /there\r\n\r\n\
             HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
        (
            "nonsense\r\n\r\n",
            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
            "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
    ];
    for (request, response) in calls {
        let mut client = TcpStream::connect(address).unwrap();
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        client.write_all(request.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(read_to_end(&client)).unwrap(), response);
    }
}

#[test]
fn metrics_keep_their_names_and_labels() {
    let metrics = DisconnectMetrics::default();
    let kinds = [RequestKind::Idempotent, RequestKind::NonIdempotent];
    for kind in kinds {
        for stage in [
            ForwardStage::Waiting,
            ForwardStage::Connecting,
            ForwardStage::Sending,
            ForwardStage::AtServer,
        ] {
            metrics.record_disconnect(kind, stage);
            metrics.record_overdue(kind, stage, false);
            metrics.record_overdue(kind, stage, true);
        }
        metrics.record_send(kind, REACTION_DEADLINE * 2);
    }
    assert_eq!(
        metrics.text(),
        include_str!("fixtures/disconnect_figures.txt")
    );
}

#[test]
fn calls_are_matched_by_path_and_method() {
    let tree = [
        PathNode::Literal(
            "api",
            vec![
                PathNode::Literal("Show", vec![PathNode::Endpoint("GET", 1)]),
                PathNode::Parameter(vec![PathNode::Endpoint("POST", 2)]),
            ],
        ),
        PathNode::Endpoint("GET", 3),
    ];
    assert_eq!(
        match_path(&tree, "GET", "/api/Show?a=b"),
        PathMatch::Call {
            call: 1,
            arguments: vec![],
            query: "a=b"
        }
    );
    assert_eq!(
        match_path(&tree, "POST", "/api/zone"),
        PathMatch::Call {
            call: 2,
            arguments: vec!["zone"],
            query: ""
        }
    );
    assert_eq!(
        match_path(&tree, "PUT", "/api/Show"),
        PathMatch::MethodNotAllowed
    );
    assert_eq!(match_path(&tree, "GET", "/api/"), PathMatch::NotFound);
    assert_eq!(match_path(&tree, "GET", "api"), PathMatch::NotFound);
    assert_eq!(
        (query_parameter("a=b&c=d", "c"), query_parameter("a=b", "c")),
        (Some("d"), None)
    );
}
