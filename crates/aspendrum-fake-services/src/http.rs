//! HTTP/1.1 messages for the fake services and the clients of the testbed. An invalid message ends its connection.

use std::io;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: usize = 256 << 10;
const MAX_BODY_BYTES: usize = 16 << 20;

/// The kind of messages that a connection carries in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// The start line of a request.
    Request {
        /// The method.
        method: String,
        /// The target: a path, and optionally a query.
        target: String,
    },
    /// The start line of a response.
    Response {
        /// The status; 0 if it is missing.
        status: u16,
    },
}

/// A complete message.
pub struct Message {
    /// The start line.
    pub start_line: StartLine,
    /// The header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When the first byte was read.
    pub first_byte_at: Instant,
}

impl Message {
    /// Returns the first value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        match self.start_line {
            StartLine::Response { status } => status,
            StartLine::Request { .. } => 0,
        }
    }

    /// Returns the method of a request; empty for a response.
    pub fn method(&self) -> &str {
        match &self.start_line {
            StartLine::Request { method, .. } => method,
            StartLine::Response { .. } => "",
        }
    }

    /// Returns the target of a request; empty for a response.
    pub fn target(&self) -> &str {
        match &self.start_line {
            StartLine::Request { target, .. } => target,
            StartLine::Response { .. } => "",
        }
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn wants_close(&self) -> bool {
        self.header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

/// Reads the next message of a connection. `unread` holds the bytes that were read but not yet parsed. Returns `None`
/// if the connection ended between messages.
///
/// # Errors
/// The error of the read; `UnexpectedEof` if the connection ended within a message; `InvalidData` if the message is
/// invalid.
pub async fn read_message(
    from: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
    kind: MessageKind,
) -> io::Result<Option<Message>> {
    let Some((mut message, length)) = read_head(from, unread, kind).await? else {
        return Ok(None);
    };
    message.body = read_body(from, unread, length).await?;
    Ok(Some(message))
}

/// Like [`read_message`], but reads the head only. Returns the message with an empty body, and the length of the body that
/// follows.
///
/// # Errors
/// As [`read_message`].
pub async fn read_head(
    from: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
    kind: MessageKind,
) -> io::Result<Option<(Message, usize)>> {
    let mut first_byte_at = None;
    loop {
        if !unread.is_empty() {
            let first_byte_at = *first_byte_at.get_or_insert_with(Instant::now);
            if let Some(head) = parse_head(unread, kind)? {
                let length = content_length(&head.headers)?;
                if length > MAX_BODY_BYTES {
                    return Err(invalid("HTTP message is too long"));
                }
                unread.drain(..head.end);
                let message = Message {
                    start_line: head.start_line,
                    headers: head.headers,
                    body: Vec::new(),
                    first_byte_at,
                };
                return Ok(Some((message, length)));
            }
        }
        if unread.len() > MAX_HEAD_BYTES {
            return Err(invalid("HTTP message is too long"));
        }
        if from.read_buf(unread).await? == 0 {
            return if unread.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Reads a body of the given length. `unread` holds the bytes that were read behind the head.
///
/// # Errors
/// The error of the read; `UnexpectedEof` if the connection ended within the body.
pub async fn read_body(
    from: &mut (impl AsyncRead + Unpin),
    unread: &mut Vec<u8>,
    length: usize,
) -> io::Result<Vec<u8>> {
    while unread.len() < length {
        if from.read_buf(unread).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(unread.drain(..length).collect())
}

/// A parsed head, with its size in bytes.
struct Head {
    end: usize,
    start_line: StartLine,
    headers: Vec<(String, String)>,
}

fn parse_head(bytes: &[u8], kind: MessageKind) -> io::Result<Option<Head>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let not_http = |_| invalid("invalid HTTP/1.1 message");
    let (status, start_line, headers) = match kind {
        MessageKind::Request => {
            let mut head = httparse::Request::new(&mut fields);
            let status = head.parse(bytes).map_err(not_http)?;
            let method = head.method.unwrap_or("").into();
            let target = head.path.unwrap_or("").into();
            (status, StartLine::Request { method, target }, head.headers)
        }
        MessageKind::Response => {
            let mut head = httparse::Response::new(&mut fields);
            let status = head.parse(bytes).map_err(not_http)?;
            let code = head.code.unwrap_or(0);
            (status, StartLine::Response { status: code }, head.headers)
        }
    };
    let httparse::Status::Complete(end) = status else {
        return Ok(None);
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = headers.iter().map(|h| (h.name.into(), text(h.value)));
    Ok(Some(Head {
        end,
        start_line,
        headers: headers.collect(),
    }))
}

/// Returns the length of the body; 0 without a Content-Length field.
fn content_length(headers: &[(String, String)]) -> io::Result<usize> {
    let mut headers = headers.iter();
    match headers.find(|(name, _)| name.eq_ignore_ascii_case("Content-Length")) {
        Some((_, value)) => value
            .parse()
            .map_err(|_| invalid("Content-Length is not a number")),
        None => Ok(0),
    }
}

/// Encodes a response.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    let mut response = (head + "\r\n").into_bytes();
    response.extend_from_slice(body);
    response
}
