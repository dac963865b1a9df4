//! What happens in a run, step by step: the operator's orders, and the faults.

use super::configuration::{self, CONFIG_FAULTS};
use super::fleet::{Fleet, SERVICES};
use super::operator::{Operator, OrderOutcome};
use super::probes::{AddedRoute, Probes};
use super::scenario::{Step, What, Who};
use super::slot::Slot;
use super::throttle::throttle;
use aspendrum_checker::system::Evacuation;
use aspendrum_checker::system::{ConfigVersion, ProxyFault, ProxyRestart, RouteRule, TenantRule};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use nix::sys::signal::Signal;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// A process that got SIGTERM has ended by then: the platform would kill it.
const END_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two looks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Orders that are under way at once.
const MAX_IN_FLIGHT: usize = 8;

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
        Who::Core(n) => Some(*n),
        _ => None,
    }
}

/// How long a step lasts.
fn duration(step: &Step) -> Duration {
    Duration::from_secs_f64(step.for_s.unwrap_or_default())
}

/// The once-only route goes to the other service.
fn moved(v: &mut ConfigVersion) {
    let other = usize::from(v.routes[1].service == SERVICES[0]);
    v.routes[1].service = SERVICES[other].into();
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

    /// The next configuration, as the last one with that done to it. A number of its own, unless told otherwise.
    fn next(&self, number: Option<u32>, how: impl FnOnce(&mut ConfigVersion)) -> ConfigVersion {
        let mut log = lock(&self.log);
        let mut next = log
            .versions
            .last()
            .cloned()
            .unwrap_or_else(|| ConfigVersion {
                routes: vec![
                    RouteRule {
                        service: SERVICES[0].into(),
                        is_once_only: false,
                    },
                    RouteRule {
                        service: SERVICES[1].into(),
                        is_once_only: true,
                    },
                ],
                tenants: ["ann", "bob"]
                    .map(|name| TenantRule {
                        name: name.into(),
                        has_key: true,
                    })
                    .to_vec(),
                ..ConfigVersion::default()
            });
        // Versions go up in steps that are not even.
        let newest = log.versions.iter().map(|v| v.number).max().unwrap_or(0);
        next.number = number.unwrap_or(newest + if newest % 2 == 0 { 3 } else { 2 });
        (next.sent_at, next.acknowledged_at) = (self.now(), None);
        how(&mut next);
        next.text = configuration::text(&self.fleet.scenario, &next).into();
        log.versions.push(next.clone());
        next
    }

    /// Sends the next configuration, beginning at that machine of control.
    pub async fn change(
        &self,
        first: usize,
        how: impl FnOnce(&mut ConfigVersion),
    ) -> (u32, OrderOutcome) {
        let next = self.next(None, how);
        (next.number, self.send(first, &next).await)
    }

    async fn send(&self, first: usize, v: &ConfigVersion) -> OrderOutcome {
        let came = self.operator.send_config(first, v.number, &v.text).await;
        if let OrderOutcome::Acknowledged(at) = came {
            let mut log = lock(&self.log);
            let same = |k: &&mut ConfigVersion| k.number == v.number && k.text == v.text;
            if let Some(known) = log.versions.iter_mut().find(same) {
                known.acknowledged_at.get_or_insert(at);
            }
        }
        came
    }

    /// Many changes, in their order, eight under way at most: each goes to another machine first.
    async fn changes(&self, first: usize, step: &Step) {
        let under_way = Semaphore::new(MAX_IN_FLIGHT);
        let one = |n: usize| {
            let under_way = &under_way;
            async move {
                sleep(Duration::from_secs_f64(step.gap_s * n as f64)).await;
                let Ok(_turn) = under_way.acquire().await else {
                    return;
                };
                let members = self.fleet.members();
                let first = members[(first + n) % members.len()];
                let adds_route =
                    step.adds_route_every > 0 && n.is_multiple_of(step.adds_route_every);
                let outcome = if adds_route {
                    self.add_route(first).await
                } else {
                    self.change(first, |_| {}).await
                };
                if let (number, OrderOutcome::Refused(_) | OrderOutcome::Unclear) = outcome {
                    self.record_failure(&format!("the change {number:08x} was not acknowledged"));
                }
            }
        };
        futures_util::future::join_all((0..step.count).map(one)).await;
    }

    /// A configuration with a further route, which proxies are probed for once it is acknowledged.
    async fn add_route(&self, first: usize) -> (u32, OrderOutcome) {
        let mut route = 0;
        let add = |version: &mut ConfigVersion| {
            route = version.routes.len();
            version.routes.push(RouteRule {
                service: SERVICES[0].into(),
                is_once_only: false,
            });
        };
        let (number, outcome) = self.change(first, add).await;
        if let OrderOutcome::Acknowledged(acknowledged_at) = outcome {
            self.probes.add(AddedRoute {
                route,
                acknowledged_at,
            });
        }
        (number, outcome)
    }

    /// Invalid texts, each under a number that no valid one has.
    async fn invalid_changes(&self, first: usize, step: &Step) {
        for n in 0..step.count {
            let (number, text) = {
                let log = lock(&self.log);
                let Some(last) = log.versions.last() else {
                    return;
                };
                let mut version = last.clone();
                version.number += 1;
                let fault = CONFIG_FAULTS[n % CONFIG_FAULTS.len()];
                let text =
                    configuration::invalid_text(&self.fleet.scenario, &version, fault).into();
                (version.number, text)
            };
            let members = self.fleet.members();
            let node = members[(first + n) % members.len()];
            self.operator.send_invalid(node, number, &text).await;
            sleep(Duration::from_secs_f64(step.gap_s)).await;
        }
    }

    /// Two texts under one number: a route moves by the one, a key is taken away or given by the other.
    async fn race(&self, of: &[Who], step: &Step) {
        let cores: Vec<usize> = of.iter().filter_map(core).collect();
        for round in 0..step.count {
            let (one, other) = (cores[round % cores.len()], cores[(round + 1) % cores.len()]);
            let a = self.next(None, moved);
            let b = self.next(Some(a.number), |v| {
                moved(v);
                v.tenants[1].has_key = !v.tenants[1].has_key;
            });
            let (a, b) = tokio::join!(self.send(one, &a), self.send(other, &b));
            if [a, b].contains(&OrderOutcome::Unclear) {
                self.record_failure(&format!(
                    "the race {round} ended without a clear answer: {a:?}, {b:?}"
                ));
            }
            sleep(Duration::from_secs_f64(step.gap_s)).await;
        }
    }

    /// One after the other, all that was ever sent or the last alone, each until it is answered.
    async fn resend(&self, first: usize, all: bool) {
        let mut sent = lock(&self.log).versions.clone();
        sent.drain(..if all { 0 } else { sent.len().saturating_sub(1) });
        for v in &sent {
            self.send(first, v).await;
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
        sleep(Duration::from_secs_f64(step.for_s.unwrap_or_default())).await;
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
        let all = self
            .fleet
            .everyone()
            .into_iter()
            .filter(|w| !matches!(w, Who::Origin(_)));
        self.signal(&all.collect::<Vec<Who>>(), Signal::SIGHUP)
            .await;
    }

    /// Something went wrong with the run itself.
    pub fn record_failure(&self, what: &str) {
        lock(&self.log).failures.push(what.to_string());
    }

    /// Whoever is out of touch by this, from now on until `to`.
    fn record_fault(&self, of: &[Who], to: Millis) {
        let from = self.now();
        let cores = of.iter().filter(|w| matches!(w, Who::Core(_))).count();
        let edges = of.iter().filter_map(|w| match w {
            Who::Edge(n) | Who::Proxy(n) | Who::Agent(n) => Some(Some(*n)),
            _ => None,
        });
        // Fewer than half of control must do no harm.
        let all = (2 * cores >= self.fleet.scenario.cores).then_some(None);
        let faults = edges.chain(all).map(|front| ProxyFault {
            proxy: front,
            from,
            to,
        });
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
                self.origins(step, of).await;
                if step.for_s.is_some() {
                    sleep(duration(step)).await;
                    self.well(step, of).await;
                }
            }
        }
    }

    /// An order of the operator, to the first control node of `of` first.
    async fn order(&self, step: &Step, of: &[Who]) {
        let first = of.first().and_then(core).unwrap_or(0);
        match step.what {
            What::Move => {
                self.change(first, moved).await;
            }
            What::TakeKey => {
                self.change(first, |v| v.tenants[1].has_key = false).await;
            }
            What::GiveKey => {
                self.change(first, |v| v.tenants[1].has_key = true).await;
            }
            What::Changes => self.changes(first, step).await,
            What::InvalidChanges => self.invalid_changes(first, step).await,
            What::Race => self.race(of, step).await,
            What::Resend => self.resend(first, step.all).await,
            What::Show => {
                let wait = Duration::from_secs_f64(step.wait_s);
                self.operator.shown_version(first, wait).await;
            }
            What::Evacuate => {
                self.evacuate(first, &step.zone, true).await;
                if step.for_s.is_some() {
                    sleep(duration(step)).await;
                    self.evacuate(first, &step.zone, false).await;
                }
            }
            _ => {
                let begins = step.what == What::Begin;
                self.evacuate(first, &step.zone, begins).await;
            }
        }
    }

    /// Processes end, and others come in their place.
    async fn restart(&self, step: &Step, of: &[Who]) {
        let lasts = step.for_s.map(Duration::from_secs_f64);
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
                self.each(of, step.gap_s, |who| self.kill(who, wipes, lasts))
                    .await;
            }
        }
    }

    /// Processes or links are disturbed for a time.
    async fn disturb(&self, number: u32, step: &Step, of: &[Who], from: Vec<Who>) {
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
    async fn reload_settings(&self, step: &Step, of: &[Who]) {
        if step.what == What::Seeds {
            self.fleet.name_seeds(of.iter().filter_map(core).collect());
            if let Err(e) = self.fleet.write_settings(false).await {
                self.record_failure(&format!("the settings: {e}"));
            }
            return self.reload().await;
        }
        for n in 0..step.count {
            if n > 0 {
                sleep(Duration::from_secs_f64(step.gap_s)).await;
            }
            self.signal(of, Signal::SIGHUP).await;
        }
    }

    /// When a step that begins now is taken back.
    fn end_of(&self, step: &Step) -> Millis {
        self.now() + step.for_s.unwrap_or(0.0) * 1000.0
    }

    /// One after the other, `gap_s` apart; without a gap all at once.
    async fn each<F: std::future::Future<Output = ()>>(
        &self,
        of: &[Who],
        gap_s: f64,
        what: impl Fn(Who) -> F,
    ) {
        let gap = |n: usize| sleep(Duration::from_secs_f64(gap_s * n as f64));
        let all = of.iter().enumerate().map(|(n, who)| {
            let done = what(*who);
            async move {
                gap(n).await;
                done.await;
            }
        });
        futures_util::future::join_all(all).await;
    }

    /// A proxy's process ends, and another one will know nothing of what it has shown.
    fn record_restart(&self, who: Who) {
        if let Who::Edge(proxy) | Who::Proxy(proxy) = who {
            let at = self.now();
            lock(&self.log).restarts.push(ProxyRestart { proxy, at });
        }
    }

    async fn kill(&self, who: Who, wipe: bool, lasts: Option<Duration>) {
        self.record_restart(who);
        let slots = self.fleet.slots(who);
        for slot in &slots {
            slot.lock().await.kill().await;
        }
        sleep(lasts.unwrap_or_default()).await;
        for slot in slots {
            let mut slot = slot.lock().await;
            let wiped = if wipe { slot.wipe() } else { Ok(()) };
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
        let (told, id) = {
            let held = slot.lock().await;
            (held.signal(Signal::SIGTERM), held.id())
        };
        let until = tokio::time::Instant::now() + END_TIMEOUT;
        loop {
            let mut held = slot.lock().await;
            // Another one may have waited for the same end, and have started it again.
            let Some(process) = held.process.as_mut().filter(|p| Some(p.id()) == id) else {
                return;
            };
            if let Some(how) = process.exit_status() {
                held.process = None;
                if !how.success() {
                    self.record_failure(&format!("{who:?} did not end in order: {told:?} {how:?}"));
                }
                return;
            }
            if tokio::time::Instant::now() >= until {
                self.record_failure(&format!("{who:?} did not end: {told:?}"));
                return held.kill().await;
            }
            drop(held);
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

    async fn evacuate(&self, first: usize, zone: &str, on: bool) {
        let (sent, ended, zone) = (self.now(), f64::INFINITY, zone.to_string());
        let at = {
            let orders = &mut lock(&self.log).evacuations;
            orders.push(Evacuation {
                zone: zone.clone(),
                is_evacuated: on,
                sent_at: sent,
                acknowledged_at: None,
                ended_at: ended,
            });
            orders.len() - 1
        };
        let came = self.operator.evacuate(first, &zone, on).await;
        let ended = self.now();
        if came == OrderOutcome::Unclear || matches!(came, OrderOutcome::Refused(_)) {
            self.record_failure(&format!("the evacuation of {zone}, begun {on}: {came:?}"));
        }
        let order = &mut lock(&self.log).evacuations[at];
        order.ended_at = ended;
        if let OrderOutcome::Acknowledged(acked) = came {
            order.acknowledged_at = Some(acked);
        }
    }

    async fn origins(&self, step: &Step, of: &[Who]) {
        for origin in self.named(of) {
            match step.what {
                What::Die => origin.kill(),
                What::Drain => origin.change_faults(|a| a.is_draining = true),
                What::Fail => origin.change_faults(|a| a.error_share = step.share),
                What::Reset => origin.change_faults(|a| a.late_reset_share = step.share),
                What::Hang => origin.change_faults(|a| a.no_response_share = step.share),
                What::Deaf => origin.change_faults(|a| a.early_reset_share = step.share),
                What::Slow => origin.change_faults(|a| a.slowdown = step.times),
                What::Full => origin.change_faults(|a| a.is_full = true),
                What::Stall => origin.change_faults(|a| a.is_stalled = true),
                _ => {}
            }
        }
    }

    async fn well(&self, step: &Step, of: &[Who]) {
        for origin in self.named(of) {
            if step.what == What::Die {
                if let Err(e) = origin.restart().await {
                    self.record_failure(&format!("a server: {e}"));
                }
            }
            // Others may ail it still.
            origin.change_faults(|a| match step.what {
                What::Drain => a.is_draining = false,
                What::Fail => a.error_share = 0.0,
                What::Reset => a.late_reset_share = 0.0,
                What::Hang => a.no_response_share = 0.0,
                What::Deaf => a.early_reset_share = 0.0,
                What::Slow => a.slowdown = 1.0,
                What::Full => a.is_full = false,
                What::Stall => a.is_stalled = false,
                _ => *a = Default::default(),
            });
        }
    }

    fn named(&self, of: &[Who]) -> Vec<Arc<aspendrum_fake_services::origin::OriginServer>> {
        let number = |w: &Who| match w {
            Who::Origin(n) => Some(self.fleet.origins[*n].clone()),
            _ => None,
        };
        of.iter().filter_map(number).collect()
    }
}
