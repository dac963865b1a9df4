//! Runs cargo and single test programs.

use crate::error::RunError;
use aspendrum_known_failures::{parse_programs, TestProgram};
use std::ffi::OsStr;
use std::io::{self, Read};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The time limit of a test program. A program that exceeds it is killed, and its listed test counts as failed.
const TIMEOUT: Duration = Duration::from_secs(300);
/// The interval between checks whether a test program has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The result of running a test program.
pub(crate) struct ProgramRun {
    /// Whether the exit status was 0.
    pub(crate) success: bool,
    /// The standard output.
    pub(crate) output: String,
}

/// Builds all test programs of the workspace.
pub(crate) fn build_programs(root: &Path) -> Result<Vec<TestProgram>, RunError> {
    let message_format = "--message-format=json-render-diagnostics";
    let mut command = cargo(root);
    command.args([
        "test",
        "--workspace",
        "--locked",
        "--no-run",
        "--quiet",
        message_format,
    ]);
    let build = command
        .stderr(Stdio::inherit())
        .output()
        .map_err(RunError::Cargo)?;
    if !build.status.success() {
        return Err(RunError::NotBuilt);
    }
    Ok(parse_programs(&String::from_utf8_lossy(&build.stdout)))
}

/// Runs cargo with inherited standard output and standard error.
pub(crate) fn run_cargo<S: AsRef<OsStr>>(root: &Path, arguments: &[S]) -> Result<(), RunError> {
    let status = cargo(root)
        .args(arguments)
        .status()
        .map_err(RunError::Cargo)?;
    if status.success() {
        Ok(())
    } else {
        Err(RunError::TestsFailed)
    }
}

fn cargo(root: &Path) -> Command {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    command.current_dir(root);
    command
}

/// Runs a test program in the environment that cargo sets up, limited to [`TIMEOUT`].
pub(crate) fn run_program(
    program: &TestProgram,
    arguments: &[&str],
) -> Result<ProgramRun, RunError> {
    run_with_timeout(program, arguments).map_err(|source| RunError::Program {
        executable: program.executable.clone(),
        source,
    })
}

fn run_with_timeout(program: &TestProgram, arguments: &[&str]) -> io::Result<ProgramRun> {
    let mut command = Command::new(&program.executable);
    command.args(arguments).current_dir(&program.working_dir);
    command.env("CARGO_MANIFEST_DIR", &program.working_dir);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn()?;
    let mut pipe = child
        .stdout
        .take()
        .ok_or_else(|| io::Error::other("standard output is not captured"))?;
    // Reads concurrently: a program that fills the pipe would block.
    let reader = spawn(move || {
        let mut output = Vec::new();
        pipe.read_to_end(&mut output).map(|_| output)
    });
    let status = wait_with_timeout(&mut child)?;
    let output = reader
        .join()
        .map_err(|_| io::Error::other("failed to read the output"))??;
    Ok(ProgramRun {
        success: status.success(),
        output: String::from_utf8_lossy(&output).into_owned(),
    })
}

fn wait_with_timeout(child: &mut Child) -> io::Result<ExitStatus> {
    let started_at = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        if started_at.elapsed() > TIMEOUT {
            child.kill()?;
            return child.wait();
        }
        sleep(POLL_INTERVAL);
    }
}
