//! HTTP/1.1 as the protocol page words it: queries in, forwards out, answers both ways. Header names stay
//! here.

use crate::limits::{Limits, HEADERS};
use crate::Shop;
use aspendrum_core::api::{LoadReport, LoadValue, Millis, Outcome, Semantics};
use aspendrum_core::settings::MILLIS_PER_SECOND;
use aspendrum_net::connection::Connection;
pub use aspendrum_net::http1::Parsed;
use aspendrum_net::http1::{
    body_length, header, parse_chunked, raw_header, wants_close, BodyLength,
};
use aspendrum_net::ring_buffer::RingBuffer;
use std::collections::HashMap;
use std::io::Write;
use std::time::Instant;

const TXN: &str = "X-Txn";
const LANE: &str = "X-Lane";
const PLAN: &str = "X-Plan";
const REMAINING: &str = "X-Remaining";
const RESENT: &str = "X-Resent";
const QUOTA: &str = "X-Quota";
const KEY: &str = "Idempotency-Key";
const PRESSURE: &str = "X-Pressure";
/// The units that a query took in the end, where the deployment settles them behind the answer.
const CHARGED: &str = "X-Units-Charged";
const TURNED_AWAY: &str = "X-Turned-Away";
const CUSTOMER: &str = "client";
/// Whom servers are addressed as.
const SERVICE: &str = "origin.svc";
const READY: &str = "/health/ready";
pub const LIVE: &str = "/health/live";
pub const STATS: &str = "/stats";
/// Customers are numbers below this, written with this many digits.
const CUSTOMERS: u64 = 1 << 33;
const CUSTOMER_DIGITS: usize = 16;
const LONGEST_WAIT: Millis = 3_600_000.0;
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Headers that decide. One that comes twice may be read one way here and another way behind us.
const ONCE: [&str; 9] = [
    TXN, LANE, PLAN, REMAINING, RESENT, QUOTA, KEY, "Cookie", "Host",
];
/// Headers that belong to one hop, and those this hop writes itself.
const OWN_HOP: [&str; 12] = [
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "proxy-connection",
    "proxy-authorization",
    "proxy-authenticate",
    "content-length",
    "x-remaining",
];

/// A query as a client asked it.
pub struct Asked {
    pub group: u16,
    pub plan: u32,
    pub acct: u64,
    pub wait: Millis,
    pub units: f32,
    pub spread: f32,
    pub first: f32,
    pub client_repeat: bool,
    pub write: bool,
    /// The client wants the connection closed behind the answer.
    pub close: bool,
    /// The name that its client gave it.
    pub txn: Vec<u8>,
    /// The head of each forward, but for the time left and the length.
    head: Vec<u8>,
    body: Vec<u8>,
}

pub enum Call {
    Ready { close: bool },
    Query(Box<Asked>),
}

/// What the codec needs to know of the settings.
pub struct Lanes {
    pub groups: HashMap<String, u16>,
    pub plans: HashMap<String, u32>,
    pub semantics: Vec<Semantics>,
    /// How many limiters there are, and the most units that one query takes.
    pub instances: f64,
    pub units_top: f64,
    pub load_values: Vec<LoadValue>,
}

/// Takes one call off the ring once it is whole.
pub fn call(ring: &mut RingBuffer, lanes: &Lanes, limits: &Limits) -> Parsed<Call> {
    let mut space = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut space);
    let bytes = ring.contiguous();
    let at = match head.parse(bytes) {
        Ok(httparse::Status::Complete(at)) if at <= limits.head => at,
        Ok(httparse::Status::Partial) if bytes.len() < limits.head => return Parsed::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Invalid(431),
        Err(_) => return Parsed::Invalid(400),
    };
    let length = match body_length(head.headers) {
        Ok(BodyLength::Known(n)) if n > limits.body => return Parsed::Invalid(413),
        Ok(BodyLength::Known(n)) => n,
        Ok(BodyLength::Chunked) => return Parsed::Invalid(411),
        Ok(BodyLength::Unknown) => 0,
        Err(_) => return Parsed::Invalid(400),
    };
    if bytes.len() < at + length {
        return Parsed::Incomplete;
    }
    let parsed = match (head.method, head.path) {
        (Some("GET"), Some(READY)) => Ok(Call::Ready {
            close: wants_close(head.headers, head.version),
        }),
        (Some(method), Some(_)) if !METHODS.contains(&method) => Err(405),
        (Some(_), Some(_)) => {
            let query = asked(&head, &bytes[at..at + length], lanes);
            query.map(|q| Call::Query(Box::new(q))).ok_or(400)
        }
        _ => Err(400),
    };
    ring.consume(at + length);
    parsed.map_or_else(Parsed::Invalid, Parsed::Complete)
}

