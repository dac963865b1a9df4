//! Accepts client connections until the limiter stops.

use crate::client_session::ClientSession;
use crate::overflow::start_overflow_threads;
use crate::session_loop::run_session;
use crate::sessions::{Capacity, SessionId};
use crate::state::LimiterState;
use crossbeam_channel::Sender;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

/// Accepts connections until the limiter stops. Pauses are short, because every connection in the system's backlog must
/// get a response.
pub(crate) fn accept_connections(state: &Arc<LimiterState>, listener: &TcpListener) {
    let overflow = start_overflow_threads(state);
    let limits = &state.limits.clients;
    let mut next_session = 1;
    while !state.lifecycle.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                state.lifecycle.record_accept();
                serve_or_reject(state, stream, next_session, &overflow);
                next_session += 1;
            }
            // No file descriptor is available, or the client has disconnected.
            Err(error) => {
                tracing::debug!(%error, "a connection could not be accepted");
                state
                    .sessions
                    .close_idle(state.lifecycle.uptime_ms(), limits);
                sleep(limits.accept_pause);
            }
        }
    }
}

fn serve_or_reject(
    state: &Arc<LimiterState>,
    stream: TcpStream,
    id: SessionId,
    overflow: &Sender<TcpStream>,
) {
    let unserved = match await_capacity(state) {
        Capacity::Available => start_session(state, stream, id),
        Capacity::SoonAvailable | Capacity::Exhausted => Some(stream),
    };
    if let Some(stream) = unserved {
        // Blocks while the overflow threads are busy, so that connections wait in the system's backlog. Dropping them
        // would lose their requests.
        let _ = overflow.send(stream);
    }
}

/// Waits for a short time for capacity that is about to become available. A flood of silent connections is closed
/// within this time, so that it does not cause rejections.
fn await_capacity(state: &LimiterState) -> Capacity {
    let limits = &state.limits.clients;
    let deadline = Instant::now() + limits.min_unused_age;
    loop {
        let capacity = state
            .sessions
            .make_capacity(state.lifecycle.uptime_ms(), limits);
        if capacity != Capacity::SoonAvailable || Instant::now() >= deadline {
            return capacity;
        }
        sleep(limits.accept_pause);
    }
}

/// Starts a session on its own thread. Returns the connection if no thread is available.
fn start_session(state: &Arc<LimiterState>, stream: TcpStream, id: SessionId) -> Option<TcpStream> {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(state.limits.clients.write_timeout));
    let session = Arc::new(ClientSession::new(
        stream,
        state.lifecycle.uptime_ms(),
        &state.limits,
    ));
    state.sessions.add(id, session.clone());
    let (job_state, job_session) = (state.clone(), session.clone());
    let job = move || {
        let _registration = SessionRegistration {
            state: &job_state,
            id,
        };
        run_session(&job_state, &job_session);
    };
    let Err(job) = state.workers.run(Box::new(job)) else {
        return None;
    };
    drop(job);
    state.sessions.remove(id);
    Arc::try_unwrap(session)
        .ok()
        .and_then(ClientSession::into_stream)
}

/// Removes the session when its thread finishes or panics.
struct SessionRegistration<'s> {
    state: &'s LimiterState,
    id: SessionId,
}

impl Drop for SessionRegistration<'_> {
    fn drop(&mut self) {
        self.state.sessions.remove(self.id);
    }
}
