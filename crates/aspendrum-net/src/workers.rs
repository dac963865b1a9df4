//! Small-stack threads that carry out one job at a time and wait a while for the next.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

pub type Job = Box<dyn FnOnce() + Send>;

/// A thread that waits, and the place where its next job is laid.
struct Worker {
    thread: Thread,
    job: Arc<Mutex<Option<Job>>>,
}

#[derive(Clone)]
pub struct WorkerPool {
    /// The one that came last is called first: its stack and caches are warm, and the others may go.
    idle: Arc<Mutex<Vec<Worker>>>,
    stack: usize,
    wait: Duration,
}

/// No lock is held over anything that may fail half-way, so what a failed thread left behind is sound.
pub fn lock<T>(place: &Mutex<T>) -> MutexGuard<'_, T> {
    place.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerPool {
    pub fn new(stack: usize, wait: Duration) -> WorkerPool {
        WorkerPool {
            idle: Arc::default(),
            stack,
            wait,
        }
    }

    /// Hands the job back if no thread is free and none can be started.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        let free = lock(&self.idle).pop();
        if let Some(worker) = free {
            *lock(&worker.job) = Some(job);
            worker.thread.unpark();
            return Ok(());
        }
        let place = Arc::new(Mutex::new(Some(job)));
        let (own, theirs) = (self.clone(), place.clone());
        match spawn("worker", self.stack, move || own.work(&theirs)) {
            Ok(_) => Ok(()),
            Err(_) => lock(&place).take().map_or(Ok(()), Err),
        }
    }

    fn work(&self, place: &Arc<Mutex<Option<Job>>>) {
        loop {
            let Some(job) = lock(place).take() else {
                return;
            };
            // A job that fails must not take a thread along that others may wait for.
            if catch_unwind(AssertUnwindSafe(job)).is_err() {
                tracing::error!("a job failed");
            }
            lock(&self.idle).push(Worker {
                thread: thread::current(),
                job: place.clone(),
            });
            let until = Instant::now() + self.wait;
            while lock(place).is_none() {
                let left = until.saturating_duration_since(Instant::now());
                if !left.is_zero() {
                    thread::park_timeout(left);
                    continue;
                }
                let mut idle = lock(&self.idle);
                if let Some(at) = idle.iter().position(|h| Arc::ptr_eq(&h.job, place)) {
                    idle.remove(at);
                    return;
                }
                drop(idle);
                // Whoever took it off the list has a job for it, and wakes it behind laying it there.
                thread::park();
            }
        }
    }
}

/// A thread with a small stack: there are as many as connections.
pub fn spawn(
    name: &str,
    stack: usize,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new()
        .name(name.to_string())
        .stack_size(stack)
        .spawn(body)
}
