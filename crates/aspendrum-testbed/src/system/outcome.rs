//! What came of a run: the checker's verdict, figures, and the bounds of the scenario that were passed.

use super::scenario::{Bounds, Scenario};
use super::usage::Usage;
use aspendrum_checker::system::{
    check, count_disconnects, Attempt, AttemptOutcome, DisconnectCounts, Record, Verdict,
};
use aspendrum_checker::Millis;
use std::collections::{HashMap, HashSet};

/// The last part of the traffic, in which the system is to be back.
const LAST_PART: Millis = 2000.0;

/// Requests that were owed an answer, and those of them that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedPart {
    /// All of the part.
    pub requests: usize,
    /// The served ones.
    pub served: usize,
}

impl ServedPart {
    /// The part of a run's requests whose first attempt is such a one.
    fn of(record: &Record, is_part: impl Fn(&Attempt) -> bool) -> ServedPart {
        let answered = record
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::Answered);
        let answered: HashSet<u64> = answered.map(|attempt| attempt.request).collect();
        // Nothing is owed to a client that disconnected.
        let is_owed = |attempt: &&Attempt| {
            attempt.id == attempt.request
                && attempt.outcome != AttemptOutcome::ClientDisconnected
                && is_part(attempt)
                && record.is_owed(attempt)
        };
        let owed: Vec<&Attempt> = record.attempts.iter().filter(is_owed).collect();
        let is_served = |attempt: &&&Attempt| answered.contains(&attempt.request);
        ServedPart {
            requests: owed.len(),
            served: owed.iter().filter(is_served).count(),
        }
    }

    /// The share that was served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// What came of a run.
pub struct Outcome {
    /// What clients, servers and operators saw.
    pub record: Record,
    /// What the checker says of it.
    pub verdict: Verdict,
    /// Requests of the last two seconds.
    pub last: ServedPart,
    /// Requests of the second tenant.
    pub second_tenant: ServedPart,
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

/// What a run has left behind beside its record.
pub struct RunReport {
    /// Processes that ended by themselves, or did not end when told.
    pub failures: Vec<String>,
    /// Milliseconds from the start of all processes until all proxies were ready.
    pub ready: Millis,
    /// Violations of their own invariants that proxies reported.
    pub violations: u64,
    /// Of each added route when it was acknowledged, and milliseconds until the last connected proxy served it.
    pub in_force: Vec<(Millis, Millis)>,
    /// What the processes used while the traffic went on.
    pub used: Usage,
}

impl Outcome {
    /// Checks the record of a run.
    pub fn new(record: Record, report: RunReport) -> Outcome {
        let last_from = record.to - LAST_PART;
        Outcome {
            verdict: check(&record),
            last: ServedPart::of(&record, |attempt| attempt.sent_at > last_from),
            second_tenant: ServedPart::of(&record, |attempt| attempt.tenant == 1),
            failures: report.failures,
            ready: report.ready,
            violations: report.violations,
            in_force: report.in_force,
            used: report.used,
            record,
        }
    }

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

    /// Shares of requests that were served, below their bounds.
    fn low_shares(&self, bounds: &Bounds) -> Vec<String> {
        let shares = [
            ("the share served", self.verdict.all.share(), bounds.served),
            (
                "the share of once-only requests served",
                self.verdict.once_only.share(),
                bounds.served_once,
            ),
            (
                "the share served in the end",
                self.last.share(),
                bounds.served_last,
            ),
            (
                "the share of the second tenant",
                self.second_tenant.share(),
                bounds.served_second,
            ),
        ];
        let is_low = |(name, share, least): &(&str, f64, Option<f64>)| {
            let least = least.filter(|least| share < least)?;
            Some(format!("{name} is {share:.3}, and must be {least}"))
        };
        shares.iter().filter_map(is_low).collect()
    }

    /// Numbers above their bounds.
    fn high_counts(&self, bounds: &Bounds) -> Vec<String> {
        let lost = self.verdict.count(AttemptOutcome::Lost) as u64;
        let unready = self.verdict.count(AttemptOutcome::NotRun(503)) as u64;
        let counts = [
            ("connections were lost", lost, bounds.lost.map(|n| n as u64)),
            (
                "attempts were refused with 503",
                unready,
                bounds.unready.map(|n| n as u64),
            ),
            (
                "violations of invariants",
                self.violations,
                bounds.violations,
            ),
        ];
        let is_high = |(name, count, most): &(&str, u64, Option<u64>)| {
            let most = most.filter(|most| count > most)?;
            Some(format!("{count} {name}, and {most} may be"))
        };
        counts.iter().filter_map(is_high).collect()
    }

    /// Times above their bounds.
    fn long_times(&self, bounds: &Bounds) -> Vec<String> {
        let times = [
            ("refusals take", self.refusals(), bounds.refused_ms),
            (
                "an added route was in force everywhere after",
                self.times_in_force().1,
                bounds.in_force_ms,
            ),
            (
                "an acknowledgement took",
                self.acknowledged().1,
                bounds.acked_ms,
            ),
        ];
        let is_long = |(name, time, most): &(&str, Millis, Option<Millis>)| {
            let most = most.filter(|most| time > most)?;
            Some(format!("{name} {time:.0} ms, and {most:.0} are allowed"))
        };
        times.iter().filter_map(is_long).collect()
    }
}
