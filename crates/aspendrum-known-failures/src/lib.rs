//! Tests that fail for a real fault which is not mended yet: `KNOWN-RED.txt` at the root lists them, three at most,
//! one line each. The lines are read and held against what the workspace's test programs hold; nothing here runs
//! anything.

// Not yet finished for readers: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

use serde_json::Value;
use std::fmt;
use std::path::PathBuf;

/// At the root of the workspace; need not be there.
pub const FILE: &str = "KNOWN-RED.txt";
pub const MOST: usize = 3;

/// A listed test: `PACKAGE::PROGRAM TEST, CAUSE, ISSUE`. The cause may hold commas of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    pub package: String,
    /// Of the package's test programs: a file of `tests`, `lib`, or the name of a binary or an example.
    pub program: String,
    /// The whole path that the test program itself lists.
    pub test: String,
    pub cause: String,
    pub issue: u32,
}

impl fmt::Display for Listed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Listed {
            package,
            program,
            test,
            cause,
            issue,
        } = self;
        write!(f, "{package}::{program} {test}, {cause}, #{issue}")
    }
}

/// Reads the file's text. Empty lines count for nothing; everything else is a listed test, or an error that names
/// its line.
pub fn read(text: &str) -> Result<Vec<Listed>, String> {
    let lines = text.lines().enumerate().filter(|l| !l.1.trim().is_empty());
    let all = lines
        .map(|(n, line)| listed(line).map_err(|why| format!("{FILE}, line {}: {why}", n + 1)))
        .collect::<Result<Vec<Listed>, String>>()?;
    if all.len() > MOST {
        return Err(format!(
            "{FILE} lists {} tests, and {MOST} may be: mend the first",
            all.len()
        ));
    }
    for (n, one) in all.iter().enumerate() {
        let same = |o: &Listed| {
            (&o.package, &o.program, &o.test) == (&one.package, &one.program, &one.test)
        };
        if all[..n].iter().any(same) {
            return Err(format!(
                "{FILE} lists {}::{} {} twice",
                one.package, one.program, one.test
            ));
        }
    }
    Ok(all)
}

fn listed(line: &str) -> Result<Listed, String> {
    let (test, rest) = line.split_once(',').ok_or("not TEST, CAUSE, ISSUE")?;
    let (cause, issue) = rest.rsplit_once(',').ok_or("no issue behind the cause")?;
    let mut words = test.split_whitespace();
    let (Some(program), Some(test), None) = (words.next(), words.next(), words.next()) else {
        return Err("a test is named as PACKAGE::PROGRAM TEST".into());
    };
    let (package, program) = program
        .split_once("::")
        .ok_or("a test is named as PACKAGE::PROGRAM TEST")?;
    if package.is_empty() || program.is_empty() {
        return Err("a test is named as PACKAGE::PROGRAM TEST".into());
    }
    let cause = cause.trim();
    if !cause.chars().any(char::is_alphabetic) {
        return Err("no cause".into());
    }
    let issue = issue
        .trim()
        .trim_start_matches('#')
        .parse()
        .ok()
        .filter(|n| *n > 0);
    let issue = issue.ok_or("the issue must be a number")?;
    let [package, program, test, cause] = [package, program, test, cause].map(str::to_string);
    Ok(Listed {
        package,
        program,
        test,
        cause,
        issue,
    })
}

/// A program that holds tests, as cargo built it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    pub package: String,
    /// What cargo calls its target: `lib`, `bin`, `test`, `example`, `bench`.
    pub kind: String,
    pub name: String,
    /// What it is run as, and the folder that cargo runs it in.
    pub executable: PathBuf,
    pub folder: PathBuf,
}

impl Program {
    /// By that name a line of the file means it.
    pub fn called(&self) -> &str {
        if self.kind == "lib" {
            "lib"
        } else {
            &self.name
        }
    }

    /// What cargo wants to run it alone.
    pub fn target(&self) -> Vec<String> {
        match self.kind.as_str() {
            "lib" => vec!["--lib".into()],
            kind => vec![format!("--{kind}"), self.name.clone()],
        }
    }

