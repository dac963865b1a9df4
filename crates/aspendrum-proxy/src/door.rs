//! Connections of clients: each has a thread while it is open, which reads one query at a time, serves it, and
//! writes its answer.

use crate::query;
use crate::Shop;
use aspendrum_net::connection::lingering_close;
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::http1::{self, MessageLimits, Parsed};
use aspendrum_net::ring_buffer::{is_timeout, RingBuffer};
use aspendrum_net::threads::lock;
use socket2::SockRef;
use std::collections::HashMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A client's ring at the start; what a query may be at the most comes from the configuration.
const RING: usize = 2 << 10;
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 256 << 10;
/// For a client that does not read its answer.
const WRITE_WAIT: Duration = Duration::from_secs(10);
const BACKLOG: i32 = 1024;
/// Connections that a proxy keeps open between queries without asking what for.
const CROWD: usize = 600;

/// A connection that can be told to end while it waits for a query.
pub struct Client {
    stream: Arc<TcpStream>,
    pub presence: ClientConnection,
    busy: AtomicBool,
}

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        let stream = Arc::new(stream);
        let presence = ClientConnection::new(stream.clone());
        Client {
            stream,
            presence,
            busy: AtomicBool::new(false),
        }
    }
}

impl AsRef<ClientConnection> for Client {
    fn as_ref(&self) -> &ClientConnection {
        &self.presence
    }
}

#[derive(Default)]
pub struct Clients {
    open: Mutex<HashMap<u64, Arc<Client>>>,
}

impl Clients {
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// So many that each answer is the last of its connection: threads and descriptors are for queries.
    pub fn crowded(&self) -> bool {
        self.count() > CROWD
    }

    /// Those with a request in hand.
    pub fn in_hand(&self) -> Vec<Arc<Client>> {
        lock(&self.open)
            .values()
            .filter(|c| c.presence.request().is_some())
            .cloned()
            .collect()
    }

    /// Ends those between queries: only the side that is read, so that a query which has come by now is still
    /// read and answered.
    pub fn close_idle(&self) {
        for client in lock(&self.open)
            .values()
            .filter(|c| !c.busy.load(Ordering::Acquire))
        {
            client.presence.shut_down_if_idle();
        }
    }
}

/// Takes connections in until the process ends or takes no more requests: then the listener is closed, and whoever
/// comes is refused.
pub fn accept(shop: &Arc<Shop>, listener: TcpListener) {
    let _ = SockRef::from(&listener).listen(BACKLOG);
    let mut next = 0;
    loop {
        let Ok((stream, _)) = listener.accept() else {
            sleep(Duration::from_millis(10));
            continue;
        };
        if !shop.takes_requests() {
            return;
        }
        next += 1;
        shop.accepted();
        let client = Arc::new(Client::new(stream));
        lock(&shop.clients.open).insert(next, client.clone());
        let (own, number) = (shop.clone(), next);
        let job = move || {
            attend(&own, &client);
            lock(&own.clients.open).remove(&number);
        };
        if shop.workers.run(Box::new(job)).is_err() {
            // No thread is to be had: closed unread, its client goes to another limiter.
            lock(&shop.clients.open).remove(&next);
        }
    }
}

fn attend(shop: &Shop, client: &Client) {
    let stream = &client.stream;
    if stream
        .set_nodelay(true)
        .and_then(|()| stream.set_write_timeout(Some(WRITE_WAIT)))
        .is_err()
    {
        return;
    }
    let mut ring: Option<RingBuffer> = None;
    let mut limited = Duration::ZERO;
    let mut begun: Option<Instant> = None;
    loop {
        let Some(view) = shop.desk.view() else { return };
        let caps = view.config.limits;
        let bounds = MessageLimits {
            head_bytes: caps.header_bytes as usize,
            body_bytes: caps.body_bytes as usize,
        };
        let ring = ring.get_or_insert_with(|| {
            RingBuffer::new(RING, bounds.head_bytes + bounds.body_bytes + 1024)
        });
        match http1::parse_request(ring, &bounds) {
            Parsed::Complete(request) => {
                client.busy.store(true, Ordering::Release);
                begun = None;
                let answer = if shop.takes_requests() {
                    query::serve(shop, client, &request, Instant::now())
                } else {
                    query::turn_away(&request)
                };
                let close =
                    answer.closes(shop.draining() || shop.clients.crowded(), !ring.is_empty());
                // Whoever closed only its sending side still reads what a once-only run came to.
                let written = (&**stream).write_all(&answer.bytes(close)).is_ok();
                if client.presence.has_disconnected() {
                    return;
                }
                if !written || close {
                    return lingering_close(stream, LINGER, LINGER_BYTES);
                }
            }
            Parsed::Invalid(status) => {
                let bytes = http1::encode_response(status, &[], true, b"");
                let _ = (&**stream).write_all(&bytes);
                return lingering_close(stream, LINGER, LINGER_BYTES);
            }
            Parsed::Incomplete => {
                let idle = ring.is_empty();
                // A request that has begun to arrive is awaited, also by a proxy that ends.
                client.busy.store(!idle, Ordering::Release);
                let wait = Duration::from_secs_f64(
                    if idle {
                        caps.idle_timeout_ms
                    } else {
                        caps.header_timeout_ms
                    }
                    .max(1.0)
                        / 1000.0,
                );
                if wait != limited {
                    let _ = stream.set_read_timeout(Some(wait));
                    limited = wait;
                }
                match ring.fill(&mut &**stream) {
                    Ok(0) => return,
                    Ok(_) => {
                        begun.get_or_insert_with(Instant::now);
                    }
                    Err(e) if is_timeout(&e) && idle => return,
                    Err(e) if is_timeout(&e) => {
                        let bytes = http1::encode_response(408, &[], true, b"");
                        let _ = (&**stream).write_all(&bytes);
                        return lingering_close(stream, LINGER, LINGER_BYTES);
                    }
                    Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                    Err(_) => return,
                }
            }
        }
    }
}
