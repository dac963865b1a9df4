//! Fixture tests of the limiter's wire formats: counter calls and replies, requests to servers and to discovery,
//! responses to clients, datagrams between limiters, and configuration keys. They must not change, because other
//! programs, other versions and operators' files depend on them.
//!
//! A `*.txt` fixture has one message per line: a name, a space, and the bytes with `\r`, `\n`, `\"` and `\xNN` escaped.

use crate::support::configuration::config;
use crate::support::fake_services::{counter, listen, read_message, response};
use crate::support::{eventually, start};
use aspendrum::clock::Clock;
use aspendrum::config::Config;
use aspendrum::counter::resp::{self, CounterReply, ParsedReply};
use aspendrum::dispatcher_handle::DispatcherHandle;
use aspendrum::event::DispatcherEvent;
use aspendrum::http::{self, IncomingRequest, MessageSchema};
use aspendrum::limits::Limits;
use aspendrum::peers::{PeerAddresses, PeerSocket};
use aspendrum::server_list::{LocationNames, ServerList};
use aspendrum_core::api::{Health, LoadReport, LoadValue, Semantics};
use aspendrum_net::mailbox;
use aspendrum_net::ring_buffer::RingBuffer;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const COUNTER_CALLS: &str = include_str!("../fixtures/counter_calls.txt");
const COUNTER_REPLIES: &str = include_str!("../fixtures/counter_replies.txt");
const RESPONSES: &str = include_str!("../fixtures/answers.txt");
const REQUESTS: &str = include_str!("../fixtures/requests.txt");
const SERVER_RESPONSES: &str = include_str!("../fixtures/server_answers.txt");
const DISCOVERY_REQUESTS: &str = include_str!("../fixtures/discovery_requests.txt");
const DISCOVERY_LIST: &str = include_str!("../fixtures/discovery_list.json");
const CONFIGURATION: &str = include_str!("../fixtures/configuration.json");

fn unescape(text: &str) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        bytes.push(
            match (byte, if byte == b'\\' { rest.next() } else { None }) {
                (_, None) => byte,
                (_, Some(b'r')) => b'\r',
                (_, Some(b'n')) => b'\n',
                (_, Some(b'x')) => {
                    let digits = [rest.next().unwrap(), rest.next().unwrap()];
                    u8::from_str_radix(std::str::from_utf8(&digits).unwrap(), 16).unwrap()
                }
                (_, Some(escaped)) => escaped,
            },
        );
    }
    bytes
}

fn line(name: &str, bytes: &[u8]) -> String {
    format!("{name} {}\n", bytes.escape_ascii())
}

/// Returns the names and bytes of the messages in a fixture.
fn messages(fixture: &str) -> Vec<(&str, Vec<u8>)> {
    fixture
        .lines()
        .filter_map(|line| line.split_once(' '))
        .map(|(name, text)| (name, unescape(text)))
        .collect()
}

fn bytes(fixture: &str, name: &str) -> Vec<u8> {
    messages(fixture)
        .into_iter()
        .find(|message| message.0 == name)
        .unwrap()
        .1
}

fn buffer_of(bytes: &[u8]) -> RingBuffer {
    let mut buffer = RingBuffer::new(8, 1 << 16);
    assert!(buffer.append(bytes));
    buffer
}

fn written(write: impl FnOnce(&mut RingBuffer) -> bool) -> Vec<u8> {
    let mut buffer = RingBuffer::new(8, 1 << 16);
    assert!(write(&mut buffer));
    buffer.contiguous().to_vec()
}

fn limits() -> Limits {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Limits::new(&Config::parse(&config(&[], address, address).to_string()).unwrap())
}

