//! A connection to the counter with its pending calls.
//!
//! Calls are pipelined, so the replies on a connection arrive in the order of its calls. A call that times out is
//! reported as such; its late reply is still matched to it and then discarded.

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
    /// The name of the total.
    pub(super) name: u64,
    pub(super) amount: f32,
    pub(super) ttl: Millis,
    pub(super) called_at: Instant,
}

/// A call that was written and whose reply has not arrived.
struct PendingCall {
    name: u64,
    called_at: Instant,
    /// Whether the call has timed out and the dispatcher has been notified.
    is_reported: bool,
}

/// An established TCP connection.
struct Link {
    stream: Arc<TcpStream>,
    outgoing: RingBuffer,
    pending: VecDeque<PendingCall>,
    /// When data was last written or read.
    last_used: Instant,
    last_read: Instant,
}

impl Link {
    /// Returns whether the link was idle for so long that the counter may be closing it. It would be unknown whether a
    /// call that crosses with the close was added.
    fn is_stale(&self, idle_timeout: Duration) -> bool {
        self.pending.is_empty() && self.last_used.elapsed() > idle_timeout
    }

    /// Returns whether calls have been pending without any reply for so long that the counter's host may have failed.
    /// Such a failure can leave the connection open, and only a new connection reaches the replacement host.
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
    /// Calls that wait for the link. Non-empty only while the link is being opened.
    queued: VecDeque<Call>,
    is_opening: bool,
    /// Whether the counter's address has changed: pending calls are awaited, but no new ones are made.
    is_retired: bool,
    /// Events that did not fit into the dispatcher's mailbox.
    undelivered: VecDeque<DispatcherEvent>,
}

/// A connection to the counter, which is opened on demand.
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

    /// Writes a call, or queues it if there is no link. In that case `request_open` is called unless the link is
    /// already being opened; it returns whether the link will be opened.
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

    /// Takes over the unwritten calls of another connection.
    pub(super) fn take_over_queued(
        &self,
        calls: VecDeque<Call>,
        request_open: impl FnOnce() -> bool,
    ) {
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

    /// Stops making new calls, and closes the link once no call is pending. Returns the calls that were not written.
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

    /// Returns whether a retired connection has nothing left to report.
    pub(super) fn is_done(&self) -> bool {
        let state = self.state();
        state.link.is_none() && state.undelivered.is_empty() && !state.is_opening
    }

    /// Reports calls that have timed out, and closes a silent link.
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
        // The dispatcher writes to this socket and must not be blocked by a counter that does not read.
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
        // The call was not written completely, so it cannot have been added. The calls before it are reported first.
        self.close(state, None);
        self.report(
            &mut state.undelivered,
            call.name,
            call.called_at,
            Outcome::ConnectFailed,
            0.0,
        );
    }

    /// Closes the link and reports its pending calls, which may have been added, as timed out. Does nothing if
    /// `expected_stream` is given and the link uses another stream.
    fn close(&self, state: &mut State, expected_stream: Option<&Arc<TcpStream>>) {
        let is_expected = |link: &mut Link| {
            expected_stream.is_none_or(|stream| Arc::ptr_eq(stream, &link.stream))
        };
        let Some(link) = state.link.take_if(is_expected) else {
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

    /// Reports the queued calls as failed. They were never written, so nothing was added.
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

    /// Reports the outcome of a call to the dispatcher. The caller holds this connection's lock, which preserves the
    /// order of outcomes. Never blocks, because the dispatcher takes the same lock and would deadlock.
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

    /// Reads replies until the link is closed.
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

    /// Processes the replies in the buffer and reports the outcomes of their calls. Returns false if the link must be
    /// closed.
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
