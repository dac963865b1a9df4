//! The bytes that the limiter writes and reads, as fixtures: calls to the counter and its replies, requests to servers
//! and to discovery, its answers to clients, datagrams between limiters, and the keys of its configuration. Other
//! programs, other versions and operators' files rely on them, so they must not change.
//!
//! A fixture `*.txt` holds one message a line: a name, a blank, and the bytes with `\r`, `\n`, `\"` and `\xNN` escaped.

use crate::helper::*;
use aspendrum::clock::Clock;
use aspendrum::config::Config;
use aspendrum::http::{self, Call, Lanes};
use aspendrum::limits::Limits;
use aspendrum::notes::{Door, Note};
use aspendrum::peers::Peers;
use aspendrum::resp::{self, Parsed, Reply};
use aspendrum::roster::{Names, Roster};
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
const ANSWERS: &str = include_str!("../fixtures/answers.txt");
const REQUESTS: &str = include_str!("../fixtures/requests.txt");
const SERVER_ANSWERS: &str = include_str!("../fixtures/server_answers.txt");
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

/// Names and bytes of a fixture's messages.
fn messages(fixture: &str) -> Vec<(&str, Vec<u8>)> {
    fixture
        .lines()
        .filter_map(|l| l.split_once(' '))
        .map(|(name, text)| (name, unescape(text)))
        .collect()
}

fn bytes(fixture: &str, name: &str) -> Vec<u8> {
    messages(fixture)
        .into_iter()
        .find(|m| m.0 == name)
        .unwrap()
        .1
}

fn ring(bytes: &[u8]) -> RingBuffer {
    let mut ring = RingBuffer::new(8, 1 << 16);
    assert!(ring.append(bytes));
    ring
}

fn written(write: impl FnOnce(&mut RingBuffer) -> bool) -> Vec<u8> {
    let mut ring = RingBuffer::new(8, 1 << 16);
    assert!(write(&mut ring));
    ring.contiguous().to_vec()
}

fn limits() -> Limits {
    let here: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Limits::of(&Config::read(&config(&[], here, here).to_string()).unwrap())
}

