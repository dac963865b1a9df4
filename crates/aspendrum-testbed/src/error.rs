//! Errors of the testbed's commands.

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

/// An error of a command of the testbed.
#[derive(Debug, Display, Error, From)]
#[display("{_0}")]
pub enum TestbedError {
    /// A scenario is neither in the library nor a readable file.
    UnknownScenario(UnknownScenario),
    /// A limiter scenario is invalid.
    Scenario(ScenarioError),
    /// A program cannot be found or built.
    Program(ProgramError),
    /// A run of a limiter scenario failed.
    Run(RunError),
    /// A report cannot be written.
    Report(ReportError),
    /// A run of the whole system failed.
    System(SystemError),
    /// The runs of days failed.
    Days(DaysError),
    /// The pass-through baseline failed.
    PassThrough(PassThroughError),
    /// The temporary directory of a run cannot be created.
    #[display("cannot create a temporary directory: {_0}")]
    #[from(skip)]
    TemporaryDirectory(io::Error),
    /// The `--bench` argument, which days require, is missing.
    #[display("missing the path of the bench program; set it with --bench")]
    NoBench,
}