fn schema() -> MessageSchema {
    let by_name = |names: [&str; 3]| {
        names
            .iter()
            .map(|name| name.to_string())
            .zip(0..)
            .collect::<HashMap<_, u16>>()
    };
    MessageSchema {
        group_numbers: by_name(["look", "book", "pay"]),
        plan_numbers: HashMap::from([("free".to_string(), 0), ("team".to_string(), 1)]),
        semantics: vec![
            Semantics::Idempotent,
            Semantics::Deduplicated,
            Semantics::NonIdempotent,
        ],
        limiters: 3.0,
        max_units: 4.0,
        load_values: vec![
            LoadValue::RequestsInFlight,
            LoadValue::RequestsQueued,
            LoadValue::CpuUtilization,
            LoadValue::ServiceTimeMs,
        ],
    }
}

#[test]
fn calls_to_the_counter() {
    let call = |name, (id, add, ttl): (u64, f32, f64)| {
        let mut out = Vec::new();
        resp::write_add(&mut out, id, add, ttl);
        line(name, &out)
    };
    let calls = [
        call("whole-number", (7, 1.0, 4000.0)),
        call("fraction-and-time-rounded-up", (77, 0.125, 3999.2)),
        call("taken-back", (u64::MAX, -2.5, 1.0)),
        call("time-below-one", (0, 0.0, -3.0)),
    ];
    assert_eq!(calls.concat(), COUNTER_CALLS);
}

#[test]
fn replies_from_the_counter() {
    let read = |(name, bytes): (&'static str, Vec<u8>)| {
        let mut buffer = buffer_of(&bytes);
        let reply = resp::parse_reply(&mut buffer);
        (name, reply, buffer.is_empty())
    };
    let replies: Vec<_> = messages(COUNTER_REPLIES).into_iter().map(read).collect();
    let total = |total| ParsedReply::Complete(CounterReply::Total(total));
    let expected = [
        ("bulk-string", total(12.5), true),
        ("bulk-string-below-zero", total(-3.0), true),
        ("integer", total(7.0), true),
        ("simple-string", total(3.5), true),
        ("busy", ParsedReply::Complete(CounterReply::Rejected), true),
        ("error", ParsedReply::Complete(CounterReply::Rejected), true),
        ("other-error", ParsedReply::Invalid, false),
        ("array", ParsedReply::Invalid, false),
        ("half", ParsedReply::Incomplete, false),
    ];
    assert_eq!(replies, expected);
}

/// Covers each status that the limiter generates, with its reason phrase and headers.
#[test]
fn responses_to_clients() {
    let response = |name: &str, status, retry_after, close, content_type: &[u8], body: &[u8]| {
        line(
            name,
            &written(|out| {
                http::ClientResponse {
                    status,
                    retry_after,
                    close,
                    content_type,
                    body,
                }
                .write(out)
            }),
        )
    };
    let mut lines: Vec<String> = [200, 400, 405, 408, 409, 411, 413, 431, 502, 503, 504]
        .map(|status| response(&format!("status-{status}"), status, None, false, b"", b""))
        .to_vec();
    lines.push(response("closed", 503, None, true, b"", b""));
    lines.push(response("retry-after", 503, Some(1234.5), false, b"", b""));
    lines.push(response(
        "retry-after-and-closed",
        503,
        Some(0.4),
        true,
        b"",
        b"",
    ));
    lines.push(response(
        "with-a-body",
        200,
        None,
        false,
        b"text/plain; charset=utf-8",
        b"hello\x00\xff",
    ));
    assert_eq!(lines.concat(), RESPONSES);
}

