//! The runs of cargo that play every test but the listed ones.

use crate::list::ListedTest;
use crate::test_program::{find_program, ProgramError, TestProgram};

/// The arguments of one run of cargo.
pub type CargoArguments = Vec<String>;

/// The runs of cargo that together play every test of the workspace but the listed ones: one for all packages without a
/// listed test, then each program of the other packages by itself, without exactly its listed tests.
///
/// # Errors
/// [`ProgramError`] if a listed test has no program.
pub fn plan_runs(
    listed: &[ListedTest],
    programs: &[TestProgram],
) -> Result<Vec<CargoArguments>, ProgramError> {
    let mut skipped: Vec<(&TestProgram, &str)> = Vec::new();
    for test in listed {
        skipped.push((find_program(test, programs)?, &test.test));
    }
    let mut packages: Vec<&str> = listed.iter().map(|test| test.package.as_str()).collect();
    packages.sort_unstable();
    packages.dedup();
    let mut runs = Vec::new();
    // Cargo refuses a run in which no package is left.
    if programs
        .iter()
        .any(|program| !packages.contains(&program.package.as_str()))
    {
        runs.push(run_without_packages(&packages));
    }
    for package in packages {
        let of_package = || {
            programs
                .iter()
                .filter(move |program| program.package == package)
        };
        runs.extend(of_package().map(|program| run_of_program(program, &skipped)));
        if of_package().any(|program| program.kind == "lib") {
            runs.push(arguments(&[
                "test",
                "--locked",
                "--package",
                package,
                "--doc",
            ]));
        }
    }
    Ok(runs)
}

fn arguments(arguments: &[&str]) -> CargoArguments {
    arguments.iter().map(ToString::to_string).collect()
}

fn run_without_packages(packages: &[&str]) -> CargoArguments {
    let mut run = arguments(&["test", "--workspace", "--locked"]);
    run.extend(
        packages
            .iter()
            .flat_map(|package| arguments(&["--exclude", package])),
    );
    run
}

fn run_of_program(program: &TestProgram, skipped: &[(&TestProgram, &str)]) -> CargoArguments {
    let mut run = arguments(&["test", "--locked", "--package", &program.package]);
    run.extend(program.target_arguments());
    let tests: Vec<&str> = skipped
        .iter()
        .filter(|(of, _)| *of == program)
        .map(|(_, test)| *test)
        .collect();
    if !tests.is_empty() {
        run.extend(arguments(&["--", "--exact"]));
        run.extend(tests.iter().flat_map(|test| arguments(&["--skip", test])));
    }
    run
}
