//! A pool of threads with small stacks, which run one job at a time and wait a while for the next.

use crate::threads::{lock, spawn};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Work for a thread of the pool.
pub type Job = Box<dyn FnOnce() + Send>;

/// Where a worker's next job is put.
type JobSlot = Arc<Mutex<Option<Job>>>;

/// A thread that waits for its next job.
struct IdleWorker {
    thread: Thread,
    slot: JobSlot,
}

/// Threads that are spawned on demand and end when they are idle for long. Clones share the threads.
#[derive(Clone)]
pub struct WorkerPool {
    /// The one that became idle last is used first: its stack and caches are warm, and the others may end.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
    stack_bytes: usize,
    idle_timeout: Duration,
}

impl WorkerPool {
    /// A pool without threads. Each thread ends after it has been idle for `idle_timeout`.
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
    /// The job itself, if no thread is idle and none can be spawned.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        let idle = lock(&self.idle).pop();
        if let Some(worker) = idle {
            *lock(&worker.slot) = Some(job);
            worker.thread.unpark();
            return Ok(());
        }
        let slot = Arc::new(Mutex::new(Some(job)));
        let (pool, slot_of_worker) = (self.clone(), slot.clone());
        match spawn("worker", self.stack_bytes, move || {
            pool.work(&slot_of_worker)
        }) {
            Ok(_) => Ok(()),
            Err(_) => lock(&slot).take().map_or(Ok(()), Err),
        }
    }

    /// The body of a worker: runs jobs until none has come for the idle time-out.
    fn work(&self, slot: &JobSlot) {
        loop {
            let Some(job) = lock(slot).take() else { return };
            // A job that panics must not end the thread: another job may already have been given to it.
            if catch_unwind(AssertUnwindSafe(job)).is_err() {
                tracing::error!("a job failed");
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

    /// Waits for the next job. Returns false if none came in time; the worker is no longer listed as idle then.
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
            // The thread that removed this worker from the list is about to put a job into its slot and to unpark it.
            thread::park();
        }
        true
    }
}