/// Whatever is out of order is refused here, before the module hears of it: it may come in the name of a
/// customer who has nothing to do with it, and must move none of what is known of that one.
fn asked(head: &httparse::Request<'_, '_>, body: &[u8], lanes: &Lanes) -> Option<Asked> {
    let (method, path, headers) = (head.method?, head.path?, &*head.headers);
    let twice = |name: &&str| {
        headers
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name))
            .count()
            > 1
    };
    if ONCE.iter().any(twice) {
        return None;
    }
    let lane = header(headers, LANE)?;
    let group = *lanes.groups.get(lane)?;
    let plan = *lanes.plans.get(header(headers, PLAN)?)?;
    let semantics = *lanes.semantics.get(usize::from(group))?;
    let txn = raw_header(headers, TXN).filter(|id| !id.trim_ascii().is_empty())?;
    // The group fixes the path's first part and the method; sent on with another, a query that may run only
    // once could pass for one that may be repeated. Without its key nothing would drop a keyed one's repeat.
    let fits = match semantics {
        Semantics::Idempotent => method == "GET" && body.is_empty(),
        Semantics::Deduplicated => {
            method == "POST" && header(headers, KEY).is_some_and(|key| !key.is_empty())
        }
        Semantics::NonIdempotent => method != "GET",
    };
    if !fits || path.strip_prefix('/')?.split(['/', '?']).next() != Some(lane) {
        return None;
    }
    let mut quota = [None; 3];
    for pair in header(headers, QUOTA)?.split(',') {
        let (name, value) = pair.trim().split_once('=')?;
        let place = ["units", "spread", "first"]
            .iter()
            .position(|known| *known == name);
        if let Some(place) = place {
            if quota[place].replace(number(value)?).is_some() {
                return None;
            }
        }
    }
    let [units, spread, first] = [quota[0]?, quota[1]?, quota[2]?];
    let set = spread >= 1.0 && spread <= lanes.instances && first < lanes.instances;
    if !set
        || spread.fract() != 0.0
        || first.fract() != 0.0
        || units <= 0.0
        || units > lanes.units_top
    {
        return None;
    }
    let mut out = Vec::with_capacity(512);
    write!(out, "{method} {path} HTTP/1.1\r\n").ok()?;
    for h in headers
        .iter()
        .filter(|h| !OWN_HOP.iter().any(|own| own.eq_ignore_ascii_case(h.name)))
    {
        out.extend_from_slice(h.name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(h.value);
        out.extend_from_slice(b"\r\n");
    }
    Some(Asked {
        group,
        plan,
        acct: customer(headers)?,
        wait: remaining(header(headers, REMAINING)?)?,
        units: units as f32,
        spread: spread as f32,
        first: first as f32,
        client_repeat: header(headers, RESENT) == Some("1"),
        write: method != "GET",
        close: wants_close(headers, head.version),
        txn: txn.to_vec(),
        head: out,
        body: body.to_vec(),
    })
}

impl Asked {
    /// Writes a forward that waits that long.
    pub fn forward(&self, wait: Millis, out: &mut RingBuffer) -> bool {
        let (us, body) = ((wait * 1000.0).max(1.0) as u64, self.body.len());
        out.append(&self.head)
            && write!(out, "{REMAINING}: {us}u\r\n").is_ok()
            && (body == 0 && !self.write || write!(out, "Content-Length: {body}\r\n").is_ok())
            && out.append(b"\r\n")
            && out.append(&self.body)
    }
}

/// A server's whole answer to a forward or a probe.
pub struct Answer {
    pub status: u16,
    pub turned_away: bool,
    pub close: bool,
    pub charged: Option<f32>,
    pub load: LoadReport,
    pub content_type: Vec<u8>,
    pub body: Vec<u8>,
}

/// Reads one whole answer from a server, or from discovery.
pub fn receive(conn: &mut Connection, until: Instant, shop: &Shop) -> Result<Answer, Outcome> {
    conn.receive(until, shop.pool.connection_options(), |ring| {
        answer(ring, &shop.lanes, &shop.limits)
    })
}

