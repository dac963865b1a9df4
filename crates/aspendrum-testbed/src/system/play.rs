//! One run of a scenario: the system started, traffic, the steps at their times, the record and its verdict.

use super::clients::{call, Clients, Leave, Wish, CALL, MANNERS};
use super::fleet::Fleet;
use super::scenario::{Habits, Scenario};
use super::steps::{Book, Run};
use super::usage::Usage;
use aspendrum_checker::system::{
    check, Attempt, AttemptOutcome, Quota, Record, RuleBounds, Verdict,
};
use aspendrum_checker::system::{count_disconnects, DisconnectCounts};
use aspendrum_checker::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The system is ready by then, or has failed to start.
const READY: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(30);
/// Nodes agree by then, once the last fault is over.
const AGREED: Duration = Duration::from_secs(5);
/// Steps are done so long after the traffic's end, or are given up.
const STEPS: Duration = Duration::from_secs(6);
/// The last part of the traffic, in which the system is to be back.
const LAST: Millis = 2000.0;

pub struct Outcome {
    pub record: Record,
    pub verdict: Verdict,
    /// Wishes of the last two seconds, and those served; the same of the second tenant's.
    pub last: (usize, usize),
    pub second: (usize, usize),
    /// Processes that ended unasked, or did not end when told.
    pub failures: Vec<String>,
    /// Milliseconds from the start of all processes until all proxies were ready.
    pub ready: Millis,
    /// Violations of their own invariants that proxies have told.
    pub violations: u64,
    /// Of each added route when it was acknowledged, and milliseconds until the last connected proxy served it.
    pub in_force: Vec<(Millis, Millis)>,
    /// What the processes used while the traffic went on.
    pub used: Usage,
}

impl Outcome {
    /// So long do nineteen of twenty refusals for a quota take at the most, milliseconds.
    pub fn refusals(&self) -> Millis {
        let refused = self
            .record
            .attempts
            .iter()
            .filter(|t| t.outcome == AttemptOutcome::NotRun(429));
        let mut took: Vec<Millis> = refused.map(|t| t.ended_at - t.sent_at).collect();
        took.sort_by(f64::total_cmp);
        took.get(took.len() * 19 / 20).copied().unwrap_or(0.0)
    }

    /// Configurations that were acknowledged, and the milliseconds that the slowest of them took.
    pub fn acknowledged(&self) -> (usize, Millis) {
        let took = self
            .record
            .versions
            .iter()
            .filter_map(|v| Some(v.acknowledged_at? - v.sent_at));
        took.fold((0, 0.0), |(n, most), took| (n + 1, most.max(took)))
    }

    /// Milliseconds from the acknowledgement of an added route until the last connected proxy served it: the median and the
    /// most.
    pub fn times_in_force(&self) -> (Millis, Millis) {
        let mut times: Vec<Millis> = self.in_force.iter().map(|(_, time)| *time).collect();
        times.sort_by(f64::total_cmp);
        let at = |index: usize| times.get(index).copied().unwrap_or(0.0);
        (at(times.len() / 2), at(times.len().saturating_sub(1)))
    }

    /// What went on for clients that had left.
    pub fn departed(&self) -> DisconnectCounts {
        let tries: HashMap<u64, &Attempt> =
            self.record.attempts.iter().map(|t| (t.id, t)).collect();
        count_disconnects(&self.record, &tries)
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
        least("the share served", v.all.share(), b.served);
        least(
            "the share of once-only wishes served",
            v.once_only.share(),
            b.served_once,
        );
        let share = |part: (usize, usize)| part.1 as f64 / part.0.max(1) as f64;
        least(
            "the share served in the end",
            share(self.last),
            b.served_last,
        );
        least(
            "the share of the second tenant",
            share(self.second),
            b.served_second,
        );
        let refused = self.refusals();
        let late = b.refused_ms.filter(|most| refused > *most);
        all.extend(
            late.map(|most| format!("refusals take {refused:.0} ms, and may take {most:.0}")),
        );
        let mut most = |name: &str, n: usize, most: Option<usize>| {
            let over = most.filter(|most| n > *most);
            all.extend(over.map(|most| format!("{n} {name}, and {most} may be")));
        };
        most(
            "connections were lost",
            v.count(AttemptOutcome::Lost),
            b.lost,
        );
        most(
            "tries were refused with 503",
            v.count(AttemptOutcome::NotRun(503)),
            b.unready,
        );
        let over = b.violations.filter(|most| self.violations > *most);
        all.extend(over.map(|most| {
            format!(
                "{} violations of invariants, and {most} may be",
                self.violations
            )
        }));
        let in_force = self.times_in_force().1;
        let late = b.in_force_ms.filter(|most| in_force > *most);
        all.extend(late.map(|most| {
            format!("an added route was in force everywhere after {in_force:.0} ms, and {most:.0} are allowed")
        }));
        let acked = self.acknowledged().1;
        let late = b.acked_ms.filter(|most| acked > *most);
        all.extend(
            late.map(|most| {
                format!("an acknowledgement took {acked:.0} ms, and may take {most:.0}")
            }),
        );
        all
    }
}

