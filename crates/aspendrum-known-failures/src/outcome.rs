//! The outcome of a test that was run on its own.

/// The outcome of a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestOutcome {
    /// The test failed.
    Failed,
    /// The test passed.
    Passed,
    /// The test is marked `#[ignore]` in its source, which is not allowed for a listed test.
    Ignored,
}

/// Returns the outcome of a single test, given the exit status and the output of its program.
pub fn test_outcome(success: bool, output: &str) -> TestOutcome {
    match (success, output.contains("1 ignored")) {
        (true, true) => TestOutcome::Ignored,
        (true, false) => TestOutcome::Passed,
        (false, _) => TestOutcome::Failed,
    }
}