/// Takes one answer off the ring once it is whole. An answer that only the end of the connection delimits
/// cannot be told from one that was cut off, so it is never whole.
pub fn answer(ring: &mut RingBuffer, lanes: &Lanes, limits: &Limits) -> Parsed<Answer> {
    loop {
        let mut space = [httparse::EMPTY_HEADER; HEADERS];
        let mut head = httparse::Response::new(&mut space);
        let bytes = ring.contiguous();
        let at = match head.parse(bytes) {
            Ok(httparse::Status::Complete(at)) if at <= limits.head => at,
            Ok(httparse::Status::Partial) if bytes.len() < limits.head => {
                return Parsed::Incomplete
            }
            _ => return Parsed::Invalid(502),
        };
        let status = head.code.unwrap_or(0);
        // Nobody asked for another protocol; what follows then is not to be read as HTTP.
        if status == 101 {
            return Parsed::Invalid(502);
        }
        if (100..200).contains(&status) {
            ring.consume(at);
            continue;
        }
        let (taken, body) = match body_length(head.headers) {
            _ if status == 204 || status == 304 => (at, Vec::new()),
            Ok(BodyLength::Known(n)) if n > limits.body => return Parsed::Invalid(502),
            Ok(BodyLength::Known(n)) if bytes.len() < at + n => return Parsed::Incomplete,
            Ok(BodyLength::Known(n)) => (at + n, bytes[at..at + n].to_vec()),
            Ok(BodyLength::Chunked) => match parse_chunked(&bytes[at..], limits.body) {
                Parsed::Complete(body) => (at + body.end, body.content),
                Parsed::Incomplete => return Parsed::Incomplete,
                Parsed::Invalid(status) => return Parsed::Invalid(status),
            },
            _ => return Parsed::Invalid(502),
        };
        let told = header(head.headers, PRESSURE).unwrap_or("");
        let answer = Answer {
            status,
            turned_away: header(head.headers, TURNED_AWAY) == Some("1"),
            close: wants_close(head.headers, head.version),
            // A figure that cannot be read, or cannot be, costs itself and not the answer.
            charged: header(head.headers, CHARGED)
                .and_then(number)
                .filter(|n| *n <= lanes.units_top)
                .map(|n| n as f32),
            load: load(told, &lanes.load_values),
            content_type: raw_header(head.headers, "Content-Type")
                .map_or(Vec::new(), <[u8]>::to_vec),
            body,
        };
        ring.consume(taken);
        return Parsed::Complete(answer);
    }
}

/// A load report in a probe's body.
pub fn load_of_body(body: &[u8], values: &[LoadValue]) -> LoadReport {
    load(std::str::from_utf8(body).unwrap_or(""), values)
}

fn load(text: &str, values: &[LoadValue]) -> LoadReport {
    let mut load = LoadReport::default();
    let text = text.trim().trim_start_matches("TEXT").trim_start();
    for (slot, value) in values.iter().enumerate().take(load.values.len()) {
        let told = text
            .split([',', '\n'])
            .filter_map(|pair| pair.trim().split_once('='));
        let found = told
            .filter(|(name, _)| load_value(name) == *value)
            .find_map(|(_, v)| number(v));
        // One value that cannot be read does not cost the others.
        load.values[slot] = found.map_or(f32::NAN, |n| n as f32);
        load.count = slot as u8 + 1;
    }
    if load
        .values
        .iter()
        .take(usize::from(load.count))
        .all(|v| v.is_nan())
    {
        return LoadReport::default();
    }
    load
}

/// Servers name the values as the deployment does, settings as the simulator's wire does.
fn load_value(name: &str) -> LoadValue {
    match name.trim() {
        "inflight" | "busy_reqs" => LoadValue::RequestsInFlight,
        "queue" | "pending" => LoadValue::RequestsQueued,
        "util" | "cpu_share" => LoadValue::CpuUtilization,
        "latency_ms" | "svc_ms" => LoadValue::ServiceTimeMs,
        "qps" | "served_ps" => LoadValue::ResponsesPerSecond,
        "eps" | "failed_ps" => LoadValue::FailuresPerSecond,
        _ => LoadValue::Unknown,
    }
}

/// A whole answer of the limiter.
pub fn reply(
    out: &mut RingBuffer,
    status: u16,
    advice: Millis,
    close: bool,
    content_type: &[u8],
    body: &[u8],
) -> bool {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Bad Gateway",
    };
    write!(
        out,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    )
    .is_ok()
        && (advice <= 0.0
            || write!(out, "Retry-After: {:.3}\r\n", advice / MILLIS_PER_SECOND).is_ok())
        && (!close || out.append(b"Connection: close\r\n"))
        && (content_type.is_empty()
            || out.append(b"Content-Type: ") && out.append(content_type) && out.append(b"\r\n"))
        && out.append(b"\r\n")
        && out.append(body)
}

/// A probe, or any other call without a body.
pub fn get(out: &mut RingBuffer, path: &str) -> bool {
    write!(out, "GET {path} HTTP/1.1\r\nHost: {SERVICE}\r\n\r\n").is_ok()
}

fn customer(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let cookies = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("cookie"));
    let mut pairs = cookies
        .filter_map(|h| std::str::from_utf8(h.value).ok())
        .flat_map(|v| v.split(';'));
    let mut values = pairs
        .by_ref()
        .filter_map(|p| p.trim().strip_prefix(CUSTOMER)?.strip_prefix('='));
    let value = values
        .next()
        .filter(|v| v.len() == CUSTOMER_DIGITS && !v.starts_with('+'))?;
    // Two customers, and the servers may take the other one.
    if values.next().is_some() {
        return None;
    }
    u64::from_str_radix(value, 16)
        .ok()
        .filter(|n| *n < CUSTOMERS)
}

/// A number and its unit, in milliseconds.
fn remaining(text: &str) -> Option<Millis> {
    let ms = match text.as_bytes().last()? {
        b'm' => number(&text[..text.len() - 1])?,
        b'u' => number(&text[..text.len() - 1])? / 1000.0,
        _ => return None,
    };
    Some(ms).filter(|ms| *ms > 0.0 && *ms <= LONGEST_WAIT)
}

fn number(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}
