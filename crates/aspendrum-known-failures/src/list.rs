//! The list of known failures.

use derive_more::{Display, Error};

/// The list's name, at the root of the workspace. It need not exist.
pub const LIST_FILE: &str = "KNOWN-RED.txt";
/// The most tests that may be listed.
pub const MAX_LISTED: usize = 3;

/// A listed test: `PACKAGE::PROGRAM TEST, CAUSE, ISSUE`. The cause may contain commas.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{package}::{program} {test}, {cause}, #{issue}")]
pub struct ListedTest {
    /// The package that it belongs to.
    pub package: String,
    /// Which of the package's test programs: a file of `tests`, `lib`, or the name of a binary or an example.
    pub program: String,
    /// Its full path, as the test program lists it.
    pub test: String,
    /// Why it fails.
    pub cause: String,
    /// The issue about it.
    pub issue: u32,
}

/// Why the list is refused.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum ListError {
    /// A line is not of the expected form.
    #[display("{LIST_FILE}, line {number}: {source}")]
    InvalidLine {
        /// Its number, from 1.
        number: usize,
        /// What is wrong with it.
        source: LineError,
    },
    /// More tests are listed than allowed.
    #[display("{LIST_FILE} lists {_0} tests, and {MAX_LISTED} may be: mend the first")]
    TooMany(#[error(not(source))] usize),
    /// A test is listed twice.
    #[display("{LIST_FILE} lists {package}::{program} {test} twice")]
    Duplicate {
        /// Its package.
        package: String,
        /// Its program.
        program: String,
        /// Its path.
        test: String,
    },
}

/// What is wrong with a line.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// It does not have three parts.
    #[display("not TEST, CAUSE, ISSUE")]
    NotThreeParts,
    /// The last part is missing.
    #[display("no issue behind the cause")]
    NoIssue,
    /// The test is not named by its package, its program and its path.
    #[display("a test is named as PACKAGE::PROGRAM TEST")]
    InvalidTestName,
    /// The cause has no words.
    #[display("no cause")]
    NoCause,
    /// The issue is not a positive number.
    #[display("the issue must be a number")]
    InvalidIssue,
}

/// Parses the list. Empty lines are ignored.
///
/// # Errors
/// [`ListError`] if any line is not a listed test, there are too many, or one is listed twice.
pub fn parse_list(text: &str) -> Result<Vec<ListedTest>, ListError> {
    let mut listed: Vec<ListedTest> = Vec::new();
    for (index, line) in text
        .lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
    {
        let number = index + 1;
        listed.push(parse_line(line).map_err(|source| ListError::InvalidLine { number, source })?);
    }
    if listed.len() > MAX_LISTED {
        return Err(ListError::TooMany(listed.len()));
    }
    match find_duplicate(&listed) {
        Some(ListedTest {
            package,
            program,
            test,
            ..
        }) => Err(ListError::Duplicate {
            package: package.clone(),
            program: program.clone(),
            test: test.clone(),
        }),
        None => Ok(listed),
    }
}

fn find_duplicate(listed: &[ListedTest]) -> Option<&ListedTest> {
    let name = |t: &ListedTest| (t.package.clone(), t.program.clone(), t.test.clone());
    let is_repeated = |(index, test): &(usize, &ListedTest)| {
        listed[..*index]
            .iter()
            .any(|previous| name(previous) == name(test))
    };
    listed
        .iter()
        .enumerate()
        .find(is_repeated)
        .map(|(_, test)| test)
}

fn parse_line(line: &str) -> Result<ListedTest, LineError> {
    let (name, rest) = line.split_once(',').ok_or(LineError::NotThreeParts)?;
    let (cause, issue) = rest.rsplit_once(',').ok_or(LineError::NoIssue)?;
    let (package, program, test) = parse_name(name).ok_or(LineError::InvalidTestName)?;
    let cause = cause.trim();
    if !cause.chars().any(char::is_alphabetic) {
        return Err(LineError::NoCause);
    }
    let issue = issue
        .trim()
        .trim_start_matches('#')
        .parse()
        .ok()
        .filter(|issue| *issue > 0);
    let issue = issue.ok_or(LineError::InvalidIssue)?;
    let [package, program, test, cause] = [package, program, test, cause].map(str::to_string);
    Ok(ListedTest {
        package,
        program,
        test,
        cause,
        issue,
    })
}

/// Package, program and test of `PACKAGE::PROGRAM TEST`.
fn parse_name(name: &str) -> Option<(&str, &str, &str)> {
    let mut words = name.split_whitespace();
    let (Some(program), Some(test), None) = (words.next(), words.next(), words.next()) else {
        return None;
    };
    let (package, program) = program.split_once("::")?;
    let is_complete = !package.is_empty() && !program.is_empty();
    is_complete.then_some((package, program, test))
}
