//! A handle with which other threads observe a request that is being forwarded, and abort it.

use crate::threads::lock;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The stage of forwarding a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStage {
    /// No attempt is in flight: the request is waiting for server capacity, for a quota counter, or for a retry.
    Waiting,
    /// A connection to a server is being taken from the pool or opened.
    Connecting,
    /// The request is being written and may not have been sent completely.
    Sending,
    /// The request has been sent completely.
    AtServer,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request must not be executed more than once.
    NonIdempotent,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The stage of the current attempt.
    pub stage: ForwardStage,
    /// Whether the current attempt was aborted at this stage.
    pub is_aborted: bool,
    /// The time since the last attempt ended, if it ended after the client disconnected. The request is about to end
    /// then.
    pub time_since_end: Option<Duration>,
}

/// The attempts to forward a request. They are sequential and numbered from 0.
pub struct ForwardHandle {
    /// Whether the request may be executed more than once.
    pub kind: RequestKind,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Attempts with numbers below this are cancelled.
    cancelled_below: u16,
    /// Whether the client has disconnected. No further attempt may begin then.
    is_client_disconnected: bool,
    /// When the last attempt ended after the disconnect.
    ended_at: Option<Instant>,
    in_flight: Option<InFlight>,
}

/// An attempt in flight.
struct InFlight {
    attempt: u8,
    stream: Arc<TcpStream>,
    stage: ForwardStage,
    is_aborted: bool,
}

impl State {
    fn may_proceed(&self, attempt: u8) -> bool {
        !self.is_client_disconnected && !self.is_cancelled(attempt)
    }

    fn is_cancelled(&self, attempt: u8) -> bool {
        self.cancelled_below > u16::from(attempt)
    }
}

impl ForwardHandle {
    /// Creates a handle without an attempt in flight.
    pub fn new(kind: RequestKind) -> ForwardHandle {
        ForwardHandle {
            kind,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Begins an attempt on the given socket, which need not be connected yet. Returns false, without beginning the
    /// attempt, if it was cancelled or the client has disconnected.
    pub fn begin_attempt(&self, attempt: u8, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        let may_proceed = state.may_proceed(attempt);
        if may_proceed {
            let (stage, is_aborted) = (ForwardStage::Connecting, false);
            state.in_flight = Some(InFlight {
                attempt,
                stream: stream.clone(),
                stage,
                is_aborted,
            });
        }
        may_proceed
    }

    /// Advances an attempt to the given stage. Returns false if the attempt was cancelled or the client has
    /// disconnected.
    pub fn advance(&self, attempt: u8, stage: ForwardStage) -> bool {
        let mut state = self.state();
        if let Some(in_flight) = state.in_flight.as_mut().filter(|f| f.attempt == attempt) {
            in_flight.stage = stage;
        }
        state.may_proceed(attempt)
    }

    /// Ends an attempt, so that a late cancellation no longer shuts down its connection. Returns true if the attempt
    /// was cancelled or aborted, or did not begin because the client had disconnected.
    pub fn end_attempt(&self, attempt: u8) -> bool {
        let mut state = self.state();
        if state.is_client_disconnected {
            state.ended_at = Some(Instant::now());
        }
        let is_client_disconnected = state.is_client_disconnected;
        let is_aborted = state
            .in_flight
            .take()
            .map_or(is_client_disconnected, |f| f.is_aborted);
        is_aborted || state.is_cancelled(attempt)
    }

    /// Cancels all attempts up to and including the given one, and shuts down the connection if one of them is in
    /// flight.
    pub fn cancel_up_to(&self, attempt: u8) {
        let mut state = self.state();
        state.cancelled_below = state.cancelled_below.max(u16::from(attempt) + 1);
        if let Some(in_flight) = state.in_flight.take_if(|f| f.attempt <= attempt) {
            let _ = in_flight.stream.shutdown(Shutdown::Both);
        }
    }

    /// Records that the client has disconnected. No further attempt begins. An attempt that has not been sent
    /// completely is aborted, since servers do not execute incomplete requests (RFC 9112, 8). An attempt that has been
    /// sent completely is not affected. Returns the stage at the disconnect.
    pub fn handle_disconnect(&self) -> ForwardStage {
        let mut state = self.state();
        state.is_client_disconnected = true;
        let Some(in_flight) = &mut state.in_flight else {
            return ForwardStage::Waiting;
        };
        if in_flight.stage != ForwardStage::AtServer {
            in_flight.is_aborted = true;
            let _ = in_flight.stream.shutdown(Shutdown::Both);
        }
        in_flight.stage
    }

    /// Aborts the attempt in flight if the request is idempotent, by shutting down the sending side. The server then
    /// drops the request and closes the connection; its capacity is in use until then. Other requests are left to
    /// complete.
    pub fn abort_idempotent(&self) {
        let mut state = self.state();
        let Some(in_flight) = &mut state.in_flight else {
            return;
        };
        if self.kind == RequestKind::Idempotent && !in_flight.is_aborted {
            in_flight.is_aborted = true;
            let _ = in_flight.stream.shutdown(Shutdown::Write);
        }
    }

    /// Returns the progress of the request.
    pub fn progress(&self) -> Progress {
        let state = self.state();
        let in_flight = state.in_flight.as_ref();
        Progress {
            stage: in_flight.map_or(ForwardStage::Waiting, |f| f.stage),
            is_aborted: in_flight.is_some_and(|f| f.is_aborted),
            time_since_end: state.ended_at.map(|at| at.elapsed()),
        }
    }
}
