//! Why a benchmark cannot be run.

use aspendrum_model::config::ConfigError;
use aspendrum_testbed::program::ProgramError;
use derive_more::{Display, Error};
use std::io;

/// Why a benchmark cannot be run.
#[derive(Debug, Display, Error)]
pub enum BenchmarkError {
    /// No component has a name that begins as asked for.
    #[display("no component's name begins with {prefix}: {names}")]
    UnknownComponent {
        /// What was asked for.
        prefix: String,
        /// The names of all components, separated by commas.
        names: String,
    },
    /// The runtime of the fault proxies cannot be started.
    #[display("the runtime: {_0}")]
    Runtime(io::Error),
    /// No folder for settings, logs and disks can be created.
    #[display("a temporary folder: {_0}")]
    TemporaryFolder(io::Error),
    /// The programs that are measured cannot be built or found.
    #[display("{_0}")]
    Programs(ProgramError),
    /// The settings of a process cannot be written.
    #[display("settings of {process}: {source}")]
    WriteSettings {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },
    /// A process cannot be started.
    #[display("{process}: {source}")]
    StartProcess {
        /// The name of the process.
        process: String,
        /// The cause.
        source: io::Error,
    },
    /// A fault proxy between two processes cannot be started.
    #[display("a fault proxy: {_0}")]
    FaultProxy(io::Error),
    /// The simulated platform cannot listen.
    #[display("the simulated platform: {_0}")]
    Platform(io::Error),
    /// A thread of the simulated agents cannot be started.
    #[display("the simulated agents: {_0}")]
    Agents(io::Error),
    /// The simulated servers cannot listen.
    #[display("the simulated servers: {_0}")]
    Servers(io::Error),
    /// A generated configuration is refused.
    #[display("the generated configuration: {_0}")]
    InvalidConfig(ConfigError),
}