#[test]
fn requests_read_and_forwarded() {
    let forwarded = |name: &str| {
        let mut incoming = buffer_of(&bytes(REQUESTS, name));
        let http::Parsed::Complete(IncomingRequest::Forwardable(request)) =
            http::parse_request(&mut incoming, &schema(), &limits().messages)
        else {
            panic!("{name} was not read")
        };
        assert!(incoming.is_empty());
        (written(|out| request.write_forwarded(899.5, out)), request)
    };
    let (out, get) = forwarded("read");
    assert_eq!(
        line("read-sent-on", &out),
        line("read-sent-on", &bytes(REQUESTS, "read-sent-on"))
    );
    assert_eq!(
        (get.group, get.plan, get.tenant, get.remaining),
        (0, 1, 0xb4d6_5521, 900.0)
    );
    assert_eq!(
        (get.units, get.instances, get.first_instance),
        (1.5, 2.0, 1.0)
    );
    assert_eq!((get.is_retry, get.is_write, get.close), (true, false, true));
    assert_eq!(get.transaction, b"9b1f000000000001");
    let (out, post) = forwarded("write");
    assert_eq!(
        line("write-sent-on", &out),
        line("write-sent-on", &bytes(REQUESTS, "write-sent-on"))
    );
    assert_eq!(
        (post.group, post.plan, post.tenant, post.remaining),
        (1, 0, 1, 0.25)
    );
    assert_eq!(
        (post.units, post.instances, post.first_instance),
        (4.0, 1.0, 0.0)
    );
    assert_eq!(
        (post.is_retry, post.is_write, post.close),
        (false, true, false)
    );
}

#[test]
fn the_readiness_request() {
    let mut incoming = buffer_of(&bytes(REQUESTS, "readiness"));
    let read = http::parse_request(&mut incoming, &schema(), &limits().messages);
    assert!(matches!(
        read,
        http::Parsed::Complete(IncomingRequest::Readiness { close: false })
    ));
}

#[test]
fn health_checks_of_servers() {
    let lines = [http::HEALTH_CHECK_PATH, http::LOAD_REPORT_PATH]
        .map(|path| written(|out| http::write_get(out, path)));
    assert_eq!(lines[0], bytes(REQUESTS, "health-check"));
    assert_eq!(lines[1], bytes(REQUESTS, "load-report"));
}

fn load(values: &[f32]) -> LoadReport {
    let mut load = LoadReport {
        count: values.len() as u8,
        ..LoadReport::default()
    };
    load.values[..values.len()].copy_from_slice(values);
    load
}

#[test]
fn responses_from_servers() {
    let read = |name| {
        let mut incoming = buffer_of(&bytes(SERVER_RESPONSES, name));
        match http::parse_server_response(&mut incoming, &schema(), &limits().messages) {
            http::Parsed::Complete(response) => response,
            _ => panic!("{name} was not read"),
        }
    };
    let full = read("with-each-header");
    assert_eq!(
        (full.status, full.is_rejected, full.close),
        (200, false, false)
    );
    assert_eq!(
        (full.charged, full.load),
        (Some(2.5), load(&[3.0, 4.0, 0.25, 12.5]))
    );
    assert_eq!(
        (full.content_type, full.body),
        (b"application/json".to_vec(), b"{}".to_vec())
    );
    let other = read("with-the-other-names");
    assert_eq!(other.load, load(&[5.0, 6.0, 0.75, 8.0]));
    let rejected = read("turned-away");
    assert_eq!(
        (rejected.status, rejected.is_rejected, rejected.close),
        (503, true, true)
    );
    assert_eq!(
        (rejected.charged, rejected.load),
        (None, LoadReport::default())
    );
}

#[test]
fn each_load_value_has_two_names() {
    let values = [LoadValue::ResponsesPerSecond, LoadValue::FailuresPerSecond];
    for body in ["qps=90,eps=2", "TEXT served_ps=90\nfailed_ps=2"] {
        assert_eq!(
            http::parse_load_report(body.as_bytes(), &values),
            load(&[90.0, 2.0])
        );
    }
}

#[test]
fn requests_to_discovery() {
    let seen = Arc::new(Mutex::new(Vec::<String>::new()));
    let (recorded, list) = (
        seen.clone(),
        json!({"seq": 43, "whole": true, "hosts": []}).to_string(),
    );
    let address = listen(move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            let mut seen = recorded.lock().unwrap();
            seen.push(request);
            if seen.len() > 2 {
                return;
            }
            drop(seen);
            let _ = stream.write_all(response(&list).as_bytes());
        }
    });
    let limiter = start(&config(&[], counter(None), address));
    assert!(eventually(|| seen.lock().unwrap().len() > 1));
    limiter.stop();
    let seen = seen.lock().unwrap();
    let lines = [
        line("list", seen[0].as_bytes()),
        line("watch", seen[1].as_bytes()),
    ];
    assert_eq!(lines.concat(), DISCOVERY_REQUESTS);
}

