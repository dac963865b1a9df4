//! Test programs built by cargo.

use crate::list::{ListedTest, LIST_FILE};
use derive_more::{Display, Error};
use serde_json::Value;
use std::path::PathBuf;

/// The kinds of cargo targets, except libraries, which have several kinds.
const TARGET_KINDS: [&str; 4] = ["bin", "test", "example", "bench"];
const LIBRARY: &str = "lib";

/// A test program built by cargo.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestProgram {
    /// The name of the package.
    pub package: String,
    /// The kind of the target: `lib`, `bin`, `test`, `example` or `bench`.
    pub kind: String,
    /// The name of the target.
    pub name: String,
    /// The executable file.
    pub executable: PathBuf,
    /// The directory in which cargo runs the program: the root of its package.
    pub working_dir: PathBuf,
}

impl TestProgram {
    /// Returns the name of the program in the list of known failures.
    pub fn listed_name(&self) -> &str {
        if self.kind == LIBRARY {
            LIBRARY
        } else {
            &self.name
        }
    }

    /// Returns the cargo arguments that select only this program.
    pub fn target_arguments(&self) -> Vec<String> {
        match self.kind.as_str() {
            LIBRARY => vec![format!("--{LIBRARY}")],
            kind => vec![format!("--{kind}"), self.name.clone()],
        }
    }

    /// Returns the test program that a cargo message describes, or `None` if the message is about anything else.
    fn from_message(message: &Value) -> Option<TestProgram> {
        if message["reason"] != "compiler-artifact" || message["profile"]["test"] != true {
            return None;
        }
        let executable = PathBuf::from(message["executable"].as_str()?);
        let manifest = PathBuf::from(message["manifest_path"].as_str()?);
        let target = &message["target"];
        let kind = target["kind"][0].as_str()?;
        let kind = if TARGET_KINDS.contains(&kind) {
            kind
        } else {
            LIBRARY
        };
        Some(TestProgram {
            package: package_name(message["package_id"].as_str()?).to_string(),
            kind: kind.into(),
            name: target["name"].as_str()?.into(),
            executable,
            working_dir: manifest.parent()?.to_path_buf(),
        })
    }
}

/// Returns the package name in a package id of the form `path+file:///directory/name#0.1.0` or
/// `path+file:///directory#name@0.1.0`.
fn package_name(id: &str) -> &str {
    let (path, version) = id.rsplit_once('#').unwrap_or((id, ""));
    match version.split_once('@') {
        Some((name, _)) => name,
        None => path.rsplit('/').next().unwrap_or(path),
    }
}

/// Parses the test programs from the messages of `cargo test --no-run --message-format=json`.
pub fn parse_programs(messages: &str) -> Vec<TestProgram> {
    let messages = messages
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    messages
        .filter_map(|message| TestProgram::from_message(&message))
        .collect()
}

/// The reason why no unique program matches a listed test.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum ProgramError {
    /// No program has the given name.
    #[display("{LIST_FILE}: no test program {package}::{program}")]
    NotFound {
        /// The package.
        package: String,
        /// The program.
        program: String,
    },
    /// Several programs have the given name.
    #[display("{LIST_FILE}: {package}::{program} matches several programs")]
    Ambiguous {
        /// The package.
        package: String,
        /// The program.
        program: String,
    },
}

/// Returns the program of a listed test.
///
/// # Errors
/// Returns [`ProgramError`] unless exactly one program has the listed name.
pub fn find_program<'p>(
    listed: &ListedTest,
    programs: &'p [TestProgram],
) -> Result<&'p TestProgram, ProgramError> {
    let has_name =
        |p: &&TestProgram| p.package == listed.package && p.listed_name() == listed.program;
    let mut matches = programs.iter().filter(has_name);
    let (package, program) = (listed.package.clone(), listed.program.clone());
    match (matches.next(), matches.next()) {
        (Some(only), None) => Ok(only),
        (None, _) => Err(ProgramError::NotFound { package, program }),
        (Some(_), Some(_)) => Err(ProgramError::Ambiguous { package, program }),
    }
}

/// Whether the output of a test program's `--list` contains a test with exactly this name.
pub fn lists_test(list: &str, test: &str) -> bool {
    list.lines()
        .any(|line| line.strip_suffix(": test") == Some(test))
}
