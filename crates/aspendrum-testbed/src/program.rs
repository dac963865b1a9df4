//! The programs that the testbed starts: where they are, how they are configured, and how they are built.

use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// How a process learns where its configuration is.
#[derive(Clone, Copy, Debug)]
pub enum ConfigSource {
    /// By an argument after the others.
    Argument,
    /// By the environment variable that the programs of the system read.
    Environment,
}

/// A program, and how it is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its executable file.
    pub executable: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// How it learns where its configuration is.
    pub config_source: ConfigSource,
}

/// Why there is no such program.
#[derive(Debug, Display, Error)]
pub enum ProgramError {
    /// The system does not say where this program is.
    #[display("this program's own place: {_0}")]
    NoCurrentExecutable(io::Error),
    /// Cargo cannot be started.
    #[display("cargo could not be started: {_0}")]
    Cargo(io::Error),
    /// Cargo failed; it has said why.
    #[display("{packages:?} could not be built: {status}")]
    NotBuilt {
        /// What was to be built.
        packages: Vec<String>,
        /// How cargo ended.
        status: ExitStatus,
    },
    /// The limiter could not be built.
    #[display("{_0}; name a limiter with --limiter")]
    NoLimiter(Box<ProgramError>),
}

impl Program {
    /// What takes the limiters' place in a scenario: the limiter, or the baseline.
    ///
    /// # Errors
    /// [`ProgramError`] if there is no such program.
    pub fn for_scenario(
        scenario: &Scenario,
        limiter: Option<PathBuf>,
    ) -> Result<Program, ProgramError> {
        if scenario.limiters.pass_through {
            let testbed = std::env::current_exe().map_err(ProgramError::NoCurrentExecutable)?;
            return Ok(Program::pass_through(testbed));
        }
        Program::limiter(limiter)
    }

    /// The baseline, by the testbed's own program.
    pub fn pass_through(testbed: PathBuf) -> Program {
        Program {
            executable: testbed,
            arguments: vec!["pass-through".into()],
            config_source: ConfigSource::Argument,
        }
    }

    /// The limiter: that executable, or the one beside this program. It is built if it does not exist, so that a fresh clone
    /// needs one command.
    ///
    /// # Errors
    /// [`ProgramError`] if it can neither be found nor built.
    pub fn limiter(executable: Option<PathBuf>) -> Result<Program, ProgramError> {
        let executable = match executable {
            Some(executable) => executable,
            None => built_limiter()?,
        };
        let arguments = ["--log", "json", "serve"].map(String::from).to_vec();
        Ok(Program {
            executable,
            arguments,
            config_source: ConfigSource::Argument,
        })
    }

    /// A program of the system, as [`build`] leaves it.
    ///
    /// # Errors
    /// [`ProgramError`] if the system does not say where this program is.
    pub fn system(name: &str) -> Result<Program, ProgramError> {
        Ok(Program {
            executable: beside_this_program(name)?,
            arguments: vec!["serve".into()],
            config_source: ConfigSource::Environment,
        })
    }
}

fn built_limiter() -> Result<PathBuf, ProgramError> {
    let executable = beside_this_program("aspendrum")?;
    if !executable.exists() {
        build(&["aspendrum"]).map_err(|why| ProgramError::NoLimiter(Box::new(why)))?;
    }
    Ok(executable)
}

/// Where a program is that was built in this program's own profile.
fn beside_this_program(name: &str) -> Result<PathBuf, ProgramError> {
    let own = std::env::current_exe().map_err(ProgramError::NoCurrentExecutable)?;
    // Tests are one directory deeper.
    let mut directories = own.ancestors().skip(1);
    let directory = directories.find(|directory| !directory.ends_with("deps"));
    Ok(directory.unwrap_or(Path::new(".")).join(name))
}

/// Builds the programs of these packages, in this program's own profile.
///
/// # Errors
/// [`ProgramError`] if cargo cannot be started, or fails.
pub fn build(packages: &[&str]) -> Result<(), ProgramError> {
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    command.args(packages.iter().flat_map(|package| ["--package", package]));
    let any_program = beside_this_program("cargo")?;
    if any_program
        .parent()
        .is_some_and(|directory| directory.ends_with("release"))
    {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let status = command.status().map_err(ProgramError::Cargo)?;
    if status.success() {
        return Ok(());
    }
    let packages = packages.iter().map(ToString::to_string).collect();
    Err(ProgramError::NotBuilt { packages, status })
}
