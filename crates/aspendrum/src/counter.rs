//! Calls to the counter: written one behind another over a few connections, so that the answers of one name
//! come in the order of its calls. A call unanswered in time is told as timed out; its late answer is read in
//! its turn and thrown away. The desk writes calls itself where a connection stands: a thread between them
//! cost a sixth of a limiter's time. Connecting, which can take long, is the opener's.

use crate::clock::as_ms;
use crate::limits::Limits;
use crate::notes::{Door, Note};
use crate::resp::{self, Parsed, Reply};
use aspendrum_core::api::{Event, Millis, Outcome};
use aspendrum_net::mailbox::{self, MailboxSender};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::{lock, spawn};
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

struct Call {
    name: u64,
    add: f32,
    ttl: Millis,
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
    outward: RingBuffer,
    pending: VecDeque<Pending>,
    /// When something was last written or read, and when something was last read.
    used: Instant,
    heard: Instant,
}

/// One connection's place.
struct Lane {
    state: Mutex<State>,
    door: Arc<Door>,
    limits: Arc<Limits>,
    addr: SocketAddr,
}

#[derive(Default)]
struct State {
    link: Option<Link>,
    /// Calls that wait for the connection; there are some only while it is being opened.
    queued: VecDeque<Call>,
    opening: bool,
    /// The counter has moved: nothing new goes here, and what is pending is read out.
    retired: bool,
    /// What the desk's inbox had no room for.
    late: VecDeque<Note>,
}

pub struct Counter {
    addr: SocketAddr,
    lanes: Vec<Arc<Lane>>,
    /// Lanes to where the counter was before, until their last call is answered or over.
    retired: Vec<Arc<Lane>>,
    opener: MailboxSender<Arc<Lane>>,
    door: Arc<Door>,
    limits: Arc<Limits>,
}

impl Counter {
    pub fn start(
        addr: SocketAddr,
        door: &Arc<Door>,
        limits: &Arc<Limits>,
    ) -> std::io::Result<Counter> {
        // Room for the lanes of two places: a move may find the old ones still waiting to be opened.
        let opener = mailbox::spawn_receiver(
            2 * limits.lanes,
            |lanes: mailbox::MailboxReceiver<Arc<Lane>>| {
                spawn("counter", limits.stack, move || {
                    while let Ok(lane) = lanes.recv_deadline(None) {
                        lane.open();
                    }
                })
            },
        )?;
        let (retired, door, limits) = (Vec::new(), door.clone(), limits.clone());
        let mut counter = Counter {
            addr,
            lanes: Vec::new(),
            retired,
            opener,
            door,
            limits,
        };
        counter.lanes = counter.lanes_to(addr);
        Ok(counter)
    }

    fn lanes_to(&self, addr: SocketAddr) -> Vec<Arc<Lane>> {
        let lane = |_| {
            let (state, door, limits) = (Mutex::default(), self.door.clone(), self.limits.clone());
            Arc::new(Lane {
                state,
                door,
                limits,
                addr,
            })
        };
        (0..self.limits.lanes).map(lane).collect()
    }

    /// Goes over to another address at once. Calls that were not written yet go there, those that were are
    /// read out: their adds have been made or will be. Both places answer true totals, so that an answer
    /// from the new one may overtake one of the same name.
    pub fn move_to(&mut self, addr: SocketAddr) {
        if addr == self.addr {
            return;
        }
        tracing::info!(%addr, "the counter has moved");
        self.addr = addr;
        let lanes = self.lanes_to(addr);
        let old = std::mem::replace(&mut self.lanes, lanes);
        for (from, to) in old.iter().zip(&self.lanes) {
            let mut state = from.state();
            state.retired = true;
            let unwritten = std::mem::take(&mut state.queued);
            from.rest(&mut state);
            drop(state);
            let mut state = to.state();
            state.queued = unwritten;
            self.open(to, &mut state);
        }
        self.retired.extend(old);
    }

