//! Processes with little processor time: each is stopped for a part of every tenth of a second, as by a quota that is spent.

use super::fleet::Fleet;
use super::scenario::Who;
use super::slot::Slot;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, Instant};

/// A quota is given anew after so long.
const PERIOD: Duration = Duration::from_millis(100);

/// Lets the processes of these run for that share of each period, until the time is over. They begin their periods one after
/// the other. Returns the errors of signals that could not be sent.
pub async fn throttle(fleet: &Fleet, of: &[Who], share: f64, lasts: Duration) -> Vec<String> {
    let slots: Vec<&Mutex<Slot>> = of.iter().flat_map(|who| fleet.slots(*who)).collect();
    let until = Instant::now() + lasts;
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
    sent.err().map(|e| format!("{signal}: {e}"))
}
