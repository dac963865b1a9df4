//! The verdict on a run of the whole system: the rules that it broke, and how many requests were served.

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

/// The number of requests, and of those that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// The number of requests.
    pub requests: usize,
    /// The number of served requests.
    pub served: usize,
}

impl ServedCount {
    /// Returns the share of requests that were served; 0 without requests.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

/// The verdict on a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// The requests that every configuration in question allows; see [`Record::is_allowed_throughout`].
    pub all: ServedCount,
    /// The part of these requests that may run only once.
    pub once_only: ServedCount,
    /// The number of attempts with each outcome.
    pub outcomes: Vec<(AttemptOutcome, usize)>,
    /// Attempts that ran although the client received neither a response nor the promise that they had not run. Losses
    /// cause these, and they are no breach.
    pub executed_without_response: usize,
}

impl Verdict {
    /// Returns the number of breaches of the rule.
    pub fn count_breaches(&self, rule: &str) -> usize {
        self.breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .count()
    }

    /// Returns the number of attempts with that outcome.
    pub fn count(&self, outcome: AttemptOutcome) -> usize {
        let counted = self.outcomes.iter().find(|(kind, _)| *kind == outcome);
        counted.map_or(0, |(_, count)| *count)
    }
}

/// Checks a run against the operators' rules. The time is linear in the number of attempts and executions, except for
/// the check of quota windows.
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
        executed_without_response: count_unreported(record, &executions),
    }
}

/// Returns the configurations that were sent, except those that were refused or that lost to another text with the same
/// number.
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
                let description = format!("{:x} was not sent by any client", execution.id);
                breaches.push(Breach::new("UNASKED", execution.started_at, description));
            }
        }
    }
}

/// Returns the number of executions of each attempt.
fn executions_by_attempt(record: &Record) -> HashMap<u64, usize> {
    let mut executions = HashMap::new();
    for execution in &record.executions {
        *executions.entry(execution.id).or_default() += 1;
    }
    executions
}

/// At the end of the run an operator must read the newest acknowledged configuration, or a newer one.
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
        "the final version read is {:?}, but {newest:?} was acknowledged",
        record.final_version
    );
    Some(Breach::new("CONFIG", record.to, description))
}

/// Returns the counts of the requests that all configurations allow, and of the once-only requests among them.
fn count_served(record: &Record) -> (ServedCount, ServedCount) {
    let is_disconnected = |a: &&Attempt| a.outcome == AttemptOutcome::ClientDisconnected;
    let disconnected = record.attempts.iter().filter(is_disconnected);
    // Requests whose client disconnected are not counted.
    let disconnected: HashSet<u64> = disconnected.map(|attempt| attempt.request).collect();
    let counted = record
        .attempts
        .iter()
        .filter(|attempt| record.is_allowed_throughout(attempt));
    let counted = counted
        .map(|attempt| attempt.request)
        .filter(|id| !disconnected.contains(id));
    let counted: HashSet<u64> = counted.collect();
    let attempts = || {
        record
            .attempts
            .iter()
            .filter(|attempt| counted.contains(&attempt.request))
    };
    let is_once_only: HashMap<u64, bool> = attempts()
        .map(|a| (a.request, record.is_once_only(a.route)))
        .collect();
    let answered = attempts().filter(|attempt| attempt.outcome == AttemptOutcome::Answered);
    let served: HashSet<u64> = answered.map(|attempt| attempt.request).collect();
    let is_served_once_only = |request: &&u64| is_once_only.get(*request).copied().unwrap_or(false);
    let all = ServedCount {
        requests: is_once_only.len(),
        served: served.len(),
    };
    let once_only = ServedCount {
        requests: is_once_only
            .values()
            .filter(|is_once_only| **is_once_only)
            .count(),
        served: served.iter().filter(is_served_once_only).count(),
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
