//! The verdict on a run of limiters: its measurements, and the rules that it broke.

use super::quota::{self, Grants, QuotaUse, RecoveryCriterion};
use super::record::{FaultPeriod, Query, QueryOutcome, Record};
use super::rules::{self, Breach};
use crate::Millis;
use hdrhistogram::Histogram;
use std::collections::HashSet;

/// The shortest window over which the use of quotas is measured after a fault. The window is longer if a burst takes
/// longer to refill.
const RECOVERY_WINDOW: Millis = 3000.0;
/// The share of the expected rate that must be in use again for the run to count as recovered.
const RECOVERED_SHARE: f64 = 0.9;
/// Response times are recorded in microseconds, up to one minute, with three significant digits.
const MAX_RESPONSE_TIME_US: u64 = 60_000_000;
const RESPONSE_TIME_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1000.0;

/// All outcomes, in the order in which reports list them.
const OUTCOMES: [QueryOutcome; 7] = [
    QueryOutcome::Answered,
    QueryOutcome::Foreign,
    QueryOutcome::Shed,
    QueryOutcome::Dropped,
    QueryOutcome::Lost,
    QueryOutcome::Unreached,
    QueryOutcome::Silent,
];

/// How long a run took to recover from a fault.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// The fault.
    pub fault: FaultPeriod,
    /// The time from the end of the fault until the quotas were in use again, or `None` if the run ended before that.
    pub time: Option<Millis>,
}

/// The verdict on a run.
#[derive(Debug)]
pub struct Verdict {
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// How far each customer's quota was used.
    pub quota_uses: Vec<QuotaUse>,
    /// How far all quotas together were used.
    pub total_use: QuotaUse,
    /// The highest load on a server in slow start, as a share of what the rule allows; 0 if there was none.
    pub max_slow_start_load: f64,
    /// The number of queries with each outcome.
    pub outcomes: Vec<(QueryOutcome, u64)>,
    /// The response times of answered queries as their clients saw them, in microseconds.
    pub response_times: Histogram<u64>,
    /// The recovery from each fault.
    pub recoveries: Vec<Recovery>,
    /// The number of forwards that reached servers, relative to the number of queries that did.
    pub forwards_per_query: f64,
}

/// Checks a run against the five rules.
pub fn check(record: &Record) -> Verdict {
    let grants = quota::grants(record);
    let (quota_uses, within_quota) = quota_uses(record, &grants);
    let loads = rules::slow_start_loads(record);
    let count = |kind| {
        record
            .queries
            .iter()
            .filter(|query| query.outcome == kind)
            .count() as u64
    };
    let reached: HashSet<u64> = record.forwards.iter().map(|forward| forward.id).collect();
    let recoveries = record.faults.iter().map(|fault| Recovery {
        fault: fault.clone(),
        time: recovery_time(record, &grants, &within_quota, fault),
    });
    Verdict {
        breaches: rules::breaches(record, &grants, &loads),
        total_use: total_use(record, &quota_uses),
        quota_uses,
        max_slow_start_load: loads.iter().map(|worst| worst.load).fold(0.0, f64::max),
        outcomes: OUTCOMES.map(|kind| (kind, count(kind))).to_vec(),
        response_times: response_times(record),
        recoveries: recoveries.collect(),
        forwards_per_query: record.forwards.len() as f64 / reached.len().max(1) as f64,
    }
}

/// Returns how far each customer's quota was used, and each customer's grants within the quota.
fn quota_uses(record: &Record, grants: &[Grants]) -> (Vec<QuotaUse>, Vec<Grants>) {
    let mut queries: Vec<Vec<&Query>> = vec![Vec::new(); record.customers.len()];
    record
        .queries
        .iter()
        .for_each(|query| queries[query.customer].push(query));
    let measured = record
        .customers
        .iter()
        .enumerate()
        .map(|(index, customer)| {
            let (queries, grants) = (&queries[index], &grants[index]);
            quota::measure_use(customer, queries, grants, record.from, record.to)
        });
    measured.unzip()
}

