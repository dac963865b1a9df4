//! Ends the benchmark when the control processes take too many threads: other programs run on the machine, too.

use super::processes::{process_status, Member};
use crate::figure::FigureLine;
use std::thread::sleep;
use std::time::Duration;

/// Threads that all control processes together may have. The machine has 32,768 for everything that runs on it.
const MAX_THREADS: u64 = 10_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const EXIT_CODE: i32 = 3;

/// Watches the processes that are up now.
pub(super) fn start(control_nodes: &[Member]) {
    let ids: Vec<i32> = control_nodes
        .iter()
        .filter_map(Member::process_id)
        .collect();
    std::thread::spawn(move || loop {
        let threads = ids.iter().filter_map(|id| process_status(*id, "Threads"));
        let threads: u64 = threads.sum();
        if threads > MAX_THREADS {
            FigureLine::new("hollow.guard")
                .with("threads", threads)
                .with("ended", true)
                .print();
            // The kernel ends the processes that were started here together with this one.
            std::process::exit(EXIT_CODE);
        }
        sleep(CHECK_INTERVAL);
    });
}
