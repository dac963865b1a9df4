//! A client for short, sequential HTTP calls to the platform and to control. It keeps its connection open between
//! calls.

use crate::connection::{Connection, ConnectionOptions};
use crate::http1::{MessageLimits, MessageReader, Response};
use crate::memory_budget::MemoryBudget;
use crate::upload::Upload;
use aspendrum_core::api::Outcome;
use derive_more::{Display, Error};
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// The reason why a call failed. The text is shown to operators after the address of the server.
#[derive(Debug, Display, Error)]
pub enum HttpClientError {
    /// The connection could not be established.
    #[display("{_0}")]
    Connect(io::Error),
    /// The request exceeds the size limits.
    #[display("{_0}")]
    RequestTooLarge(io::Error),
    /// The connection failed, no response was received in time, or the response is invalid.
    #[display("{}", outcome_name(*_0))]
    Exchange(#[error(not(source))] Outcome),
}

/// Returns the name of an outcome as shown to operators.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::ConnectFailed => "ConnectFailed",
        Outcome::TimedOut => "TimedOut",
        Outcome::Reset => "Reset",
        _ => "Error",
    }
}

/// A client of a single server.
pub struct HttpClient {
    server: SocketAddrV4,
    limits: MessageLimits,
    options: ConnectionOptions,
    connection: Option<Connection>,
}

impl HttpClient {
    /// Creates a client with limits on the size of requests and responses. It connects on the first call.
    pub fn new(server: SocketAddrV4, limits: MessageLimits) -> HttpClient {
        let options = ConnectionOptions {
            initial_buffer_bytes: 4 << 10,
            max_buffer_bytes: limits.head_bytes + limits.body_bytes,
            min_timeout: Duration::from_millis(1),
            read_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(3),
            memory: MemoryBudget::unlimited(),
        };
        HttpClient {
            server,
            limits,
            options,
            connection: None,
        }
    }

    /// Returns the address of the server.
    pub fn server(&self) -> SocketAddrV4 {
        self.server
    }

    /// Makes a call that is limited to `timeout`. The call must be idempotent: if it fails on a reused connection,
    /// which the server may have closed while it was idle, it is retried on a new one.
    ///
    /// # Errors
    /// Returns [`HttpClientError`] if there is no valid response.
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
        let mut upload = Upload::without_body();
        let sent = connection.send(&mut upload);
        sent.map_err(HttpClientError::Exchange)?;
        let reader = MessageReader::<Response>::new(self.limits, &self.options.memory);
        let response = connection.receive(&mut upload, deadline, &self.options, reader);
        let response = response.map_err(HttpClientError::Exchange)?;
        if !response.close && connection.is_request_sent() {
            self.connection = Some(connection);
        }
        Ok(response)
    }

    /// Returns the idle connection, or opens a new one.
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
