//! A handle through which other threads observe the progress of a request that is being forwarded, and abort it.

use crate::threads::lock;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The stage of a request on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStage {
    /// It waits for capacity at a server, for the answer of a counter, or to be sent to a further server.
    Waiting,
    /// A connection to a server is being taken from the pool or opened.
    Connecting,
    /// It is being written, and may not have been sent completely.
    Sending,
    /// It has been sent completely.
    AtServer,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once only.
    OnceOnly,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The stage of its present attempt.
    pub stage: ForwardStage,
    /// Whether that attempt was aborted at that stage.
    pub is_aborted: bool,
    /// How long ago its last attempt ended, if that was after its client disconnected: the request is about to end.
    pub ended_ago: Option<Duration>,
}

/// A request's attempts to be forwarded, one after another, numbered from 0.
pub struct ForwardHandle {
    /// Whether the request may run more than once.
    pub kind: RequestKind,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Attempts below this number are cancelled.
    cancelled_below: u16,
    /// The client has disconnected: no further attempt begins.
    is_client_disconnected: bool,
    /// When an attempt that was in flight at the disconnect ended.
    ended_at: Option<Instant>,
    in_flight: Option<InFlight>,
}

/// The attempt in flight.
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
    /// The handle of a request without an attempt.
    pub fn new(kind: RequestKind) -> ForwardHandle {
        ForwardHandle {
            kind,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Begins an attempt, which has a socket, connected or not. Returns false if it was cancelled before.
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

    /// Moves an attempt on to that stage: its request is about to be written, or has been written completely. Returns
    /// false if it was cancelled before.
    pub fn advance(&self, attempt: u8, stage: ForwardStage) -> bool {
        let mut state = self.state();
        if let Some(in_flight) = state.in_flight.as_mut().filter(|f| f.attempt == attempt) {
            in_flight.stage = stage;
        }
        state.may_proceed(attempt)
    }

    /// Ends an attempt: from now on no late cancellation shuts down its connection. Returns true if it was cancelled or
    /// aborted, or never began for that reason.
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

    /// Cancels the attempts up to this one, and shuts down the connection of the one in flight.
    pub fn cancel_up_to(&self, attempt: u8) {
        let mut state = self.state();
        state.cancelled_below = state.cancelled_below.max(u16::from(attempt) + 1);
        if let Some(in_flight) = state.in_flight.take_if(|f| f.attempt <= attempt) {
            let _ = in_flight.stream.shutdown(Shutdown::Both);
        }
    }

    /// The client has disconnected. No further attempt begins, and an attempt that has not been sent completely is
    /// aborted: no server runs an incomplete request (RFC 9112, 8). An attempt that is at a server may still end by
    /// itself. Returns the stage at the disconnect.
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

    /// Aborts an idempotent attempt, by shutting down our sending side: its server drops it and closes, and its
    /// capacity is in use until then. An attempt that may run once only is left to end.
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

    /// The progress of the request.
    pub fn progress(&self) -> Progress {
        let state = self.state();
        let in_flight = state.in_flight.as_ref();
        Progress {
            stage: in_flight.map_or(ForwardStage::Waiting, |f| f.stage),
            is_aborted: in_flight.is_some_and(|f| f.is_aborted),
            ended_ago: state.ended_at.map(|at| at.elapsed()),
        }
    }
}
