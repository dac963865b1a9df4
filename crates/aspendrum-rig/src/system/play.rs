//! One run of a scenario: the system started, traffic, the steps at their times, the record and its verdict.

use super::clients::{call, order, Crowd, Wish, KEYS, PATHS};
use super::fleet::{Fleet, SERVICES};
use super::scenario::{Scenario, Step, What, Who};
use aspendrum_judge::record::Ms;
use aspendrum_judge::system::{judge, Bounds, Emptied, End, Record, Trouble, Try, Verdict, Version};
use aspendrum_standins::lock;
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// The system is ready by then, or has failed to start.
const READY: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(30);
/// A process that got SIGTERM has ended by then: the platform would kill it.
const ENDED: Duration = Duration::from_secs(10);
/// Of all wishes, those of clients that hold an old answer.
const STUBBORN: f64 = 0.15;
/// Nodes agree by then, once the last fault is over.
const AGREED: Duration = Duration::from_secs(5);
/// The last part of the traffic, in which the system is to be back.
const LAST: Ms = 2000.0;

pub struct Outcome {
    pub record: Record,
    pub verdict: Verdict,
    /// Wishes of the last two seconds, and those served; the same of the second tenant's.
    pub last: (usize, usize),
    pub second: (usize, usize),
    /// Processes that ended unasked, or did not end when told.
    pub failures: Vec<String>,
    /// Milliseconds from the start of all processes until all proxies were ready.
    pub ready: Ms,
}

impl Outcome {
    /// So long do nineteen of twenty refusals for a quota take at the most, milliseconds.
    pub fn refusals(&self) -> Ms {
        let refused = self.record.tries.iter().filter(|t| t.end == End::Promise(429));
        let mut took: Vec<Ms> = refused.map(|t| t.ended - t.sent).collect();
        took.sort_by(f64::total_cmp);
        took.get(took.len() * 19 / 20).copied().unwrap_or(0.0)
    }

    /// Every failure, broken rule and passed bound, in words.
    pub fn broken(&self, s: &Scenario) -> Vec<String> {
        let (v, b) = (&self.verdict, &s.bounds);
        let mut all = self.failures.clone();
        all.extend(v.breaches.iter().map(|b| format!("rule {b}")));
        let mut least = |name: &str, value: f64, least: Option<f64>| {
            let short = least.filter(|least| value < *least);
            all.extend(short.map(|least| format!("{name} is {value:.3}, and must be {least}")));
        };
        least("the share served", v.share(), b.served);
        least("the share of once-only wishes served", v.share_once(), b.served_once);
        let share = |part: (usize, usize)| part.1 as f64 / part.0.max(1) as f64;
        least("the share served in the end", share(self.last), b.served_last);
        least("the share of the second tenant", share(self.second), b.served_second);
        let refused = self.refusals();
        let late = b.refused_ms.filter(|most| refused > *most);
        all.extend(late.map(|most| format!("refusals take {refused:.0} ms, and may take {most:.0}")));
        let mut most = |name: &str, n: usize, most: Option<usize>| {
            let over = most.filter(|most| n > *most);
            all.extend(over.map(|most| format!("{n} {name}, and {most} may be")));
        };
        most("connections were lost", v.count(End::Lost), b.lost);
        most("tries were refused with 503", v.count(End::Promise(503)), b.unready);
        all
    }
}

