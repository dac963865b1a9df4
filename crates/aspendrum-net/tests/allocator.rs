//! The memory of a process whose threads allocate and free blocks of many sizes within a budget.

use aspendrum_net::allocator::return_freed_memory;
use aspendrum_net::memory_budget::MemoryBudget;
use std::thread;
use std::time::{Duration, Instant};

const BUDGET_BYTES: usize = 64 << 20;
/// The memory of the process in addition to the budget.
const BASE_BYTES: usize = 16 << 20;
const THREADS: usize = 24;
const BLOCKS_PER_THREAD: usize = 20;
const MEGABYTE: usize = 1 << 20;
const MAX_BLOCK_MEGABYTES: usize = 30;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the most memory that this process has had resident so far, in bytes.
fn peak_resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() << 10
}

/// Guards against a process that goes over its memory though its budget is kept: the allocator kept freed blocks of up
/// to 32 MB, in up to eight heaps for each core.
#[test]
fn freed_blocks_do_not_stay_in_memory() {
    return_freed_memory();
    let budget = MemoryBudget::new(BUDGET_BYTES);
    let allocate = |thread: usize| {
        for block in 0..BLOCKS_PER_THREAD {
            let megabytes = 1 + (thread * 7 + block * 11) % MAX_BLOCK_MEGABYTES;
            let bytes = megabytes * MEGABYTE;
            let reservation = budget.reserve_until(bytes, Instant::now() + TIMEOUT);
            let content = vec![1_u8; bytes];
            assert!(
                reservation.is_some() && content.iter().rev().step_by(MEGABYTE).all(|b| *b == 1)
            );
        }
    };
    let allocate = &allocate;
    thread::scope(|scope| {
        (0..THREADS).for_each(|thread| drop(scope.spawn(move || allocate(thread))));
    });
    let peak = peak_resident_bytes();
    assert!(peak <= BUDGET_BYTES + BASE_BYTES, "{peak} bytes resident");
}
