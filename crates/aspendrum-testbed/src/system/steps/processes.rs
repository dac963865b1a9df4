//! Steps that restart, signal or throttle processes, or disturb the links between them.

use super::{core, duration, ScenarioRun};
use crate::system::scenario::{Step, StepKind, Target};
use crate::system::slot::Slot;
use crate::system::throttle::throttle;
use aspendrum_checker::system::ProxyRestart;
use aspendrum_fake_services::lock;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::time::sleep;

/// How long a process may take to exit after SIGTERM before it is killed.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between checks of whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ScenarioRun {
    /// Ends processes, and restarts or replaces them.
    pub(super) async fn restart(&self, step: &Step, of: &[Target]) {
        if step.what != StepKind::Term {
            let until = self.end_time(step) + self.fleet.scenario.terms.contact;
            self.record_fault(of, until);
        }
        match step.what {
            StepKind::Replace => {
                let replace = |target: Target| async move {
                    if let Some(old) = core(&target) {
                        self.replace(old, step).await;
                    }
                };
                self.for_each_staggered(of, step.gap_s, replace).await;
            }
            StepKind::Term => {
                self.for_each_staggered(of, step.gap_s, |target| self.term(target))
                    .await
            }
            _ => {
                let wipes = step.what == StepKind::Wipe;
                let kill = |target| self.kill(target, wipes, duration(step));
                self.for_each_staggered(of, step.gap_s, kill).await;
            }
        }
    }

    /// Disturbs processes or links for the duration of the step.
    pub(super) async fn disturb(&self, number: u32, step: &Step, of: &[Target], from: Vec<Target>) {
        if step.what != StepKind::Throttle {
            self.record_fault(of, self.end_time(step));
        }
        match step.what {
            StepKind::Freeze => {
                self.signal(of, Signal::SIGSTOP).await;
                sleep(duration(step)).await;
                self.signal(of, Signal::SIGCONT).await;
            }
            StepKind::Throttle => {
                let errors = throttle(&self.fleet, of, step.share, duration(step)).await;
                errors.iter().for_each(|error| self.record_failure(error));
            }
            StepKind::Cut => {
                let from = if from.is_empty() {
                    self.fleet.all_targets()
                } else {
                    from
                };
                self.fleet.cut(of, &from, step.one_way, step.form, number);
                sleep(duration(step)).await;
                self.fleet.heal(of, &from, step.one_way, number);
            }
            _ => {
                of.iter()
                    .for_each(|target| self.fleet.tamper(*target, step.how));
                sleep(duration(step)).await;
                of.iter()
                    .for_each(|target| self.fleet.tamper(*target, None));
            }
        }
    }

    /// Sends SIGHUP, after changing the seeds in the settings if the step says so.
    pub(super) async fn reload_settings(&self, step: &Step, of: &[Target]) {
        if step.what == StepKind::Seeds {
            self.fleet.set_seeds(of.iter().filter_map(core).collect());
            if let Err(e) = self.fleet.write_settings(false).await {
                self.record_failure(&format!("failed to write the settings: {e}"));
            }
            return self.reload().await;
        }
        for index in 0..step.count {
            if index > 0 {
                sleep(Duration::from_secs_f64(step.gap_s)).await;
            }
            self.signal(of, Signal::SIGHUP).await;
        }
    }

    /// Stops a control node and starts a spare one after the duration of the step.
    async fn replace(&self, old: usize, step: &Step) {
        let Some(new) = self.fleet.replace(old, step.seeds) else {
            return self.record_failure("there is no spare control node left");
        };
        if step.killed {
            self.fleet.cores[old].lock().await.kill().await;
        } else {
            self.stop(Target::Core(old), &self.fleet.cores[old]).await;
        }
        sleep(duration(step)).await;
        if let Err(e) = self.fleet.write_settings(false).await {
            self.record_failure(&format!("failed to write the settings: {e}"));
        }
        // The replacement reads the current settings when it starts.
        if step.seeds {
            self.reload().await;
        }
        if let Err(e) = self.fleet.cores[new].lock().await.ensure_running() {
            self.record_failure(&format!("failed to start control node {new}: {e}"));
        }
    }

    /// Sends SIGHUP to all processes.
    async fn reload(&self) {
        let mut all = self.fleet.all_targets();
        all.retain(|target| !matches!(target, Target::Origin(_)));
        self.signal(&all, Signal::SIGHUP).await;
    }

    /// Records the restart of a proxy, after which its state starts afresh.
    fn record_restart(&self, target: Target) {
        if let Target::Edge(proxy) | Target::Proxy(proxy) = target {
            let at = self.now();
            lock(&self.log).restarts.push(ProxyRestart { proxy, at });
        }
    }

    /// Kills the processes of a target and restarts them after the downtime, with empty disks if `wipes`.
    async fn kill(&self, target: Target, wipes: bool, downtime: Duration) {
        self.record_restart(target);
        let slots = self.fleet.slots(target);
        for slot in &slots {
            slot.lock().await.kill().await;
        }
        sleep(downtime).await;
        for slot in slots {
            let mut slot = slot.lock().await;
            let wiped = if wipes { slot.wipe() } else { Ok(()) };
            if let Err(e) = wiped.and_then(|()| slot.ensure_running()) {
                self.record_failure(&format!("failed to restart {target:?}: {e}"));
            }
        }
    }

    /// Terminates and restarts the processes of a target, one after the other.
    async fn term(&self, target: Target) {
        self.record_restart(target);
        for slot in self.fleet.slots(target) {
            self.stop(target, slot).await;
            if let Err(e) = slot.lock().await.ensure_running() {
                self.record_failure(&format!("failed to restart {target:?}: {e}"));
            }
        }
    }

    /// Sends SIGTERM to a process and waits until it exits; kills it after a timeout. Other steps may signal or kill the process
    /// at the same time.
    async fn stop(&self, target: Target, slot: &tokio::sync::Mutex<Slot>) {
        while slot.lock().await.is_loading() {
            sleep(POLL_INTERVAL).await;
        }
        let (signalled, pid) = {
            let slot = slot.lock().await;
            (slot.signal(Signal::SIGTERM), slot.pid())
        };
        let deadline = tokio::time::Instant::now() + END_TIMEOUT;
        loop {
            let mut current = slot.lock().await;
            // Another step may have seen the exit and restarted the process.
            let Some(process) = current.process.as_mut().filter(|p| Some(p.id()) == pid) else {
                return;
            };
            if let Some(status) = process.exit_status() {
                current.process = None;
                if !status.success() {
                    self.record_failure(&format!(
                        "{target:?} did not shut down cleanly: {signalled:?} {status:?}"
                    ));
                }
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                self.record_failure(&format!(
                    "{target:?} did not exit after SIGTERM: {signalled:?}"
                ));
                return current.kill().await;
            }
            drop(current);
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a signal to all processes of the targets.
    async fn signal(&self, of: &[Target], signal: Signal) {
        for slot in of.iter().flat_map(|target| self.fleet.slots(*target)) {
            if let Err(e) = slot.lock().await.signal(signal) {
                self.record_failure(&format!("failed to send {signal}: {e}"));
            }
        }
    }
}
