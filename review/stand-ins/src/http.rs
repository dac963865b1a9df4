//! The little HTTP/1.1 that the stand-ins speak.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: the start line and the fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> usize {
        self.field("Content-Length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A complete answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads a head, one byte at a time beyond nothing but the head itself. `Ok(None)` is the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if bytes.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes);
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_string();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    Ok(Some(Head { start, fields }))
}

/// Reads up to `length` bytes and returns how many were read.
pub fn skip_body(stream: &mut TcpStream, length: usize) -> io::Result<usize> {
    let mut buffer = vec![0; 64 << 10];
    let mut read = 0;
    while read < length {
        let most = buffer.len().min(length - read);
        match stream.read(&mut buffer[..most])? {
            0 => break,
            size => read += size,
        }
    }
    Ok(read)
}

/// Reads an answer whose length is given in its head.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let head = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head
        .start
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; head.content_length()];
    stream.read_exact(&mut body)?;
    Ok(Answer { status, body })
}

/// Sends a request on a new connection and reads its answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" && method != "DELETE" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    read_answer(&mut stream)
}

/// Encodes an answer with its length.
pub fn encode(status: u16, reason: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
