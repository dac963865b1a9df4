//! Calls to the counter: written one behind another over a few connections, so that the answers of one name
//! come in the order of its calls. A call unanswered in time is told as timed out; its late answer is read in
//! its turn and thrown away.

use crate::config::ms;
use crate::desk::{Door, Note};
use crate::hands::spawn;
use crate::limits::Limits;
use crate::mail::{self, Inbox, Nothing, Post};
use crate::resp::{self, Parsed, Reply};
use crate::ring::Ring;
use aspendrum_core::api::{Ms, Outcome};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

struct Call {
    name: u64,
    add: f32,
    ttl: Ms,
    at: Instant,
}

/// A call that was written and whose answer has not come.
struct Pending {
    name: u64,
    at: Instant,
    /// The desk has heard that it timed out.
    told: bool,
}

struct Link {
    stream: Arc<TcpStream>,
    pending: VecDeque<Pending>,
    /// When something was last written or read.
    used: Instant,
    heard: Instant,
}

/// One connection's place; there may be none at the moment.
struct Lane {
    link: Mutex<Option<Link>>,
    door: Arc<Door>,
    limits: Arc<Limits>,
    addr: SocketAddr,
}

pub struct Counter {
    lanes: Vec<Post<Call>>,
}

impl Counter {
    pub fn start(addr: SocketAddr, door: &Arc<Door>, limits: &Arc<Limits>) -> std::io::Result<Counter> {
        let mut lanes = Vec::new();
        for _ in 0..limits.lanes {
            let (link, door, limits) = (Mutex::new(None), door.clone(), limits.clone());
            let (room, stack) = (limits.lane_queue, limits.stack);
            let lane = Arc::new(Lane { link, door, limits, addr });
            lanes.push(mail::with(room, |calls| spawn("counter", stack, move || run(&lane, &calls)))?);
        }
        Ok(Counter { lanes })
    }

    /// False: there is no room, and nothing will be added.
    pub fn call(&self, name: u64, add: f32, ttl: Ms) -> bool {
        let lane = name as usize % self.lanes.len().max(1);
        let call = Call { name, add, ttl, at: Instant::now() };
        self.lanes.get(lane).is_some_and(|to| to.offer(call))
    }
}

fn run(lane: &Arc<Lane>, calls: &Inbox<Call>) {
    let mut batch = Vec::new();
    loop {
        match calls.next(lane.next_due()) {
            Ok(call) => {
                batch.push(call);
                batch.extend(calls.waiting());
                lane.write(&mut batch);
            }
            Err(Nothing::Yet) => {}
            Err(Nothing::Ever) => return,
        }
        lane.expire();
    }
}

