//! A client for short calls to the platform and to control: one after another, on a connection that is kept between
//! calls.

use crate::connection::{Connection, ConnectionOptions};
use crate::http1::{parse_response, MessageLimits, Response};
use aspendrum_core::api::Outcome;
use derive_more::{Display, Error};
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Why a call has no response. Operators see its text behind the address.
#[derive(Debug, Display, Error)]
pub enum HttpClientError {
    /// There is no connection.
    #[display("{_0}")]
    Connect(io::Error),
    /// The request is larger than the limits.
    #[display("{_0}")]
    RequestTooLarge(io::Error),
    /// The connection failed, no response came in time, or what came is no response.
    #[display("{}", outcome_name(*_0))]
    Exchange(#[error(not(source))] Outcome),
}

/// The name of an exchange's failure, as operators know it.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::TimedOut => "TimedOut",
        Outcome::Reset => "Reset",
        _ => "Error",
    }
}

/// A client of one server.
pub struct HttpClient {
    server: SocketAddrV4,
    limits: MessageLimits,
    options: ConnectionOptions,
    connection: Option<Connection>,
}

impl HttpClient {
    /// A client of that server, with limits on its requests and responses. It does not connect yet.
    pub fn new(server: SocketAddrV4, limits: MessageLimits) -> HttpClient {
        let options = ConnectionOptions {
            initial_buffer_bytes: 4 << 10,
            max_buffer_bytes: limits.head_bytes + limits.body_bytes,
            min_timeout: Duration::from_millis(1),
            write_timeout: Duration::from_millis(500),
            read_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(3),
        };
        HttpClient {
            server,
            limits,
            options,
            connection: None,
        }
    }

    /// The server's address.
    pub fn server(&self) -> SocketAddrV4 {
        self.server
    }

    /// Makes one call, within `timeout`. Only for idempotent calls: if a kept connection fails, which the server may
    /// have closed while it was idle, the call is retried on a new one.
    ///
    /// # Errors
    /// [`HttpClientError`]: why there is no response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, HttpClientError> {
        let (deadline, reused) = (Instant::now() + timeout, self.connection.is_some());
        match self.attempt(method, path, body, deadline) {
            Err(_) if reused => self.attempt(method, path, body, deadline),
            result => result,
        }
    }

    fn attempt(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        deadline: Instant,
    ) -> Result<Response, HttpClientError> {
        let mut connection = self.take_connection(deadline)?;
        let buffer = &mut connection.outgoing;
        write_request(buffer, self.server, method, path, body)
            .map_err(HttpClientError::RequestTooLarge)?;
        connection.send().map_err(HttpClientError::Exchange)?;
        let response = connection.receive(deadline, &self.options, |buffer| {
            parse_response(buffer, &self.limits)
        });
        let response = response.map_err(HttpClientError::Exchange)?;
        if !response.close {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    /// The kept connection, or a new one.
    fn take_connection(&mut self, deadline: Instant) -> Result<Connection, HttpClientError> {
        if let Some(connection) = self.connection.take() {
            return Ok(connection);
        }
        let timeout = deadline.saturating_duration_since(Instant::now());
        Connection::open_unpooled(self.server.into(), timeout, &self.options)
            .map_err(HttpClientError::Connect)
    }
}

fn write_request(
    to: &mut impl Write,
    server: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> io::Result<()> {
    let content_headers = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        )
    };
    write!(
        to,
        "{method} {path} HTTP/1.1\r\nHost: {server}\r\n{content_headers}\r\n"
    )?;
    to.write_all(body)
}