    fn open(&self, lane: &Arc<Lane>, state: &mut State) {
        if !state.opening {
            state.opening = self.opener.try_send(lane.clone()).is_ok();
        }
        if !state.opening || state.queued.len() > lane.limits.lane_queue {
            lane.unsent(state);
        }
    }

    /// Makes one call. What becomes of it is told to the desk, in the order of the calls of its name.
    pub fn call(&self, name: u64, add: f32, ttl: Millis) {
        let Some(lane) = self.lanes.get(name as usize % self.lanes.len().max(1)) else {
            return;
        };
        let call = Call {
            name,
            add,
            ttl,
            at: Instant::now(),
        };
        let mut state = lane.state();
        // A call must not cross with an idle close, for nobody could tell whether it was added.
        let stale = |l: &Link| l.pending.is_empty() && l.used.elapsed() > lane.limits.counter_idle;
        if state.link.as_ref().is_some_and(stale) {
            lane.broke(&mut state, None);
        }
        if state.link.is_some() {
            return lane.write(&mut state, call);
        }
        state.queued.push_back(call);
        self.open(lane, &mut state);
    }

    /// Tells the desk of calls whose time is over; the desk looks in with each of its beats.
    pub fn expire(&mut self) {
        self.lanes.iter().for_each(|lane| lane.expire());
        self.retired.retain(|lane| {
            lane.expire();
            !lane.done()
        });
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.opener.close();
    }
}

impl Lane {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Everything goes through the desk's inbox, under the lane's lock and without waiting: so outcomes of a
    /// name keep their order, and the desk, which takes this lock too, is never waited for.
    fn tell(
        &self,
        late: &mut VecDeque<Note>,
        name: u64,
        at: Instant,
        outcome: Outcome,
        total: f32,
    ) {
        let rtt = as_ms(at.elapsed());
        late.push_back(Note::Told(Event::CounterReplied {
            name,
            outcome,
            total,
            rtt,
        }));
        self.deliver(late);
    }

    fn deliver(&self, late: &mut VecDeque<Note>) {
        while let Some(note) = late.pop_front() {
            if let Err(note) = self.door.offer(note) {
                return late.push_front(note);
            }
        }
    }

    /// Calls that were never written: nothing was added.
    fn unsent(&self, state: &mut State) {
        for c in state.queued.drain(..) {
            self.tell(&mut state.late, c.name, c.at, Outcome::ConnectFailed, 0.0);
        }
    }

    /// Ends a retired lane's connection once nothing is pending there.
    fn rest(&self, state: &mut State) {
        if state.retired && state.link.as_ref().is_some_and(|l| l.pending.is_empty()) {
            self.broke(state, None);
        }
    }

    fn done(&self) -> bool {
        let state = self.state();
        state.link.is_none() && state.late.is_empty() && !state.opening
    }

    /// Ends the connection, if it still is that one. What was written and not answered may have been added.
    fn broke(&self, state: &mut State, only: Option<&Arc<TcpStream>>) {
        if let Some(link) = state
            .link
            .take_if(|l| only.is_none_or(|s| Arc::ptr_eq(s, &l.stream)))
        {
            let _ = link.stream.shutdown(Shutdown::Both);
            for p in link.pending.iter().filter(|p| !p.told) {
                self.tell(&mut state.late, p.name, p.at, Outcome::TimedOut, 0.0);
            }
        }
    }

    fn write(&self, state: &mut State, call: Call) {
        let Some(link) = state.link.as_mut() else {
            return;
        };
        resp::add(&mut link.outward, call.name, call.add, call.ttl);
        let written = link.outward.drain(&mut &*link.stream);
        link.used = Instant::now();
        if written.is_ok() {
            return link.pending.push_back(Pending {
                name: call.name,
                at: call.at,
                told: false,
            });
        }
        // Without its last byte it was not added. Those before it stand in line first.
        self.broke(state, None);
        self.tell(
            &mut state.late,
            call.name,
            call.at,
            Outcome::ConnectFailed,
            0.0,
        );
    }

