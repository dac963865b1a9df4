//! Throttles the processor time of processes by stopping each for a part of every period, as an exhausted CPU quota does.

use super::fleet::Fleet;
use super::scenario::Target;
use super::slot::Slot;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, Instant};

/// The period of the CPU quota.
const PERIOD: Duration = Duration::from_millis(100);

/// Limits the processes of the given targets to a share of each period, for the given duration. The periods of the processes
/// are staggered. Returns the errors of signals that could not be sent.
pub async fn throttle(
    fleet: &Fleet,
    targets: &[Target],
    share: f64,
    duration: Duration,
) -> Vec<String> {
    let slots: Vec<&Mutex<Slot>> = targets
        .iter()
        .flat_map(|target| fleet.slots(*target))
        .collect();
    let until = Instant::now() + duration;
    let count = slots.len().max(1) as f64;
    let all = slots.into_iter().enumerate().map(|(n, slot)| async move {
        sleep(PERIOD.mul_f64(n as f64 / count)).await;
        let mut errors = Vec::new();
        while Instant::now() < until {
            errors.extend(signal(slot, Signal::SIGSTOP).await);
            sleep(PERIOD.mul_f64(1.0 - share)).await;
            errors.extend(signal(slot, Signal::SIGCONT).await);
            sleep(PERIOD.mul_f64(share)).await;
        }
        errors.extend(signal(slot, Signal::SIGCONT).await);
        errors
    });
    futures_util::future::join_all(all).await.concat()
}

async fn signal(slot: &Mutex<Slot>, signal: Signal) -> Option<String> {
    let sent = slot.lock().await.signal(signal);
    sent.err().map(|e| format!("failed to send {signal}: {e}"))
}
