//! The programs that the testbed starts: how they are located, built and configured.

use crate::scenario::Scenario;
use derive_more::{Display, Error};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

/// How a program receives the path of its configuration.
#[derive(Clone, Copy, Debug)]
pub enum ConfigSource {
    /// With the `--config` argument, after the other arguments.
    Argument,
    /// With the environment variable `ASPENDRUM_SETTINGS`.
    Environment,
}

/// A program and its invocation.
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub executable: PathBuf,
    /// The arguments.
    pub arguments: Vec<String>,
    /// How it receives the path of its configuration.
    pub config_source: ConfigSource,
}

/// An error of locating or building a program.
#[derive(Debug, Display, Error)]
pub enum ProgramError {
    /// The path of the running executable is unknown.
    #[display("cannot determine the path of the running executable: {_0}")]
    NoCurrentExecutable(io::Error),
    /// Cargo cannot be started.
    #[display("cannot start cargo: {_0}")]
    Cargo(io::Error),
    /// The build failed. Cargo has printed the reason.
    #[display("cannot build {packages:?}: {status}")]
    NotBuilt {
        /// The packages to build.
        packages: Vec<String>,
        /// The exit status of cargo.
        status: ExitStatus,
    },
    /// The limiter could not be built.
    #[display("{_0}; set the path of a limiter with --limiter")]
    NoLimiter(Box<ProgramError>),
}

impl Program {
    /// Returns the program of a scenario's limiters: the limiter, or the pass-through baseline.
    ///
    /// # Errors
    /// [`ProgramError`] if the program can neither be located nor built.
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

    /// Returns the pass-through baseline, which is a command of the testbed's executable.
    pub fn pass_through(testbed: PathBuf) -> Program {
        Program {
            executable: testbed,
            arguments: vec!["pass-through".into()],
            config_source: ConfigSource::Argument,
        }
    }

    /// Returns the limiter with that executable, or else the one next to the running executable. The latter is built if it
    /// doesn't exist, so that a fresh clone needs only one command.
    ///
    /// # Errors
    /// [`ProgramError`] if the limiter can neither be located nor built.
    pub fn limiter(executable: Option<PathBuf>) -> Result<Program, ProgramError> {
        let executable = match executable {
            Some(executable) => executable,
            None => find_or_build_limiter()?,
        };
        let arguments = ["--log", "json", "serve"].map(String::from).to_vec();
        Ok(Program {
            executable,
            arguments,
            config_source: ConfigSource::Argument,
        })
    }

    /// Returns a program of the system, which [`build`] must have built.
    ///
    /// # Errors
    /// [`ProgramError`] if the path of the running executable is unknown.
    pub fn system(name: &str) -> Result<Program, ProgramError> {
        Ok(Program {
            executable: sibling_executable(name)?,
            arguments: vec!["serve".into()],
            config_source: ConfigSource::Environment,
        })
    }
}

fn find_or_build_limiter() -> Result<PathBuf, ProgramError> {
    let executable = sibling_executable("aspendrum")?;
    if !executable.exists() {
        build(&["aspendrum"]).map_err(|error| ProgramError::NoLimiter(Box::new(error)))?;
    }
    Ok(executable)
}

/// Returns the path of a program that was built with the same profile as the running executable.
fn sibling_executable(name: &str) -> Result<PathBuf, ProgramError> {
    let current = std::env::current_exe().map_err(ProgramError::NoCurrentExecutable)?;
    // Test executables are in the `deps` subdirectory.
    let mut directories = current.ancestors().skip(1);
    let directory = directories.find(|directory| !directory.ends_with("deps"));
    Ok(directory.unwrap_or(Path::new(".")).join(name))
}

/// Builds the programs of these packages with the same profile as the running executable.
///
/// # Errors
/// [`ProgramError`] if cargo cannot be started or the build fails.
pub fn build(packages: &[&str]) -> Result<(), ProgramError> {
    let cargo = std::env::var_os("CARGO").unwrap_or("cargo".into());
    let mut command = std::process::Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    command.args(packages.iter().flat_map(|package| ["--package", package]));
    let sibling = sibling_executable("cargo")?;
    if sibling
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
