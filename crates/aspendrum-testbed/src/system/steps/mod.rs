//! What happens in a run, step by step: the operator's orders, and the faults.

mod orders;
mod processes;
mod servers;

use super::fleet::Fleet;
use super::operator::Operator;
use super::probes::Probes;
use super::scenario::{Step, What, Who};
use aspendrum_checker::system::{ConfigVersion, Evacuation, ProxyFault, ProxyRestart};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// What the operator has decided, and what went wrong for whom.
#[derive(Default)]
pub struct RunLog {
    /// All configurations that were sent.
    pub versions: Vec<ConfigVersion>,
    /// All orders about zones.
    pub evacuations: Vec<Evacuation>,
    /// When proxies were faulty, or cut off.
    pub faults: Vec<ProxyFault>,
    /// What went wrong with the run itself.
    pub failures: Vec<String>,
    /// When proxies were started again.
    pub restarts: Vec<ProxyRestart>,
}

/// The steps of a run, and what they leave behind.
pub struct ScenarioRun {
    fleet: Arc<Fleet>,
    /// The operator.
    pub operator: Operator,
    /// Probes of added routes.
    pub probes: Arc<Probes>,
    log: Mutex<RunLog>,
}

fn core(who: &Who) -> Option<usize> {
    match who {
        Who::Core(number) => Some(*number),
        _ => None,
    }
}

/// How long a step lasts.
fn duration(step: &Step) -> Duration {
    Duration::from_secs_f64(step.for_s.unwrap_or_default())
}

impl ScenarioRun {
    /// Nothing has happened yet.
    pub fn new(fleet: Arc<Fleet>) -> ScenarioRun {
        ScenarioRun {
            operator: Operator::new(fleet.clone()),
            probes: Arc::default(),
            fleet,
            log: Mutex::default(),
        }
    }

    /// All of it, taken out.
    pub fn take_log(&self) -> RunLog {
        std::mem::take(&mut *lock(&self.log))
    }

    fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    /// Something went wrong with the run itself.
    pub fn record_failure(&self, what: &str) {
        lock(&self.log).failures.push(what.to_string());
    }

    /// Whoever is out of touch by this, from now on until `to`.
    fn record_fault(&self, of: &[Who], to: Millis) {
        let from = self.now();
        let cores = of.iter().filter_map(core).count();
        let edges = of.iter().filter_map(|who| match who {
            Who::Edge(number) | Who::Proxy(number) | Who::Agent(number) => Some(Some(*number)),
            _ => None,
        });
        // Fewer than half of control must do no harm.
        let all = (2 * cores >= self.fleet.scenario.cores).then_some(None);
        let faults = edges.chain(all).map(|proxy| ProxyFault { proxy, from, to });
        lock(&self.log).faults.extend(faults);
    }

    /// Carries out a step, and takes it back after its time.
    pub async fn step(&self, number: u32, step: &Step, of: &[Who], from: Vec<Who>) {
        match step.what {
            What::Move
            | What::TakeKey
            | What::GiveKey
            | What::Changes
            | What::InvalidChanges
            | What::Race
            | What::Resend
            | What::Show
            | What::Evacuate
            | What::Begin
            | What::Finish => self.order(step, of).await,
            What::Replace | What::Kill | What::Wipe | What::Term => self.restart(step, of).await,
            What::Freeze | What::Throttle | What::Cut | What::Tamper => {
                self.disturb(number, step, of, from).await;
            }
            What::Seeds | What::Hup => self.reload_settings(step, of).await,
            What::Die
            | What::Drain
            | What::Fail
            | What::Reset
            | What::Hang
            | What::Deaf
            | What::Slow
            | What::Full
            | What::Stall => {
                self.disturb_servers(step, of);
                if step.for_s.is_some() {
                    sleep(duration(step)).await;
                    self.restore_servers(step, of).await;
                }
            }
        }
    }

    /// When a step that begins now is taken back.
    fn end_of(&self, step: &Step) -> Millis {
        self.now() + step.for_s.unwrap_or(0.0) * MILLIS_PER_SECOND
    }

    /// One after the other, `gap_s` apart; without a gap all at once.
    async fn each<F: std::future::Future<Output = ()>>(
        &self,
        of: &[Who],
        gap_s: f64,
        what: impl Fn(Who) -> F,
    ) {
        let all = of.iter().enumerate().map(|(index, who)| {
            let delay = Duration::from_secs_f64(gap_s * index as f64);
            let done = what(*who);
            async move {
                sleep(delay).await;
                done.await;
            }
        });
        futures_util::future::join_all(all).await;
    }
}
