//! Tests that fail for a real fault which is not yet mended. `KNOWN-RED.txt` at the workspace's root lists them, three at
//! most, one a line. This crate reads the list, and plans the runs of cargo that play every other test; its program runs
//! them.

mod list;
mod outcome;
mod plan;
mod test_program;

pub use list::{parse_list, ListError, ListedTest, LIST_FILE, MAX_LISTED};
pub use outcome::{test_outcome, TestOutcome};
pub use plan::{plan_runs, CargoArguments};
pub use test_program::{find_program, lists_test, parse_programs, ProgramError, TestProgram};
