//! The proxy's HTTP headers, and the encoding of its messages. No other module contains header names.

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
/// Request headers that are not forwarded to servers: the proxy writes its own values, or servers do not need them.
const NOT_FORWARDED: [&str; 4] = [BUDGET_MS, CREDENTIAL, TENANT, WANT_SERVER];
/// Response headers that are not returned to clients.
const NOT_RETURNED: [&str; 3] = [SERVER_LOAD, WARM_MS, SERVER_ID];
/// The size limits of server responses, which are as large as the service makes them. The memory for a response is
/// limited by the budget of the process.
pub(crate) const RESPONSE_LIMITS: MessageLimits = MessageLimits {
    head_bytes: 32 << 10,
    body_bytes: 64 << 20,
};
/// The initial buffer capacity for a message head, in bytes.
const REQUEST_HEAD_CAPACITY: usize = 512;
const RESPONSE_HEAD_CAPACITY: usize = 256;

/// The request headers that determine how a request is handled.
pub struct RequestHead<'r> {
    /// `Host`, with an optional port.
    pub host: &'r str,
    /// `Try-Id`, which identifies the client's attempt.
    pub try_id: &'r str,
    /// `Budget-Ms`, the time that the client waits, in milliseconds.
    pub budget: Option<Millis>,
    /// `Credential`, the key that identifies the tenant.
    pub credential: Option<&'r str>,
}

impl RequestHead<'_> {
    /// Parses the headers. Returns `None` if a required header is missing, or if one is repeated or invalid.
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

/// Parses a finite, non-negative number of milliseconds.
fn parse_milliseconds(text: &str) -> Option<Millis> {
    text.parse::<f64>()
        .ok()
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
}

/// Bodies up to this size are copied behind their head, so that both are sent with one write.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

/// Returns the body of a message if it is sent directly instead of being copied behind the encoded head.
pub(crate) fn separate_body(body: &[u8]) -> Option<&[u8]> {
    (body.len() > MAX_COPIED_BODY_BYTES).then_some(body)
}

/// Returns how many bytes of the body are copied behind the encoded head.
fn copied_bytes(body: &[u8]) -> usize {
    if separate_body(body).is_none() {
        body.len()
    } else {
        0
    }
}

/// Appends the body to an encoded head unless it is sent separately.
fn put_body(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(&body[..copied_bytes(body)]);
}

/// Encodes a request for a server, without a body that is sent separately. `budget_ms` is the remaining time budget of
/// the client.
pub fn encode_forward(
    request: &Request,
    server: &str,
    tenant: Option<&str>,
    budget_ms: u64,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(REQUEST_HEAD_CAPACITY + copied_bytes(&request.body));
    // Writing to a `Vec` does not fail.
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
    // A length is needed if there is a body, or if the method implies one.
    let implies_body = !matches!(
        request.method.as_str(),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    if !request.body.is_empty() || implies_body {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
    put_body(&mut out, &request.body);
    out
}

fn put_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    let _ = write!(out, "{name}: ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Encodes a health check request.
pub fn encode_health_check(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// What a server's response implies about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseClass {
    /// The response is final and goes to the client.
    Final,
    /// The request did not run, because the server was full or the time was over.
    NotRun,
    /// The address belongs to another server; the request did not run.
    Misdirected,
    /// The server failed, and the request may have run.
    Failed,
    /// The response is invalid, and the request may have run.
    Invalid,
}

impl ResponseClass {
    /// Classifies a response by its status and headers.
    pub fn from_response(response: &Response) -> ResponseClass {
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

/// Whether the response has the request's `Try-Id`. A late response to an earlier request may arrive in its place.
pub fn is_response_to(response: &Response, try_id: &str) -> bool {
    single_header(&response.headers, TRY_ID) == Some(try_id)
}

/// Whether the response has no `Try-Id`: a server that rejects a request before reading it may not know the id.
pub fn lacks_try_id(response: &Response) -> bool {
    !has_header(&response.headers, TRY_ID)
}

/// Returns the server's own id.
pub fn server_id(response: &Response) -> Option<&str> {
    single_header(&response.headers, SERVER_ID)
}

/// Returns the server's load, which is the number of running and waiting requests per slot. The report is empty
/// if the header is missing or invalid.
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

/// Returns the remaining slow start reported by the server, in milliseconds.
pub fn slow_start_left(response: &Response) -> Option<Millis> {
    parse_milliseconds(single_header(&response.headers, WARM_MS)?)
}

/// Returns how long the server keeps an idle connection open, in seconds.
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

/// Encodes a server's response for the client with the given status, without a body that is sent separately. `closes`
/// announces the end of the connection.
pub fn encode_forwarded(response: &Response, status: u16, closes: bool) -> Vec<u8> {
    let text = if status == response.status && !response.reason.is_empty() {
        response.reason.as_str()
    } else {
        reason_phrase(status)
    };
    let mut out = Vec::with_capacity(RESPONSE_HEAD_CAPACITY + copied_bytes(&response.body));
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
    put_body(&mut out, &response.body);
    out
}

/// Encodes a response generated by the proxy. `retry_after` is the delay after which the client may retry, in
/// milliseconds.
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
