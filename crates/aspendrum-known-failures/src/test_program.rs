//! The test programs that cargo builds.

use crate::list::{ListedTest, LIST_FILE};
use derive_more::{Display, Error};
use serde_json::Value;
use std::path::PathBuf;

/// The kinds of cargo's targets, but for libraries, whose kind has several names.
const TARGET_KINDS: [&str; 4] = ["bin", "test", "example", "bench"];
const LIBRARY: &str = "lib";

/// A program with tests, as cargo built it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestProgram {
    /// Its package.
    pub package: String,
    /// The kind of its target: `lib`, `bin`, `test`, `example` or `bench`.
    pub kind: String,
    /// The name of its target.
    pub name: String,
    /// The executable file.
    pub executable: PathBuf,
    /// The directory in which cargo runs it: its package's.
    pub working_dir: PathBuf,
}

impl TestProgram {
    /// The name by which the list refers to it, within its package.
    pub fn listed_name(&self) -> &str {
        if self.kind == LIBRARY {
            LIBRARY
        } else {
            &self.name
        }
    }

    /// The arguments with which cargo runs it alone.
    pub fn target_arguments(&self) -> Vec<String> {
        match self.kind.as_str() {
            LIBRARY => vec![format!("--{LIBRARY}")],
            kind => vec![format!("--{kind}"), self.name.clone()],
        }
    }

    /// The program that one of cargo's messages is about, if it is about a test program.
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

/// The name in a package id: `path+file:///directory/name#0.1.0` or `path+file:///directory#name@0.1.0`.
fn package_name(id: &str) -> &str {
    let (path, version) = id.rsplit_once('#').unwrap_or((id, ""));
    match version.split_once('@') {
        Some((name, _)) => name,
        None => path.rsplit('/').next().unwrap_or(path),
    }
}

/// The test programs in the messages of `cargo test --no-run --message-format=json`.
pub fn parse_programs(messages: &str) -> Vec<TestProgram> {
    let messages = messages
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    messages
        .filter_map(|message| TestProgram::from_message(&message))
        .collect()
}

/// Why a listed test has no program.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum ProgramError {
    /// There is none of that name.
    #[display("{LIST_FILE}: there are no tests at {package}::{program}")]
    NotFound {
        /// The package.
        package: String,
        /// The program.
        program: String,
    },
    /// The name is ambiguous.
    #[display("{LIST_FILE}: {package}::{program} names several programs")]
    Ambiguous {
        /// The package.
        package: String,
        /// The program.
        program: String,
    },
}

/// The program that a listed test belongs to.
///
/// # Errors
/// [`ProgramError`] if there is not exactly one of its name.
pub fn find_program<'p>(
    listed: &ListedTest,
    programs: &'p [TestProgram],
) -> Result<&'p TestProgram, ProgramError> {
    let is_named =
        |p: &&TestProgram| p.package == listed.package && p.listed_name() == listed.program;
    let mut named = programs.iter().filter(is_named);
    let (package, program) = (listed.package.clone(), listed.program.clone());
    match (named.next(), named.next()) {
        (Some(one), None) => Ok(one),
        (None, _) => Err(ProgramError::NotFound { package, program }),
        (Some(_), Some(_)) => Err(ProgramError::Ambiguous { package, program }),
    }
}

/// Whether the output of a program's `--list` contains exactly that test.
pub fn lists_test(list: &str, test: &str) -> bool {
    list.lines()
        .any(|line| line.strip_suffix(": test") == Some(test))
}
