//! A server for short HTTP calls with a single handler function. Each connection is served by a thread of a worker
//! pool.

use crate::connection::{lingering_close, write_until};
use crate::disconnects::has_hung_up;
use crate::http1::status::SERVICE_UNAVAILABLE;
use crate::http1::{
    encode_response_head, MessageLimits, MessageReader, MessageSource, Parsed, Request,
};
use crate::memory_budget::{MemoryBudget, MemoryReservation};
use crate::ring_buffer::RingBuffer;
use crate::threads::spawn;
use crate::worker_pool::WorkerPool;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The resource limits and timeouts of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The stack size of each thread, in bytes.
    pub stack_bytes: usize,
    /// The limits on each request.
    pub limits: MessageLimits,
    /// The timeout of each read from and write to a connection, after which it is closed.
    pub idle_timeout: Duration,
    /// The time after which an idle thread terminates.
    pub worker_idle_timeout: Duration,
    /// The memory for connections and requests.
    pub memory: MemoryBudget,
}

/// The response to a request.
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, except `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The memory reserved for the body until it has been written, if it may be large.
    pub memory: MemoryReservation,
}

impl Reply {
    /// Creates a response without content.
    pub fn empty(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
            memory: MemoryReservation::default(),
        }
    }

    /// Creates a successful response with plain text.
    pub fn text(body: String) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "text/plain".into())],
            body: body.into_bytes(),
            ..Reply::empty(200)
        }
    }

    /// Creates a successful response with JSON.
    pub fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "application/json".into())],
            body,
            ..Reply::empty(200)
        }
    }
}

/// The delay after a failed `accept`, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const INITIAL_BUFFER_BYTES: usize = 1 << 10;
/// The buffer space for chunk sizes and trailers, in addition to the limits of the head and the content.
const MAX_FRAMING_BYTES: usize = 1024;
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 64 << 10;
/// The fixed memory of a connection: the used part of its thread's stack, and its buffer before it grows.
const CONNECTION_BYTES: usize = 16 << 10;
/// How long the listener waits for the memory of a connection before it tries again.
const CONNECTION_MEMORY_WAIT: Duration = Duration::from_millis(100);
/// How long a request waits for memory. Clients try another node after a second without progress.
const REQUEST_MEMORY_WAIT: Duration = Duration::from_secs(1);
/// How long the rest of a refused body is discarded, so that a client that sends all of it reads the response.
const REFUSED_BODY_LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The time within which the body of a request must arrive, and that of a reply be read, so that they do not hold their
/// memory for longer.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Bodies up to this size are copied behind their head, so that both are sent with one write.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

/// Binds the address and spawns a thread that accepts connections while the process runs. `serve` handles each request.
///
/// # Errors
/// Returns an error if the address cannot be bound or the thread cannot be spawned.
pub fn listen(
    address: SocketAddrV4,
    options: ServerOptions,
    serve: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    let workers = WorkerPool::new(options.stack_bytes, options.worker_idle_timeout);
    spawn("http-server", options.stack_bytes, move || loop {
        // Clients wait in the accept queue while there is no memory for their connections.
        let deadline = Instant::now() + CONNECTION_MEMORY_WAIT;
        let Some(memory) = options.memory.reserve_until(CONNECTION_BYTES, deadline) else {
            continue;
        };
        let Ok((stream, _)) = listener.accept() else {
            sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let (serve, options) = (serve.clone(), options.clone());
        // If no thread can be spawned, the connection is closed and the client tries another node.
        let _ = workers.run(Box::new(move || {
            serve_connection(&stream, &options, &*serve);
            drop(memory);
        }));
    })?;
    Ok(())
}

fn set_options(stream: &TcpStream, options: &ServerOptions) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(options.idle_timeout))?;
    stream.set_write_timeout(Some(options.idle_timeout))
}

fn serve_connection(stream: &TcpStream, options: &ServerOptions, serve: &dyn Fn(Request) -> Reply) {
    if set_options(stream, options).is_err() {
        return;
    }
    let mut connection = IncomingConnection::new(stream, options);
    loop {
        let (reply, close) = match connection.reader.parse(&mut connection.buffer) {
            Parsed::Incomplete => match connection.receive() {
                Progress::Received => continue,
                Progress::Ended => return,
                Progress::Refused => return connection.refuse(),
            },
            Parsed::Invalid(status) => (Reply::empty(status), true),
            // The client has disconnected, possibly while this machine was suspended and the request was in the socket
            // buffer. The client may have sent the opposite command to another node in the meantime, so this one must
            // not be executed. GET requests are safe (RFC 9110, 9.2.1) and are served.
            Parsed::Complete(request) if request.method != "GET" && has_hung_up(stream) => return,
            Parsed::Complete(request) => {
                let close = request.closes_connection;
                (serve(request), close)
            }
        };
        connection.body_deadline = None;
        if write_reply(stream, &reply, close).is_err() {
            return;
        }
        drop(reply);
        if close {
            lingering_close(stream, LINGER_TIMEOUT, MAX_LINGER_BYTES);
            return;
        }
    }
}

/// The result of waiting for more of a request.
enum Progress {
    Received,
    /// The connection has ended, or the request has not arrived in time.
    Ended,
    /// There is no memory for the request.
    Refused,
}

/// The receiving side of a connection.
struct IncomingConnection<'s> {
    stream: &'s TcpStream,
    buffer: RingBuffer,
    reader: MessageReader<Request>,
    max_body_bytes: usize,
    /// The time by which the body that is being received must be complete.
    body_deadline: Option<Instant>,
}

impl<'s> IncomingConnection<'s> {
    fn new(stream: &'s TcpStream, options: &ServerOptions) -> IncomingConnection<'s> {
        let max_bytes = options.limits.head_bytes + MAX_FRAMING_BYTES;
        IncomingConnection {
            stream,
            buffer: RingBuffer::new(INITIAL_BUFFER_BYTES, max_bytes).with_budget(&options.memory),
            reader: MessageReader::new(options.limits, &options.memory),
            max_body_bytes: options.limits.body_bytes,
            body_deadline: None,
        }
    }

    /// Reads once, waiting for memory if there is none.
    fn receive(&mut self) -> Progress {
        if self.reader.partial_message().is_some() {
            let now = Instant::now();
            if now >= *self.body_deadline.get_or_insert(now + BODY_TIMEOUT) {
                return Progress::Ended;
            }
        }
        match self.reader.fill(&mut self.buffer, &mut &*self.stream) {
            Ok(read) if read > 0 => Progress::Received,
            Err(e) if e.kind() == ErrorKind::QuotaExceeded => {
                let deadline = Instant::now() + REQUEST_MEMORY_WAIT;
                if self.reader.await_memory(deadline) {
                    Progress::Received
                } else {
                    Progress::Refused
                }
            }
            _ => Progress::Ended,
        }
    }

    /// Responds that the request was not handled, and closes the connection.
    fn refuse(&self) {
        let remaining = self.reader.remaining_bytes();
        if write_reply(self.stream, &Reply::empty(SERVICE_UNAVAILABLE), true).is_ok() {
            let max_bytes = remaining.unwrap_or(self.max_body_bytes);
            lingering_close(self.stream, REFUSED_BODY_LINGER_TIMEOUT, max_bytes);
        }
    }
}

fn write_reply(mut stream: &TcpStream, reply: &Reply, close: bool) -> std::io::Result<()> {
    let headers: Vec<(&str, &str)> = reply
        .headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let mut head = encode_response_head(reply.status, &headers, close, reply.body.len());
    if reply.body.len() <= MAX_COPIED_BODY_BYTES {
        head.extend_from_slice(&reply.body);
        return stream.write_all(&head);
    }
    stream.write_all(&head)?;
    write_until(&mut stream, &reply.body, Instant::now() + BODY_TIMEOUT)
}
