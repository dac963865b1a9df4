//! The figures of a run.

use crate::run::Outcome;
use crate::scenario::Scenario;
use aspendrum_checker::limiter::{QueryOutcome, Recovery};
use serde::Serialize;

const MILLIS_PER_SECOND: f64 = 1000.0;
const KIB_PER_MIB: f64 = 1024.0;

/// One run in one line of a table. Times in the unit of their names, shares from 0 to 1.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The scenario's name.
    pub scenario: String,
    /// Limiters.
    pub limiters: usize,
    /// The length of the traffic, in seconds.
    pub seconds: f64,
    /// Queries of all clients.
    pub queries: usize,
    /// Answered ones.
    pub answered: u64,
    /// Ones that were refused with a promise that they had not run.
    pub shed: u64,
    /// Ones that failed.
    pub dropped: u64,
    /// Ones whose connection ended without an answer.
    pub lost: u64,
    /// Ones that reached no limiter.
    pub unreached: u64,
    /// Ones without any answer in time.
    pub silent: u64,
    /// Units granted, as a multiple of what the quotas allow.
    pub over_quota: f64,
    /// The most in a window, as a multiple of the burst.
    pub peak_over_burst: f64,
    /// The most in a window, as a multiple of the burst of the rate limit.
    pub peak_over_ceiling: f64,
    /// The share of queries that were refused though their quota had room.
    pub refused_with_room: f64,
    /// The median time to an answer.
    pub p50_ms: f64,
    /// The 99th percentile of it.
    pub p99_ms: f64,
    /// Attempts a query.
    pub forwards_per_query: f64,
    /// The most load of a server in slow start, as a multiple of what it bears.
    pub cold_load: f64,
    /// After the last fault that ended; empty where none did or it did not recover before the end.
    pub recovery_s: Option<f64>,
    /// Datagrams that a limiter sends in a second.
    pub datagrams_per_limiter_s: f64,
    /// Their bytes.
    pub bytes_per_limiter_s: f64,
    /// Datagrams that were lost.
    pub datagrams_lost: u64,
    /// Calls of the counter in a second.
    pub counter_calls_per_s: f64,
    /// Calls of discovery.
    pub discovery_calls: u64,
    /// The mean memory of a limiter, in MiB.
    pub memory_mb: f64,
    /// Processor time of a limiter in a second.
    pub cpu_ms_per_limiter_s: f64,
    /// Broken rules and bounds.
    pub broken: usize,
}

impl Row {
    /// The row of a run.
    pub fn new(scenario: &Scenario, outcome: &Outcome) -> Row {
        let (verdict, traffic) = (&outcome.verdict, &outcome.traffic);
        let (seconds, limiters) = (outcome.seconds(), scenario.limiters.count);
        let per_limiter_s = |amount: f64| amount / limiters as f64 / seconds;
        Row {
            scenario: scenario.name.clone(),
            limiters,
            seconds,
            queries: outcome.record.queries.len(),
            answered: verdict.count(QueryOutcome::Answered),
            shed: verdict.count(QueryOutcome::Shed),
            dropped: verdict.count(QueryOutcome::Dropped) + verdict.count(QueryOutcome::Foreign),
            lost: verdict.count(QueryOutcome::Lost),
            unreached: verdict.count(QueryOutcome::Unreached),
            silent: verdict.count(QueryOutcome::Silent),
            over_quota: verdict.total_use.quota_utilization,
            peak_over_burst: verdict.total_use.peak_burst_ratio,
            peak_over_ceiling: verdict.total_use.peak_limit_ratio,
            refused_with_room: verdict.refused_with_room(),
            p50_ms: verdict.response_time(0.5),
            p99_ms: verdict.response_time(0.99),
            forwards_per_query: verdict.forwards_per_query,
            cold_load: verdict.cold_load,
            recovery_s: last_recovery_s(&verdict.recoveries),
            datagrams_per_limiter_s: per_limiter_s(traffic.datagrams.messages as f64),
            bytes_per_limiter_s: per_limiter_s(traffic.datagrams.bytes as f64),
            datagrams_lost: traffic.datagrams.lost,
            counter_calls_per_s: traffic.counter.calls as f64 / seconds,
            discovery_calls: traffic.discovery.calls,
            memory_mb: mean(&outcome.usage.memory_kb) / KIB_PER_MIB,
            cpu_ms_per_limiter_s: per_limiter_s(outcome.usage.cpu_s * MILLIS_PER_SECOND),
            broken: outcome.broken(scenario).len(),
        }
    }
}

/// How long it took after the fault that ended last.
fn last_recovery_s(recoveries: &[Recovery]) -> Option<f64> {
    let last = recoveries
        .iter()
        .max_by(|a, b| a.fault.to.total_cmp(&b.fault.to))?;
    Some(last.time? / MILLIS_PER_SECOND)
}

fn mean(values: &[u64]) -> f64 {
    let sum: u64 = values.iter().sum();
    sum as f64 / values.len().max(1) as f64
}
