//! A server for short HTTP calls: one function answers every request. Each connection has a thread, which is reused for
//! later connections.

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

/// The memory, limits and times of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The size of each thread's stack.
    pub stack_bytes: usize,
    /// The limits on each request.
    pub limits: MessageLimits,
    /// A connection on which nothing arrives for so long is closed.
    pub idle_timeout: Duration,
    /// A thread without work for so long ends.
    pub worker_idle_timeout: Duration,
}

/// The answer to one request.
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The header fields, but for those of the body's length and of the connection.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A status alone.
    pub fn plain(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Success, with a text.
    pub fn text(body: String) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "text/plain".into())],
            body: body.into_bytes(),
        }
    }

    /// Success, with JSON.
    pub fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "application/json".into())],
            body,
        }
    }
}

/// The time between two attempts to accept a connection while no descriptor is free.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
const INITIAL_BUFFER_BYTES: usize = 1 << 10;
/// How many bytes chunk sizes and trailers may take up in addition to a request's head and content.
const FRAMING_BYTES: usize = 1024;
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
const LINGER_MAX_BYTES: usize = 64 << 10;

/// Listens at that address, and answers requests by `serve` until the process ends.
///
/// # Errors
/// The address cannot be bound, or no thread can be spawned.
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
            sleep(ACCEPT_RETRY);
            continue;
        };
        let (serve, options) = (serve.clone(), options.clone());
        // Without a thread the connection is closed, and its client tries another node.
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
    let max_bytes = limits.head_bytes + limits.body_bytes + FRAMING_BYTES;
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
            Parsed::Invalid(status) => (Reply::plain(status), true),
            // The client has disconnected, perhaps while this machine was suspended and the request lay in the socket.
            // It may have sent the opposite command to another node since, so this one must not run. A GET is safe (RFC
            // 9110, 9.2.1) and is answered.
            Parsed::Complete(request) if request.method != "GET" && has_hung_up(stream) => return,
            Parsed::Complete(request) => {
                let close = request.close;
                (serve(request), close)
            }
        };
        if write_reply(stream, &reply, close).is_err() {
            return;
        }
        if close {
            lingering_close(stream, LINGER_TIMEOUT, LINGER_MAX_BYTES);
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
