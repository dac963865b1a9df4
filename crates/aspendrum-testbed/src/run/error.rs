//! Why a run could not be made, and what limiters did wrong in one.

use derive_more::{Display, Error};
use std::io;
use std::process::ExitStatus;
use std::time::Duration;
use tokio::task::JoinError;

/// Why a run could not be made.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// The directory of the run cannot be made.
    #[display("the folder of the run: {_0}")]
    Folder(io::Error),
    /// What stands around the limiters cannot be started.
    #[display("the stand-ins: {_0}")]
    Services(io::Error),
    /// A limiter cannot be started.
    #[display("limiter {limiter} does not start: {source}")]
    NotStarted {
        /// Which one.
        limiter: usize,
        /// Why not.
        source: io::Error,
    },
    /// A limiter ended before it was ready.
    #[display("limiter {limiter} ended at its start: {status}")]
    EndedAtStart {
        /// Which one.
        limiter: usize,
        /// How it ended.
        status: ExitStatus,
    },
    /// A limiter did not become ready.
    #[display("limiter {limiter} is not ready after {timeout:?}")]
    NotReady {
        /// Which one.
        limiter: usize,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// The timeline of faults panicked.
    #[display("the timeline: {_0}")]
    Timeline(JoinError),
    /// The runtime cannot be built.
    #[display("the runtime: {_0}")]
    Runtime(io::Error),
    /// The user ended it.
    #[display("interrupted")]
    Interrupted,
}

/// What a limiter, or a fake of the testbed, did wrong in a run.
#[derive(Debug, Display)]
pub enum Failure {
    /// A limiter did not start again.
    #[display("{_0}")]
    Restart(RunError),
    /// A limiter ended by itself.
    #[display("limiter {limiter} ended unasked: {status}")]
    EndedUnasked {
        /// Which one.
        limiter: usize,
        /// How it ended.
        status: ExitStatus,
    },
    /// A limiter ended with an error after SIGTERM.
    #[display("limiter {limiter} ended badly after a SIGTERM: {status}")]
    BadExit {
        /// Which one.
        limiter: usize,
        /// How it ended.
        status: ExitStatus,
    },
    /// A limiter did not end after SIGTERM.
    #[display("limiter {limiter} had not ended {timeout:?} after a SIGTERM")]
    NotEnded {
        /// Which one.
        limiter: usize,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// A limiter could not be signalled or waited for.
    #[display("limiter {limiter}: {source}")]
    Process {
        /// Which one.
        limiter: usize,
        /// Why not.
        source: io::Error,
    },
    /// A limiter logged an error or a panic.
    #[display("limiter {limiter}: {line}")]
    LoggedError {
        /// Which one.
        limiter: usize,
        /// The first such line.
        line: String,
    },
    /// A fake server could not be started again.
    #[display("the fake server {server} does not come back: {source}")]
    FakeServer {
        /// Which one.
        server: usize,
        /// Why not.
        source: io::Error,
    },
}
