//! The signals that the program handles.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;

/// The action requested by a signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalAction {
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// The registered signal handlers.
pub struct ProgramSignals(Signals);

impl ProgramSignals {
    /// Registers handlers for SIGTERM, SIGINT and SIGHUP. By default each of them would end the program immediately and
    /// drop all requests in progress.
    ///
    /// # Errors
    /// Fails if the operating system rejects a handler.
    pub fn register() -> io::Result<ProgramSignals> {
        Signals::new([SIGTERM, SIGINT, SIGHUP]).map(ProgramSignals)
    }

    /// Waits for the next signal.
    pub fn wait(&mut self) -> SignalAction {
        match self.0.forever().next() {
            Some(SIGHUP) => SignalAction::Reload,
            _ => SignalAction::ShutDown,
        }
    }
}
