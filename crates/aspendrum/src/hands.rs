//! Small-stack threads that carry out one job at a time and wait a while for the next.

use crossbeam_channel::{bounded, Receiver, Sender, TrySendError};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

pub type Job = Box<dyn FnOnce() + Send>;

pub struct Hands {
    free: Sender<Job>,
    jobs: Receiver<Job>,
    stack: usize,
    idle: Duration,
}

impl Hands {
    pub fn new(stack: usize, idle: Duration) -> Hands {
        // No room: a job goes over only to a thread that waits for one.
        let (free, jobs) = bounded(0);
        Hands { free, jobs, stack, idle }
    }

    /// Hands the job back if no thread is free and none can be started.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        let job = match self.free.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let first = Arc::new(Mutex::new(Some(job)));
        let (theirs, jobs, idle) = (first.clone(), self.jobs.clone(), self.idle);
        let take = |place: &Mutex<Option<Job>>| place.lock().unwrap_or_else(PoisonError::into_inner).take();
        let body = move || {
            let mut next = take(&theirs);
            while let Some(job) = next {
                // A job that fails must not take a thread along that others may wait for.
                if catch_unwind(AssertUnwindSafe(job)).is_err() {
                    log::error!("a job failed");
                }
                next = jobs.recv_timeout(idle).ok();
            }
        };
        match spawn("hand", self.stack, body) {
            Ok(_) => Ok(()),
            Err(_) => take(&first).map_or(Ok(()), Err),
        }
    }
}

/// A thread with a small stack: there are as many as connections.
pub fn spawn(
    name: &str,
    stack: usize,
    body: impl FnOnce() + Send + 'static,
) -> std::io::Result<thread::JoinHandle<()>> {
    thread::Builder::new().name(name.to_string()).stack_size(stack).spawn(body)
}
