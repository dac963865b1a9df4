//! The names on the wire between clients, proxies and servers, and the messages built of them. No header's
//! name stands anywhere else.

use aspendrum_core::api::LoadReport;
use aspendrum_net::http1::{
    encode_response, has_header, is_hop_by_hop, reason_phrase, single_header, Request, Response,
};
use std::io::Write;

const TRY: &str = "Try-Id";
const BUDGET: &str = "Budget-Ms";
const KEY: &str = "Credential";
const TENANT: &str = "Tenant";
const WANT: &str = "Want-Server";
const SEAL: &str = "Seal";
const NOT_RUN: &str = "Not-Run";
const SERVER: &str = "Server-Id";
const LOAD: &str = "Server-Load";
const WARM: &str = "Warm-Ms";
const ENCODING: &str = "Content-Encoding";
/// What servers are not to see of a client's head: this hop writes its own, or it is none of their business.
const OURS: [&str; 4] = [BUDGET, KEY, TENANT, WANT];

/// What decides of a request's head.
pub struct Asked<'r> {
    pub host: &'r str,
    pub id: &'r str,
    /// What the client waits, in milliseconds; none if it does not say.
    pub budget: Option<f64>,
    pub key: Option<&'r str>,
}

/// None: a header that decides is missing, comes twice or cannot be read.
pub fn asked(request: &Request) -> Option<Asked<'_>> {
    let headers = &request.headers;
    let once = |name| {
        if has_header(headers, name) {
            single_header(headers, name).map(Some)
        } else {
            Some(None)
        }
    };
    let budget = match once(BUDGET)? {
        Some(text) => Some(
            text.parse::<f64>()
                .ok()
                .filter(|b| b.is_finite() && *b >= 0.0)?,
        ),
        None => None,
    };
    let id = single_header(headers, TRY).filter(|id| !id.is_empty())?;
    Some(Asked {
        host: single_header(headers, "Host")?,
        id,
        budget,
        key: once(KEY)?,
    })
}

/// A forward's bytes.
pub fn forward(request: &Request, server: &str, tenant: Option<&str>, budget_ms: u64) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + request.body.len());
    let _ = write!(out, "{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        let own = OURS.iter().any(|o| o.eq_ignore_ascii_case(name));
        if !own && !is_hop_by_hop(&request.headers, name) {
            let _ = write!(out, "{name}: ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let _ = write!(out, "{BUDGET}: {budget_ms}\r\n{WANT}: {server}\r\n");
    if let Some(tenant) = tenant {
        let _ = write!(out, "{TENANT}: {tenant}\r\n");
    }
    // A length where the client sent a body, or where its method means one.
    if !request.body.is_empty()
        || !matches!(
            request.method.as_str(),
            "GET" | "HEAD" | "DELETE" | "OPTIONS"
        )
    {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

/// A probe's bytes.
pub fn probe(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// How a server's answer is to be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It is the server's own last word.
    Final,
    /// The server is full or the time was over: it says that nothing ran.
    Full,
    /// Another server has the address; nothing ran.
    Misdirected,
    /// The server failed, and the request may have run.
    Failed,
    /// These bytes are no answer to this request.
    Spoilt,
}

/// Whether the answer is one to this try. Another's may come first, late.
pub fn answers(response: &Response, id: &str) -> bool {
    single_header(&response.headers, TRY) == Some(id)
}

/// Whether it names no try at all: a server that turns a request away unread may not know it.
pub fn nameless(response: &Response) -> bool {
    !has_header(&response.headers, TRY)
}

pub fn taken(response: &Response) -> Taken {
    let not_run = has_header(&response.headers, NOT_RUN);
    match response.status {
        421 => Taken::Misdirected,
        400 if not_run => Taken::Final,
        _ if not_run => Taken::Full,
        200..=299
            if has_header(&response.headers, SEAL) && !has_header(&response.headers, ENCODING) =>
        {
            Taken::Final
        }
        200..=299 => Taken::Spoilt,
        500..=599 | 408 | 429 => Taken::Failed,
        _ => Taken::Final,
    }
}

pub fn server(response: &Response) -> Option<&str> {
    single_header(&response.headers, SERVER)
}

/// Running, waiting and slots as a share of the slots; nothing if it cannot be read.
pub fn load(response: &Response) -> LoadReport {
    let read = || {
        let mut parts = single_header(&response.headers, LOAD)?
            .split(',')
            .map(|p| p.trim().parse::<f32>().ok());
        let (running, waiting, slots) = (parts.next()??, parts.next()??, parts.next()??);
        Some((running + waiting) / slots).filter(|l| l.is_finite() && *l >= 0.0)
    };
    read().map_or(LoadReport::default(), |share| LoadReport {
        count: 1,
        values: [share, 0.0, 0.0, 0.0],
    })
}

/// For how long the server is still cold.
pub fn warm_left(response: &Response) -> Option<f64> {
    single_header(&response.headers, WARM)?
        .parse::<f64>()
        .ok()
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
}

/// For how long the server keeps an idle connection, in seconds.
pub fn keeps_for(response: &Response) -> Option<f64> {
    let told = single_header(&response.headers, "Keep-Alive")?;
    let seconds = told
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<f64>().ok().filter(|s| *s >= 0.0)
}

/// The server's answer as the client gets it. `status`: the server's, or what a promise that it does not keep
/// is turned into.
pub fn reply(response: &Response, status: u16, close: bool) -> Vec<u8> {
    let text = if status == response.status && !response.reason.is_empty() {
        response.reason.as_str()
    } else {
        reason_phrase(status)
    };
    let mut out = Vec::with_capacity(256 + response.body.len());
    let _ = write!(out, "HTTP/1.1 {status} {text}\r\n");
    for (name, value) in &response.headers {
        let ours = [LOAD, WARM, SERVER]
            .iter()
            .any(|o| o.eq_ignore_ascii_case(name));
        if !ours && !is_hop_by_hop(&response.headers, name) {
            let _ = write!(out, "{name}: ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let _ = write!(out, "Content-Length: {}\r\n", response.body.len());
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
    out.extend_from_slice(&response.body);
    out
}

/// An answer of our own. `again_ms`: when the client may come again.
pub fn own(status: u16, id: &str, again_ms: Option<f64>, close: bool) -> Vec<u8> {
    let again = again_ms.map(|ms| format!("{:.3}", ms.max(1.0) / 1000.0));
    let mut headers: Vec<(&str, &str)> = Vec::new();
    if !id.is_empty() {
        headers.push((TRY, id));
    }
    if let Some(again) = &again {
        headers.push(("Retry-After", again));
    }
    encode_response(status, &headers, close, b"")
}
