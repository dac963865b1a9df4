//! Why the tests count as failed.

use aspendrum_known_failures::{ListError, ProgramError, LIST_FILE};
use derive_more::{Display, Error, From};
use std::io;
use std::path::PathBuf;

/// Why the tests count as failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum RunError {
    /// The list cannot be read.
    #[display("{LIST_FILE}: {_0}")]
    #[from(skip)]
    UnreadableList(io::Error),
    /// The list is refused.
    #[display("{_0}")]
    InvalidList(ListError),
    /// A listed test has no program.
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
    /// A listed test is switched off in its source.
    #[display("{LIST_FILE}: {_0} is ignored in its source")]
    #[from(skip)]
    Ignored(#[error(not(source))] String),
    /// Cargo could not be run.
    #[display("cargo: {_0}")]
    #[from(skip)]
    Cargo(io::Error),
    /// The test programs could not be built; cargo has said why.
    #[display("the tests could not be built")]
    #[from(skip)]
    NotBuilt,
    /// Tests failed that are not listed; cargo has said which.
    #[display("tests failed that are not listed")]
    #[from(skip)]
    TestsFailed,
    /// A test program could not be run.
    #[display("{executable:?}: {source}")]
    #[from(skip)]
    Program {
        executable: PathBuf,
        source: io::Error,
    },
}