#[test]
fn a_server_list_from_discovery() {
    let names = LocationNames {
        zones: vec!["a".into(), "b".into()],
        machine_kinds: vec!["m1".into(), "m2".into()],
    };
    let list: Value = serde_json::from_str(DISCOVERY_LIST).unwrap();
    let list = ServerList::parse(&list, &names).unwrap();
    assert_eq!((list.version, list.is_complete), (43, true));
    let [first, second, third] = &list.entries[..] else {
        panic!("{} entries", list.entries.len())
    };
    // A server's id is the FNV-1a hash of its name, so that all limiters use the same one.
    let numbers = [first, second, third].map(|listed| listed.entry.server);
    assert_eq!(numbers, [0x4cae_c46a, 0x189b_ada4, 0x1b9b_b25d]);
    let health = [first, second, third].map(|listed| listed.entry.health);
    assert_eq!(health, [Health::Ready, Health::Draining, Health::Removed]);
    let addresses = [first, second, third].map(|listed| listed.address);
    let address = |text: &str| text.parse().ok();
    assert_eq!(
        addresses,
        [address("10.1.0.18:9000"), address("[::1]:9001"), None]
    );
    let places = [first, second, third]
        .map(|listed| (listed.entry.zone, listed.entry.kind, listed.entry.cell));
    assert_eq!(places, [(1, 1, 3), (0, 0, 0), (0, 0, 65_535)]);
    let figures =
        [first, second, third].map(|listed| (listed.entry.capacity, listed.entry.started_at));
    assert_eq!(figures, [(2.5, 1e12), (1.0, 0.0), (0.5, 7.5)]);
}

