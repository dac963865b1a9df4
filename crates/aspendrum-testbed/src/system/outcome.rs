//! The outcome of a run: the checker's verdict, measurements, and the violated bounds of the scenario.

use super::scenario::{Bounds, Scenario};
use super::usage::Usage;
use aspendrum_checker::system::{
    check, count_disconnects, Attempt, AttemptOutcome, DisconnectCounts, Record, Verdict,
};
use aspendrum_checker::Millis;
use std::collections::{HashMap, HashSet};

/// The length of the final part of the traffic, by which the system must have recovered.
const FINAL_PART_MS: Millis = 2000.0;

/// The number of requests that had to be answered, and of those that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedPart {
    /// The requests that had to be answered.
    pub requests: usize,
    /// The requests that were served.
    pub served: usize,
}

impl ServedPart {
    /// Counts the requests of a run whose first attempt satisfies `is_part`.
    fn of(record: &Record, is_part: impl Fn(&Attempt) -> bool) -> ServedPart {
        let answered = record
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::Answered);
        let answered: HashSet<u64> = answered.map(|attempt| attempt.request).collect();
        // Requests whose client disconnected need no answer.
        let is_owed = |attempt: &&Attempt| {
            attempt.id == attempt.request
                && attempt.outcome != AttemptOutcome::ClientDisconnected
                && is_part(attempt)
                && record.is_allowed_throughout(attempt)
        };
        let owed: Vec<&Attempt> = record.attempts.iter().filter(is_owed).collect();
        let is_served = |attempt: &&&Attempt| answered.contains(&attempt.request);
        ServedPart {
            requests: owed.len(),
            served: owed.iter().filter(is_served).count(),
        }
    }

    /// Returns the share of requests that were served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// The outcome of a run.
pub struct Outcome {
    /// What clients, servers and operators observed.
    pub record: Record,
    /// The checker's verdict on the record.
    pub verdict: Verdict,
    /// Requests of the last two seconds of the traffic.
    pub last: ServedPart,
    /// Requests of the second tenant.
    pub second_tenant: ServedPart,
    /// Failures of the run itself, such as unexpected process exits and orders without a definite response.
    pub failures: Vec<String>,
    /// The time from the start of all processes until all proxies were ready, in milliseconds.
    pub ready: Millis,
    /// The number of violations of invariants that the processes logged.
    pub violations: u64,
    /// For each added route, when it was acknowledged and how many milliseconds later the last connected proxy served it.
    pub in_force: Vec<(Millis, Millis)>,
    /// Resources that the processes used during the traffic.
    pub usage: Usage,
}

/// Results of a run apart from its record.
pub struct RunReport {
    /// Failures of the run itself, such as unexpected process exits and orders without a definite response.
    pub failures: Vec<String>,
    /// The time from the start of all processes until all proxies were ready, in milliseconds.
    pub ready: Millis,
    /// The number of violations of invariants that the processes logged.
    pub violations: u64,
    /// For each added route, when it was acknowledged and how many milliseconds later the last connected proxy served it.
    pub in_force: Vec<(Millis, Millis)>,
    /// Resources that the processes used during the traffic.
    pub usage: Usage,
}

impl Outcome {
    /// Checks the record of a run and combines it with the other results.
    pub fn new(record: Record, report: RunReport) -> Outcome {
        let last_from = record.to - FINAL_PART_MS;
        Outcome {
            verdict: check(&record),
            last: ServedPart::of(&record, |attempt| attempt.sent_at > last_from),
            second_tenant: ServedPart::of(&record, |attempt| attempt.tenant == 1),
            failures: report.failures,
            ready: report.ready,
            violations: report.violations,
            in_force: report.in_force,
            usage: report.usage,
            record,
        }
    }

