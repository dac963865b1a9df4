//! The summary metrics of a run.

use crate::run::Outcome;
use crate::scenario::Scenario;
use aspendrum_checker::limiter::{QueryOutcome, Recovery};
use serde::Serialize;

const MILLIS_PER_SECOND: f64 = 1000.0;
const KIB_PER_MIB: f64 = 1024.0;

/// The summary of a run as one row of a table. Times have the unit in their name, shares are from 0 to 1.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The name of the scenario.
    pub scenario: String,
    /// The number of limiters.
    pub limiters: usize,
    /// The duration of the traffic, in seconds.
    pub seconds: f64,
    /// The number of queries of all clients.
    pub queries: usize,
    /// The number of answered queries.
    pub answered: u64,
    /// The number of queries that were refused without having been executed.
    pub shed: u64,
    /// The number of failed queries, including those that received the response to another query.
    pub dropped: u64,
    /// The number of queries whose connection was closed without a response.
    pub lost: u64,
    /// The number of queries that reached no limiter.
    pub unreached: u64,
    /// The number of queries without a response in time.
    pub silent: u64,
    /// The granted units, as a multiple of the quotas.
    pub over_quota: f64,
    /// The maximum granted beyond the rate in a window, as a multiple of the burst.
    pub peak_over_burst: f64,
    /// The same for the hard limit and its burst.
    pub peak_over_ceiling: f64,
    /// The share of the units within the quota that were refused.
    pub refused_with_room: f64,
    /// The median response time.
    pub p50_ms: f64,
    /// The 99th percentile of the response time.
    pub p99_ms: f64,
    /// The number of forwards per query.
    pub forwards_per_query: f64,
    /// The maximum load of a server in slow start, as a multiple of the allowed load.
    pub cold_load: f64,
    /// The recovery time after the fault that ended last; empty if none ended or the fleet did not recover before the end.
    pub recovery_s: Option<f64>,
    /// The number of datagrams sent per limiter and second.
    pub datagrams_per_limiter_s: f64,
    /// The bytes of datagrams sent per limiter and second.
    pub bytes_per_limiter_s: f64,
    /// The number of lost datagrams.
    pub datagrams_lost: u64,
    /// The number of calls to the counter per second.
    pub counter_calls_per_s: f64,
    /// The number of calls to discovery.
    pub discovery_calls: u64,
    /// The mean resident memory of a limiter, in MiB.
    pub memory_mb: f64,
    /// The mean CPU time of a limiter per second.
    pub cpu_ms_per_limiter_s: f64,
    /// The number of failures, broken rules and violated bounds.
    pub broken: usize,
}

impl Row {
    /// Summarizes a run.
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
            refused_with_room: verdict.refused_within_quota(),
            p50_ms: verdict.response_time(0.5),
            p99_ms: verdict.response_time(0.99),
            forwards_per_query: verdict.forwards_per_query,
            cold_load: verdict.max_slow_start_load,
            recovery_s: last_recovery_s(&verdict.recoveries),
            datagrams_per_limiter_s: per_limiter_s(traffic.datagrams.messages as f64),
            bytes_per_limiter_s: per_limiter_s(traffic.datagrams.bytes as f64),
            datagrams_lost: traffic.datagrams.lost,
            counter_calls_per_s: traffic.counter.calls as f64 / seconds,
            discovery_calls: traffic.discovery.calls,
            memory_mb: mean(&outcome.usage.memory_kb) / KIB_PER_MIB,
            cpu_ms_per_limiter_s: per_limiter_s(outcome.usage.cpu_s * MILLIS_PER_SECOND),
            broken: outcome.violations(scenario).len(),
        }
    }
}

/// Returns the recovery time after the fault that ended last, in seconds.
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