/// [`run`] on a runtime of its own, ended by an interrupt like by any other failure: with all it has started.
pub fn play(scenario: &Scenario, folder: &Path, progress: &(dyn Fn(&str) + Sync)) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    runtime.block_on(async {
        tokio::select! {
            done = run(scenario, folder, progress) => done,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

/// What the operator has decided, and what went wrong for whom.
#[derive(Default)]
struct Book {
    versions: Vec<Version>,
    emptied: Vec<Emptied>,
    troubles: Vec<Trouble>,
    failures: Vec<String>,
}

struct Run {
    fleet: Arc<Fleet>,
    book: Mutex<Book>,
}

pub async fn run(s: &Scenario, folder: &Path, progress: &(dyn Fn(&str) + Sync)) -> Result<Outcome, String> {
    progress(&format!("{} cores, {} proxies, {} servers start", s.cores, s.edges, s.origins()));
    let fleet = Arc::new(Fleet::prepare(s, folder).await?);
    let run = Arc::new(Run { fleet: fleet.clone(), book: Mutex::default() });
    let begun = fleet.clock.now();
    fleet.start().await?;
    run.change(0, |_| {}).await;
    let seeds: Vec<usize> = (0..s.cores.min(3)).collect();
    for n in 0..s.edges {
        ready(&fleet, n).await.map_err(|e| format!("{e}\n{}", folder.display()))?;
    }
    // Only a first start of the whole system is one.
    fleet.settings(false, &seeds).await.map_err(|e| e.to_string())?;
    let from = fleet.clock.now();
    progress(&format!("ready after {:.0} ms; traffic begins", from - begun));
    let crowd = Arc::new(Crowd::new(fleet.clone()));
    let (mut wishes, mut steps) = (JoinSet::new(), JoinSet::new());
    let start = Instant::now();
    for (number, step) in s.steps.iter().cloned().enumerate() {
        let (run, of, others) = (run.clone(), s.who(&step.of)?, s.who(&step.from)?);
        steps.spawn(async move {
            sleep_until(start + Duration::from_secs_f64(step.at_s)).await;
            run.step(number as u32 + 1, &step, &of, others).await;
        });
    }
    let mut rng = SmallRng::seed_from_u64(s.seed);
    let gap = 1.0 / s.queries_per_s;
    for n in 0..(s.seconds * s.queries_per_s) as u32 {
        sleep_until(start + Duration::from_secs_f64(f64::from(n) * gap)).await;
        let (route, tenant) = (usize::from(rng.random::<f64>() < 0.4), rng.random::<f64>() * (1.0 + s.hot));
        let (tenant, zone) = (usize::from(tenant >= s.hot), rng.random_range(0..s.zones));
        let (kept, stubborn) = (rng.random(), rng.random::<f64>() < STUBBORN);
        let wish = Wish { route, once: route == 1, tenant, zone, kept, stubborn };
        let crowd = crowd.clone();
        wishes.spawn(async move { crowd.want(wish).await });
        while wishes.try_join_next().is_some() {}
    }
    let to = fleet.clock.now();
    while wishes.join_next().await.is_some() {}
    while steps.join_next().await.is_some() {}
    let read_back = order(&fleet, 0, "GET", "/api/Cfg.Show", "").await;
    let read_back = read_back.and_then(|(_, body)| version(&body));
    let mut book = std::mem::take(&mut *lock(&run.book));
    if s.bounds.agree {
        book.failures.extend(disagreeing(&fleet).await);
    }
    end(&fleet, &mut book.failures).await;
    let (t, terms) = (s.terms, s.quota_per_s);
    let bounds = Bounds {
        contact: t.contact,
        apply: t.apply,
        revoke: t.revoked.then_some(t.revoke),
        evac: t.evac,
        loss: t.loss,
        quota: (terms, terms),
        quota_win: 5000.0,
        quota_excess: 0.1,
        quota_slack: 20.0,
    };
    let Book { versions, emptied, troubles, failures } = book;
    let (tries, runs) = (crowd.tries(), fleet.record.runs());
    let record = Record { from, to, bounds, tries, runs, versions, emptied, troubles, read_back };
    let verdict = judge(&record);
    let served: HashSet<u64> =
        record.tries.iter().filter(|t| t.end == End::Answered).map(|t| t.wish).collect();
    let part = |of: &dyn Fn(&Try) -> bool| {
        let first = |t: &&Try| t.id == t.wish && of(t) && record.owed(t);
        let wishes: Vec<&Try> = record.tries.iter().filter(first).collect();
        (wishes.len(), wishes.iter().filter(|t| served.contains(&t.wish)).count())
    };
    let (last, second) = (part(&|t| t.sent > to - LAST), part(&|t| t.tenant == 1));
    Ok(Outcome { record, verdict, last, second, failures, ready: from - begun })
}

/// The nodes that do not apply what was decided, as control knows them, once they have had a moment.
async fn disagreeing(fleet: &Fleet) -> Vec<String> {
    let begun = Instant::now();
    loop {
        let mut all = Vec::new();
        let mut known = 0;
        for core in 0..fleet.scenario.cores {
            let Some((200, body)) = call(fleet.ctl(core), "GET", "/api/Nodes", "").await else { continue };
            let told: Value = serde_json::from_slice(&body).unwrap_or_default();
            let nodes = told["nodes"].as_array().cloned().unwrap_or_default();
            known += nodes.len();
            all.extend(
                nodes.iter().filter(|n| n["standing"] != "current").map(|n| format!("disagrees: {n}")),
            );
        }
        if known < fleet.scenario.edges {
            all.push(format!("control knows of {known} nodes"));
        }
        if all.is_empty() || begun.elapsed() > AGREED {
            return all;
        }
        sleep(LOOK).await;
    }
}

/// Of a configuration that was read back.
fn version(body: &[u8]) -> Option<u32> {
    let held: Value = serde_json::from_slice(body).ok()?;
    u32::from_str_radix(held["gen"].as_str()?, 16).ok()
}

async fn ready(fleet: &Fleet, n: usize) -> Result<(), String> {
    let begun = Instant::now();
    let mut at = fleet.front(n);
    at.set_port(at.port() + 1);
    while begun.elapsed() < READY {
        if let Some((200, _)) = call(at, "GET", "/api/readyz", "").await {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    Err(format!("the proxy {n} was not ready in {READY:?}"))
}

/// Ends everything, and says what had ended by itself.
async fn end(fleet: &Fleet, failures: &mut Vec<String>) {
    let named = |kind: &'static str, slots| (kind, slots);
    for (kind, slots) in
        [named("lectern", &fleet.lecterns), named("page", &fleet.pages), named("core", &fleet.cores)]
    {
        for (n, slot) in slots.iter().enumerate() {
            let mut slot = slot.lock().await;
            if let Some(how) = slot.process.as_mut().and_then(|p| p.ended()) {
                failures.push(format!("{kind} {n} ended by itself: {how}"));
            }
            if slot.log().contains("panicked") {
                failures.push(format!("{kind} {n} panicked"));
            }
            slot.kill().await;
        }
    }
}

impl Run {
    fn now(&self) -> Ms {
        self.fleet.clock.now()
    }

    /// Sends the next configuration, beginning at that machine of control.
    async fn change(&self, first: usize, how: impl FnOnce(&mut Version)) {
        let (text, number) = {
            let mut book = lock(&self.book);
            let mut next = book.versions.last().cloned().unwrap_or_else(|| Version {
                number: 0,
                sent: 0.0,
                acked: None,
                routes: vec![(SERVICES[0].into(), false), (SERVICES[1].into(), true)],
                tenants: vec![("ann".into(), true), ("bob".into(), true)],
            });
            // Versions go up in steps that are not even.
            next.number += 3;
            (next.sent, next.acked) = (self.now(), None);
            how(&mut next);
            let text = configuration(&self.fleet.scenario, &next);
            let number = next.number;
            book.versions.push(next);
            (text, number)
        };
        self.send(first, number, &text).await;
    }

    async fn send(&self, first: usize, number: u32, text: &str) {
        if let Some((200, _)) = order(&self.fleet, first, "POST", "/api/Cfg.Set", text).await {
            let now = self.now();
            let mut book = lock(&self.book);
            if let Some(v) = book.versions.iter_mut().find(|v| v.number == number) {
                v.acked.get_or_insert(now);
            }
        }
    }

    fn note(&self, what: &str) {
        lock(&self.book).failures.push(what.to_string());
    }

    /// Whoever is out of touch by this, from now on until `to`.
    fn trouble(&self, of: &[Who], to: Ms) {
        let from = self.now();
        let cores = of.iter().filter(|w| matches!(w, Who::Core(_))).count();
        let edges = of.iter().filter_map(|w| match w {
            Who::Edge(n) | Who::Lectern(n) | Who::Page(n) => Some(Some(*n)),
            _ => None,
        });
        // Fewer than half of control must do no harm.
        let all = (2 * cores >= self.fleet.scenario.cores).then_some(None);
        let troubles = edges.chain(all).map(|front| Trouble { front, from, to });
        lock(&self.book).troubles.extend(troubles);
    }

    async fn step(&self, number: u32, step: &Step, of: &[Who], from: Vec<Who>) {
        let first = match of.first() {
            Some(Who::Core(n)) => *n,
            _ => 0,
        };
        let lasts = step.for_s.map(Duration::from_secs_f64);
        let over = self.now() + step.for_s.unwrap_or(0.0) * 1000.0;
        match step.what {
            What::Move => {
                let other = |s: &str| SERVICES[usize::from(s == SERVICES[0])].to_string();
                self.change(first, |v| v.routes[1].0 = other(&v.routes[1].0)).await;
            }
            What::TakeKey => self.change(first, |v| v.tenants[1].1 = false).await,
            What::GiveKey => self.change(first, |v| v.tenants[1].1 = true).await,
            What::Resend => {
                let newest = lock(&self.book).versions.last().cloned();
                if let Some(v) = newest {
                    self.send(first, v.number, &configuration(&self.fleet.scenario, &v)).await;
                }
            }
            What::Show => {
                let newest =
                    lock(&self.book).versions.iter().filter(|v| v.acked.is_some()).map(|v| v.number).max();
                let shown = call(self.fleet.ctl(first), "GET", "/api/Cfg.Show", "").await;
                let shown = shown.filter(|s| s.0 == 200).and_then(|s| version(&s.1));
                if shown.is_some() && shown < newest {
                    self.note(&format!("core {first} shows {shown:?}, {newest:?} was acknowledged before"));
                }
            }
            What::Evacuate => self.evacuate(first, &step.zone, lasts).await,
            What::Kill | What::Wipe => {
                self.trouble(of, over + self.fleet.scenario.terms.contact);
                let wipe = step.what == What::Wipe;
                self.each(of, step.gap_s, |who| self.kill(who, wipe, lasts)).await;
            }
            What::Term => self.each(of, step.gap_s, |who| self.term(who)).await,
            What::Freeze => {
                self.trouble(of, over);
                self.signal(of, Signal::SIGSTOP).await;
                sleep(lasts.unwrap_or_default()).await;
                self.signal(of, Signal::SIGCONT).await;
            }
            What::Cut => {
                let from = if from.is_empty() { self.fleet.everyone() } else { from };
                self.trouble(of, over);
                self.fleet.cut(of, &from, step.one_way, number);
                sleep(lasts.unwrap_or_default()).await;
                self.fleet.heal(of, &from, step.one_way, number);
            }
            What::Tamper => {
                self.trouble(of, over);
                of.iter().for_each(|who| self.fleet.tamper(*who, step.how));
                sleep(lasts.unwrap_or_default()).await;
                of.iter().for_each(|who| self.fleet.tamper(*who, None));
            }
            What::Seeds => {
                let seeds: Vec<usize> = of
                    .iter()
                    .filter_map(|w| match w {
                        Who::Core(n) => Some(*n),
                        _ => None,
                    })
                    .collect();
                if let Err(e) = self.fleet.settings(false, &seeds).await {
                    self.note(&format!("the settings: {e}"));
                }
                let all: Vec<Who> =
                    self.fleet.everyone().into_iter().filter(|w| !matches!(w, Who::Origin(_))).collect();
                self.signal(&all, Signal::SIGHUP).await;
            }
            What::Die | What::Drain | What::Fail | What::Reset | What::Hang | What::Deaf => {
                self.origins(step, of).await;
                if let Some(lasts) = lasts {
                    sleep(lasts).await;
                    self.well(step, of).await;
                }
            }
        }
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

    async fn kill(&self, who: Who, wipe: bool, lasts: Option<Duration>) {
        let slots = self.fleet.slots(who);
        for slot in &slots {
            slot.lock().await.kill().await;
        }
        sleep(lasts.unwrap_or_default()).await;
        for slot in slots {
            let mut slot = slot.lock().await;
            let wiped = if wipe { slot.wipe() } else { Ok(()) };
            if let Err(e) = wiped.and_then(|()| slot.up()) {
                self.note(&format!("{who:?}: {e}"));
            }
        }
    }

    async fn term(&self, who: Who) {
        for slot in self.fleet.slots(who) {
            let mut slot = slot.lock().await;
            let told = slot.signal(Signal::SIGTERM);
            let Some(mut process) = slot.process.take() else { continue };
            match tokio::time::timeout(ENDED, process.end()).await {
                Ok(Ok(how)) if how.success() => {}
                other => self.note(&format!("{who:?} did not end in order: {told:?} {other:?}")),
            }
            if let Err(e) = slot.up() {
                self.note(&format!("{who:?}: {e}"));
            }
        }
    }

    async fn signal(&self, of: &[Who], signal: Signal) {
        for slot in of.iter().flat_map(|who| self.fleet.slots(*who)) {
            if let Err(e) = slot.lock().await.signal(signal) {
                self.note(&format!("{signal}: {e}"));
            }
        }
    }

    async fn evacuate(&self, first: usize, zone: &str, lasts: Option<Duration>) {
        let path = format!("/api/Evac.Begin/{zone}");
        let Some((200, _)) = order(&self.fleet, first, "POST", &path, "").await else {
            return self.note(&format!("{zone} was not evacuated"));
        };
        let acked = self.now();
        lock(&self.book).emptied.push(Emptied { zone: zone.into(), acked, until: f64::INFINITY });
        let Some(lasts) = lasts else { return };
        sleep(lasts).await;
        let asked = self.now();
        if let Some(e) = lock(&self.book).emptied.iter_mut().rev().find(|e| e.zone == zone) {
            e.until = asked;
        }
        let path = format!("/api/Evac.Finish/{zone}");
        if !matches!(order(&self.fleet, first, "POST", &path, "").await, Some((200, _))) {
            self.note(&format!("{zone} was not taken back"));
        }
    }

    async fn origins(&self, step: &Step, of: &[Who]) {
        for origin in self.named(of) {
            match step.what {
                What::Die => origin.die(),
                What::Drain => origin.ail(|a| a.draining = true),
                What::Fail => origin.ail(|a| a.failing = step.share),
                What::Reset => origin.ail(|a| a.resetting = step.share),
                What::Hang => origin.ail(|a| a.hanging = step.share),
                What::Deaf => origin.ail(|a| a.deaf = step.share),
                _ => {}
            }
        }
    }

    async fn well(&self, step: &Step, of: &[Who]) {
        for origin in self.named(of) {
            if step.what == What::Die {
                if let Err(e) = origin.back().await {
                    self.note(&format!("a server: {e}"));
                }
            }
            origin.ail(|a| *a = Default::default());
        }
    }

    fn named(&self, of: &[Who]) -> Vec<Arc<aspendrum_standins::origin::Origin>> {
        let number = |w: &Who| match w {
            Who::Origin(n) => Some(self.fleet.origins[*n].clone()),
            _ => None,
        };
        of.iter().filter_map(number).collect()
    }
}

/// A configuration's text, as the operator words it.
fn configuration(s: &Scenario, v: &Version) -> String {
    let rule = |n: usize, (service, once): &(String, bool)| {
        let kind = if *once { "mutating" } else { "idem" };
        json!({"name": format!("r-{n}"), "type": kind, "goal-ms": 800, "prio": n, "public": false,
            "match": {"pfx": PATHS[n]}, "action": {"svc": service, "limit-ms": 2000, "tries": 3, "homes": []}})
    };
    let tenant = |n: usize, (name, held): &(String, bool)| {
        let keys = if *held { vec![KEYS[n]] } else { Vec::new() };
        json!({"name": name, "keys": keys, "prio": 0, "rate-s": s.quota_per_s, "burst": s.quota_per_s, "homes": []})
    };
    let rules: Vec<Value> = v.routes.iter().enumerate().map(|(n, r)| rule(n, r)).collect();
    let tenants: Vec<Value> = v.tenants.iter().enumerate().map(|(n, t)| tenant(n, t)).collect();
    let pools: Vec<Value> = SERVICES
        .iter()
        .map(|s| json!({"name": s, "check": "/healthz", "max-conns": 130, "warmup-s": 0.0, "warm-rate-s": 50.0}))
        .collect();
    json!({"gen": format!("{:08x}", v.number), "tenants": tenants, "pools": pools,
        "caps": {"hdr-bytes": 16384, "body-bytes": 65536, "hdr-ms": 3000, "idle-ms": 15000},
        "ports": [{"vhost": "a.example", "rules": rules}]})
    .to_string()
}
