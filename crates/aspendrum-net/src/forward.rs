//! The request that is out at a server, as other threads see it: how far it has come, and the means to break it off.

use crate::workers::lock;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How far a request is on its way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStage {
    /// It waits for a place at a server, for the word of a counter, or for its turn to go to a further one.
    Waiting,
    /// A connection to a server is being taken or opened.
    Dialling,
    /// It is being written, and may not have left whole.
    Sending,
    /// It has left whole.
    AtServer,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Idempotent,
    OnceOnly,
}

/// How far a request has come, as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    pub stage: ForwardStage,
    /// It is broken off at that stage.
    pub broken_off: bool,
    /// How long ago its last forward came back, where that was behind its client's departure: it is about to end.
    pub returned_for: Option<Duration>,
}

/// A request's forwards, one after another. Their numbers begin at 0.
pub struct ForwardHandle {
    pub kind: RequestKind,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Forwards below this number are called off.
    cancelled: u16,
    /// The client has left: no forward begins any more.
    departed: bool,
    /// When a forward that was out at the departure came back.
    returned: Option<Instant>,
    out: Option<Out>,
}

struct Out {
    forward: u8,
    stream: Arc<TcpStream>,
    stage: ForwardStage,
    broken_off: bool,
}

impl State {
    fn open(&self, forward: u8) -> bool {
        !self.departed && self.cancelled <= u16::from(forward)
    }
}

impl ForwardHandle {
    pub fn new(kind: RequestKind) -> ForwardHandle {
        ForwardHandle {
            kind,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The forward has a socket, connected or not. False: it was called off before.
    pub fn enter(&self, forward: u8, stream: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        let open = state.open(forward);
        if open {
            let (stage, broken_off) = (ForwardStage::Dialling, false);
            state.out = Some(Out {
                forward,
                stream: stream.clone(),
                stage,
                broken_off,
            });
        }
        open
    }

    /// The request is about to be written, or has been written whole. False: it was called off before.
    pub fn reach(&self, forward: u8, stage: ForwardStage) -> bool {
        let mut state = self.state();
        if let Some(out) = state.out.as_mut().filter(|o| o.forward == forward) {
            out.stage = stage;
        }
        state.open(forward)
    }

    /// Behind this the connection is safe from a late cancellation. True: it was cancelled or broken off, or never began
    /// for that.
    pub fn leave(&self, forward: u8) -> bool {
        let mut state = self.state();
        if state.departed {
            state.returned = Some(Instant::now());
        }
        let broken_off = state
            .out
            .take()
            .map_or(state.departed, |out| out.broken_off);
        broken_off || state.cancelled > u16::from(forward)
    }

    /// Calls off the forwards up to this one, and shuts the socket of the one that is out.
    pub fn cancel(&self, forward: u8) {
        let mut state = self.state();
        state.cancelled = state.cancelled.max(u16::from(forward) + 1);
        if let Some(out) = state.out.take_if(|o| o.forward <= forward) {
            let _ = out.stream.shutdown(Shutdown::Both);
        }
    }

    /// The client has left. Nothing more is sent for it, and what has not left whole is broken off: no server runs it
    /// (RFC 9112, 8). What is at a server may still end by itself. Returns how far the request had come.
    pub fn depart(&self) -> ForwardStage {
        let mut state = self.state();
        state.departed = true;
        let Some(out) = &mut state.out else {
            return ForwardStage::Waiting;
        };
        if out.stage != ForwardStage::AtServer {
            out.broken_off = true;
            let _ = out.stream.shutdown(Shutdown::Both);
        }
        out.stage
    }

    /// Breaks off a run that may be repeated, by an end of our sending side: its server drops it and closes, and until
    /// then the place that it takes is not free. A once-only run is let finish.
    pub fn break_off(&self) {
        let mut state = self.state();
        let Some(out) = &mut state.out else { return };
        if self.kind == RequestKind::Idempotent && !out.broken_off {
            out.broken_off = true;
            let _ = out.stream.shutdown(Shutdown::Write);
        }
    }

    /// How far the request has come.
    pub fn progress(&self) -> Progress {
        let state = self.state();
        let (stage, broken_off) = state
            .out
            .as_ref()
            .map_or((ForwardStage::Waiting, false), |out| {
                (out.stage, out.broken_off)
            });
        Progress {
            stage,
            broken_off,
            returned_for: state.returned.map(|at| at.elapsed()),
        }
    }
}
