//! Errors of a test run.

use aspendrum_known_failures::{ListError, ProgramError, LIST_FILE};
use derive_more::{Display, Error, From};
use std::io;
use std::path::PathBuf;

/// The reason why a test run counts as failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum RunError {
    /// The list cannot be read.
    #[display("{LIST_FILE}: {_0}")]
    #[from(skip)]
    UnreadableList(io::Error),
    /// The list is invalid.
    #[display("{_0}")]
    InvalidList(ListError),
    /// No unique test program matches a listed test.
    #[display("{_0}")]
    NoProgram(ProgramError),
    /// A program does not contain a listed test.
    #[display("{LIST_FILE}: {package}::{program} holds no test {test}")]
    #[from(skip)]
    NoSuchTest {
        package: String,
        program: String,
        test: String,
    },
    /// A listed test is marked `#[ignore]` in its source.
    #[display("{LIST_FILE}: {_0} is ignored in its source")]
    #[from(skip)]
    Ignored(#[error(not(source))] String),
    /// Cargo could not be run.
    #[display("failed to run cargo: {_0}")]
    #[from(skip)]
    Cargo(io::Error),
    /// The test programs could not be built; cargo has printed the errors.
    #[display("failed to build the tests")]
    #[from(skip)]
    NotBuilt,
    /// Tests failed that are not listed; cargo has printed their names.
    #[display("tests failed that are not listed")]
    #[from(skip)]
    TestsFailed,
    /// A test program could not be run.
    #[display("failed to run {executable:?}: {source}")]
    #[from(skip)]
    Program {
        executable: PathBuf,
        source: io::Error,
    },
}
