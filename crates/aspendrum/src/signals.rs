//! The signals by which the platform and operators address the program.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The signals that the program handles, from its start on.
pub struct ProgramSignals(Signals);

impl ProgramSignals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on: by default each would end the program at once, with all that it has
    /// accepted.
    ///
    /// # Errors
    /// The error of the system.
    pub fn register() -> io::Result<ProgramSignals> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(ProgramSignals)
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> SignalRequest {
        match self.0.forever().next() {
            Some(SIGHUP) => SignalRequest::Reload,
            _ => SignalRequest::ShutDown,
        }
    }
}
