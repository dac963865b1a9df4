//! Connections of clients: taken in as long as there are any, read one query at a time, watched for the
//! client's leaving while a query is in hand, and closed when they make room for others.

use crate::desk::Note;
use crate::hands::{lock, spawn};
use crate::http::{self, Asked, Call, Parsed};
use crate::pool::linger;
use crate::query;
use crate::ring::Ring;
use crate::Shop;
use aspendrum_core::api::Ms;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const IDLE: u8 = 0;
const BUSY: u8 = 1;
const CLOSED: u8 = 2;

/// One client connection. Whoever closes it must find it idle, and shuts only the side that is read: a query
/// that had come by then is still read, and gets the connection's last answer.
pub struct Client {
    stream: Arc<TcpStream>,
    state: AtomicU8,
    /// When it last showed a sign of life or had an answer, in milliseconds since the limiter's start.
    used: AtomicU64,
    /// It went away while its query was in hand.
    gone: AtomicBool,
    out: Mutex<Ring>,
}

impl Client {
    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    fn turn(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Writes one whole answer, and says whether the connection goes on. That nobody reads it any more is no
    /// failure of ours.
    pub fn answer(
        &self,
        shop: &Shop,
        status: u16,
        advice: Ms,
        close: bool,
        kind: &[u8],
        body: &[u8],
    ) -> bool {
        let mut ring = lock(&self.out);
        // Draining began while the query was in hand: its client must not send another one here.
        let close = close || shop.draining() || self.state.load(Ordering::Acquire) == CLOSED;
        let fits = http::reply(&mut ring, status, advice, close, kind, body);
        let written = fits && ring.drain(&mut &*self.stream).is_ok();
        if !written {
            log::debug!("an answer found no reader");
        }
        written && !close
    }
}

/// All client connections that are open.
#[derive(Default)]
pub struct Clients {
    open: Mutex<HashMap<u64, Arc<Client>>>,
}

impl Clients {
    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        lock(&self.open)
    }

    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Closes the connection that has been idle for longest, if one has been for long enough: a fresh one is
    /// about to ask.
    pub fn close_idle(&self, shop: &Shop) -> bool {
        let (now, at_least) = (shop.age(), shop.limits.fresh.as_millis() as u64);
        let open = self.open();
        let age = |c: &&Arc<Client>| now.saturating_sub(c.used.load(Ordering::Relaxed));
        let idle = open.values().filter(|c| c.state.load(Ordering::Acquire) == IDLE);
        let Some(oldest) = idle.filter(|c| age(c) >= at_least).max_by_key(age) else { return false };
        let closed = oldest.turn(IDLE, CLOSED);
        if closed {
            let _ = oldest.stream.shutdown(Shutdown::Read);
        }
        closed
    }
}

/// Takes connections in until the limiter stops. Never stops accepting: a connection that the machine has
/// accepted counts as taken.
pub fn accept(shop: &Arc<Shop>, listener: &TcpListener) {
    let (late, turned_away) = bounded(shop.limits.overflow);
    // Started now: when they are needed there may be no thread to be had.
    for _ in 0..shop.limits.spare_hands {
        let (own, streams) = (shop.clone(), turned_away.clone());
        if let Err(e) = spawn("spare", shop.limits.stack, move || turn_away(&own, &streams)) {
            log::warn!("a spare thread: {e}");
        }
    }
    let mut next = 0;
    while !shop.stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                next += 1;
                shop.accepted.store(shop.age(), Ordering::Relaxed);
                if let Some(stream) = seat(shop, stream, next) {
                    // Nobody is free to read it: a spare thread answers that it is shed. While even those
                    // are behind, connections wait with the machine; dropped here, their queries were lost.
                    let _ = late.send(stream);
                }
            }
            // Out of descriptors, or the client is gone again.
            Err(e) => {
                log::debug!("accepting: {e}");
                shop.clients.close_idle(shop);
                thread::sleep(shop.limits.accept_pause);
            }
        }
    }
}

/// Gives the connection a thread. Hands it back where there is no room or no thread.
fn seat(shop: &Arc<Shop>, stream: TcpStream, key: u64) -> Option<TcpStream> {
    let limits = &shop.limits;
    if shop.clients.count() >= limits.client_sockets && !shop.clients.close_idle(shop) {
        return Some(stream);
    }
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(limits.slow_client));
    let client = Arc::new(Client {
        stream: Arc::new(stream),
        state: AtomicU8::new(IDLE),
        used: AtomicU64::new(shop.age()),
        gone: AtomicBool::new(false),
        out: Mutex::new(Ring::new(limits.ring, limits.ring_top)),
    });
    shop.clients.open().insert(key, client.clone());
    let (own, theirs) = (shop.clone(), client.clone());
    let body = move || {
        attend(&own, &theirs);
        own.clients.open().remove(&key);
    };
    if spawn("client", limits.stack, body).is_ok() {
        return None;
    }
    shop.clients.open().remove(&key);
    Arc::try_unwrap(client).ok().and_then(|c| Arc::into_inner(c.stream))
}

