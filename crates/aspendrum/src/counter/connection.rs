//! One of the connections to the counter, and the calls on it.
//!
//! Calls are written one after another without waiting for replies (pipelining), so that the replies of one connection come
//! in the order of its calls. A call whose time-out passes is reported as timed out; its late reply is read in its turn and
//! discarded.

use super::resp::{parse_reply, write_add, CounterReply, ParsedReply};
use crate::clock::millis_from_duration;
use crate::dispatcher_handle::DispatcherHandle;
use crate::event::DispatcherEvent;
use crate::limits::Limits;
use aspendrum_core::api::{Event, Millis, Outcome};
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::{lock, spawn};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A call that has not been written.
pub(super) struct Call {
    /// The total's name.
    pub(super) name: u64,
    pub(super) amount: f32,
    pub(super) ttl: Millis,
    pub(super) called_at: Instant,
}

/// A call that was written and whose reply has not arrived.
struct PendingCall {
    name: u64,
    called_at: Instant,
    /// Its time-out has passed, and the dispatcher was notified.
    is_reported: bool,
}

/// An established connection.
struct Link {
    stream: Arc<TcpStream>,
    outgoing: RingBuffer,
    pending: VecDeque<PendingCall>,
    /// When something was last written or read.
    last_used: Instant,
    last_read: Instant,
}

impl Link {
    /// Whether it was idle for so long that the counter may be closing it. A call that crosses with the close may or may
    /// not have been added, and nobody could tell.
    fn is_stale(&self, idle_timeout: Duration) -> bool {
        self.pending.is_empty() && self.last_used.elapsed() > idle_timeout
    }

    /// Whether calls have been pending without any reply for so long that the counter's machine may be gone. That leaves
    /// connections open and silent, and only a new one reaches its successor.
    fn is_silent(&self, timeout: Duration) -> bool {
        let oldest = self
            .pending
            .front()
            .map_or(Duration::ZERO, |call| call.called_at.elapsed());
        oldest > timeout && self.last_read.elapsed() > timeout
    }
}

#[derive(Default)]
struct State {
    link: Option<Link>,
    /// Calls that wait for the link; there are some only while it is being opened.
    queued: VecDeque<Call>,
    is_opening: bool,
    /// The counter has moved: no new call is made here, and the pending ones are awaited.
    is_retired: bool,
    /// Events that the dispatcher's mailbox had no room for.
    undelivered: VecDeque<DispatcherEvent>,
}

/// A connection to the counter, established or not.
pub(super) struct CounterConnection {
    state: Mutex<State>,
    dispatcher: Arc<DispatcherHandle>,
    limits: Arc<Limits>,
    address: SocketAddr,
}

