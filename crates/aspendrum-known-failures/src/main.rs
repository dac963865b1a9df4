//! Runs the workspace's tests except those listed in `KNOWN-RED.txt`. The exit status is 0 if all other tests pass.

mod error;
mod run;

use aspendrum_known_failures::{
    find_program, lists_test, parse_list, plan_runs, test_outcome, ListedTest, TestOutcome,
    TestProgram, LIST_FILE,
};
use bpaf::Bpaf;
use error::RunError;
use run::{build_programs, run_cargo, run_program};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs the workspace's tests except those listed in KNOWN-RED.txt
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// The root of the workspace
    #[bpaf(positional("ROOT"), fallback(PathBuf::from(".")))]
    root: PathBuf,
}

fn main() -> ExitCode {
    match run_tests(&arguments().run().root) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("known-failures: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_tests(root: &Path) -> Result<(), RunError> {
    let listed = read_list(root)?;
    if listed.is_empty() {
        println!("known red: no test");
        return run_cargo(root, &["test", "--workspace", "--locked"]);
    }
    let programs = build_programs(root)?;
    for test in &listed {
        check_exists(test, find_program(test, &programs)?)?;
    }
    for run in plan_runs(&listed, &programs)? {
        run_cargo(root, &run)?;
    }
    for test in &listed {
        report(test, find_program(test, &programs)?)?;
    }
    Ok(())
}

fn read_list(root: &Path) -> Result<Vec<ListedTest>, RunError> {
    match std::fs::read_to_string(root.join(LIST_FILE)) {
        Ok(text) => Ok(parse_list(&text)?),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(e) => Err(RunError::UnreadableList(e)),
    }
}

fn check_exists(listed: &ListedTest, program: &TestProgram) -> Result<(), RunError> {
    let list = run_program(program, &["--list", "--format", "terse"])?;
    if lists_test(&list.output, &listed.test) {
        return Ok(());
    }
    let ListedTest {
        package,
        program,
        test,
        ..
    } = listed.clone();
    Err(RunError::NoSuchTest {
        package,
        program,
        test,
    })
}

/// Runs a listed test on its own and prints its outcome.
///
/// # Errors
/// Returns [`RunError`] if the test is ignored in its source, or if its program cannot be run.
fn report(listed: &ListedTest, program: &TestProgram) -> Result<(), RunError> {
    let run = run_program(program, &["--exact", &listed.test])?;
    match test_outcome(run.success, &run.output) {
        TestOutcome::Failed => println!("known red, passed over: {listed}"),
        TestOutcome::Passed => {
            println!("known red, but it passes now, take its line out: {listed}")
        }
        TestOutcome::Ignored => return Err(RunError::Ignored(listed.test.clone())),
    }
    Ok(())
}
