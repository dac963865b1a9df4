//! Threads with small stacks, and locks that outlive a thread that panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Spawns a thread with a stack of `stack_bytes`. Stacks must be small, as each connection has a thread.
///
/// # Errors
/// The system's error where it allows no further thread.
pub fn spawn(
    name: &str,
    stack_bytes: usize,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name(name.to_string())
        .stack_size(stack_bytes)
        .spawn(body)
}

/// Locks a mutex, even if a thread panicked while it held the lock. No critical section here can panic between two
/// dependent changes, so the value is consistent then too.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
