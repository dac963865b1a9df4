//! Support for known test failures: tests that fail because of a real defect that is not fixed yet. `KNOWN-RED.txt` at
//! the workspace root lists at most three of them, one per line. This crate parses the list and plans the cargo
//! invocations that run all other tests; its program executes them.

mod list;
mod outcome;
mod plan;
mod test_program;

pub use list::{parse_list, ListError, ListedTest, LIST_FILE, MAX_LISTED};
pub use outcome::{test_outcome, TestOutcome};
pub use plan::{plan_runs, CargoArguments};
pub use test_program::{find_program, lists_test, parse_programs, ProgramError, TestProgram};