/// Answers, one after another, the connections that could not get a thread.
fn turn_away(shop: &Arc<Shop>, streams: &Receiver<TcpStream>) {
    for stream in streams {
        let limits = &shop.limits;
        let mut ring = Ring::new(limits.ring, limits.ring_top);
        let mut out = Ring::new(limits.ring, limits.head);
        let until = Instant::now() + limits.linger;
        let mut status = 408;
        while let Some(left) = until.checked_duration_since(Instant::now()).filter(|d| !d.is_zero()) {
            match http::call(&mut ring, &shop.lanes, limits) {
                Parsed::Whole(_) => status = 503,
                Parsed::Bad(bad) => status = bad,
                Parsed::More => {
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
    let mut ring = Ring::new(limits.ring, limits.ring_top);
    let (done, ended) = bounded(1);
    let mut begun: Option<Instant> = None;
    loop {
        let call = http::call(&mut ring, &shop.lanes, limits);
        // The next query may keep its connection waiting for as long as it likes.
        if matches!(call, Parsed::Whole(_)) && begun.take().is_some() {
            let _ = client.stream.set_read_timeout(None);
        }
        match call {
            Parsed::More => match more(&mut ring, client, &mut begun, limits.slow_client) {
                Ok(true) => client.used.store(shop.age(), Ordering::Relaxed),
                Ok(false) => return reject(shop, client, 408),
                Err(_) => return,
            },
            Parsed::Bad(status) => return reject(shop, client, status),
            Parsed::Whole(Call::Ready { close }) => {
                let status = if shop.draining() { 503 } else { 200 };
                if !client.answer(shop, status, 0.0, close, b"", b"") {
                    return;
                }
            }
            Parsed::Whole(Call::Query(asked)) => {
                client.turn(IDLE, BUSY);
                if !in_hand(shop, client, asked, &mut ring, &done, &ended) {
                    return;
                }
            }
        }
    }
}

/// Waits for more of a query. False: it has taken too long since its first byte.
fn more(ring: &mut Ring, client: &Client, begun: &mut Option<Instant>, slow: Duration) -> io::Result<bool> {
    if !ring.is_empty() {
        let since = begun.get_or_insert_with(Instant::now);
        let Some(left) = slow.checked_sub(since.elapsed()).filter(|d| !d.is_zero()) else { return Ok(false) };
        client.stream.set_read_timeout(Some(left))?;
    }
    match ring.fill(&mut &*client.stream) {
        Ok(0) => Err(ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(true),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(false),
        Err(e) if e.kind() == ErrorKind::Interrupted => Ok(true),
        Err(e) => Err(e),
    }
}

fn reject(shop: &Shop, client: &Client, status: u16) {
    client.answer(shop, status, 0.0, true, b"", b"");
    linger(&client.stream, shop.limits.linger, shop.limits.body);
}

/// Sees a query through on another thread, and watches meanwhile whether its client stays. False: the
/// connection has come to its end.
fn in_hand(
    shop: &Arc<Shop>,
    client: &Arc<Client>,
    asked: Box<Asked>,
    ring: &mut Ring,
    done: &Sender<bool>,
    ended: &Receiver<bool>,
) -> bool {
    let (id, at) = (shop.door.next_id(), Instant::now());
    let (own, theirs, done) = (shop.clone(), client.clone(), done.clone());
    let job = move || {
        // A fault of ours must leave neither the client without an answer nor the desk with the query.
        let life = AssertUnwindSafe(|| query::serve(&own, &theirs, &asked, id, at));
        let stays = catch_unwind(life).unwrap_or_else(|_| {
            own.door.tell(Note::Quit { id });
            theirs.answer(&own, 502, 0.0, true, b"", b"")
        });
        theirs.used.store(own.age(), Ordering::Relaxed);
        theirs.turn(BUSY, if stays { IDLE } else { CLOSED });
        let _ = done.try_send(stays);
        if !stays {
            // Wakes the thread that watches, whether the client closes or not.
            let _ = theirs.stream.shutdown(Shutdown::Both);
        }
    };
    if let Err(job) = shop.hands.run(Box::new(job)) {
        // No thread to be had: this one does it, and cannot watch.
        job();
        return ended.try_recv().unwrap_or(false);
    }
    // What was sent ahead is read when this query is through, and nothing more is read of a connection on its
    // way out; neither client is watched.
    if !ring.is_empty() || client.state.load(Ordering::Acquire) == CLOSED {
        return ended.recv().unwrap_or(false);
    }
    loop {
        let stays = match ring.fill(&mut &*client.stream) {
            Ok(n) => n > 0,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(_) => false,
        };
        if !stays && ended.try_recv().is_ok() {
            return false;
        }
        if !stays {
            client.gone.store(true, Ordering::SeqCst);
            shop.door.tell(Note::Left { id });
        }
        return ended.recv().unwrap_or(false) && stays;
    }
}