impl CounterConnection {
    pub(super) fn new(
        address: SocketAddr,
        dispatcher: &Arc<DispatcherHandle>,
        limits: &Arc<Limits>,
    ) -> CounterConnection {
        let (dispatcher, limits) = (dispatcher.clone(), limits.clone());
        CounterConnection {
            state: Mutex::default(),
            dispatcher,
            limits,
            address,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Writes a call, or queues it if there is no link. Then `request_open` is called, and returns whether the link will
    /// be opened.
    pub(super) fn call(&self, call: Call, request_open: impl FnOnce() -> bool) {
        let mut state = self.state();
        let idle_timeout = self.limits.counter.idle_timeout;
        if state
            .link
            .as_ref()
            .is_some_and(|link| link.is_stale(idle_timeout))
        {
            self.close(&mut state, None);
        }
        if state.link.is_some() {
            return self.write(&mut state, call);
        }
        state.queued.push_back(call);
        self.ensure_opening(&mut state, request_open);
    }

    /// Takes over the calls that another connection has not written.
    pub(super) fn adopt_queued(&self, calls: VecDeque<Call>, request_open: impl FnOnce() -> bool) {
        let mut state = self.state();
        state.queued = calls;
        self.ensure_opening(&mut state, request_open);
    }

    fn ensure_opening(&self, state: &mut State, request_open: impl FnOnce() -> bool) {
        if !state.is_opening {
            state.is_opening = request_open();
        }
        if !state.is_opening || state.queued.len() > self.limits.counter.max_queued {
            self.fail_queued(state);
        }
    }

    /// Makes no new calls from now on, and closes once no call is pending. Returns the calls that were not written.
    pub(super) fn retire(&self) -> VecDeque<Call> {
        let mut state = self.state();
        state.is_retired = true;
        let unwritten = std::mem::take(&mut state.queued);
        if state
            .link
            .as_ref()
            .is_some_and(|link| link.pending.is_empty())
        {
            self.close(&mut state, None);
        }
        unwritten
    }

    /// Whether a retired connection has nothing left to report.
    pub(super) fn is_done(&self) -> bool {
        let state = self.state();
        state.link.is_none() && state.undelivered.is_empty() && !state.is_opening
    }

    /// Reports calls whose time-out has passed.
    pub(super) fn expire(&self) {
        let mut guard = self.state();
        let state = &mut *guard;
        let timeout = self.limits.counter.timeout;
        self.deliver(&mut state.undelivered);
        if let Some(link) = state.link.as_mut() {
            let is_due =
                |call: &&mut PendingCall| !call.is_reported && call.called_at.elapsed() >= timeout;
            for call in link.pending.iter_mut().filter(is_due) {
                call.is_reported = true;
                self.report(
                    &mut state.undelivered,
                    call.name,
                    call.called_at,
                    Outcome::TimedOut,
                    0.0,
                );
            }
            if link.is_silent(self.limits.counter.silence_timeout) {
                self.close(state, None);
            }
        }
        while let Some(call) = state
            .queued
            .pop_front_if(|call| call.called_at.elapsed() >= timeout)
        {
            self.report(
                &mut state.undelivered,
                call.name,
                call.called_at,
                Outcome::ConnectFailed,
                0.0,
            );
        }
    }

    /// Opens the link and writes the queued calls.
    pub(super) fn open(self: &Arc<Self>) {
        let stream = self.connect();
        let mut state = self.state();
        state.is_opening = false;
        if state.is_retired {
            return;
        }
        let Ok(stream) = stream else {
            return self.fail_queued(&mut state);
        };
        let (connection, readable) = (self.clone(), stream.clone());
        let reader = move || connection.read_replies(&readable);
        if spawn("counter reader", self.limits.threads.stack_bytes, reader).is_err() {
            return self.fail_queued(&mut state);
        }
        let now = Instant::now();
        state.link = Some(Link {
            stream,
            outgoing: RingBuffer::new(
                self.limits.buffers.initial_bytes,
                self.limits.messages.head_bytes,
            ),
            pending: VecDeque::new(),
            last_used: now,
            last_read: now,
        });
        self.write_queued(&mut state);
    }

    fn connect(&self) -> io::Result<Arc<TcpStream>> {
        let min_timeout = self.limits.min_socket_timeout;
        let timeout = self.limits.counter.timeout.max(min_timeout);
        let stream = TcpStream::connect_timeout(&self.address, timeout)?;
        stream.set_nodelay(true)?;
        // The dispatcher writes: a counter that reads nothing must not block it.
        stream.set_write_timeout(Some(min_timeout))?;
        Ok(Arc::new(stream))
    }

    fn write_queued(&self, state: &mut State) {
        while let Some(call) = state.queued.pop_front() {
            if state.link.is_none() {
                state.queued.push_front(call);
                return self.fail_queued(state);
            }
            self.write(state, call);
        }
    }

    fn write(&self, state: &mut State, call: Call) {
        let Some(link) = state.link.as_mut() else {
            return;
        };
        write_add(&mut link.outgoing, call.name, call.amount, call.ttl);
        let written = link.outgoing.drain(&mut &*link.stream);
        link.last_used = Instant::now();
        if written.is_ok() {
            let (name, called_at) = (call.name, call.called_at);
            return link.pending.push_back(PendingCall {
                name,
                called_at,
                is_reported: false,
            });
        }
        // Without its last byte the call cannot have been added. The calls before it are reported first.
        self.close(state, None);
        self.report(
            &mut state.undelivered,
            call.name,
            call.called_at,
            Outcome::ConnectFailed,
            0.0,
        );
    }

    /// Closes the link, if it still is the one of that stream. Its pending calls may have been added.
    fn close(&self, state: &mut State, only: Option<&Arc<TcpStream>>) {
        let is_meant =
            |link: &mut Link| only.is_none_or(|stream| Arc::ptr_eq(stream, &link.stream));
        let Some(link) = state.link.take_if(is_meant) else {
            return;
        };
        let _ = link.stream.shutdown(Shutdown::Both);
        for call in link.pending.iter().filter(|call| !call.is_reported) {
            self.report(
                &mut state.undelivered,
                call.name,
                call.called_at,
                Outcome::TimedOut,
                0.0,
            );
        }
    }

    /// Reports the queued calls: they were never written, so nothing was added.
    fn fail_queued(&self, state: &mut State) {
        for call in state.queued.drain(..) {
            self.report(
                &mut state.undelivered,
                call.name,
                call.called_at,
                Outcome::ConnectFailed,
                0.0,
            );
        }
    }

    /// Reports the outcome of a call to the dispatcher, under this connection's lock and without waiting: outcomes of a name
    /// keep their order, and the dispatcher, which takes this lock too, never waits for itself.
    fn report(
        &self,
        undelivered: &mut VecDeque<DispatcherEvent>,
        name: u64,
        called_at: Instant,
        outcome: Outcome,
        total: f32,
    ) {
        let rtt = millis_from_duration(called_at.elapsed());
        undelivered.push_back(DispatcherEvent::Engine(Event::CounterReplied {
            name,
            outcome,
            total,
            rtt,
        }));
        self.deliver(undelivered);
    }

    fn deliver(&self, undelivered: &mut VecDeque<DispatcherEvent>) {
        while let Some(event) = undelivered.pop_front() {
            if let Err(event) = self.dispatcher.try_send(event) {
                return undelivered.push_front(event);
            }
        }
    }

    /// Reads replies until the link ends.
    fn read_replies(&self, stream: &Arc<TcpStream>) {
        let mut buffer = RingBuffer::new(
            self.limits.buffers.initial_bytes,
            self.limits.messages.head_bytes,
        );
        loop {
            match buffer.fill(&mut &**stream) {
                Ok(read) if read > 0 => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                _ => break,
            }
            if !self.handle_replies(stream, &mut buffer) {
                break;
            }
        }
        self.close(&mut self.state(), Some(stream));
    }

    /// Reports the calls whose replies are in the buffer. Returns false if the link is at its end.
    fn handle_replies(&self, stream: &Arc<TcpStream>, buffer: &mut RingBuffer) -> bool {
        let mut guard = self.state();
        let state = &mut *guard;
        let link = state
            .link
            .as_mut()
            .filter(|link| Arc::ptr_eq(&link.stream, stream));
        let Some(link) = link else { return false };
        (link.last_used, link.last_read) = (Instant::now(), Instant::now());
        loop {
            let reply = match parse_reply(buffer) {
                ParsedReply::Complete(reply) => reply,
                ParsedReply::Incomplete => return true,
                ParsedReply::Invalid => return false,
            };
            let Some(call) = link.pending.pop_front() else {
                return false;
            };
            let (outcome, total) = match reply {
                _ if call.called_at.elapsed() >= self.limits.counter.timeout => {
                    (Outcome::TimedOut, 0.0)
                }
                CounterReply::Total(total) => (Outcome::Ok, total),
                CounterReply::Rejected => (Outcome::Rejected, 0.0),
            };
            if !call.is_reported {
                self.report(
                    &mut state.undelivered,
                    call.name,
                    call.called_at,
                    outcome,
                    total,
                );
            }
            if state.is_retired && link.pending.is_empty() {
                return false;
            }
        }
    }
}
