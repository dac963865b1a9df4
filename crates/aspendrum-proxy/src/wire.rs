//! The proxy's HTTP headers, and the messages built of them. No header's name stands in any other module.

use aspendrum_core::api::{LoadReport, Millis};
use aspendrum_net::http1::{
    encode_response, has_header, is_hop_by_hop, reason_phrase, single_header, MessageLimits,
    Request, Response,
};
use std::io::Write;

const TRY_ID: &str = "Try-Id";
const BUDGET_MS: &str = "Budget-Ms";
const CREDENTIAL: &str = "Credential";
const TENANT: &str = "Tenant";
const WANT_SERVER: &str = "Want-Server";
const SEAL: &str = "Seal";
const NOT_RUN: &str = "Not-Run";
const SERVER_ID: &str = "Server-Id";
const SERVER_LOAD: &str = "Server-Load";
const WARM_MS: &str = "Warm-Ms";
const HOST: &str = "Host";
const RETRY_AFTER: &str = "Retry-After";
const KEEP_ALIVE: &str = "Keep-Alive";
const CONTENT_ENCODING: &str = "Content-Encoding";
/// Headers of a client's request that servers do not get: the proxy writes its own, or they are none of the servers'
/// business.
const NOT_FORWARDED: [&str; 4] = [BUDGET_MS, CREDENTIAL, TENANT, WANT_SERVER];
/// Headers of a server's answer that clients do not get.
const NOT_RETURNED: [&str; 3] = [SERVER_LOAD, WARM_MS, SERVER_ID];
/// The most bytes of a server's answer: they are as large as the service makes them.
pub(crate) const RESPONSE_BOUNDS: MessageLimits = MessageLimits {
    head_bytes: 32 << 10,
    body_bytes: 64 << 20,
};
/// Room for a head beside the body.
const REQUEST_HEAD_ROOM: usize = 512;
const RESPONSE_HEAD_ROOM: usize = 256;

/// The headers of a request by which it is decided.
pub struct RequestHead<'r> {
    /// `Host`, perhaps with a port.
    pub host: &'r str,
    /// `Try-Id`: identifies this attempt of the client's.
    pub try_id: &'r str,
    /// `Budget-Ms`: how long the client waits, in milliseconds.
    pub budget: Option<Millis>,
    /// `Credential`: the key by which its tenant is found.
    pub credential: Option<&'r str>,
}

impl RequestHead<'_> {
    /// `None`: a header that decides is missing, comes twice or cannot be read.
    pub fn parse(request: &Request) -> Option<RequestHead<'_>> {
        let headers = &request.headers;
        let at_most_once = |name| {
            if has_header(headers, name) {
                single_header(headers, name).map(Some)
            } else {
                Some(None)
            }
        };
        let budget = match at_most_once(BUDGET_MS)? {
            Some(text) => Some(parse_milliseconds(text)?),
            None => None,
        };
        let try_id = single_header(headers, TRY_ID).filter(|try_id| !try_id.is_empty())?;
        let host = single_header(headers, HOST)?;
        Some(RequestHead {
            host,
            try_id,
            budget,
            credential: at_most_once(CREDENTIAL)?,
        })
    }
}

/// A finite number of milliseconds that is not negative.
fn parse_milliseconds(text: &str) -> Option<Millis> {
    text.parse::<f64>()
        .ok()
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
}