#[test]
fn datagrams_between_limiters_pass_unchanged() {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let peer_address = other.local_addr().unwrap();
    // Only this test binds ports of this loopback address, so the port stays free between the drop and the start.
    let listen = UdpSocket::bind("127.61.7.3:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (sender, events) = mailbox::for_current_thread(8);
    let dispatcher = Arc::new(DispatcherHandle::new(sender, Clock::start()));
    let unknown = "127.0.0.1:9".parse().unwrap();
    let peers = PeerSocket::start(
        listen,
        PeerAddresses {
            peers: vec![unknown, peer_address],
            broadcast: Some(peer_address),
        },
        &dispatcher,
        128 << 10,
    )
    .unwrap();
    let longest: Vec<u8> = (0..=255).collect();
    other.send_to(&[0; 257], listen).unwrap();
    other.send_to(&longest, listen).unwrap();
    match events.recv_deadline(Some(Instant::now() + Duration::from_secs(5))) {
        Ok(DispatcherEvent::PeerDatagram { from, data }) => {
            assert_eq!((from, &data), (1, &longest))
        }
        _ => panic!("no datagram came"),
    }
    let mut buffer = [0; 512];
    peers.send(Some(1), &[1; 257]);
    for to in [Some(1), None] {
        peers.send(to, &longest);
        let (size, _) = other.recv_from(&mut buffer).unwrap();
        assert_eq!(buffer[..size], longest);
    }
}

#[test]
fn each_key_of_the_configuration() {
    let config = Config::parse(CONFIGURATION).unwrap();
    let address = |text: &str| text.parse::<SocketAddr>().unwrap();
    assert_eq!(config.name, "limiter-3");
    assert_eq!(config.listen, address("127.0.0.1:7001"));
    assert_eq!(config.discovery, address("127.0.0.1:7002"));
    assert_eq!(config.counter, Some(address("127.0.0.1:7003")));
    assert_eq!(config.peer_listen, Some(address("127.0.0.1:7004")));
    assert_eq!(
        config.peers,
        [address("127.0.0.1:7005"), address("127.0.0.1:7006")]
    );
    assert_eq!(config.peer_broadcast, Some(address("127.0.0.1:7007")));
}

#[test]
fn each_key_of_limits() {
    let config = Config::parse(CONFIGURATION).unwrap();
    assert_eq!(
        (config.seed, config.memory_mb, config.max_descriptors),
        (0x5eed, 256, 2048)
    );
    assert_eq!(
        (config.connect_timeout, config.server_keepalive),
        (Duration::from_millis(125), Duration::from_secs(20))
    );
}

#[test]
fn each_key_that_names_groups_plans_and_servers() {
    let config = Config::parse(CONFIGURATION).unwrap();
    let (groups, plans) = ([("look", 0), ("pay", 1)], [("free", 0), ("team", 1)]);
    assert_eq!(
        config.group_numbers,
        groups.map(|(name, at)| (name.to_string(), at)).into()
    );
    assert_eq!(
        config.plan_numbers,
        plans.map(|(name, at)| (name.to_string(), at)).into()
    );
    assert_eq!(
        (
            config.location_names.zones,
            config.location_names.machine_kinds
        ),
        (vec!["a".into(), "b".into()], vec!["m2".into()])
    );
    assert_eq!(
        (
            config.known_servers.version,
            config.known_servers.is_complete,
            config.known_servers.entries.len()
        ),
        (9, true, 1)
    );
    assert_eq!(
        (
            config.settings.instance,
            config.settings.instances,
            config.settings.zone
        ),
        (1, 3, 1)
    );
    assert!(
        config.settings.may_send_datagrams
            && config.settings.has_counter
            && config.settings.polls_discovery
    );
}

#[test]
fn defaults_of_omitted_keys() {
    let mut text: Value = serde_json::from_str(CONFIGURATION).unwrap();
    for key in ["name", "peer_listen", "known", "limits"] {
        text.as_object_mut().unwrap().remove(key);
    }
    for key in ["ConnectTimeoutS", "KeepaliveS"] {
        text["settings"]["Limits"]
            .as_object_mut()
            .unwrap()
            .remove(key);
    }
    let config = Config::parse(&text.to_string()).unwrap();
    assert_eq!(
        (
            config.name.as_str(),
            config.memory_mb,
            config.max_descriptors
        ),
        ("limiter", 192, 1024)
    );
    assert_eq!(
        (
            config.peer_listen,
            config.peers.len(),
            config.peer_broadcast
        ),
        (None, 0, None)
    );
    assert_eq!(
        (config.connect_timeout, config.server_keepalive),
        (Duration::from_millis(250), Duration::from_secs(30))
    );
    assert_eq!(
        (
            config.known_servers.version,
            config.known_servers.is_complete,
            config.known_servers.entries.len()
        ),
        (0, false, 0)
    );
}

fn run(arguments: &[&str], variable: Option<&str>) -> (bool, String, String) {
    let mut program = Command::new(env!("CARGO_BIN_EXE_aspendrum"));
    program
        .args(arguments)
        .env_remove("EDGE_CONFIG")
        .env_remove("RUST_LOG");
    if let Some(path) = variable {
        program.env("EDGE_CONFIG", path);
    }
    let done = program.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (done.status.success(), text(done.stdout), text(done.stderr))
}

/// The subcommands, options and environment variable used by operators and deployments.
#[test]
fn the_command_line() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/fixtures/configuration.json"
    );
    let good = (true, "limiter-3: well-formed\n".to_string(), String::new());
    assert_eq!(run(&["check-config", "--config", path], None), good);
    assert_eq!(run(&["--log", "json", "check-config"], Some(path)), good);
    assert_eq!(
        run(&["version"], None),
        (true, "aspendrum 0.1.0\n".to_string(), String::new())
    );
    let missing = "aspendrum: no --config, and EDGE_CONFIG is not set\n".to_string();
    assert_eq!(run(&["serve"], None), (false, String::new(), missing));
}