    fn expire(&self) {
        let mut place = self.state();
        let state = &mut *place;
        let (wait, silence) = (self.limits.counter_wait, self.limits.counter_silence);
        self.deliver(&mut state.late);
        if let Some(link) = state.link.as_mut() {
            for p in link
                .pending
                .iter_mut()
                .filter(|p| !p.told && p.at.elapsed() >= wait)
            {
                p.told = true;
                self.tell(&mut state.late, p.name, p.at, Outcome::TimedOut, 0.0);
            }
            // A machine that vanished leaves its connections open and silent; only a new one finds it back.
            let oldest = link
                .pending
                .front()
                .map_or(Duration::ZERO, |p| p.at.elapsed());
            if oldest > silence && link.heard.elapsed() > silence {
                self.broke(state, None);
            }
        }
        while let Some(c) = state.queued.pop_front_if(|c| c.at.elapsed() >= wait) {
            self.tell(&mut state.late, c.name, c.at, Outcome::ConnectFailed, 0.0);
        }
    }

    /// Opens the connection and writes what waits for it.
    fn open(self: &Arc<Self>) {
        let wait = self.limits.counter_wait.max(self.limits.shortest);
        let stream = TcpStream::connect_timeout(&self.addr, wait).and_then(|stream| {
            stream.set_nodelay(true)?;
            // The desk writes: a counter that reads nothing must not hold it up.
            stream.set_write_timeout(Some(self.limits.shortest))?;
            Ok(Arc::new(stream))
        });
        let mut state = self.state();
        state.opening = false;
        if state.retired {
            return;
        }
        let Ok(stream) = stream else {
            return self.unsent(&mut state);
        };
        let (lane, theirs) = (self.clone(), stream.clone());
        if spawn("counter in", self.limits.stack, move || lane.read(&theirs)).is_err() {
            return self.unsent(&mut state);
        }
        let (now, pending) = (Instant::now(), VecDeque::new());
        let outward = RingBuffer::new(self.limits.ring, self.limits.head);
        state.link = Some(Link {
            stream,
            outward,
            pending,
            used: now,
            heard: now,
        });
        while let Some(call) = state.queued.pop_front() {
            if state.link.is_none() {
                state.queued.push_front(call);
                return self.unsent(&mut state);
            }
            self.write(&mut state, call);
        }
    }

    fn read(&self, stream: &Arc<TcpStream>) {
        let mut ring = RingBuffer::new(self.limits.ring, self.limits.head);
        loop {
            match ring.fill(&mut &**stream) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                _ => break,
            }
            if !self.replies(stream, &mut ring) {
                break;
            }
        }
        self.broke(&mut self.state(), Some(stream));
    }

    /// False: this connection is at its end.
    fn replies(&self, stream: &Arc<TcpStream>, ring: &mut RingBuffer) -> bool {
        let mut place = self.state();
        let state = &mut *place;
        let Some(link) = state
            .link
            .as_mut()
            .filter(|l| Arc::ptr_eq(&l.stream, stream))
        else {
            return false;
        };
        (link.used, link.heard) = (Instant::now(), Instant::now());
        loop {
            let reply = match resp::reply(ring) {
                Parsed::Whole(reply) => reply,
                Parsed::More => return true,
                Parsed::Nonsense => return false,
            };
            let Some(p) = link.pending.pop_front() else {
                return false;
            };
            let (outcome, total) = match reply {
                _ if p.at.elapsed() >= self.limits.counter_wait => (Outcome::TimedOut, 0.0),
                Reply::Total(total) => (Outcome::Ok, total),
                Reply::TurnedAway => (Outcome::Rejected, 0.0),
            };
            if !p.told {
                self.tell(&mut state.late, p.name, p.at, outcome, total);
            }
            if state.retired && link.pending.is_empty() {
                return false;
            }
        }
    }
}
