//! What all our HTTP/1.1 codecs share: the framing of bodies, headers, and whole messages (RFC 9112).

use crate::ring_buffer::RingBuffer;

/// What stands in a buffer so far.
pub enum Parsed<T> {
    Incomplete,
    Complete(T),
    Invalid(u16),
}

/// How a body ends.
pub enum BodyLength {
    Known(usize),
    Chunked,
    Unknown,
}

/// A message whose framing is in doubt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FramingError;

/// Two lengths, or a length beside chunks, are the door to smuggled queries.
pub fn body_length(headers: &[httparse::Header<'_>]) -> Result<BodyLength, FramingError> {
    let mut found = BodyLength::Unknown;
    for h in headers {
        // Of the others none matters here: a good answer may bring a report that cannot be read.
        let known = h.name.eq_ignore_ascii_case("content-length");
        if !known && !h.name.eq_ignore_ascii_case("transfer-encoding") {
            continue;
        }
        let value = std::str::from_utf8(h.value)
            .map_err(|_| FramingError)?
            .trim();
        let next = if known {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            BodyLength::Known(if digits {
                value.parse().unwrap_or(usize::MAX)
            } else {
                return Err(FramingError);
            })
        } else if value.eq_ignore_ascii_case("chunked") {
            BodyLength::Chunked
        } else {
            return Err(FramingError);
        };
        match (&found, &next) {
            (BodyLength::Unknown, _) => found = next,
            (BodyLength::Known(a), BodyLength::Known(b)) if a == b => {}
            _ => return Err(FramingError),
        }
    }
    Ok(found)
}

pub fn parse_chunked(bytes: &[u8], most: usize) -> Parsed<(usize, Vec<u8>)> {
    let (mut at, mut body) = (0, Vec::new());
    loop {
        let (skip, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((skip, size))) => (skip, size),
            Ok(httparse::Status::Partial) if bytes.len() - at < 64 => return Parsed::Incomplete,
            _ => return Parsed::Invalid(502),
        };
        if size > (most - body.len()) as u64 {
            return Parsed::Invalid(502);
        }
        let (from, to) = (at + skip, at + skip + size as usize);
        if size == 0 {
            // Trailers are read over, up to the empty line.
            return match (
                bytes[from..].starts_with(b"\r\n"),
                find(&bytes[from..], b"\r\n\r\n"),
            ) {
                (true, _) => Parsed::Complete((from + 2, body)),
                (_, Some(end)) => Parsed::Complete((from + end + 4, body)),
                _ => Parsed::Incomplete,
            };
        }
        if bytes.len() < to + 2 {
            return Parsed::Incomplete;
        }
        if &bytes[to..to + 2] != b"\r\n" {
            return Parsed::Invalid(502);
        }
        body.extend_from_slice(&bytes[from..to]);
        at = to + 2;
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

pub fn raw_header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value)
}

pub fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    std::str::from_utf8(raw_header(headers, name)?)
        .ok()
        .map(str::trim)
}

pub fn wants_close(headers: &[httparse::Header<'_>], version: Option<u8>) -> bool {
    let told = header(headers, "Connection").unwrap_or("");
    let says = |word: &str| told.split(',').any(|t| t.trim().eq_ignore_ascii_case(word));
    says("close") || version == Some(0) && !says("keep-alive")
}

/// The most headers of one message.
const HEADERS: usize = 64;

/// The most bytes that a message's head and its body may have.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    pub head: usize,
    pub body: usize,
}

pub type Headers = Vec<(String, Vec<u8>)>;

/// A whole request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: String,
    /// The target as it came: a path with its query.
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The client wants the connection closed behind the answer.
    pub close: bool,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub reason: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The server closes the connection behind it.
    pub close: bool,
}

/// The one value of a header; none if it is absent, comes twice or is no text.
pub fn single_header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|h| h.0.eq_ignore_ascii_case(name));
    let value = found.next().filter(|_| found.next().is_none())?;
    std::str::from_utf8(&value.1).ok().map(str::trim)
}

pub fn has_header(headers: &Headers, name: &str) -> bool {
    headers.iter().any(|h| h.0.eq_ignore_ascii_case(name))
}

/// Headers that concern one connection only: these, and those that `Connection` names (RFC 9110, 7.6.1).
pub fn is_hop_by_hop(headers: &Headers, name: &str) -> bool {
    const ALWAYS: [&str; 9] = [
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "content-length",
        "expect",
    ];
    let named = |h: &(String, Vec<u8>)| {
        h.0.eq_ignore_ascii_case("connection")
            && std::str::from_utf8(&h.1)
                .is_ok_and(|v| v.split(',').any(|t| t.trim().eq_ignore_ascii_case(name)))
    };
    ALWAYS.iter().any(|a| a.eq_ignore_ascii_case(name)) || headers.iter().any(named)
}

