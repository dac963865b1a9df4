//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub start: String,
    /// The header fields.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the length of the body.
    pub fn content_length(&self) -> usize {
        let length = self.header("Content-Length");
        length.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the status code of an answer.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            unread: Vec::new(),
        }
    }

    /// Reads one head. `None` if the peer has closed the connection before the first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_string();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            let mut piece = [0; 16 << 10];
            let read = self.stream.read(&mut piece)?;
            if read == 0 {
                return if self.unread.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
            self.unread.extend_from_slice(&piece[..read]);
        }
    }

    /// Reads up to `bytes` bytes of a body and returns them.
    pub fn read_body(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        let buffered = self.unread.len().min(bytes);
        let mut body: Vec<u8> = self.unread.drain(..buffered).collect();
        let mut piece = vec![0; 64 << 10];
        while body.len() < bytes {
            let room = (bytes - body.len()).min(piece.len());
            let read = self.stream.read(&mut piece[..room])?;
            if read == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..read]);
        }
        Ok(body)
    }
}

/// What a client has seen of one request.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A whole answer.
    Answer { head: Head, body: Vec<u8> },
    /// The connection ended before a whole answer.
    Closed(String),
    /// No whole answer within the time that the client waited.
    Nothing,
}

impl Seen {
    /// Returns the status, or 0 without a whole answer.
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer { head, .. } => head.status(),
            Seen::Closed(_) | Seen::Nothing => 0,
        }
    }

    /// Describes it for the record.
    pub fn describe(&self) -> String {
        match self {
            Seen::Answer { head, body } => format!(
                "{} Seal={} Retry-After={} ({} bytes)",
                head.status(),
                head.header("Seal").unwrap_or("-"),
                head.header("Retry-After").unwrap_or("-"),
                body.len()
            ),
            Seen::Closed(why) => format!("connection closed without an answer ({why})"),
            Seen::Nothing => "no answer".to_string(),
        }
    }
}

/// Sends one request on a new connection and waits for its answer for at most `wait` from the first byte.
pub fn call(address: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Seen {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => call_on(&mut Connection::new(stream), head, body, wait),
        Err(error) => Seen::Closed(format!("connect: {error}")),
    }
}

/// Sends one request on an open connection and waits for its answer for at most `wait`.
pub fn call_on(connection: &mut Connection, head: &str, body: &[u8], wait: Duration) -> Seen {
    let deadline = Instant::now() + wait;
    let _ = connection.stream.set_write_timeout(Some(wait));
    let _ = connection.stream.set_read_timeout(Some(wait));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(b"\r\n");
    if body.len() < 4096 {
        bytes.extend_from_slice(body);
    }
    let written = connection.stream.write_all(&bytes);
    let written = written.and_then(|()| match body.len() < 4096 {
        true => Ok(()),
        false => connection.stream.write_all(body),
    });
    if let Err(error) = written {
        // The answer may have arrived all the same.
        let _ = error;
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let _ = connection.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let head = match connection.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return Seen::Closed("end".into()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            return Seen::Nothing
        }
        Err(e) => return Seen::Closed(e.to_string()),
    };
    match connection.read_body(head.content_length()) {
        Ok(body) => Seen::Answer { head, body },
        Err(e) => Seen::Closed(format!("within the body: {e}")),
    }
}
