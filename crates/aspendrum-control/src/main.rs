//! The program of control.

use std::process::ExitCode;

fn main() -> ExitCode {
    aspendrum_control::main()
}