/// [`run`] on a runtime of its own, ended by an interrupt like by any other failure: with all it has started.
pub fn play(
    scenario: &Scenario,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("the runtime: {e}"))?;
    runtime.block_on(async {
        tokio::select! {
            done = run(scenario, folder, progress) => done,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    })
}

pub async fn run(
    s: &Scenario,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, String> {
    progress(&format!(
        "{} cores, {} proxies, {} servers start",
        s.cores,
        s.edges,
        s.origins()
    ));
    let fleet = Arc::new(Fleet::prepare(s, folder).await?);
    let run = Arc::new(Run::new(fleet.clone()));
    let begun = fleet.clock.now();
    fleet.start().await?;
    run.change(0, |_| {}).await;
    for n in 0..s.edges {
        ready(&fleet, n)
            .await
            .map_err(|e| format!("{e}\n{}", folder.display()))?;
    }
    // Only a first start of the whole system is one.
    fleet.settings(false).await.map_err(|e| e.to_string())?;
    let from = fleet.clock.now();
    progress(&format!(
        "ready after {:.0} ms; traffic begins",
        from - begun
    ));
    let crowd = Arc::new(Clients::new(fleet.clone()));
    let mut probes = JoinSet::new();
    if s.steps.iter().any(|step| step.adds_route_every > 0) {
        for proxy in 0..s.edges {
            probes.spawn(run.probes.clone().run(crowd.clone(), proxy));
        }
    }
    let used_before = Usage::of(&fleet).await;
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
        let (route, tenant) = (
            usize::from(rng.random::<f64>() < 0.4),
            rng.random::<f64>() * (1.0 + s.hot),
        );
        let (tenant, zone) = (usize::from(tenant >= s.hot), rng.random_range(0..s.zones));
        let wish = Wish {
            route,
            once: route == 1,
            tenant,
            zone,
            ..habit(&mut rng, &s.habits)
        };
        let crowd = crowd.clone();
        wishes.spawn(async move { crowd.want(wish).await });
        while wishes.try_join_next().is_some() {}
    }
    let to = fleet.clock.now();
    let used = Usage::of(&fleet).await.since(&used_before);
    while wishes.join_next().await.is_some() {}
    let done = timeout(STEPS, async { while steps.join_next().await.is_some() {} }).await;
    if done.is_err() {
        run.note("steps were under way long after the traffic's end");
        steps.shutdown().await;
    }
    run.probes.end();
    while probes.join_next().await.is_some() {}
    let read_back = run.operator.final_version(fleet.after(0)).await;
    let calls = run.operator.calls();
    let mut book = run.book();
    if s.bounds.agree {
        book.failures.extend(disagreeing(&fleet).await);
    }
    let violations = end(&fleet, &mut book.failures).await;
    let (t, terms) = (s.terms, s.quota_per_s);
    let bounds = RuleBounds {
        contact: t.contact,
        apply: t.apply,
        revoke: t.revoked.then_some(t.revoke),
        evac: t.evac,
        loss: t.loss,
        quota: Quota {
            rate: terms,
            burst: terms,
        },
        quota_window: 5000.0,
        quota_excess: 0.1,
        quota_slack: 20.0,
    };
    let Book {
        versions,
        evacuations,
        troubles,
        failures,
        restarts,
    } = book;
    let (tries, runs) = (crowd.tries(), fleet.record.executions());
    let record = Record {
        from,
        to,
        bounds,
        attempts: tries,
        executions: runs,
        versions,
        evacuations,
        calls,
        faults: troubles,
        restarts,
        final_version: read_back,
    };
    let verdict = check(&record);
    let in_force = run.probes.times_to_last(&record, s.edges);
    let served: HashSet<u64> = record
        .attempts
        .iter()
        .filter(|t| t.outcome == AttemptOutcome::Answered)
        .map(|t| t.request)
        .collect();
    let part = |of: &dyn Fn(&Attempt) -> bool| {
        // Nothing is owed to a client that left.
        let first = |t: &&Attempt| {
            t.id == t.request
                && t.outcome != AttemptOutcome::ClientDisconnected
                && of(t)
                && record.is_owed(t)
        };
        let wishes: Vec<&Attempt> = record.attempts.iter().filter(first).collect();
        (
            wishes.len(),
            wishes
                .iter()
                .filter(|t| served.contains(&t.request))
                .count(),
        )
    };
    let (last, second) = (part(&|t| t.sent_at > to - LAST), part(&|t| t.tenant == 1));
    Ok(Outcome {
        record,
        verdict,
        last,
        second,
        failures,
        ready: from - begun,
        violations,
        in_force,
        used,
    })
}

