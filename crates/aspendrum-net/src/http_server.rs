//! A listener for short calls of servers, operators and the platform: each request is answered by one
//! function, on a thread that is kept for the next connection.

use crate::disconnects::has_hung_up;
use crate::http1::{self, MessageLimits, Parsed, Request};
use crate::ring_buffer::RingBuffer;
use crate::workers::{spawn, WorkerPool};
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct ServerOptions {
    pub stack: usize,
    pub bounds: MessageLimits,
    /// A connection on which nothing comes for so long is closed.
    pub idle: Duration,
    pub workers: Duration,
}

/// An answer of one call: status, headers, body.
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn plain(status: u16) -> Reply {
        Reply {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    pub fn text(body: String) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "text/plain".into())],
            body: body.into_bytes(),
        }
    }

    pub fn json(body: Vec<u8>) -> Reply {
        Reply {
            status: 200,
            headers: vec![("Content-Type", "application/json".into())],
            body,
        }
    }
}

/// Listens there and answers until the process ends.
pub fn listen(
    at: SocketAddrV4,
    terms: ServerOptions,
    serve: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    let serve = Arc::new(serve);
    let workers = WorkerPool::new(terms.stack, terms.workers);
    spawn("reception", terms.stack, move || loop {
        let Ok((stream, _)) = listener.accept() else {
            // No descriptor is free: one may be in a moment.
            sleep(Duration::from_millis(20));
            continue;
        };
        let (serve, terms) = (serve.clone(), terms.clone());
        // Without a thread the connection is closed, and its caller goes to another limiter.
        let _ = workers.run(Box::new(move || attend(&stream, &terms, &*serve)));
    })?;
    Ok(())
}

fn attend(stream: &TcpStream, terms: &ServerOptions, serve: &dyn Fn(Request) -> Reply) {
    let mut ring = RingBuffer::new(1 << 10, terms.bounds.head + terms.bounds.body + 1024);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| stream.set_read_timeout(Some(terms.idle)));
    if set
        .and_then(|()| stream.set_write_timeout(Some(terms.idle)))
        .is_err()
    {
        return;
    }
    loop {
        let (reply, close) = match http1::parse_request(&mut ring, &terms.bounds) {
            Parsed::Incomplete => match ring.fill(&mut &*stream) {
                Ok(n) if n > 0 => continue,
                _ => return,
            },
            Parsed::Invalid(status) => (Reply::plain(status), true),
            // An order that lay in the socket of a machine that stood still, and whose caller has gone: he may have
            // given the opposite one elsewhere since. What only asks does no harm (RFC 9110, 9.2.1).
            Parsed::Complete(request) if request.method != "GET" && has_hung_up(stream) => return,
            Parsed::Complete(request) => {
                let close = request.close;
                (serve(request), close)
            }
        };
        let headers: Vec<(&str, &str)> =
            reply.headers.iter().map(|h| (h.0, h.1.as_str())).collect();
        let bytes = http1::encode_response(reply.status, &headers, close, &reply.body);
        if (&*stream).write_all(&bytes).is_err() {
            return;
        }
        if close {
            crate::pool::linger(stream, Duration::from_millis(200), 64 << 10);
            return;
        }
    }
}
