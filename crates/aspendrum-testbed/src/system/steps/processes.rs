//! Steps that end, restart, signal or disturb processes, or the links between them.

use super::{core, duration, ScenarioRun};
use crate::system::scenario::{Step, What, Who};
use crate::system::slot::Slot;
use crate::system::throttle::throttle;
use aspendrum_checker::system::ProxyRestart;
use aspendrum_fake_services::lock;
use nix::sys::signal::Signal;
use std::time::Duration;
use tokio::time::sleep;

/// A process that got SIGTERM has ended by then: the platform would kill it.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two looks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ScenarioRun {
    /// Processes end, and others come in their place.
    pub(super) async fn restart(&self, step: &Step, of: &[Who]) {
        if step.what != What::Term {
            let until = self.end_of(step) + self.fleet.scenario.terms.contact;
            self.record_fault(of, until);
        }
        match step.what {
            What::Replace => {
                let replace = |who: Who| async move {
                    if let Some(old) = core(&who) {
                        self.replace(old, step).await;
                    }
                };
                self.each(of, step.gap_s, replace).await;
            }
            What::Term => self.each(of, step.gap_s, |who| self.term(who)).await,
            _ => {
                let wipes = step.what == What::Wipe;
                let kill = |who| self.kill(who, wipes, duration(step));
                self.each(of, step.gap_s, kill).await;
            }
        }
    }

    /// Processes or links are disturbed for a time.
    pub(super) async fn disturb(&self, number: u32, step: &Step, of: &[Who], from: Vec<Who>) {
        if step.what != What::Throttle {
            self.record_fault(of, self.end_of(step));
        }
        match step.what {
            What::Freeze => {
                self.signal(of, Signal::SIGSTOP).await;
                sleep(duration(step)).await;
                self.signal(of, Signal::SIGCONT).await;
            }
            What::Throttle => {
                let errors = throttle(&self.fleet, of, step.share, duration(step)).await;
                errors.iter().for_each(|error| self.record_failure(error));
            }
            What::Cut => {
                let from = if from.is_empty() {
                    self.fleet.everyone()
                } else {
                    from
                };
                self.fleet.cut(of, &from, step.one_way, step.form, number);
                sleep(duration(step)).await;
                self.fleet.heal(of, &from, step.one_way, number);
            }
            _ => {
                of.iter().for_each(|who| self.fleet.tamper(*who, step.how));
                sleep(duration(step)).await;
                of.iter().for_each(|who| self.fleet.tamper(*who, None));
            }
        }
    }

    /// SIGHUP, with or without other seeds in the settings.
    pub(super) async fn reload_settings(&self, step: &Step, of: &[Who]) {
        if step.what == What::Seeds {
            self.fleet.name_seeds(of.iter().filter_map(core).collect());
            if let Err(e) = self.fleet.write_settings(false).await {
                self.record_failure(&format!("the settings: {e}"));
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

    async fn replace(&self, old: usize, step: &Step) {
        let Some(new) = self.fleet.replace(old, step.seeds) else {
            return self.record_failure("there is no spare machine of control");
        };
        if step.killed {
            self.fleet.cores[old].lock().await.kill().await;
        } else {
            self.stop(Who::Core(old), &self.fleet.cores[old]).await;
        }
        sleep(duration(step)).await;
        if let Err(e) = self.fleet.write_settings(false).await {
            self.record_failure(&format!("the settings: {e}"));
        }
        // Whoever starts now reads them as they are.
        if step.seeds {
            self.reload().await;
        }
        if let Err(e) = self.fleet.cores[new].lock().await.up() {
            self.record_failure(&format!("core {new}: {e}"));
        }
    }

    /// SIGHUP to all.
    async fn reload(&self) {
        let mut all = self.fleet.everyone();
        all.retain(|who| !matches!(who, Who::Origin(_)));
        self.signal(&all, Signal::SIGHUP).await;
    }

    /// A proxy's process ends, and another one will know nothing of what it has shown.
    fn record_restart(&self, who: Who) {
        if let Who::Edge(proxy) | Who::Proxy(proxy) = who {
            let at = self.now();
            lock(&self.log).restarts.push(ProxyRestart { proxy, at });
        }
    }

    async fn kill(&self, who: Who, wipes: bool, downtime: Duration) {
        self.record_restart(who);
        let slots = self.fleet.slots(who);
        for slot in &slots {
            slot.lock().await.kill().await;
        }
        sleep(downtime).await;
        for slot in slots {
            let mut slot = slot.lock().await;
            let wiped = if wipes { slot.wipe() } else { Ok(()) };
            if let Err(e) = wiped.and_then(|()| slot.up()) {
                self.record_failure(&format!("{who:?}: {e}"));
            }
        }
    }

    async fn term(&self, who: Who) {
        self.record_restart(who);
        for slot in self.fleet.slots(who) {
            self.stop(who, slot).await;
            if let Err(e) = slot.lock().await.up() {
                self.record_failure(&format!("{who:?}: {e}"));
            }
        }
    }

    /// SIGTERM, and its end waited for. It may be signalled, stopped and killed meanwhile.
    async fn stop(&self, who: Who, slot: &tokio::sync::Mutex<Slot>) {
        while slot.lock().await.is_loading() {
            sleep(POLL_INTERVAL).await;
        }
        let (signalled, id) = {
            let slot = slot.lock().await;
            (slot.signal(Signal::SIGTERM), slot.id())
        };
        let deadline = tokio::time::Instant::now() + END_TIMEOUT;
        loop {
            let mut current = slot.lock().await;
            // Another one may have waited for the same end, and have started it again.
            let Some(process) = current.process.as_mut().filter(|p| Some(p.id()) == id) else {
                return;
            };
            if let Some(status) = process.exit_status() {
                current.process = None;
                if !status.success() {
                    self.record_failure(&format!(
                        "{who:?} did not end in order: {signalled:?} {status:?}"
                    ));
                }
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                self.record_failure(&format!("{who:?} did not end: {signalled:?}"));
                return current.kill().await;
            }
            drop(current);
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn signal(&self, of: &[Who], signal: Signal) {
        for slot in of.iter().flat_map(|who| self.fleet.slots(*who)) {
            if let Err(e) = slot.lock().await.signal(signal) {
                self.record_failure(&format!("{signal}: {e}"));
            }
        }
    }
}
