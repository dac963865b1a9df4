//! HTTP/1.1 messages as the stand-ins and the rig's clients read them. Whatever they cannot read ends the
//! connection.

use std::io;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt};

const HEADERS: usize = 64;
const LONGEST: usize = 256 << 10;

/// One whole message.
pub struct Message {
    /// Method and path, or an answer's status as text and nothing.
    pub line: (String, String),
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.0.parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("Connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn nonsense(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// The next message of a connection, requests or answers. `None`: it ended between messages.
pub async fn next(
    from: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
    request: bool,
) -> io::Result<Option<Message>> {
    let mut first = None;
    loop {
        if !rest.is_empty() {
            let first = *first.get_or_insert_with(Instant::now);
            if let Some((message, size)) = parse(rest, request, first)? {
                rest.drain(..size);
                return Ok(Some(message));
            }
        }
        if rest.len() > LONGEST {
            return Err(nonsense("too long"));
        }
        if from.read_buf(rest).await? == 0 {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

fn parse(bytes: &[u8], request: bool, first: Instant) -> io::Result<Option<(Message, usize)>> {
    let mut space = [httparse::EMPTY_HEADER; HEADERS];
    let bad = |_| nonsense("not HTTP/1.1");
    let (at, line, headers) = if request {
        let mut head = httparse::Request::new(&mut space);
        let httparse::Status::Complete(at) = head.parse(bytes).map_err(bad)? else {
            return Ok(None);
        };
        (
            at,
            (
                head.method.unwrap_or("").into(),
                head.path.unwrap_or("").into(),
            ),
            head.headers,
        )
    } else {
        let mut head = httparse::Response::new(&mut space);
        let httparse::Status::Complete(at) = head.parse(bytes).map_err(bad)? else {
            return Ok(None);
        };
        (
            at,
            (head.code.unwrap_or(0).to_string(), String::new()),
            head.headers,
        )
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers: Vec<(String, String)> = headers
        .iter()
        .map(|h| (h.name.into(), text(h.value)))
        .collect();
    let length = headers
        .iter()
        .find(|h| h.0.eq_ignore_ascii_case("Content-Length"));
    let length = match length {
        Some((_, value)) => value
            .parse::<usize>()
            .map_err(|_| nonsense("a length that is no number"))?,
        None => 0,
    };
    if length > LONGEST {
        return Err(nonsense("too long"));
    }
    if bytes.len() < at + length {
        return Ok(None);
    }
    let body = bytes[at..at + length].to_vec();
    Ok(Some((
        Message {
            line,
            headers,
            body,
            first,
        },
        at + length,
    )))
}

/// An answer's bytes.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    let mut out = (out + "\r\n").into_bytes();
    out.extend_from_slice(body);
    out
}
