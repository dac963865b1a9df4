//! Plans the cargo invocations that run all tests except the listed ones.

use crate::list::ListedTest;
use crate::test_program::{find_program, ProgramError, TestProgram};

/// The arguments of one cargo invocation.
pub type CargoArguments = Vec<String>;

/// Returns the cargo invocations that together run all tests of the workspace except the listed ones: one for all
/// packages without listed tests, then one for each program of the other packages, which skips exactly its listed
/// tests, and one for the documentation tests of each library among them.
///
/// # Errors
/// Returns [`ProgramError`] if a listed test does not match exactly one program.
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
    // Cargo fails if all packages are excluded.
    if programs
        .iter()
        .any(|program| !packages.contains(&program.package.as_str()))
    {
        runs.push(exclude_packages(&packages));
    }
    for package in packages {
        let package_programs = || {
            programs
                .iter()
                .filter(move |program| program.package == package)
        };
        runs.extend(package_programs().map(|program| program_arguments(program, &skipped)));
        if package_programs().any(|program| program.kind == "lib") {
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

fn exclude_packages(packages: &[&str]) -> CargoArguments {
    let mut run = arguments(&["test", "--workspace", "--locked"]);
    run.extend(
        packages
            .iter()
            .flat_map(|package| arguments(&["--exclude", package])),
    );
    run
}

fn program_arguments(program: &TestProgram, skipped: &[(&TestProgram, &str)]) -> CargoArguments {
    let mut run = arguments(&["test", "--locked", "--package", &program.package]);
    run.extend(program.target_arguments());
    let tests: Vec<&str> = skipped
        .iter()
        .filter(|(owner, _)| *owner == program)
        .map(|(_, test)| *test)
        .collect();
    if !tests.is_empty() {
        run.extend(arguments(&["--", "--exact"]));
        run.extend(tests.iter().flat_map(|test| arguments(&["--skip", test])));
    }
    run
}
