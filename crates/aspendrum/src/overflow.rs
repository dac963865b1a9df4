//! Rejects the requests of connections that exceed the limiter's capacity.

use crate::http::status::{REQUEST_TIMEOUT, SERVICE_UNAVAILABLE};
use crate::http::{parse_request, ClientResponse, Parsed};
use crate::state::LimiterState;
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Starts the overflow threads and returns the channel for their connections. The threads are started in advance,
/// because starting one may fail when the limiter is overloaded.
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
        if ClientResponse::closing(status).write(&mut outgoing) {
            let _ = stream.set_write_timeout(Some(limits.clients.linger));
            let _ = outgoing.drain(&mut &stream);
        }
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// Reads a request with a short timeout and returns the status of its response.
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
