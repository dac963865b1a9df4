//! Parses the list of known failures.

use derive_more::{Display, Error};

/// The file name of the list, at the root of the workspace. The file is optional.
pub const LIST_FILE: &str = "KNOWN-RED.txt";
/// The maximum number of listed tests.
pub const MAX_LISTED: usize = 3;

/// A listed test: `PACKAGE::PROGRAM TEST, CAUSE, ISSUE`. The cause may contain commas.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{package}::{program} {test}, {cause}, #{issue}")]
pub struct ListedTest {
    /// The package of the test.
    pub package: String,
    /// The test program within the package: the name of a file in `tests`, `lib`, or the name of a binary, an example
    /// or a benchmark.
    pub program: String,
    /// The full path of the test, as listed by the test program.
    pub test: String,
    /// The reason why the test fails.
    pub cause: String,
    /// The number of the issue that tracks the failure.
    pub issue: u32,
}

/// The reason why the list is rejected.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum ListError {
    /// A line does not have the expected form.
    #[display("{LIST_FILE}, line {number}: {source}")]
    InvalidLine {
        /// The one-based line number.
        number: usize,
        /// The cause.
        source: LineError,
    },
    /// Too many tests are listed.
    #[display(
        "{LIST_FILE} lists {_0} tests, and {MAX_LISTED} may be listed at most: fix the first one"
    )]
    TooMany(#[error(not(source))] usize),
    /// A test is listed twice.
    #[display("{LIST_FILE} lists {package}::{program} {test} twice")]
    Duplicate {
        /// The package.
        package: String,
        /// The test program.
        program: String,
        /// The path of the test.
        test: String,
    },
}

/// The reason why a line is rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line does not have three parts.
    #[display("expected TEST, CAUSE, ISSUE")]
    NotThreeParts,
    /// The last part is missing.
    #[display("no issue after the cause")]
    NoIssue,
    /// The test is not given as package, program and path.
    #[display("expected a test name of the form PACKAGE::PROGRAM TEST")]
    InvalidTestName,
    /// The cause contains no letters.
    #[display("no cause")]
    NoCause,
    /// The issue is not a positive number.
    #[display("the issue must be a number")]
    InvalidIssue,
}

/// Parses the list. Empty lines are ignored.
///
/// # Errors
/// Returns [`ListError`] if a line is invalid, or if there are too many or duplicate entries.
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

/// Splits `PACKAGE::PROGRAM TEST` into package, program and test.
fn parse_name(name: &str) -> Option<(&str, &str, &str)> {
    let mut words = name.split_whitespace();
    let (Some(program), Some(test), None) = (words.next(), words.next(), words.next()) else {
        return None;
    };
    let (package, program) = program.split_once("::")?;
    let is_complete = !package.is_empty() && !program.is_empty();
    is_complete.then_some((package, program, test))
}
