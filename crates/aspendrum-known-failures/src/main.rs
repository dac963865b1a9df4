//! `known-failures`, the tests' part of `.ci/run`. Ends with 0 if every test passed but those that are listed.

use aspendrum_known_failures::{
    came, holds, program, programs, read, runs, Came, Listed, Program, FILE,
};
use bpaf::Bpaf;
use std::io::{ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Output, Stdio};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A listed test that hangs is ended then, and counts as red.
const LONGEST: Duration = Duration::from_secs(300);
const LOOK: Duration = Duration::from_millis(20);

/// Runs the workspace's tests but for those that KNOWN-RED.txt lists
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Line {
    /// The workspace's root
    #[bpaf(positional("ROOT"), fallback(PathBuf::from(".")))]
    root: PathBuf,
}

fn main() -> ExitCode {
    match play(&line().run().root) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("known-failures: {why}");
            ExitCode::FAILURE
        }
    }
}

fn play(root: &Path) -> Result<(), String> {
    let listed = match std::fs::read_to_string(root.join(FILE)) {
        Ok(text) => read(&text)?,
        Err(e) if e.kind() == ErrorKind::NotFound => Vec::new(),
        Err(e) => return Err(format!("{FILE}: {e}")),
    };
    if listed.is_empty() {
        println!("known red: no test");
        return cargo(root, &["test", "--workspace", "--locked"]);
    }
    let all = built(root)?;
    for one in &listed {
        let list = output(program(one, &all)?, &["--list", "--format", "terse"])?;
        if !holds(&String::from_utf8_lossy(&list.stdout), &one.test) {
            return Err(format!(
                "{FILE}: {}::{} holds no test {}",
                one.package, one.program, one.test
            ));
        }
    }
    for run in runs(&listed, &all)? {
        cargo(root, &run)?;
    }
    for one in &listed {
        tell(one, program(one, &all)?)?;
    }
    Ok(())
}

/// Every test program of the workspace, built.
fn built(root: &Path) -> Result<Vec<Program>, String> {
    let messages = "--message-format=json-render-diagnostics";
    let mut command = command(root);
    command.args([
        "test",
        "--workspace",
        "--locked",
        "--no-run",
        "--quiet",
        messages,
    ]);
    let done = command
        .stderr(Stdio::inherit())
        .output()
        .map_err(|e| format!("cargo: {e}"))?;
    if !done.status.success() {
        return Err("the tests could not be built".into());
    }
    Ok(programs(&String::from_utf8_lossy(&done.stdout)))
}

fn command(root: &Path) -> Command {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
    command.current_dir(root);
    command
}

fn cargo<S: AsRef<std::ffi::OsStr>>(root: &Path, arguments: &[S]) -> Result<(), String> {
    match command(root).args(arguments).status() {
        Ok(status) if status.success() => Ok(()),
        Ok(_) => Err("tests failed that are not listed".into()),
        Err(e) => Err(format!("cargo: {e}")),
    }
}

/// Runs a test program as cargo does, but ends it in time. What it prints is read meanwhile.
fn output(program: &Program, arguments: &[&str]) -> Result<Output, String> {
    let failed = |e: std::io::Error| format!("{:?}: {e}", program.executable);
    let mut command = Command::new(&program.executable);
    command
        .args(arguments)
        .current_dir(&program.folder)
        .env("CARGO_MANIFEST_DIR", &program.folder);
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().map_err(failed)?;
    let mut pipe = child.stdout.take().ok_or("no output")?;
    let reader = spawn(move || {
        let mut text = Vec::new();
        pipe.read_to_end(&mut text).map(|_| text)
    });
    let begun = Instant::now();
    let status = loop {
        if let Some(status) = child.try_wait().map_err(failed)? {
            break status;
        }
        if begun.elapsed() > LONGEST {
            child.kill().map_err(failed)?;
            break child.wait().map_err(failed)?;
        }
        sleep(LOOK);
    };
    let stdout = reader
        .join()
        .map_err(|_| "its output could not be read")?
        .map_err(failed)?;
    Ok(Output {
        status,
        stdout,
        stderr: Vec::new(),
    })
}

/// Runs a listed test by itself and prints what came of it.
fn tell(listed: &Listed, program: &Program) -> Result<(), String> {
    let done = output(program, &["--exact", &listed.test])?;
    match came(
        done.status.success(),
        &String::from_utf8_lossy(&done.stdout),
    ) {
        Came::Red => println!("known red, passed over: {listed}"),
        Came::Passes => println!("known red, but it passes now, take its line out: {listed}"),
        Came::Ignored => return Err(format!("{FILE}: {} is ignored in its source", listed.test)),
    }
    Ok(())
}
