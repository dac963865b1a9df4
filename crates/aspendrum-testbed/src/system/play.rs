//! Plays a scenario: starts the system, sends traffic, carries out the steps, and checks the record.

use super::clients::Clients;
use super::error::SystemError;
use super::fleet::Fleet;
use super::http_call::{call, CALL_TIMEOUT};
use super::outcome::{Outcome, RunReport};
use super::scenario::Scenario;
use super::steps::{RunLog, ScenarioRun};
use super::traffic;
use super::usage::Usage;
use aspendrum_checker::system::{Quota, Record, RuleBounds};
use aspendrum_checker::Millis;
use serde_json::Value;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long each proxy may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// How long nodes may take to agree after the end of the traffic and steps.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long steps may take after the end of the traffic.
const STEPS_TIMEOUT: Duration = Duration::from_secs(6);

/// Plays a scenario on its own runtime. On Ctrl-C the run fails and all processes that it started are killed.
///
/// # Errors
/// [`SystemError`] if the run cannot be carried out.
pub fn play(
    scenario: &Scenario,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, SystemError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(SystemError::Runtime)?;
    runtime.block_on(async {
        tokio::select! {
            done = run(scenario, folder, progress) => done,
            _ = tokio::signal::ctrl_c() => Err(SystemError::Interrupted),
        }
    })
}

