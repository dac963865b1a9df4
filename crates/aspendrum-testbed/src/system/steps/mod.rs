//! Carries out the steps of a scenario: orders of the operator, and faults.

mod orders;
mod processes;
mod servers;

use super::fleet::Fleet;
use super::operator::Operator;
use super::probes::Probes;
use super::scenario::{Step, StepKind, Target};
use aspendrum_checker::system::{ConfigVersion, Evacuation, ProxyFault, ProxyRestart};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The operator's orders, and the faults and failures of a run.
#[derive(Default)]
pub struct RunLog {
    /// All configurations that were sent.
    pub versions: Vec<ConfigVersion>,
    /// All evacuation orders.
    pub evacuations: Vec<Evacuation>,
    /// The periods in which proxies were faulty or cut off.
    pub faults: Vec<ProxyFault>,
    /// Failures of the run itself.
    pub failures: Vec<String>,
    /// The times at which proxies were restarted.
    pub restarts: Vec<ProxyRestart>,
}

/// Carries out the steps of a run and records them.
pub struct ScenarioRun {
    fleet: Arc<Fleet>,
    /// The operator.
    pub operator: Operator,
    /// Probes of added routes.
    pub probes: Arc<Probes>,
    log: Mutex<RunLog>,
}

/// Returns the number of a control node, or `None` for other targets.
fn core(target: &Target) -> Option<usize> {
    match target {
        Target::Core(number) => Some(*number),
        _ => None,
    }
}

/// Returns the duration of a step, which is zero if it has none.
fn duration(step: &Step) -> Duration {
    Duration::from_secs_f64(step.for_s.unwrap_or_default())
}

impl ScenarioRun {
    /// Creates a run without any step carried out.
    pub fn new(fleet: Arc<Fleet>) -> ScenarioRun {
        ScenarioRun {
            operator: Operator::new(fleet.clone()),
            probes: Arc::default(),
            fleet,
            log: Mutex::default(),
        }
    }

    /// Takes the log, leaving an empty one.
    pub fn take_log(&self) -> RunLog {
        std::mem::take(&mut *lock(&self.log))
    }

    fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    /// Records a failure of the run itself.
    pub fn record_failure(&self, what: &str) {
        lock(&self.log).failures.push(what.to_string());
    }

    /// Records that the proxies affected by a fault of the targets may be disconnected from now on until `to`.
    fn record_fault(&self, of: &[Target], to: Millis) {
        let from = self.now();
        let cores = of.iter().filter_map(core).count();
        let edges = of.iter().filter_map(|target| match target {
            Target::Edge(number) | Target::Proxy(number) | Target::Agent(number) => {
                Some(Some(*number))
            }
            _ => None,
        });
        // A fault of fewer than half of the control nodes must not affect any proxy.
        let all_proxies = (2 * cores >= self.fleet.scenario.cores).then_some(None);
        let faults = edges
            .chain(all_proxies)
            .map(|proxy| ProxyFault { proxy, from, to });
        lock(&self.log).faults.extend(faults);
    }

    /// Carries out a step and, if it has a duration, reverts it afterwards.
    pub async fn run_step(&self, number: u32, step: &Step, of: &[Target], from: Vec<Target>) {
        match step.what {
            StepKind::Move
            | StepKind::TakeKey
            | StepKind::GiveKey
            | StepKind::Changes
            | StepKind::InvalidChanges
            | StepKind::Race
            | StepKind::Resend
            | StepKind::Show
            | StepKind::Evacuate
            | StepKind::Begin
            | StepKind::Finish => self.order(step, of).await,
            StepKind::Replace | StepKind::Kill | StepKind::Wipe | StepKind::Term => {
                self.restart(step, of).await
            }
            StepKind::Freeze | StepKind::Throttle | StepKind::Cut | StepKind::Tamper => {
                self.disturb(number, step, of, from).await;
            }
            StepKind::Seeds | StepKind::Hup => self.reload_settings(step, of).await,
            StepKind::Die
            | StepKind::Drain
            | StepKind::Fail
            | StepKind::Reset
            | StepKind::Hang
            | StepKind::Deaf
            | StepKind::Early
            | StepKind::Slow
            | StepKind::Full
            | StepKind::Stall => {
                self.disturb_servers(step, of);
                if step.for_s.is_some() {
                    sleep(duration(step)).await;
                    self.restore_servers(step, of).await;
                }
            }
        }
    }

    /// Returns when a step that begins now is reverted.
    fn end_time(&self, step: &Step) -> Millis {
        self.now() + step.for_s.unwrap_or(0.0) * MILLIS_PER_SECOND
    }

    /// Applies an action to all targets concurrently, with starts `gap_s` seconds apart.
    async fn for_each_staggered<F: std::future::Future<Output = ()>>(
        &self,
        of: &[Target],
        gap_s: f64,
        action: impl Fn(Target) -> F,
    ) {
        let all = of.iter().enumerate().map(|(index, target)| {
            let delay = Duration::from_secs_f64(gap_s * index as f64);
            let done = action(*target);
            async move {
                sleep(delay).await;
                done.await;
            }
        });
        futures_util::future::join_all(all).await;
    }
}
