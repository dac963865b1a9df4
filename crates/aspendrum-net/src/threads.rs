//! Threads with small stacks, and mutexes that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Spawns a thread with a stack of `stack_bytes` bytes. Stacks should be small, because each connection has a thread.
///
/// # Errors
/// Returns the error of the operating system if it cannot create the thread.
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

/// Locks a mutex and ignores poisoning. No critical section in these programs panics between dependent changes, so the
/// value is consistent even if a thread panicked while holding the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
