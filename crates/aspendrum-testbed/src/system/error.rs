//! Why a run of the whole system could not be made.

use super::scenario::What;
use crate::library::UnknownScenario;
use crate::program::ProgramError;
use derive_more::{Display, Error, From};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Why a scenario is refused.
#[derive(Debug, Display, Error)]
pub enum ScenarioError {
    /// It is neither in the library nor in a file.
    #[display("{_0}")]
    Unknown(UnknownScenario),
    /// It is not TOML of the expected form; says where.
    #[display("{_0}")]
    Unreadable(Box<toml::de::Error>),
    /// It lacks machines.
    #[display("{_0}: cores, edges, zones and servers must be 1 or more")]
    Empty(#[error(not(source))] String),
    /// It has more machines than a run may have.
    #[display("{scenario}: at most {max_cores} cores and {max_edges} edges")]
    TooLarge {
        /// Its name.
        scenario: String,
        /// The most control nodes.
        max_cores: usize,
        /// The most machines at the edge.
        max_edges: usize,
    },
    /// A step names no machine, server or process.
    #[display("{scenario}: {part} names nobody here")]
    UnknownMachine {
        /// The scenario.
        scenario: String,
        /// What the step says.
        part: String,
    },
    /// A step of control nodes names others.
    #[display("{scenario}: {what:?} is of machines of control")]
    NotControl {
        /// The scenario.
        scenario: String,
        /// The kind of the step.
        what: What,
    },
    /// More control nodes are replaced than can be.
    #[display("{scenario}: {replaced} are replaced, and there are {spares} spares")]
    TooFewSpares {
        /// The scenario.
        scenario: String,
        /// How many are replaced.
        replaced: usize,
        /// How many spare ones there are.
        spares: usize,
    },
}

/// Why a run could not be made.
#[derive(Debug, Display, Error, From)]
pub enum SystemError {
    /// The scenario is refused.
    #[display("{_0}")]
    Scenario(ScenarioError),
    /// A program cannot be found or built.
    #[display("{_0}")]
    Program(ProgramError),
    /// The programs could not be built; cargo has said why.
    #[display("the programs could not be built")]
    NotBuilt,
    /// Stand-ins, links or files could not be set up.
    #[display("the fleet: {_0}")]
    #[from(skip)]
    Fleet(io::Error),
    /// A process could not be started.
    #[display("start: {_0}")]
    #[from(skip)]
    Start(io::Error),
    /// Settings could not be written.
    #[display("the settings: {_0}")]
    #[from(skip)]
    Settings(io::Error),
    /// The runtime could not be built.
    #[display("the runtime: {_0}")]
    #[from(skip)]
    Runtime(io::Error),
    /// A proxy did not become ready.
    #[display("the proxy {proxy} was not ready in {timeout:?}\n{}", logs.display())]
    #[from(skip)]
    NotReady {
        /// The proxy.
        proxy: usize,
        /// How long it was waited for.
        timeout: Duration,
        /// Where the logs are.
        logs: PathBuf,
    },
    /// An operator of the testbed ended it.
    #[display("interrupted")]
    Interrupted,
}
