//! What came of a run: the checker's verdict, figures, and the bounds of the scenario that were passed.

use super::scenario::Scenario;
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
        least(
            "the share served in the end",
            self.last.share(),
            b.served_last,
        );
        least(
            "the share of the second tenant",
            self.second_tenant.share(),
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
