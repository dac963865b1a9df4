//! What became of a run of the whole system: the rules that it broke, and how much was served.

use super::attempts::check_attempt;
use super::breach::Breach;
use super::configurations::{check_configurations, ValidTexts};
use super::disconnects::check_disconnects;
use super::evacuations::{check_finished_evacuations, known_zone_states};
use super::executions::{check_execution, InForce};
use super::quota::check_quotas;
use super::record::{Attempt, AttemptOutcome, ConfigVersion, Record};
use super::refusals::check_refusals;
use std::collections::{HashMap, HashSet};

/// Requests, and those of them that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// All requests.
    pub requests: usize,
    /// The served ones.
    pub served: usize,
}

impl ServedCount {
    /// The share that was served; 0 without requests.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The rules that it broke.
    pub breaches: Vec<Breach>,
    /// The requests that every configuration which may have been in force allows.
    pub all: ServedCount,
    /// Of them, those that may run once only.
    pub once_only: ServedCount,
    /// How many attempts ended in each way.
    pub outcomes: Vec<(AttemptOutcome, usize)>,
    /// Attempts that ran, and whose clients neither had their response nor a promise that they had not run: the price of
    /// losses, and no broken rule.
    pub unreported: usize,
}

impl Verdict {
    /// How often the rule was broken.
    pub fn count_breaches(&self, rule: &str) -> usize {
        self.breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .count()
    }

    /// How many attempts ended in that way.
    pub fn count(&self, outcome: AttemptOutcome) -> usize {
        let counted = self.outcomes.iter().find(|(kind, _)| *kind == outcome);
        counted.map_or(0, |(_, count)| *count)
    }
}

/// Checks a run. Takes time in proportion to its attempts and executions, but for the windows of quotas.
pub fn check(record: &Record) -> Verdict {
    let mut breaches = Vec::new();
    let attempts: HashMap<u64, &Attempt> = record.attempts.iter().map(|a| (a.id, a)).collect();
    let versions = versions_that_may_be_in_force(record);
    check_executions(record, &versions, &attempts, &mut breaches);
    check_refusals(record, &versions, &mut breaches);
    let executions = executions_by_attempt(record);
    for attempt in &record.attempts {
        let count = executions.get(&attempt.id).copied().unwrap_or(0);
        check_attempt(record, attempt, count, &mut breaches);
    }
    check_disconnects(record, &attempts, &mut breaches);
    check_quotas(record, &attempts, &mut breaches);
    check_configurations(record, &mut breaches);
    check_finished_evacuations(record, &mut breaches);
    breaches.extend(check_final_version(record));
    let (all, once_only) = count_served(record);
    Verdict {
        breaches,
        all,
        once_only,
        outcomes: count_outcomes(record),
        unreported: count_unreported(record, &executions),
    }
}

/// The configurations that were sent, but for those that were refused or lost against another text.
fn versions_that_may_be_in_force(record: &Record) -> Vec<&ConfigVersion> {
    let texts = ValidTexts::of(&record.calls);
    let versions = record.versions.iter();
    versions
        .filter(|version| texts.may_be_in_force(version.number, &version.text))
        .collect()
}

fn check_executions(
    record: &Record,
    versions: &[&ConfigVersion],
    attempts: &HashMap<u64, &Attempt>,
    breaches: &mut Vec<Breach>,
) {
    let states = known_zone_states(&record.evacuations).into_iter();
    let in_force = InForce {
        versions: versions.to_vec(),
        evacuated: states.filter(|state| state.is_evacuated).collect(),
    };
    for execution in &record.executions {
        match attempts.get(&execution.id) {
            Some(attempt) => check_execution(record, &in_force, attempt, execution, breaches),
            None => {
                let description = format!("{:x} was sent by no client", execution.id);
                breaches.push(Breach::new("UNASKED", execution.started_at, description));
            }
        }
    }
}

/// How often each attempt ran.
fn executions_by_attempt(record: &Record) -> HashMap<u64, usize> {
    let mut executions = HashMap::new();
    for execution in &record.executions {
        *executions.entry(execution.id).or_default() += 1;
    }
    executions
}

/// In the end an operator reads the newest configuration that was acknowledged, or a newer one.
fn check_final_version(record: &Record) -> Option<Breach> {
    let acknowledged = record
        .versions
        .iter()
        .filter(|version| version.acknowledged_at.is_some());
    let newest = acknowledged.map(|version| version.number).max();
    if record.final_version >= newest {
        return None;
    }
    let description = format!(
        "{:?} was read back, {newest:?} was acknowledged",
        record.final_version
    );
    Some(Breach::new("CONFIG", record.to, description))
}

/// The requests that were owed an answer: of all routes, and of those that may run once only.
fn count_served(record: &Record) -> (ServedCount, ServedCount) {
    let is_disconnected = |a: &&Attempt| a.outcome == AttemptOutcome::ClientDisconnected;
    let disconnected = record.attempts.iter().filter(is_disconnected);
    // Nothing is owed to a client that disconnected.
    let disconnected: HashSet<u64> = disconnected.map(|attempt| attempt.request).collect();
    let owed = record
        .attempts
        .iter()
        .filter(|attempt| record.is_owed(attempt));
    let owed = owed
        .map(|attempt| attempt.request)
        .filter(|id| !disconnected.contains(id));
    let owed: HashSet<u64> = owed.collect();
    let attempts = || {
        record
            .attempts
            .iter()
            .filter(|attempt| owed.contains(&attempt.request))
    };
    let is_once_only: HashMap<u64, bool> = attempts()
        .map(|a| (a.request, record.is_once_only(a.route)))
        .collect();
    let answered = attempts().filter(|attempt| attempt.outcome == AttemptOutcome::Answered);
    let served: HashSet<u64> = answered.map(|attempt| attempt.request).collect();
    let is_counted_once = |request: &&u64| is_once_only.get(*request).copied().unwrap_or(false);
    let all = ServedCount {
        requests: is_once_only.len(),
        served: served.len(),
    };
    let once_only = ServedCount {
        requests: is_once_only
            .values()
            .filter(|is_once_only| **is_once_only)
            .count(),
        served: served.iter().filter(is_counted_once).count(),
    };
    (all, once_only)
}

fn count_outcomes(record: &Record) -> Vec<(AttemptOutcome, usize)> {
    let mut counts: HashMap<AttemptOutcome, usize> = HashMap::new();
    for attempt in &record.attempts {
        *counts.entry(attempt.outcome).or_default() += 1;
    }
    let mut counts: Vec<(AttemptOutcome, usize)> = counts.into_iter().collect();
    counts.sort_unstable();
    counts
}

fn count_unreported(record: &Record, executions: &HashMap<u64, usize>) -> usize {
    let is_unreported = |attempt: &&Attempt| {
        let is_known = matches!(
            attempt.outcome,
            AttemptOutcome::Answered | AttemptOutcome::ClientDisconnected
        );
        !is_known && executions.contains_key(&attempt.id)
    };
    record.attempts.iter().filter(is_unreported).count()
}