/// What a client does beside its request.
fn habit(rng: &mut SmallRng, habits: &Habits) -> Wish {
    let (kept, stubborn) = (rng.random(), rng.random::<f64>() < habits.stubborn);
    let mut is = |share: f64| share > 0.0 && rng.random::<f64>() < share;
    let (faithful, ahead, leaves) = (is(habits.faithful), is(habits.ahead), is(habits.leave));
    let leaves = leaves.then(|| {
        let after_ms = rng.random_range(habits.leave_least_ms..=habits.leave_most_ms);
        let manner = MANNERS[rng.random_range(0..MANNERS.len())];
        Leave {
            after: Duration::from_secs_f64(after_ms / 1000.0),
            manner,
        }
    });
    Wish {
        route: 0,
        once: false,
        tenant: 0,
        zone: 0,
        kept,
        stubborn,
        faithful,
        ahead,
        leaves,
    }
}

/// The nodes that do not apply what was decided, as control knows them, once they have had a moment.
async fn disagreeing(fleet: &Fleet) -> Vec<String> {
    let begun = Instant::now();
    loop {
        let mut all = Vec::new();
        let mut known = 0;
        for core in fleet.members() {
            let told = call(fleet.ctl(core), "GET", "/api/Nodes", "", CALL).await;
            let Some((200, body)) = told else { continue };
            let told: Value = serde_json::from_slice(&body).unwrap_or_default();
            let nodes = told["nodes"].as_array().cloned().unwrap_or_default();
            known += nodes.len();
            all.extend(
                nodes
                    .iter()
                    .filter(|n| n["standing"] != "current")
                    .map(|n| format!("disagrees: {n}")),
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

async fn ready(fleet: &Fleet, n: usize) -> Result<(), String> {
    let begun = Instant::now();
    let mut at = fleet.front(n);
    at.set_port(at.port() + 1);
    while begun.elapsed() < READY {
        if let Some((200, _)) = call(at, "GET", "/api/readyz", "", CALL).await {
            return Ok(());
        }
        sleep(LOOK).await;
    }
    Err(format!("the proxy {n} was not ready in {READY:?}"))
}

/// Ends everything, and says what had ended by itself, and how many violations of invariants proxies have told.
async fn end(fleet: &Fleet, failures: &mut Vec<String>) -> u64 {
    let mut violations = 0;
    let named = |kind: &'static str, slots| (kind, slots);
    for (kind, slots) in [
        named("proxy", &fleet.proxies),
        named("agent", &fleet.agents),
        named("core", &fleet.cores),
    ] {
        for (n, slot) in slots.iter().enumerate() {
            let mut slot = slot.lock().await;
            if let Some(how) = slot.process.as_mut().and_then(|p| p.exit_status()) {
                failures.push(format!("{kind} {n} ended by itself: {how}"));
            }
            if slot.log().contains("panicked") {
                failures.push(format!("{kind} {n} panicked"));
            }
            violations += slot.violations();
            slot.kill().await;
        }
    }
    violations
}
