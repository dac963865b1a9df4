//! Stand-ins for everything a limiter talks to, on loopback, and a limiter among them.

use aspendrum::config::Config;
use aspendrum::Limiter;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What a stand-in server does with a query.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Does {
    Answers(&'static str),
    /// Answers, then closes the connection.
    AnswersAndCloses(&'static str),
    /// Ends the connection with the query read.
    Cuts,
    /// Answers nothing and keeps the connection.
    Hangs,
    /// Answers after that many milliseconds.
    Waits(u64, &'static str),
    /// Answers, and that long after sends more that belongs to nobody.
    Trails(&'static str, u64, &'static str),
}

pub(crate) const MALFORMED: Does =
    Does::Answers("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
pub(crate) const WELL: Does = Does::Answers("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
pub(crate) const FULL: Does =
    Does::Answers("HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");

#[derive(Default)]
pub(crate) struct Seen {
    pub connections: AtomicUsize,
    pub queries: AtomicUsize,
    /// Connections that the other side ended.
    pub ended: AtomicUsize,
}

/// Accepts for ever, each connection on a thread of its own.
pub(crate) fn listen(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
    addr
}

/// One HTTP message, head and body. None: the connection has ended.
pub(crate) fn message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    let mut space = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(rest).to_string();
        if let Some(at) = text.find("\r\n\r\n") {
            let head = text[..at].to_ascii_lowercase();
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|t| t.split("\r\n").next());
            let size = at + 4 + length.map_or(0, |n| n.parse().unwrap());
            if rest.len() >= size {
                rest.drain(..size);
                return Some(text[..size].to_string());
            }
        }
        match stream.read(&mut space) {
            Ok(n) if n > 0 => rest.extend_from_slice(&space[..n]),
            _ => return None,
        }
    }
}

pub(crate) fn server(does: Does) -> (SocketAddr, Arc<Seen>) {
    let seen = Arc::new(Seen::default());
    let own = seen.clone();
    let addr = listen(move |mut stream| {
        own.connections.fetch_add(1, Ordering::SeqCst);
        let mut rest = Vec::new();
        while let Some(call) = message(&mut stream, &mut rest) {
            own.queries
                .fetch_add(usize::from(call.contains("X-Txn")), Ordering::SeqCst);
            if let Does::Trails(answer, wait, more) = does {
                let _ = stream.write_all(answer.as_bytes());
                thread::sleep(Duration::from_millis(wait));
                let _ = stream.write_all(more.as_bytes());
                continue;
            }
            let answer = match does {
                Does::Answers(text) | Does::AnswersAndCloses(text) => text,
                Does::Cuts => return,
                Does::Hangs | Does::Trails(..) => "",
                Does::Waits(ms, text) => {
                    thread::sleep(Duration::from_millis(ms));
                    text
                }
            };
            let _ = stream.write_all(answer.as_bytes());
            if matches!(does, Does::AnswersAndCloses(_)) {
                return;
            }
        }
        own.ended.fetch_add(1, Ordering::SeqCst);
    });
    (addr, seen)
}

/// A counter of one number that answers each call with `reply`, or adds if there is none.
pub(crate) fn counter(reply: Option<&'static str>) -> SocketAddr {
    listen(move |mut stream| {
        let (mut rest, mut total, mut space) = (Vec::new(), 0.0, [0; 4096]);
        while let Ok(n) = stream.read(&mut space) {
            if n == 0 {
                return;
            }
            rest.extend_from_slice(&space[..n]);
            let text = String::from_utf8_lossy(&rest).to_string();
            let calls: Vec<&str> = text.split_inclusive("\r\n").collect();
            for call in calls.chunks_exact(9) {
                total += call[6].trim().parse::<f64>().unwrap();
                let size = total.to_string().len();
                let told = reply.map_or(format!("${size}\r\n{total}\r\n"), str::to_string);
                let _ = stream.write_all(told.as_bytes());
            }
            let used: usize = calls.chunks_exact(9).flatten().map(|line| line.len()).sum();
            rest.drain(..used);
        }
    })
}

pub(crate) fn hosts(servers: &[SocketAddr]) -> Value {
    let host = |(i, dial): (usize, &SocketAddr)| {
        json!({"host": format!("s-{i}"), "dial": dial.to_string(), "site": "a", "class": "m2", "block": i,
               "health": "in_service", "share": 1.0, "born_ms": 0})
    };
    servers.iter().enumerate().map(host).collect()
}

/// Discovery that answers the whole list with `text`, and no watch.
pub(crate) fn discovery(text: String) -> SocketAddr {
    listen(move |mut stream| {
        let mut rest = Vec::new();
        while let Some(call) = message(&mut stream, &mut rest) {
            if call.contains("from=") {
                thread::sleep(Duration::from_secs(5));
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes());
        }
    })
}

/// Three endpoint groups, one of each kind, and one plan with room for all.
pub(crate) fn settings() -> Value {
    let group = |name, semantics| {
        json!({"AimS": 0.4, "Credit": 1.0, "Group": "all", "HardLimitS": 2.0, "Name": name,
               "RepeatWindowS": 5.0, "Semantics": semantics, "Stream": false})
    };
    json!({
        "Discovery": "push", "Feedback": {"Names": ["cpu_share"], "Via": "inline"}, "Instances": 1, "Me": 0,
        "Invariants": {"DrainGraceS": 2.0, "FallMultiple": 3.0, "FallS": 3.0, "GraceToAnswerS": 0.016,
                       "RampTimeS": 18.0, "StartCapacity": 0.16},
        "Kinds": ["m2"], "Zones": ["a"], "Zone": 0, "TickS": 0.004,
        "Limits": {"Cancelling": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MayTell": false,
                   "Probes": true, "RetryAfter": false, "SecondCopies": false, "SendCap": 3},
        "Profiles": [group("look", "retryable"), group("book", "dedup"), group("pay", "fragile")],
        "Specifics": {"CostAfter": false, "CountWaitS": 0.03, "Counter": true, "UnitsTop": 1},
        "TiersOfService": [{"Concurrency": 0, "Depth": 1000.0, "Name": "team", "NeverOverDepth": 0.0,
                            "NeverOverRate": 0.0, "CapSlack": 0.0, "PerSecond": 1000.0, "WorthFactor": 1.0}],
    })
}

pub(crate) fn config(servers: &[SocketAddr], counter: SocketAddr, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "5", "counter": counter.to_string(),
        "discovery": discovery.to_string(), "limits": {"memory_mb": 192, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": hosts(servers)}, "settings": settings(),
    })
}

/// A limiter before these servers, with a counter and a discovery that work.
pub(crate) fn limiter(servers: &[SocketAddr]) -> Limiter {
    let list = json!({"seq": 2, "whole": true, "hosts": hosts(servers)}).to_string();
    start(&config(servers, counter(None), discovery(list)))
}

pub(crate) fn start(config: &Value) -> Limiter {
    Limiter::start(Config::read(&config.to_string()).unwrap()).unwrap()
}

/// Each query has a name of its own, as clients give them.
pub(crate) fn query(lane: &str) -> String {
    static NAMES: AtomicUsize = AtomicUsize::new(0);
    let txn = NAMES.fetch_add(1, Ordering::SeqCst);
    let (method, more) = if lane == "look" {
        ("GET", "")
    } else {
        ("POST", "Content-Length: 2\r\n")
    };
    let body = if lane == "look" { "" } else { "hi" };
    format!(
        "{method} /{lane} HTTP/1.1\r\nHost: x\r\nX-Txn: 9b1f{txn:012x}\r\nX-Lane: {lane}\r\nX-Plan: team\r\n\
         Cookie: client=00000000b4d65521\r\nX-Remaining: 900m\r\nIdempotency-Key: k\r\n{more}\
         X-Quota: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

pub(crate) fn connect(limiter: &Limiter) -> TcpStream {
    let stream = TcpStream::connect(limiter.addr()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// Sends that and reads one answer.
pub(crate) fn ask(stream: &mut TcpStream, text: &str) -> String {
    let _ = stream.write_all(text.as_bytes());
    message(stream, &mut Vec::new()).unwrap_or_default()
}

pub(crate) fn status(answer: &str) -> u16 {
    answer
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// Waits a little for what another thread is about to do.
pub(crate) fn soon(what: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !what() && begun.elapsed() < Duration::from_secs(2) {
        thread::sleep(Duration::from_millis(5));
    }
    what()
}
