//! Threads with small stacks, and locks that outlive a thread that panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

/// Spawns a thread with a stack of that size: there are as many threads as connections.
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

/// Locks a mutex, also after a panic of its holder: no lock is held over anything that may fail half-way, so the value is
/// always consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