fn lanes() -> Lanes {
    let by_name = |names: [&str; 3]| {
        names
            .iter()
            .map(|n| n.to_string())
            .zip(0..)
            .collect::<HashMap<_, u16>>()
    };
    Lanes {
        groups: by_name(["look", "book", "pay"]),
        plans: HashMap::from([("free".to_string(), 0), ("team".to_string(), 1)]),
        semantics: vec![
            Semantics::Idempotent,
            Semantics::Deduplicated,
            Semantics::NonIdempotent,
        ],
        instances: 3.0,
        units_top: 4.0,
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
        resp::add(&mut out, id, add, ttl);
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
fn replies_of_the_counter() {
    let read = |(name, bytes): (&'static str, Vec<u8>)| {
        let mut ring = ring(&bytes);
        let reply = resp::reply(&mut ring);
        (name, reply, ring.is_empty())
    };
    let replies: Vec<_> = messages(COUNTER_REPLIES).into_iter().map(read).collect();
    let total = |total| Parsed::Whole(Reply::Total(total));
    let expected = [
        ("bulk-string", total(12.5), true),
        ("bulk-string-below-zero", total(-3.0), true),
        ("integer", total(7.0), true),
        ("simple-string", total(3.5), true),
        ("busy", Parsed::Whole(Reply::TurnedAway), true),
        ("error", Parsed::Whole(Reply::TurnedAway), true),
        ("other-error", Parsed::Nonsense, false),
        ("array", Parsed::Nonsense, false),
        ("half", Parsed::More, false),
    ];
    assert_eq!(replies, expected);
}

/// Each status that the limiter answers by itself, with its reason and headers.
#[test]
fn answers_to_clients() {
    let answer = |name: &str, status, advice, close, kind: &[u8], body: &[u8]| {
        line(
            name,
            &written(|out| http::reply(out, status, advice, close, kind, body)),
        )
    };
    let mut lines: Vec<String> = [200, 400, 405, 408, 409, 411, 413, 431, 502, 503, 504]
        .map(|status| answer(&format!("status-{status}"), status, 0.0, false, b"", b""))
        .to_vec();
    lines.push(answer("closed", 503, 0.0, true, b"", b""));
    lines.push(answer("retry-after", 503, 1234.5, false, b"", b""));
    lines.push(answer("retry-after-and-closed", 503, 0.4, true, b"", b""));
    lines.push(answer(
        "with-a-body",
        200,
        0.0,
        false,
        b"text/plain; charset=utf-8",
        b"hello\x00\xff",
    ));
    assert_eq!(lines.concat(), ANSWERS);
}

#[test]
fn requests_read_and_sent_on() {
    let forwarded = |name: &str| {
        let mut incoming = ring(&bytes(REQUESTS, name));
        let http::Parsed::Complete(Call::Query(query)) =
            http::call(&mut incoming, &lanes(), &limits())
        else {
            panic!("{name} was not read")
        };
        assert!(incoming.is_empty());
        (written(|out| query.forward(899.5, out)), query)
    };
    let (out, get) = forwarded("read");
    assert_eq!(
        line("read-sent-on", &out),
        line("read-sent-on", &bytes(REQUESTS, "read-sent-on"))
    );
    assert_eq!(
        (get.group, get.plan, get.acct, get.wait),
        (0, 1, 0xb4d6_5521, 900.0)
    );
    assert_eq!((get.units, get.spread, get.first), (1.5, 2.0, 1.0));
    assert_eq!(
        (get.client_repeat, get.write, get.close),
        (true, false, true)
    );
    assert_eq!(get.txn, b"9b1f000000000001");
    let (out, post) = forwarded("write");
    assert_eq!(
        line("write-sent-on", &out),
        line("write-sent-on", &bytes(REQUESTS, "write-sent-on"))
    );
    assert_eq!(
        (post.group, post.plan, post.acct, post.wait),
        (1, 0, 1, 0.25)
    );
    assert_eq!((post.units, post.spread, post.first), (4.0, 1.0, 0.0));
    assert_eq!(
        (post.client_repeat, post.write, post.close),
        (false, true, false)
    );
}

#[test]
fn the_readiness_question() {
    let mut incoming = ring(&bytes(REQUESTS, "readiness"));
    let read = http::call(&mut incoming, &lanes(), &limits());
    assert!(matches!(
        read,
        http::Parsed::Complete(Call::Ready { close: false })
    ));
}

#[test]
fn health_checks_of_servers() {
    let lines = [http::LIVE, http::STATS].map(|path| written(|out| http::get(out, path)));
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
fn answers_of_servers() {
    let read = |name| {
        let mut incoming = ring(&bytes(SERVER_ANSWERS, name));
        match http::answer(&mut incoming, &lanes(), &limits()) {
            http::Parsed::Complete(answer) => answer,
            _ => panic!("{name} was not read"),
        }
    };
    let full = read("with-each-header");
    assert_eq!(
        (full.status, full.turned_away, full.close),
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
    let refused = read("turned-away");
    assert_eq!(
        (refused.status, refused.turned_away, refused.close),
        (503, true, true)
    );
    assert_eq!(
        (refused.charged, refused.load),
        (None, LoadReport::default())
    );
}

#[test]
fn a_load_report_names_each_value_in_two_ways() {
    let values = [LoadValue::ResponsesPerSecond, LoadValue::FailuresPerSecond];
    for body in ["qps=90,eps=2", "TEXT served_ps=90\nfailed_ps=2"] {
        assert_eq!(
            http::load_of_body(body.as_bytes(), &values),
            load(&[90.0, 2.0])
        );
    }
}

#[test]
fn requests_to_discovery() {
    let seen = Arc::new(Mutex::new(Vec::<String>::new()));
    let (own, list) = (
        seen.clone(),
        json!({"seq": 43, "whole": true, "hosts": []}).to_string(),
    );
    let address = listen(move |mut stream| {
        let mut rest = Vec::new();
        while let Some(request) = message(&mut stream, &mut rest) {
            let mut seen = own.lock().unwrap();
            seen.push(request);
            if seen.len() > 2 {
                return;
            }
            drop(seen);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            let _ = stream.write_all((head + &list).as_bytes());
        }
    });
    let limiter = start(&config(&[], counter(None), address));
    assert!(soon(|| seen.lock().unwrap().len() > 1));
    limiter.stop();
    let seen = seen.lock().unwrap();
    let lines = [
        line("list", seen[0].as_bytes()),
        line("watch", seen[1].as_bytes()),
    ];
    assert_eq!(lines.concat(), DISCOVERY_REQUESTS);
}

#[test]
fn a_list_of_discovery() {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["m1".into(), "m2".into()],
    };
    let list: Value = serde_json::from_str(DISCOVERY_LIST).unwrap();
    let roster = Roster::read(&list, &names).unwrap();
    assert_eq!((roster.version, roster.whole), (43, true));
    let read: Vec<_> = roster
        .entries
        .iter()
        .map(|(m, dial)| {
            (
                m.server,
                m.health,
                m.zone,
                m.kind,
                m.cell,
                m.capacity,
                m.started_at,
                *dial,
            )
        })
        .collect();
    let dial = |text: &str| text.parse().ok();
    assert_eq!(
        read,
        [
            // A server's number is the FNV-1a hash of its name, the same at every limiter.
            (
                0x4cae_c46a,
                Health::Ready,
                1,
                1,
                3,
                2.5,
                1e12,
                dial("10.1.0.18:9000")
            ),
            (
                0x189b_ada4,
                Health::Draining,
                0,
                0,
                0,
                1.0,
                0.0,
                dial("[::1]:9001")
            ),
            (0x1b9b_b25d, Health::Removed, 0, 0, 65_535, 0.5, 7.5, None),
        ]
    );
}

#[test]
fn datagrams_between_limiters_pass_unchanged() {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let there = other.local_addr().unwrap();
    // No other test binds a port of this loopback address between the drop and the start.
    let listen = UdpSocket::bind("127.61.7.3:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (notes, told) = mailbox::for_current_thread(8);
    let door = Arc::new(Door::new(notes, Clock::start()));
    let unknown = "127.0.0.1:9".parse().unwrap();
    let peers = Peers::start(listen, vec![unknown, there], Some(there), &door, 128 << 10).unwrap();
    let longest: Vec<u8> = (0..=255).collect();
    other.send_to(&[0; 257], listen).unwrap();
    other.send_to(&longest, listen).unwrap();
    match told.recv_deadline(Some(Instant::now() + Duration::from_secs(5))) {
        Ok(Note::Peer { from, data }) => assert_eq!((from, &data), (1, &longest)),
        _ => panic!("no datagram came"),
    }
    let mut space = [0; 512];
    peers.tell(Some(1), &[1; 257]);
    for to in [Some(1), None] {
        peers.tell(to, &longest);
        let (size, _) = other.recv_from(&mut space).unwrap();
        assert_eq!(space[..size], longest);
    }
}

#[test]
fn each_key_of_the_configuration() {
    let config = Config::read(CONFIGURATION).unwrap();
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
    assert_eq!(config.peers_all, Some(address("127.0.0.1:7007")));
    assert_eq!(
        (config.seed, config.memory_mb, config.sockets),
        (0x5eed, 256, 2048)
    );
    assert_eq!(
        (config.connect_wait, config.keepalive),
        (Duration::from_millis(125), Duration::from_secs(20))
    );
    let (groups, plans) = ([("look", 0), ("pay", 1)], [("free", 0), ("team", 1)]);
    assert_eq!(
        config.groups,
        groups.map(|(name, at)| (name.to_string(), at)).into()
    );
    assert_eq!(
        config.plans,
        plans.map(|(name, at)| (name.to_string(), at)).into()
    );
    assert_eq!(
        (config.names.zones, config.names.kinds),
        (vec!["a".into(), "b".into()], vec!["m2".into()])
    );
    assert_eq!(
        (
            config.known.version,
            config.known.whole,
            config.known.entries.len()
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
fn keys_that_are_left_out() {
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
    let config = Config::read(&text.to_string()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.memory_mb, config.sockets),
        ("limiter", 192, 1024)
    );
    assert_eq!(
        (config.peer_listen, config.peers.len(), config.peers_all),
        (None, 0, None)
    );
    assert_eq!(
        (config.connect_wait, config.keepalive),
        (Duration::from_millis(250), Duration::from_secs(30))
    );
    assert_eq!(
        (
            config.known.version,
            config.known.whole,
            config.known.entries.len()
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

/// The sub-commands, the option and the variable that operators and deployments use.
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
