//! A server for short HTTP calls with a single handler function. Each connection is served by a thread of a worker
//! pool.

use crate::connection::lingering_close;
use crate::disconnects::has_hung_up;
use crate::http1::{encode_response, parse_request, MessageLimits, Parsed, Request};
use crate::ring_buffer::RingBuffer;
use crate::threads::spawn;
use crate::worker_pool::WorkerPool;
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

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
}

/// The response to a request.
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, except `Content-Length` and `Connection`.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a response without content.
    pub fn empty(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a successful response with plain text.
    pub fn text(body: String) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "text/plain".into())],
            body: body.into_bytes(),
        }
    }

    /// Creates a successful response with JSON.
    pub fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "application/json".into())],
            body,
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
        let Ok((stream, _)) = listener.accept() else {
            sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let (serve, options) = (serve.clone(), options.clone());
        // If no thread can be spawned, the connection is closed and the client tries another node.
        let _ = workers.run(Box::new(move || {
            serve_connection(&stream, &options, &*serve)
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
    let limits = &options.limits;
    let max_bytes = limits.head_bytes + limits.body_bytes + MAX_FRAMING_BYTES;
    let mut buffer = RingBuffer::new(INITIAL_BUFFER_BYTES, max_bytes);
    if set_options(stream, options).is_err() {
        return;
    }
    loop {
        let (reply, close) = match parse_request(&mut buffer, limits) {
            Parsed::Incomplete => match buffer.fill(&mut &*stream) {
                Ok(read) if read > 0 => continue,
                _ => return,
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
        if write_reply(stream, &reply, close).is_err() {
            return;
        }
        if close {
            lingering_close(stream, LINGER_TIMEOUT, MAX_LINGER_BYTES);
            return;
        }
    }
}

fn write_reply(mut stream: &TcpStream, reply: &Reply, close: bool) -> std::io::Result<()> {
    let headers: Vec<(&str, &str)> = reply
        .headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    stream.write_all(&encode_response(reply.status, &headers, close, &reply.body))
}
