//! Calls to the platform and to control, one after another on a connection that is kept while it lasts.

use crate::http1::{self, MessageLimits, Response};
use crate::pool::{Connection, PoolLimits};
use std::io::Write;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

pub struct HttpClient {
    to: SocketAddrV4,
    bounds: MessageLimits,
    lines: PoolLimits,
    conn: Option<Connection>,
}

impl HttpClient {
    pub fn new(to: SocketAddrV4, bounds: MessageLimits) -> HttpClient {
        let lines = PoolLimits {
            sockets: 4,
            ring: 4 << 10,
            ring_top: bounds.head + bounds.body,
            shortest: Duration::from_millis(1),
            write: Duration::from_millis(500),
            read: Duration::from_millis(500),
            idle: Duration::from_secs(3),
            rest: Duration::ZERO,
        };
        HttpClient {
            to,
            bounds,
            lines,
            conn: None,
        }
    }

    pub fn to(&self) -> SocketAddrV4 {
        self.to
    }

    /// One call; its whole answer within `wait`, or why there is none. Only for calls that may be sent twice: a
    /// connection that was closed while it rested says nothing of its other end, and is tried anew.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<Response, String> {
        let (until, reused) = (Instant::now() + wait, self.conn.is_some());
        match self.once(method, path, body, until) {
            Err(_) if reused => self.once(method, path, body, until),
            got => got,
        }
    }

    fn once(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        until: Instant,
    ) -> Result<Response, String> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => {
                let left = until.saturating_duration_since(Instant::now());
                Connection::open_unpooled(self.to.into(), left, &self.lines)
                    .map_err(|e| e.to_string())?
            }
        };
        let length = if body.is_empty() && method == "GET" {
            String::new()
        } else {
            format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                body.len()
            )
        };
        write!(
            conn.outward,
            "{method} {path} HTTP/1.1\r\nHost: {}\r\n{length}\r\n",
            self.to
        )
        .and_then(|()| conn.outward.write_all(body))
        .map_err(|e| e.to_string())?;
        conn.send().map_err(|e| format!("{e:?}"))?;
        let bounds = self.bounds;
        let answer = conn.receive(until, &self.lines, |ring| {
            http1::parse_response(ring, &bounds)
        });
        let answer = answer.map_err(|e| format!("{e:?}"))?;
        if !answer.close {
            self.conn = Some(conn);
        }
        Ok(answer)
    }
}
