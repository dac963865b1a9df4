//! Connections of clients: taken in as long as there are any, read one query at a time, watched for the
//! client's leaving while a query is in hand, and closed when they make room for others.

use crate::client::{Client, BUSY, CLOSED, IDLE};
use crate::http::{self, Asked, Call, Parsed};
use crate::notes::Note;
use crate::query;
use crate::Shop;
use aspendrum_net::connection::lingering_close;
use aspendrum_net::disconnects::ClientConnection;
use aspendrum_net::ring_buffer::{is_timeout, RingBuffer};
use aspendrum_net::threads::{lock, spawn};
use crossbeam_channel::{bounded, Receiver};
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Whether there is room for one more connection.
#[derive(Clone, Copy, PartialEq)]
pub enum Room {
    Made,
    /// Connections that have asked nothing yet may soon be closed.
    Soon,
    No,
}

/// All client connections that are open, and the names of the queries in hand.
#[derive(Default)]
pub struct Clients {
    open: Mutex<HashMap<u64, Arc<Client>>>,
    asked: Mutex<HashSet<Vec<u8>>>,
}

/// The name of a query in hand, until it is answered.
struct Claim {
    shop: Arc<Shop>,
    txn: Vec<u8>,
}

impl Claim {
    /// None: another client's query has that name, and is still open. Passed on, servers could take one for
    /// the other.
    fn of(shop: &Arc<Shop>, txn: &[u8]) -> Option<Claim> {
        let fresh = lock(&shop.clients.asked).insert(txn.to_vec());
        fresh.then(|| Claim {
            shop: shop.clone(),
            txn: txn.to_vec(),
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        lock(&self.shop.clients.asked).remove(&self.txn);
    }
}

impl Clients {
    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        lock(&self.open)
    }

    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Those with a query in hand.
    pub fn in_hand(&self) -> Vec<Arc<Client>> {
        self.open()
            .values()
            .filter(|c| c.presence.request().is_some())
            .cloned()
            .collect()
    }

    /// Whether there is room; where there is none, a connection between queries is closed for it.
    fn room(&self, shop: &Shop) -> Room {
        let (count, limits) = (self.count(), &shop.limits);
        if count < limits.client_sockets {
            return Room::Made;
        }
        // Those that were closed just now still hold their descriptors.
        if count >= limits.client_sockets + limits.overflow / 2 {
            return Room::Soon;
        }
        self.close_one(shop)
    }

    /// Closes the connection that has waited for longest among those that have asked nothing yet, else that
    /// has been idle for longest; none that is so fresh that it may be about to ask, and none of the usual
    /// clients' that was used lately while others are left.
    pub fn close_one(&self, shop: &Shop) -> Room {
        let (now, limits) = (shop.age(), &shop.limits);
        let open = self.open();
        let idle = || {
            open.values()
                .filter(|c| c.state.load(Ordering::Acquire) == IDLE)
        };
        let known = |c: &&Arc<Client>| c.known.load(Ordering::Relaxed);
        let age = |since: u64| Duration::from_millis(now.saturating_sub(since));
        let stranger = idle()
            .filter(|c| !known(c))
            .map(|c| (age(c.opened), c))
            .max_by_key(|c| c.0);
        let client = idle()
            .filter(known)
            .map(|c| (age(c.used.load(Ordering::Relaxed)), c))
            .max_by_key(|c| c.0);
        let least = if stranger.is_some() {
            limits.settled
        } else {
            limits.fresh
        };
        let (soon, fresh) = (stranger.is_some(), limits.fresh_stranger);
        let old = stranger
            .filter(|c| c.0 >= fresh)
            .or(client.filter(|c| c.0 >= least));
        match old {
            Some((_, c)) if c.turn(IDLE, CLOSED) => {
                c.presence.shut_down_if_idle();
                Room::Made
            }
            _ if soon => Room::Soon,
            _ => Room::No,
        }
    }
}

/// Takes connections in until the limiter stops. Never stops accepting: a connection that the machine has
/// accepted counts as taken.
pub fn accept(shop: &Arc<Shop>, listener: &TcpListener) {
    let limits = &shop.limits;
    let (late, turned_away) = bounded(limits.overflow / 2);
    // Started now: when they are needed there may be no thread to be had.
    for _ in 0..limits.spare_workers {
        let (own, streams) = (shop.clone(), turned_away.clone());
        if let Err(e) = spawn("spare", limits.stack, move || turn_away(&own, &streams)) {
            tracing::warn!(error = %e, "a spare thread did not start");
        }
    }
    let mut next = 0;
    while !shop.stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                next += 1;
                shop.accepted.store(shop.age(), Ordering::Relaxed);
                // A flood that says nothing is gone within this time, and nobody who asks is shed for it.
                let (until, mut room) = (
                    Instant::now() + limits.fresh_stranger,
                    shop.clients.room(shop),
                );
                while room == Room::Soon && Instant::now() < until {
                    thread::sleep(limits.accept_pause);
                    room = shop.clients.room(shop);
                }
                let left = if room == Room::Made {
                    seat(shop, stream, next)
                } else {
                    Some(stream)
                };
                if let Some(stream) = left {
                    // Nobody is free to read it: a spare thread answers that it is shed. While even those
                    // are behind, connections wait with the machine; dropped here, their queries were lost.
                    let _ = late.send(stream);
                }
            }
            // Out of descriptors, or the client is gone again.
            Err(e) => {
                tracing::debug!(error = %e, "a connection could not be taken in");
                shop.clients.close_one(shop);
                thread::sleep(limits.accept_pause);
            }
        }
    }
}

