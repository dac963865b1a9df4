//! The binary of a control node.

use std::process::ExitCode;

fn main() -> ExitCode {
    aspendrum_control::main()
}