/// The bytes of a request as a server gets it. `budget_ms`: what is left of the client's.
pub fn encode_forward(
    request: &Request,
    server: &str,
    tenant: Option<&str>,
    budget_ms: u64,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(REQUEST_HEAD_ROOM + request.body.len());
    // Writing to memory does not fail.
    let _ = write!(out, "{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        let is_dropped = NOT_FORWARDED
            .iter()
            .any(|dropped| dropped.eq_ignore_ascii_case(name));
        if !is_dropped && !is_hop_by_hop(&request.headers, name) {
            put_header(&mut out, name, value);
        }
    }
    let _ = write!(
        out,
        "{BUDGET_MS}: {budget_ms}\r\n{WANT_SERVER}: {server}\r\n"
    );
    if let Some(tenant) = tenant {
        let _ = write!(out, "{TENANT}: {tenant}\r\n");
    }
    // A length where the client sent a body, or where its method implies one.
    let implies_body = !matches!(
        request.method.as_str(),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    if !request.body.is_empty() || implies_body {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    let _ = write!(out, "{name}: ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// The bytes of a health check.
pub fn encode_health_check(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// What a server's answer says of the request's execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseClass {
    /// It goes to the client.
    Final,
    /// The server is full, or the time was over: it says that nothing ran.
    NotRun,
    /// Another server has the address; nothing ran.
    Misdirected,
    /// The server failed, and the request may have run.
    Failed,
    /// These bytes are no valid answer to the request, which may have run.
    Invalid,
}

impl ResponseClass {
    /// By the answer's status and headers.
    pub fn of(response: &Response) -> ResponseClass {
        let not_run = has_header(&response.headers, NOT_RUN);
        let is_sealed = || {
            has_header(&response.headers, SEAL) && !has_header(&response.headers, CONTENT_ENCODING)
        };
        match response.status {
            421 => ResponseClass::Misdirected,
            400 if not_run => ResponseClass::Final,
            _ if not_run => ResponseClass::NotRun,
            200..=299 if is_sealed() => ResponseClass::Final,
            200..=299 => ResponseClass::Invalid,
            500..=599 | 408 | 429 => ResponseClass::Failed,
            _ => ResponseClass::Final,
        }
    }
}

/// Whether the answer names that request's `Try-Id`. An answer to an earlier request may come late, in its place.
pub fn answers(response: &Response, try_id: &str) -> bool {
    single_header(&response.headers, TRY_ID) == Some(try_id)
}

/// Whether the answer names no request at all: a server that rejects a request unread may not know it.
pub fn lacks_try_id(response: &Response) -> bool {
    !has_header(&response.headers, TRY_ID)
}

/// The name that the server gives itself.
pub fn server_id(response: &Response) -> Option<&str> {
    single_header(&response.headers, SERVER_ID)
}

/// The server's load: running and waiting requests as a share of its slots; no value if it cannot be read.
pub fn server_load(response: &Response) -> LoadReport {
    let share = || {
        let numbers = single_header(&response.headers, SERVER_LOAD)?.split(',');
        let mut numbers = numbers.map(|number| number.trim().parse::<f32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        Some((running + waiting) / slots).filter(|share| share.is_finite() && *share >= 0.0)
    };
    share().map_or(LoadReport::default(), |share| LoadReport {
        count: 1,
        values: [share, 0.0, 0.0, 0.0],
    })
}

/// How much of its slow start the server says is left, in milliseconds.
pub fn slow_start_left(response: &Response) -> Option<Millis> {
    parse_milliseconds(single_header(&response.headers, WARM_MS)?)
}

/// For how long the server keeps an idle connection, in seconds.
pub fn keep_alive_s(response: &Response) -> Option<f64> {
    let parameters = single_header(&response.headers, KEEP_ALIVE)?.split(',');
    let timeout = parameters
        .map(str::trim)
        .find_map(|parameter| parameter.strip_prefix("timeout="))?;
    timeout
        .trim()
        .parse::<f64>()
        .ok()
        .filter(|seconds| *seconds >= 0.0)
}

/// The bytes of a server's answer as the client gets it, under that status. `closes`: the connection ends behind it.
pub fn encode_forwarded(response: &Response, status: u16, closes: bool) -> Vec<u8> {
    let text = if status == response.status && !response.reason.is_empty() {
        response.reason.as_str()
    } else {
        reason_phrase(status)
    };
    let mut out = Vec::with_capacity(RESPONSE_HEAD_ROOM + response.body.len());
    let _ = write!(out, "HTTP/1.1 {status} {text}\r\n");
    for (name, value) in &response.headers {
        let is_dropped = NOT_RETURNED
            .iter()
            .any(|dropped| dropped.eq_ignore_ascii_case(name));
        if !is_dropped && !is_hop_by_hop(&response.headers, name) {
            put_header(&mut out, name, value);
        }
    }
    let _ = write!(out, "Content-Length: {}\r\n", response.body.len());
    out.extend_from_slice(if closes {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
    out.extend_from_slice(&response.body);
    out
}

/// The bytes of an answer that the proxy itself gives. `retry_after`: when the client may come again, in milliseconds.
pub fn encode_generated(
    status: u16,
    try_id: &str,
    retry_after: Option<Millis>,
    closes: bool,
) -> Vec<u8> {
    let retry_after = retry_after.map(|ms| format!("{:.3}", ms.max(1.0) / 1000.0));
    let mut headers: Vec<(&str, &str)> = Vec::new();
    if !try_id.is_empty() {
        headers.push((TRY_ID, try_id));
    }
    if let Some(retry_after) = &retry_after {
        headers.push((RETRY_AFTER, retry_after));
    }
    encode_response(status, &headers, closes, b"")
}