fn response_times(record: &Record) -> Histogram<u64> {
    let mut times = Histogram::new_with_bounds(1, MAX_RESPONSE_TIME_US, RESPONSE_TIME_DIGITS)
        .expect("bounds and digits are within range");
    let answered = record
        .queries
        .iter()
        .filter(|query| query.outcome == QueryOutcome::Answered);
    for query in answered {
        let micros = (query.ended_at - query.sent_at) * MICROS_PER_MILLI;
        times.saturating_record(micros.max(1.0) as u64);
    }
    times
}

fn recovery_time(
    record: &Record,
    grants: &[Grants],
    within_quota: &[Grants],
    fault: &FaultPeriod,
) -> Option<Millis> {
    let customers = &record.customers;
    let refill = customers
        .iter()
        .map(|c| if c.rate > 0.0 { c.burst / c.rate } else { 0.0 });
    let window = refill.fold(RECOVERY_WINDOW, f64::max);
    let allowed: f64 = customers.iter().map(|c| c.rate.min(c.demand_rate)).sum();
    // If the fleet used less than allowed before the first fault, it has recovered once it uses that much again.
    let first_fault = record
        .faults
        .iter()
        .map(|fault| fault.from)
        .fold(f64::INFINITY, f64::min);
    let used = if first_fault - window >= record.from {
        let is_before = |at: Millis| at >= first_fault - window && at < first_fault;
        let before = within_quota
            .iter()
            .flatten()
            .filter(|grant| is_before(grant.at));
        before.map(|grant| grant.units).sum::<f64>() / window
    } else {
        allowed
    };
    let criterion = RecoveryCriterion {
        expected: used.min(allowed),
        required_share: RECOVERED_SHARE,
        rate: customers.iter().map(|c| c.rate).sum(),
        burst: customers.iter().map(|c| c.burst).sum(),
        window,
    };
    quota::recovery_time(grants, within_quota, &criterion, fault.to, record.to)
}

/// Returns the use of all quotas together: the sums, and the maximum of each peak.
fn total_use(record: &Record, uses: &[QuotaUse]) -> QuotaUse {
    let sum = |of: fn(&QuotaUse) -> f64| uses.iter().map(of).sum::<f64>();
    let worst = |of: fn(&QuotaUse) -> f64| uses.iter().map(of).fold(0.0, f64::max);
    let duration = record.to - record.from;
    let quota: f64 = record
        .customers
        .iter()
        .map(|c| c.burst + c.rate * duration)
        .sum();
    QuotaUse {
        requested: sum(|u| u.requested),
        granted: sum(|u| u.granted),
        quota_utilization: sum(|u| u.granted) / quota.max(f64::MIN_POSITIVE),
        peak_burst_ratio: worst(|u| u.peak_burst_ratio),
        peak_limit_ratio: worst(|u| u.peak_limit_ratio),
        granted_within_quota: sum(|u| u.granted_within_quota),
        ideally_granted: sum(|u| u.ideally_granted),
        refused: uses.iter().map(|u| u.refused).sum(),
    }
}

impl Verdict {
    /// Returns the number of queries with that outcome.
    pub fn count(&self, outcome: QueryOutcome) -> u64 {
        let counted = self.outcomes.iter().find(|(kind, _)| *kind == outcome);
        counted.map_or(0, |(_, count)| *count)
    }

    /// Returns a quantile of the response times, in milliseconds; 0 if no query was answered.
    pub fn response_time(&self, quantile: f64) -> Millis {
        self.response_times.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Returns the units refused although tokens were available, as a share of the units for which tokens were
    /// available.
    pub fn refused_within_quota(&self) -> f64 {
        let refused: f64 = self
            .quota_uses
            .iter()
            .map(QuotaUse::refused_within_quota)
            .sum();
        refused / self.total_use.ideally_granted.max(f64::MIN_POSITIVE)
    }
}
