//! Terminates the benchmark if the control processes use too many threads, to protect other programs on the machine.

use super::processes::{process_status, SystemProcess};
use crate::figure::FigureLine;
use std::thread::sleep;
use std::time::Duration;

/// The maximum number of threads of all control processes together. The machine-wide limit is 32,768.
const MAX_THREADS: u64 = 10_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const EXIT_CODE: i32 = 3;

/// Starts to monitor the processes that are running now.
pub(super) fn start(control_nodes: &[SystemProcess]) {
    let ids: Vec<i32> = control_nodes
        .iter()
        .filter_map(SystemProcess::process_id)
        .collect();
    std::thread::spawn(move || loop {
        let threads = ids.iter().filter_map(|id| process_status(*id, "Threads"));
        let threads: u64 = threads.sum();
        if threads > MAX_THREADS {
            FigureLine::new("hollow.guard")
                .with("threads", threads)
                .with("ended", true)
                .print();
            // The kernel kills the child processes when this process exits.
            std::process::exit(EXIT_CODE);
        }
        sleep(CHECK_INTERVAL);
    });
}
