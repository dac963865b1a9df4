//! Errors of benchmark runs.

use aspendrum_model::config::ConfigError;
use aspendrum_testbed::program::ProgramError;
use derive_more::{Display, Error};
use std::io;

/// The reason why a benchmark cannot run.
#[derive(Debug, Display, Error)]
pub enum BenchmarkError {
    /// No component name starts with the requested prefix.
    #[display("no component name starts with {prefix}; available components: {names}")]
    UnknownComponent {
        /// The requested prefix.
        prefix: String,
        /// The comma-separated names of all components.
        names: String,
    },
    /// The async runtime of the fault proxies cannot be started.
    #[display("failed to start the async runtime: {_0}")]
    Runtime(io::Error),
    /// The temporary directory for settings, logs and data cannot be created.
    #[display("failed to create a temporary directory: {_0}")]
    TemporaryDirectory(io::Error),
    /// The programs under test cannot be built or found.
    #[display("{_0}")]
    Programs(ProgramError),
    /// The settings of a process cannot be written.
    #[display("failed to write the settings of {process}: {source}")]
    WriteSettings {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },
    /// A process cannot be started.
    #[display("failed to start {process}: {source}")]
    StartProcess {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },
    /// A fault proxy between two processes cannot be started.
    #[display("failed to start a fault proxy: {_0}")]
    FaultProxy(io::Error),
    /// The simulated platform cannot listen on its address.
    #[display("failed to start the simulated platform: {_0}")]
    Platform(io::Error),
    /// A thread of the simulated agents cannot be started.
    #[display("failed to start the simulated agents: {_0}")]
    Agents(io::Error),
    /// The simulated servers cannot listen on their port, or their thread cannot be started.
    #[display("failed to start the simulated servers: {_0}")]
    Servers(io::Error),
    /// A generated configuration is invalid.
    #[display("invalid generated configuration: {_0}")]
    InvalidConfig(ConfigError),
}
