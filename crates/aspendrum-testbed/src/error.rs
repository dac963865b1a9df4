//! Why a command of the testbed could not do its work.

use crate::days::DaysError;
use crate::library::UnknownScenario;
use crate::pass_through::PassThroughError;
use crate::program::ProgramError;
use crate::report::ReportError;
use crate::run::RunError;
use crate::scenario::ScenarioError;
use crate::system::error::SystemError;
use derive_more::{Display, Error, From};
use std::io;

/// Why a command of the testbed could not do its work.
#[derive(Debug, Display, Error, From)]
#[display("{_0}")]
pub enum TestbedError {
    /// A scenario is neither in the library nor in a file.
    UnknownScenario(UnknownScenario),
    /// A scenario for limiters is refused.
    Scenario(ScenarioError),
    /// A program cannot be found or built.
    Program(ProgramError),
    /// A run for limiters could not be made.
    Run(RunError),
    /// A report cannot be written.
    Report(ReportError),
    /// A run of the whole system could not be made.
    System(SystemError),
    /// Days are not played.
    Days(DaysError),
    /// The baseline does not run.
    PassThrough(PassThroughError),
    /// There is no directory for a run.
    #[display("a directory for the run: {_0}")]
    #[from(skip)]
    TemporaryDirectory(io::Error),
    /// Days need the bench's program.
    #[display("name the bench's program with --bench")]
    NoBench,
}
