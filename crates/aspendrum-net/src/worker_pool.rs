//! A pool of threads with small stacks. Each thread runs one job at a time and terminates after an idle timeout.

use crate::threads::{lock, spawn};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// A unit of work for the pool.
pub type Job = Box<dyn FnOnce() + Send>;

/// The slot for the next job of a worker.
type JobSlot = Arc<Mutex<Option<Job>>>;

/// A thread that is waiting for its next job.
struct IdleWorker {
    thread: Thread,
    slot: JobSlot,
}

/// A pool of threads that are spawned on demand. Clones share the threads.
#[derive(Clone)]
pub struct WorkerPool {
    /// The idle workers. The most recently used one is reused first, because its stack and caches are warm and the
    /// others can reach their idle timeout.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
    stack_bytes: usize,
    idle_timeout: Duration,
}

impl WorkerPool {
    /// Creates a pool without threads. Each thread terminates after it has been idle for `idle_timeout`.
    pub fn new(stack_bytes: usize, idle_timeout: Duration) -> WorkerPool {
        WorkerPool {
            idle: Arc::default(),
            stack_bytes,
            idle_timeout,
        }
    }

    /// Runs the job on an idle thread, or else on a new one.
    ///
    /// # Errors
    /// Returns the job if no thread is idle and none can be spawned.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        let idle = lock(&self.idle).pop();
        if let Some(worker) = idle {
            *lock(&worker.slot) = Some(job);
            worker.thread.unpark();
            return Ok(());
        }
        let slot = Arc::new(Mutex::new(Some(job)));
        let (pool, worker_slot) = (self.clone(), slot.clone());
        match spawn("worker", self.stack_bytes, move || pool.work(&worker_slot)) {
            Ok(_) => Ok(()),
            Err(_) => lock(&slot).take().map_or(Ok(()), Err),
        }
    }

    /// The body of a worker thread. Runs jobs until the idle timeout expires.
    fn work(&self, slot: &JobSlot) {
        loop {
            let Some(job) = lock(slot).take() else { return };
            // A panic in a job must not terminate the thread, because the next job may already be in its slot.
            if catch_unwind(AssertUnwindSafe(job)).is_err() {
                tracing::error!("worker job panicked");
            }
            lock(&self.idle).push(IdleWorker {
                thread: thread::current(),
                slot: slot.clone(),
            });
            if !self.wait_for_job(slot) {
                return;
            }
        }
    }

    /// Waits for the next job. Returns false if the idle timeout expired and the worker was removed from the idle list.
    fn wait_for_job(&self, slot: &JobSlot) -> bool {
        let deadline = Instant::now() + self.idle_timeout;
        while lock(slot).is_none() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !remaining.is_zero() {
                thread::park_timeout(remaining);
                continue;
            }
            let mut idle = lock(&self.idle);
            if let Some(index) = idle
                .iter()
                .position(|worker| Arc::ptr_eq(&worker.slot, slot))
            {
                idle.remove(index);
                return false;
            }
            drop(idle);
            // Another thread has removed this worker from the list and is about to put a job into its slot and unpark
            // it.
            thread::park();
        }
        true
    }
}
