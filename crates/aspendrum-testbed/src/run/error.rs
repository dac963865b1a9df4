//! Errors that abort a run, and failures recorded during one.

use derive_more::{Display, Error};
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::task::JoinError;

/// An error that aborts a run.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// The directory of the run cannot be created.
    #[display("cannot create the run directory: {_0}")]
    RunDirectory(io::Error),
    /// The fake services or the links cannot be started.
    #[display("cannot start the fake services: {_0}")]
    Services(io::Error),
    /// A limiter cannot be started.
    #[display("cannot start limiter {limiter}: {source}")]
    Spawn {
        /// The number of the limiter.
        limiter: usize,
        /// The underlying error.
        source: io::Error,
    },
    /// A limiter exited before it was ready.
    #[display("limiter {limiter} exited during startup: {status}")]
    ExitedDuringStartup {
        /// The number of the limiter.
        limiter: usize,
        /// The exit status of the process.
        status: ExitStatus,
    },
    /// A limiter did not become ready in time.
    #[display("limiter {limiter} is not ready after {timeout:?}")]
    ReadyTimeout {
        /// The number of the limiter.
        limiter: usize,
        /// The time waited.
        timeout: Duration,
    },
    /// The task that plays the fault timeline panicked.
    #[display("the fault timeline failed: {_0}")]
    Timeline(JoinError),
    /// The async runtime cannot be built.
    #[display("cannot build the async runtime: {_0}")]
    Runtime(io::Error),
    /// The user interrupted the run.
    #[display("interrupted")]
    Interrupted,
}

/// A misbehaviour of a limiter or a fake that doesn't abort the run.
#[derive(Debug, Display)]
pub enum Failure {
    /// A limiter could not be restarted.
    #[display("{_0}")]
    Restart(RunError),
    /// A limiter exited without having been signalled.
    #[display("limiter {limiter} exited unexpectedly: {status}")]
    UnexpectedExit {
        /// The number of the limiter.
        limiter: usize,
        /// The exit status of the process.
        status: ExitStatus,
    },
    /// A limiter exited with an error after SIGTERM.
    #[display("limiter {limiter} exited with an error after SIGTERM: {status}")]
    UncleanExit {
        /// The number of the limiter.
        limiter: usize,
        /// The exit status of the process.
        status: ExitStatus,
    },
    /// A limiter did not exit in time after SIGTERM.
    #[display("limiter {limiter} did not exit within {timeout:?} after SIGTERM")]
    ShutdownTimeout {
        /// The number of the limiter.
        limiter: usize,
        /// The time waited.
        timeout: Duration,
    },
    /// A limiter could not be signalled or waited for.
    #[display("limiter {limiter}: {source}")]
    Process {
        /// The number of the limiter.
        limiter: usize,
        /// The underlying error.
        source: io::Error,
    },
    /// A limiter logged an error or a panic.
    #[display("limiter {limiter}: {line}")]
    LoggedError {
        /// The number of the limiter.
        limiter: usize,
        /// The first such line of its log.
        line: String,
    },
    /// A fake server could not be restarted.
    #[display("cannot restart fake server {server}: {source}")]
    FakeServer {
        /// The number of the server.
        server: usize,
        /// The underlying error.
        source: io::Error,
    },
}