    fn of(message: &Value) -> Option<Program> {
        if message["reason"] != "compiler-artifact" || message["profile"]["test"] != true {
            return None;
        }
        let executable = PathBuf::from(message["executable"].as_str()?);
        let manifest = PathBuf::from(message["manifest_path"].as_str()?);
        let target = &message["target"];
        let kind = target["kind"][0].as_str()?;
        let kind = if ["bin", "test", "example", "bench"].contains(&kind) {
            kind
        } else {
            "lib"
        };
        Some(Program {
            package: package(message["package_id"].as_str()?).to_string(),
            kind: kind.into(),
            name: target["name"].as_str()?.into(),
            executable,
            folder: manifest.parent()?.to_path_buf(),
        })
    }
}

/// Of `path+file:///place/name#0.1.0` and `path+file:///place#name@0.1.0` the name.
fn package(id: &str) -> &str {
    let (place, version) = id.rsplit_once('#').unwrap_or((id, ""));
    match version.split_once('@') {
        Some((name, _)) => name,
        None => place.rsplit('/').next().unwrap_or(place),
    }
}

/// The test programs among the messages of `cargo test --no-run --message-format=json`.
pub fn programs(messages: &str) -> Vec<Program> {
    let read = |line: &str| serde_json::from_str(line).ok();
    messages
        .lines()
        .filter_map(read)
        .filter_map(|m: Value| Program::of(&m))
        .collect()
}

/// The one program that a line means.
pub fn program<'a>(listed: &Listed, all: &'a [Program]) -> Result<&'a Program, String> {
    let of = |p: &&Program| p.package == listed.package && p.called() == listed.program;
    let named: Vec<&Program> = all.iter().filter(of).collect();
    let place = format!("{}::{}", listed.package, listed.program);
    match named[..] {
        [one] => Ok(one),
        [] => Err(format!("{FILE}: there are no tests at {place}")),
        _ => Err(format!("{FILE}: {place} names several programs")),
    }
}

/// Whether a program's `--list` names that test, and not only one that is like it.
pub fn holds(list: &str, test: &str) -> bool {
    list.lines()
        .any(|line| line.strip_suffix(": test") == Some(test))
}

/// What a test run by itself came to, as its program's end and its output tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Red,
    Passes,
    /// Switched off in its source: it must not hide there.
    Ignored,
}

pub fn came(success: bool, output: &str) -> Came {
    match (success, output.contains("1 ignored")) {
        (true, true) => Came::Ignored,
        (true, false) => Came::Passes,
        (false, _) => Came::Red,
    }
}

/// Arguments of cargo for one run of tests.
pub type Run = Vec<String>;

/// All runs of cargo that together play every test of the workspace but the listed ones: one for all packages of
/// which none is listed, then each program of the others by itself, with exactly its listed tests left out.
pub fn runs(listed: &[Listed], all: &[Program]) -> Result<Vec<Run>, String> {
    let words = |words: &[&str]| words.iter().map(|w| w.to_string()).collect::<Run>();
    let meant = listed
        .iter()
        .map(|l| program(l, all))
        .collect::<Result<Vec<&Program>, String>>()?;
    let mut packages: Vec<&str> = listed.iter().map(|l| l.package.as_str()).collect();
    packages.sort_unstable();
    packages.dedup();
    let mut runs = Vec::new();
    // Cargo takes it for a mistake if no package is left.
    if all.iter().any(|p| !packages.contains(&p.package.as_str())) {
        let mut rest = words(&["test", "--workspace", "--locked"]);
        rest.extend(packages.iter().flat_map(|p| words(&["--exclude", p])));
        runs.push(rest);
    }
    for package in packages {
        for p in all.iter().filter(|p| p.package == package) {
            let mut run = words(&["test", "--locked", "--package", package]);
            run.extend(p.target());
            let of = listed
                .iter()
                .zip(&meant)
                .filter(|(_, program)| **program == p);
            let left_out: Run = of.flat_map(|(l, _)| words(&["--skip", &l.test])).collect();
            if !left_out.is_empty() {
                run.extend(words(&["--", "--exact"]));
                run.extend(left_out);
            }
            runs.push(run);
        }
        if all.iter().any(|p| p.package == package && p.kind == "lib") {
            runs.push(words(&["test", "--locked", "--package", package, "--doc"]));
        }
    }
    Ok(runs)
}
