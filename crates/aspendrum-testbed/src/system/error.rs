//! Errors of runs of the whole system.

use super::scenario::StepKind;
use crate::library::UnknownScenario;
use crate::program::ProgramError;
use derive_more::{Display, Error, From};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// An invalid or unknown scenario.
#[derive(Debug, Display, Error)]
pub enum ScenarioError {
    /// The scenario is neither in the library nor a file.
    #[display("{_0}")]
    Unknown(UnknownScenario),
    /// The text is not TOML with the expected fields.
    #[display("{_0}")]
    Unreadable(Box<toml::de::Error>),
    /// The scenario has no control nodes, edge machines, zones or servers.
    #[display("{_0}: cores, edges, zones and servers must be 1 or more")]
    Empty(#[error(not(source))] String),
    /// The scenario exceeds the maximum number of machines.
    #[display("{scenario}: at most {max_cores} cores and {max_edges} edges")]
    TooLarge {
        /// The name of the scenario.
        scenario: String,
        /// The maximum number of control nodes.
        max_cores: usize,
        /// The maximum number of edge machines.
        max_edges: usize,
    },
    /// A step refers to a machine, server or process that does not exist.
    #[display("{scenario}: {part} matches no machine, process or server")]
    UnknownMachine {
        /// The name of the scenario.
        scenario: String,
        /// The part of the step's text that matches nothing.
        part: String,
    },
    /// A step that applies to control nodes only has other targets, or none.
    #[display("{scenario}: {what:?} applies to control nodes only")]
    NotControl {
        /// The name of the scenario.
        scenario: String,
        /// The kind of the step.
        what: StepKind,
    },
    /// More control nodes are replaced than there are spares.
    #[display(
        "{scenario}: {replaced} control nodes are replaced, but there are only {spares} spares"
    )]
    TooFewSpares {
        /// The name of the scenario.
        scenario: String,
        /// The number of replaced control nodes.
        replaced: usize,
        /// The number of spare control nodes.
        spares: usize,
    },
}

/// Why a run could not be carried out.
#[derive(Debug, Display, Error, From)]
pub enum SystemError {
    /// The scenario is invalid or unknown.
    #[display("{_0}")]
    Scenario(ScenarioError),
    /// A program cannot be found or built.
    #[display("{_0}")]
    Program(ProgramError),
    /// The programs could not be built; cargo has printed the reason.
    #[display("the programs could not be built")]
    NotBuilt,
    /// Fake services, links or files could not be set up.
    #[display("failed to set up the fleet: {_0}")]
    #[from(skip)]
    Fleet(io::Error),
    /// A process could not be started.
    #[display("failed to start a process: {_0}")]
    #[from(skip)]
    Start(io::Error),
    /// Settings could not be written.
    #[display("failed to write the settings: {_0}")]
    #[from(skip)]
    Settings(io::Error),
    /// The runtime could not be built.
    #[display("failed to build the runtime: {_0}")]
    #[from(skip)]
    Runtime(io::Error),
    /// A proxy did not become ready.
    #[display("proxy {proxy} was not ready within {timeout:?}\n{}", logs.display())]
    #[from(skip)]
    NotReady {
        /// The proxy.
        proxy: usize,
        /// How long the run waited.
        timeout: Duration,
        /// The folder with the logs.
        logs: PathBuf,
    },
    /// The run was interrupted by Ctrl-C.
    #[display("interrupted")]
    Interrupted,
}