async fn run(
    s: &Scenario,
    folder: &Path,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<Outcome, SystemError> {
    progress(&format!(
        "starting {} control nodes, {} proxies and {} servers",
        s.cores,
        s.edges,
        s.origins()
    ));
    let fleet = Arc::new(Fleet::prepare(s, folder).await?);
    let run = Arc::new(ScenarioRun::new(fleet.clone()));
    let started_at = fleet.clock.now();
    start(s, &fleet, &run, folder).await?;
    let from = fleet.clock.now();
    let ready = from - started_at;
    progress(&format!("ready after {ready:.0} ms; starting the traffic"));
    let clients = Arc::new(Clients::new(fleet.clone()));
    let traffic = play_traffic(s, &fleet, &run, &clients).await?;
    let (record, failures, violations) =
        end_run(s, &fleet, &run, &clients, (from, traffic.to)).await;
    let report = RunReport {
        in_force: run.probes.propagation_times(&record, s.edges),
        failures,
        ready,
        violations,
        usage: traffic.usage,
    };
    Ok(Outcome::new(record, report))
}

/// Starts all processes, sends a first configuration, and waits until all proxies are ready.
async fn start(
    s: &Scenario,
    fleet: &Fleet,
    run: &ScenarioRun,
    folder: &Path,
) -> Result<(), SystemError> {
    fleet.start().await?;
    run.send_change(0, |_| {}).await;
    for proxy in 0..s.edges {
        if !is_ready(fleet, proxy).await {
            return Err(SystemError::NotReady {
                proxy,
                timeout: READY_TIMEOUT,
                logs: folder.to_path_buf(),
            });
        }
    }
    // Later starts of control nodes must not initialize the system again.
    fleet
        .write_settings(false)
        .await
        .map_err(SystemError::Settings)
}

/// The end of the traffic and the resources used until then.
struct TrafficEnd {
    to: Millis,
    usage: Usage,
}

/// Runs traffic, steps and probes until all of them have ended.
async fn play_traffic(
    s: &Scenario,
    fleet: &Fleet,
    run: &Arc<ScenarioRun>,
    clients: &Arc<Clients>,
) -> Result<TrafficEnd, SystemError> {
    let mut probes = start_probes(s, run, clients);
    let usage_before = Usage::of(fleet).await;
    let start = Instant::now();
    let mut steps = start_steps(s, run, start)?;
    let mut requests = traffic::send(s, clients, start).await;
    let end = TrafficEnd {
        to: fleet.clock.now(),
        usage: Usage::of(fleet).await.since(&usage_before),
    };
    while requests.join_next().await.is_some() {}
    let all_steps = async { while steps.join_next().await.is_some() {} };
    if timeout(STEPS_TIMEOUT, all_steps).await.is_err() {
        run.record_failure("steps were still running long after the end of the traffic");
        steps.shutdown().await;
    }
    run.probes.stop();
    while probes.join_next().await.is_some() {}
    Ok(end)
}

fn start_probes(s: &Scenario, run: &ScenarioRun, clients: &Arc<Clients>) -> JoinSet<()> {
    let mut probes = JoinSet::new();
    if s.steps.iter().any(|step| step.adds_route_every > 0) {
        for proxy in 0..s.edges {
            probes.spawn(run.probes.clone().run(clients.clone(), proxy));
        }
    }
    probes
}

fn start_steps(
    s: &Scenario,
    run: &Arc<ScenarioRun>,
    start: Instant,
) -> Result<JoinSet<()>, SystemError> {
    let mut steps = JoinSet::new();
    for (number, step) in (1..).zip(s.steps.iter().cloned()) {
        let (run, of, from_targets) = (run.clone(), s.targets(&step.of)?, s.targets(&step.from)?);
        steps.spawn(async move {
            sleep_until(start + Duration::from_secs_f64(step.at_s)).await;
            run.run_step(number, &step, &of, from_targets).await;
        });
    }
    Ok(steps)
}

/// Reads the configuration back, ends all processes, and assembles the record. `during` is the start and the end of the
/// traffic. Also returns the failures of the run and the number of invariant violations that the processes logged.
async fn end_run(
    s: &Scenario,
    fleet: &Fleet,
    run: &ScenarioRun,
    clients: &Clients,
    during: (Millis, Millis),
) -> (Record, Vec<String>, u64) {
    let final_version = run.operator.final_version(fleet.next_member(0)).await;
    let calls = run.operator.calls();
    let mut log = run.take_log();
    if s.bounds.agree {
        log.failures.extend(wait_for_agreement(fleet).await);
    }
    let violations = end_processes(fleet, &mut log.failures).await;
    let RunLog {
        versions,
        evacuations,
        faults,
        failures,
        restarts,
    } = log;
    let record = Record {
        from: during.0,
        to: during.1,
        bounds: rule_bounds(s),
        attempts: clients.attempts(),
        executions: fleet.execution_log.executions(),
        versions,
        evacuations,
        calls,
        faults,
        restarts,
        final_version,
    };
    (record, failures, violations)
}

fn rule_bounds(s: &Scenario) -> RuleBounds {
    let terms = &s.terms;
    RuleBounds {
        contact: terms.contact,
        apply: terms.apply,
        revoke: terms.revoked.then_some(terms.revoke),
        evac: terms.evac,
        loss: terms.loss,
        quota: Quota {
            rate: s.quota_per_s,
            burst: s.quota_per_s,
        },
        quota_window: 5000.0,
        quota_excess: 0.1,
        quota_slack: 20.0,
    }
}

/// Waits until all nodes apply the current state. Returns a description of those that don't before the timeout, according to
/// the control nodes.
async fn wait_for_agreement(fleet: &Fleet) -> Vec<String> {
    let started_at = Instant::now();
    loop {
        let mut all = Vec::new();
        let mut known = 0;
        for core in fleet.members() {
            let response = call(
                fleet.operator_addr(core),
                "GET",
                "/api/Nodes",
                "",
                CALL_TIMEOUT,
            )
            .await;
            let Some((200, body)) = response else {
                continue;
            };
            let status: Value = serde_json::from_slice(&body).unwrap_or_default();
            let nodes = status["nodes"].as_array().cloned().unwrap_or_default();
            known += nodes.len();
            all.extend(
                nodes
                    .iter()
                    .filter(|n| n["standing"] != "current")
                    .map(|n| format!("a node does not apply the current state: {n}")),
            );
        }
        if known < fleet.scenario.edges {
            all.push(format!(
                "the control nodes list {known} nodes, fewer than the scenario has"
            ));
        }
        if all.is_empty() || started_at.elapsed() > AGREEMENT_TIMEOUT {
            return all;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a proxy is ready. Returns `false` if the timeout expires.
async fn is_ready(fleet: &Fleet, proxy: usize) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < READY_TIMEOUT {
        let page = call(
            fleet.readiness(proxy),
            "GET",
            "/api/readyz",
            "",
            CALL_TIMEOUT,
        );
        if let Some((200, _)) = page.await {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Ends all processes, and records those that exited unexpectedly or panicked. Returns the number of invariant violations that
/// the processes logged.
async fn end_processes(fleet: &Fleet, failures: &mut Vec<String>) -> u64 {
    let mut violations = 0;
    let named = |kind: &'static str, slots| (kind, slots);
    for (kind, slots) in [
        named("proxy", &fleet.proxies),
        named("agent", &fleet.agents),
        named("core", &fleet.cores),
    ] {
        for (n, slot) in slots.iter().enumerate() {
            let mut slot = slot.lock().await;
            if let Some(status) = slot.process.as_mut().and_then(|p| p.exit_status()) {
                failures.push(format!("{kind} {n} exited unexpectedly: {status}"));
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
