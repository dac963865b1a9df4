//! Signals to processes that this program started.

use std::os::unix::process::CommandExt;
use std::process::Command;

const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Sends a signal to a child.
pub fn send(pid: u32, signal: i32) {
    // SAFETY: `kill` has no memory effects.
    unsafe {
        kill(pid as i32, signal);
    }
}

/// Makes the kernel end the child when this process ends, however it ends.
pub fn die_with_parent(command: &mut Command) {
    // SAFETY: `prctl` is async-signal-safe.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}
