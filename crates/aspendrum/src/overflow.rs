//! Connections that cannot be served: each is answered that its request is rejected.

use crate::http::status::{REQUEST_TIMEOUT, SERVICE_UNAVAILABLE};
use crate::http::{parse_request, OwnResponse, Parsed};
use crate::state::LimiterState;
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts the threads that answer these connections; returns where they are sent. The threads are started in advance, for
/// when they are needed there may be none to be had.
pub(crate) fn start_overflow_threads(state: &Arc<LimiterState>) -> Sender<TcpStream> {
    let limits = &state.limits;
    let (sender, streams) = bounded(limits.clients.overflow / 2);
    for _ in 0..limits.clients.overflow_threads {
        let (state, streams) = (state.clone(), streams.clone());
        let body = move || reject_all(&state, &streams);
        if let Err(error) = spawn("overflow", limits.threads.stack_bytes, body) {
            tracing::warn!(%error, "an overflow thread did not start");
        }
    }
    sender
}

fn reject_all(state: &LimiterState, streams: &Receiver<TcpStream>) {
    for stream in streams {
        let limits = &state.limits;
        let status = read_request(state, &stream);
        let mut outgoing =
            RingBuffer::new(limits.buffers.initial_bytes, limits.messages.head_bytes);
        if OwnResponse::closing(status).write(&mut outgoing) {
            let _ = stream.set_write_timeout(Some(limits.clients.linger));
            let _ = outgoing.drain(&mut &stream);
        }
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// Reads a request, for a short time; returns the status with which it is answered.
fn read_request(state: &LimiterState, stream: &TcpStream) -> u16 {
    let limits = &state.limits;
    let mut incoming = RingBuffer::new(limits.buffers.initial_bytes, limits.buffers.max_bytes);
    let deadline = Instant::now() + limits.clients.linger;
    while let Some(remaining) = remaining_until(deadline) {
        match parse_request(&mut incoming, &state.schema, &limits.messages) {
            Parsed::Complete(_) => return SERVICE_UNAVAILABLE,
            Parsed::Invalid(status) => return status,
            Parsed::Incomplete => {}
        }
        let limited = stream.set_read_timeout(Some(remaining));
        match limited.and_then(|()| incoming.fill(&mut &*stream)) {
            Ok(read) if read > 0 => {}
            _ => break,
        }
    }
    REQUEST_TIMEOUT
}

fn remaining_until(deadline: Instant) -> Option<Duration> {
    deadline
        .checked_duration_since(Instant::now())
        .filter(|remaining| !remaining.is_zero())
}