impl Lane {
    fn link(&self) -> MutexGuard<'_, Option<Link>> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, name: u64, at: Instant, outcome: Outcome, total: f32) {
        let rtt = at.elapsed().as_secs_f64() * 1000.0;
        self.door.tell(Note::Counted { name, outcome, total, rtt });
    }

    fn next_due(&self) -> Option<Instant> {
        let link = self.link();
        let waits = link.as_ref()?.pending.iter().find(|p| !p.told)?;
        Some(waits.at + self.limits.counter_wait)
    }

    fn expire(&self) {
        let mut place = self.link();
        let Some(link) = place.as_mut() else { return };
        let wait = self.limits.counter_wait;
        for p in link.pending.iter_mut().filter(|p| !p.told && p.at.elapsed() >= wait) {
            p.told = true;
            self.tell(p.name, p.at, Outcome::TimedOut, 0.0);
        }
        // A machine that vanished leaves its connections open and silent; only a new one finds it back.
        let oldest = link.pending.front().map_or(Duration::ZERO, |p| p.at.elapsed());
        let silence = self.limits.counter_silence;
        if oldest > silence && link.heard.elapsed() > silence {
            self.broke(&mut place, None);
        }
    }

    /// Ends the connection. What was written and not answered may have been added.
    fn broke(&self, place: &mut Option<Link>, only: Option<&Arc<TcpStream>>) {
        if let Some(link) = place.take_if(|l| only.is_none_or(|s| Arc::ptr_eq(s, &l.stream))) {
            let _ = link.stream.shutdown(Shutdown::Both);
            for p in link.pending.iter().filter(|p| !p.told) {
                self.tell(p.name, p.at, Outcome::TimedOut, 0.0);
            }
        }
    }

    fn write(self: &Arc<Self>, batch: &mut Vec<Call>) {
        let Some(stream) = self.connected() else {
            return batch.drain(..).for_each(|c| self.tell(c.name, c.at, Outcome::ConnectFailed, 0.0));
        };
        let (mut bytes, mut ends) = (Vec::with_capacity(64 * batch.len()), Vec::new());
        for call in batch.iter() {
            resp::add(&mut bytes, call.name, call.add, call.ttl);
            ends.push(bytes.len());
        }
        // They stand in line before they are written: the answers may be back before this thread is.
        let now = Instant::now();
        let queued = self.link().as_mut().filter(|l| Arc::ptr_eq(&l.stream, &stream)).map(|link| {
            link.used = now;
            let call = |c: &Call| Pending { name: c.name, at: c.at, told: false };
            link.pending.extend(batch.iter().map(call));
        });
        if queued.is_none() {
            // It broke in this very moment, before a byte was written.
            return batch.drain(..).for_each(|c| self.tell(c.name, c.at, Outcome::ConnectFailed, 0.0));
        }
        batch.clear();
        let mut written = 0;
        while written < bytes.len() {
            match (&mut &*stream).write(&bytes[written..]) {
                Ok(n) if n > 0 => written += n,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        if written < bytes.len() {
            // The calls whose last byte was not written were not added; they stand last in line.
            let unsent = ends.iter().filter(|end| **end > written).count();
            let mut place = self.link();
            if let Some(link) = place.as_mut().filter(|l| Arc::ptr_eq(&l.stream, &stream)) {
                let keep = link.pending.len().saturating_sub(unsent);
                let dropped = link.pending.split_off(keep);
                self.broke(&mut place, Some(&stream));
                for p in dropped.iter().filter(|p| !p.told) {
                    self.tell(p.name, p.at, Outcome::ConnectFailed, 0.0);
                }
            }
        }
    }

    /// The connection, a new one if there is none or the counter may be about to close it: a call must not
    /// cross with an idle close, for nobody could tell whether it was added.
    fn connected(self: &Arc<Self>) -> Option<Arc<TcpStream>> {
        {
            let mut place = self.link();
            let stale = |l: &Link| l.pending.is_empty() && l.used.elapsed() > self.limits.counter_idle;
            if place.as_ref().is_some_and(stale) {
                self.broke(&mut place, None);
            }
            if let Some(link) = place.as_ref() {
                return Some(link.stream.clone());
            }
        }
        let wait = self.limits.counter_wait.max(Duration::from_millis(1));
        let stream = Arc::new(TcpStream::connect_timeout(&self.addr, wait).ok()?);
        stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(wait))).ok()?;
        let (now, pending) = (Instant::now(), VecDeque::new());
        *self.link() = Some(Link { stream: stream.clone(), pending, used: now, heard: now });
        let (lane, theirs) = (self.clone(), stream.clone());
        if spawn("counter in", self.limits.stack, move || lane.read(&theirs)).is_err() {
            self.broke(&mut self.link(), None);
            return None;
        }
        Some(stream)
    }

    fn read(&self, stream: &Arc<TcpStream>) {
        let mut ring = Ring::new(self.limits.ring, self.limits.head);
        loop {
            match ring.fill(&mut &**stream) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                _ => break,
            }
            if !self.replies(stream, &mut ring) {
                break;
            }
        }
        self.broke(&mut self.link(), Some(stream));
    }

    fn replies(&self, stream: &Arc<TcpStream>, ring: &mut Ring) -> bool {
        let mut place = self.link();
        let Some(link) = place.as_mut().filter(|l| Arc::ptr_eq(&l.stream, stream)) else { return false };
        (link.used, link.heard) = (Instant::now(), Instant::now());
        loop {
            let reply = match resp::reply(ring) {
                Parsed::Whole(reply) => reply,
                Parsed::More => return true,
                Parsed::Nonsense => return false,
            };
            let Some(p) = link.pending.pop_front() else { return false };
            let (outcome, total) = match reply {
                Reply::Total(total) => (Outcome::Ok, total),
                Reply::Refused => (Outcome::Full, 0.0),
            };
            if !p.told && p.at.elapsed() < self.limits.counter_wait + ms(1.0) {
                self.tell(p.name, p.at, outcome, total);
            } else if !p.told {
                self.tell(p.name, p.at, Outcome::TimedOut, 0.0);
            }
        }
    }
}