    /// Returns the 95th percentile of the response times of 429 responses, in milliseconds.
    pub fn quota_refusal_p95(&self) -> Millis {
        let refused = self
            .record
            .attempts
            .iter()
            .filter(|t| t.outcome == AttemptOutcome::NotRun(429));
        let mut times: Vec<Millis> = refused.map(|t| t.ended_at - t.sent_at).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() * 19 / 20).copied().unwrap_or(0.0)
    }

    /// Returns the number of acknowledged configurations and the time of the slowest acknowledgement in milliseconds.
    pub fn acknowledgements(&self) -> (usize, Millis) {
        let times = self
            .record
            .versions
            .iter()
            .filter_map(|v| Some(v.acknowledged_at? - v.sent_at));
        times.fold((0, 0.0), |(n, slowest), time| (n + 1, slowest.max(time)))
    }

    /// Returns the median and the maximum time from the acknowledgement of an added route until the last connected proxy served
    /// it, in milliseconds.
    pub fn times_in_force(&self) -> (Millis, Millis) {
        let mut times: Vec<Millis> = self.in_force.iter().map(|(_, time)| *time).collect();
        times.sort_by(f64::total_cmp);
        let at = |index: usize| times.get(index).copied().unwrap_or(0.0);
        (at(times.len() / 2), at(times.len().saturating_sub(1)))
    }

    /// Counts the work that was done for clients that had disconnected.
    pub fn disconnect_counts(&self) -> DisconnectCounts {
        let attempts: HashMap<u64, &Attempt> =
            self.record.attempts.iter().map(|t| (t.id, t)).collect();
        count_disconnects(&self.record, &attempts)
    }

    /// Describes every failure of the run, broken rule and violated bound.
    pub fn broken(&self, s: &Scenario) -> Vec<String> {
        let rules = self.verdict.breaches.iter();
        let rules = rules.map(|breach| format!("rule {breach}"));
        self.failures
            .iter()
            .cloned()
            .chain(rules)
            .chain(self.low_shares(&s.bounds))
            .chain(self.high_counts(&s.bounds))
            .chain(self.long_times(&s.bounds))
            .collect()
    }

    /// Describes the shares of served requests that are below their bounds.
    fn low_shares(&self, bounds: &Bounds) -> Vec<String> {
        let shares = [
            (
                "the share of served requests",
                self.verdict.all.share(),
                bounds.served,
            ),
            (
                "the share of served once-only requests",
                self.verdict.once_only.share(),
                bounds.served_once,
            ),
            (
                "the share of served requests in the last two seconds",
                self.last.share(),
                bounds.served_last,
            ),
            (
                "the share of the second tenant's served requests",
                self.second_tenant.share(),
                bounds.served_second,
            ),
        ];
        let is_low = |(name, share, min): &(&str, f64, Option<f64>)| {
            let min = min.filter(|min| share < min)?;
            Some(format!("{name} is {share:.3}, below the minimum of {min}"))
        };
        shares.iter().filter_map(is_low).collect()
    }

    /// Describes the counts that are above their bounds.
    fn high_counts(&self, bounds: &Bounds) -> Vec<String> {
        let lost = self.verdict.count(AttemptOutcome::Lost) as u64;
        let unready = self.verdict.count(AttemptOutcome::NotRun(503)) as u64;
        let counts = [
            ("lost connections", lost, bounds.lost.map(|n| n as u64)),
            (
                "attempts rejected with 503",
                unready,
                bounds.unready.map(|n| n as u64),
            ),
            (
                "violations of invariants",
                self.violations,
                bounds.violations,
            ),
        ];
        let is_high = |(name, count, max): &(&str, u64, Option<u64>)| {
            let max = max.filter(|max| count > max)?;
            Some(format!("{count} {name}, above the maximum of {max}"))
        };
        counts.iter().filter_map(is_high).collect()
    }

    /// Describes the times that are above their bounds.
    fn long_times(&self, bounds: &Bounds) -> Vec<String> {
        let times = [
            (
                "the 95th percentile of quota refusals is",
                self.quota_refusal_p95(),
                bounds.refused_ms,
            ),
            (
                "the slowest added route was in force everywhere after",
                self.times_in_force().1,
                bounds.in_force_ms,
            ),
            (
                "the slowest acknowledgement took",
                self.acknowledgements().1,
                bounds.acked_ms,
            ),
        ];
        let is_long = |(name, time, max): &(&str, Millis, Option<Millis>)| {
            let max = max.filter(|max| time > max)?;
            Some(format!(
                "{name} {time:.0} ms, above the maximum of {max:.0} ms"
            ))
        };
        times.iter().filter_map(is_long).collect()
    }
}