fn owned(headers: &[httparse::Header<'_>]) -> Headers {
    headers
        .iter()
        .map(|h| (h.name.to_string(), h.value.to_vec()))
        .collect()
}

/// The body behind a head of that many bytes, and how many bytes it takes up.
fn body(
    bytes: &[u8],
    at: usize,
    length: Result<BodyLength, FramingError>,
    most: usize,
) -> Parsed<(usize, Vec<u8>)> {
    match length {
        Ok(BodyLength::Known(n)) if n > most => Parsed::Invalid(413),
        Ok(BodyLength::Known(n)) if bytes.len() < at + n => Parsed::Incomplete,
        Ok(BodyLength::Known(n)) => Parsed::Complete((at + n, bytes[at..at + n].to_vec())),
        Ok(BodyLength::Chunked) => match parse_chunked(&bytes[at..], most) {
            Parsed::Complete((size, body)) => Parsed::Complete((at + size, body)),
            Parsed::Incomplete => Parsed::Incomplete,
            Parsed::Invalid(_) => Parsed::Invalid(400),
        },
        Ok(BodyLength::Unknown) => Parsed::Complete((at, Vec::new())),
        Err(FramingError) => Parsed::Invalid(400),
    }
}

/// Takes one request off the ring once it is whole. `Bad`: the status that its sender is told.
pub fn parse_request(ring: &mut RingBuffer, bounds: &MessageLimits) -> Parsed<Request> {
    let mut space = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut space);
    let bytes = ring.contiguous();
    let at = match head.parse(bytes) {
        Ok(httparse::Status::Complete(at)) if at <= bounds.head => at,
        Ok(httparse::Status::Partial) if bytes.len() < bounds.head => return Parsed::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Parsed::Invalid(431),
        Err(_) => return Parsed::Invalid(400),
    };
    let (taken, body) = match body(bytes, at, body_length(head.headers), bounds.body) {
        Parsed::Complete(found) => found,
        Parsed::Incomplete => return Parsed::Incomplete,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    let (Some(method), Some(path)) = (head.method, head.path) else {
        return Parsed::Invalid(400);
    };
    let request = Request {
        method: method.to_string(),
        path: path.to_string(),
        close: wants_close(head.headers, head.version),
        headers: owned(head.headers),
        body,
    };
    ring.consume(taken);
    Parsed::Complete(request)
}

/// Takes one answer off the ring once it is whole; answers of 1xx are read over. One that only the end of the
/// connection delimits cannot be told from one that was cut off, so it is never whole.
pub fn parse_response(ring: &mut RingBuffer, bounds: &MessageLimits) -> Parsed<Response> {
    loop {
        let mut space = [httparse::EMPTY_HEADER; HEADERS];
        let mut head = httparse::Response::new(&mut space);
        let bytes = ring.contiguous();
        let at = match head.parse(bytes) {
            Ok(httparse::Status::Complete(at)) if at <= bounds.head => at,
            Ok(httparse::Status::Partial) if bytes.len() < bounds.head => {
                return Parsed::Incomplete
            }
            _ => return Parsed::Invalid(502),
        };
        let status = head.code.unwrap_or(0);
        if status == 101 || status < 100 {
            return Parsed::Invalid(502);
        }
        if status < 200 {
            ring.consume(at);
            continue;
        }
        let length = match body_length(head.headers) {
            _ if status == 204 || status == 304 => Ok(BodyLength::Known(0)),
            Ok(BodyLength::Unknown) => return Parsed::Invalid(502),
            length => length,
        };
        let (taken, body) = match body(bytes, at, length, bounds.body) {
            Parsed::Complete(found) => found,
            Parsed::Incomplete => return Parsed::Incomplete,
            Parsed::Invalid(_) => return Parsed::Invalid(502),
        };
        let response = Response {
            status,
            reason: head.reason.unwrap_or("").to_string(),
            close: wants_close(head.headers, head.version),
            headers: owned(head.headers),
            body,
        };
        ring.consume(taken);
        return Parsed::Complete(response);
    }
}

/// The usual words behind a status (RFC 9110, 15).
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// An answer of our own, whole.
pub fn encode_response(status: u16, headers: &[(&str, &str)], close: bool, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        body.len()
    );
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += if close {
        "Connection: close\r\n\r\n"
    } else {
        "\r\n"
    };
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}