/// Gives the connection a thread. Hands it back where none is to be had.
fn seat(shop: &Arc<Shop>, stream: TcpStream, key: u64) -> Option<TcpStream> {
    let limits = &shop.limits;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(limits.slow_client));
    let stream = Arc::new(stream);
    let client = Arc::new(Client {
        presence: ClientConnection::new(stream.clone()),
        stream,
        state: AtomicU8::new(IDLE),
        opened: shop.age(),
        used: AtomicU64::new(shop.age()),
        known: AtomicBool::new(false),
        out: Mutex::new(RingBuffer::new(limits.ring, limits.ring_top)),
    });
    shop.clients.open().insert(key, client.clone());
    let (own, theirs) = (shop.clone(), client.clone());
    // A thread that has done with another connection is at hand, and needs none started.
    let body = move || {
        let _seat = Seat { shop: &own, key };
        attend(&own, &theirs);
    };
    let Err(body) = shop.workers.run(Box::new(body)) else {
        return None;
    };
    drop(body);
    shop.clients.open().remove(&key);
    Arc::try_unwrap(client).ok().and_then(Client::into_stream)
}

/// Ends with the thread's work on a connection, however that ends.
struct Seat<'a> {
    shop: &'a Shop,
    key: u64,
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.shop.clients.open().remove(&self.key);
    }
}

