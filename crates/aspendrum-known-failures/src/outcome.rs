//! What became of a test that was run by itself.

/// What became of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOutcome {
    /// It failed.
    Failed,
    /// It passed.
    Passed,
    /// It is switched off in its source, where it must not hide.
    Ignored,
}

/// The outcome of one test, by its program's exit status and output.
pub fn test_outcome(success: bool, output: &str) -> TestOutcome {
    match (success, output.contains("1 ignored")) {
        (true, true) => TestOutcome::Ignored,
        (true, false) => TestOutcome::Passed,
        (false, _) => TestOutcome::Failed,
    }
}