/// Answers, one after another, the connections that could not get a thread.
fn turn_away(shop: &Arc<Shop>, streams: &Receiver<TcpStream>) {
    for stream in streams {
        let limits = &shop.limits;
        let mut ring = RingBuffer::new(limits.ring, limits.ring_top);
        let mut out = RingBuffer::new(limits.ring, limits.head);
        let until = Instant::now() + limits.linger;
        let mut status = 408;
        while let Some(left) = until
            .checked_duration_since(Instant::now())
            .filter(|d| !d.is_zero())
        {
            match http::call(&mut ring, &shop.lanes, limits) {
                Parsed::Complete(_) => status = 503,
                Parsed::Invalid(bad) => status = bad,
                Parsed::Incomplete => {
                    let limited = stream.set_read_timeout(Some(left));
                    match limited.and_then(|()| ring.fill(&mut &stream)) {
                        Ok(n) if n > 0 => continue,
                        _ => break,
                    }
                }
            }
            break;
        }
        if http::reply(&mut out, status, 0.0, true, b"", b"") {
            let _ = stream.set_write_timeout(Some(limits.linger));
            let _ = out.drain(&mut &stream);
        }
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// Reads a connection's queries one after another.
fn attend(shop: &Arc<Shop>, client: &Arc<Client>) {
    let limits = &shop.limits;
    let mut ring = RingBuffer::new(limits.ring, limits.ring_top);
    let mut patience = Patience {
        begun: Some(Instant::now()),
        set: Duration::ZERO,
    };
    loop {
        match http::call(&mut ring, &shop.lanes, limits) {
            Parsed::Incomplete => match patience.more(&mut ring, client, shop) {
                Ok(true) => client.used.store(shop.age(), Ordering::Relaxed),
                Ok(false) if !ring.is_empty() => return reject(shop, client, 408),
                // One that says nothing more is closed, and is owed no answer.
                Ok(false) | Err(_) => {
                    client.turn(IDLE, CLOSED);
                    return;
                }
            },
            Parsed::Invalid(status) => return reject(shop, client, status),
            Parsed::Complete(Call::Ready { close }) => {
                patience.begun = None;
                let status = if shop.draining() { 503 } else { 200 };
                if !client.answer(shop, status, 0.0, close, b"", b"") {
                    return;
                }
            }
            Parsed::Complete(Call::Query(asked)) => {
                patience.begun = None;
                let Some(claim) = Claim::of(shop, &asked.txn) else {
                    return reject(shop, client, 409);
                };
                client.known.store(true, Ordering::Relaxed);
                client.turn(IDLE, BUSY);
                if !see_through(shop, client, &asked, claim) {
                    return;
                }
            }
        }
    }
}

/// How long a connection may keep its thread waiting.
struct Patience {
    /// The first query may take its time from the connection's start on, a later one from its first byte.
    begun: Option<Instant>,
    /// The time a read may take, as last set: setting it anew for each query would cost a system call.
    set: Duration,
}

impl Patience {
    /// Waits for more of a query. False: it has taken too long.
    fn more(&mut self, ring: &mut RingBuffer, client: &Client, shop: &Shop) -> io::Result<bool> {
        let limits = &shop.limits;
        if !ring.is_empty() {
            self.begun.get_or_insert_with(Instant::now);
        }
        let left = match self.begun {
            Some(since) => limits.slow_query.saturating_sub(since.elapsed()),
            None => limits.idle_client,
        };
        // Connections kept for nothing hold what the usual clients may open: the more there are, the less
        // long. One that has sent a part of a query has its full time.
        let crowded = shop.clients.count() > limits.client_sockets / 2;
        let left = if crowded && ring.is_empty() {
            left.min(limits.idle_crowded)
        } else {
            left
        };
        if left.is_zero() {
            return Ok(false);
        }
        if left != self.set {
            client.stream.set_read_timeout(Some(left))?;
            self.set = left;
        }
        match ring.fill(&mut &*client.stream) {
            Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => Ok(true),
            Err(e) if is_timeout(&e) => Ok(false),
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(true),
            Err(e) => Err(e),
        }
    }
}

fn reject(shop: &Shop, client: &Client, status: u16) {
    client.answer(shop, status, 0.0, true, b"", b"");
    lingering_close(&client.stream, shop.limits.linger, shop.limits.body);
}

/// Sees a query through. Whether its client stays the desk watches. False: the connection has come to its end.
fn see_through(shop: &Shop, client: &Client, asked: &Asked, claim: Claim) -> bool {
    let (id, at) = (shop.door.next_id(), Instant::now());
    // A fault of ours must leave neither the client without an answer nor the desk with the query.
    let life = AssertUnwindSafe(|| query::serve(shop, client, asked, id, at));
    let stays = catch_unwind(life).unwrap_or_else(|_| {
        shop.door.tell(Note::Quit { id });
        client.answer(shop, 502, 0.0, true, b"", b"")
    });
    client.presence.end_request();
    drop(claim);
    let stays = stays && !client.presence.has_disconnected();
    client.used.store(shop.age(), Ordering::Relaxed);
    client.turn(BUSY, if stays { IDLE } else { CLOSED });
    stays
}
