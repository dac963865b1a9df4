//! The rules for valid requests that a proxy refuses with a final status: DENIED, and CONFIG if the refusal shows an
//! outdated configuration.

use super::breach::Breach;
use super::record::{Attempt, AttemptOutcome, ConfigVersion, Record};
use crate::Millis;
use std::collections::HashMap;

/// The number of refused valid requests that a run may have, in addition to one per [`ATTEMPTS_PER_REFUSAL`] attempts.
const MAX_REFUSALS: usize = 5;
const ATTEMPTS_PER_REFUSAL: usize = 500;
/// The number of refusals that faulty proxies may return for requests that every configuration of the run allows.
const MAX_REFUSALS_BY_FAULTY: usize = 10;
/// The time for which a proxy may still handle requests by an older version than the one that it has used.
const REVERT_GRACE: Millis = 250.0;

/// Checks all attempts. `versions` are the configurations that may have been in force.
pub(super) fn check_refusals(
    record: &Record,
    versions: &[&ConfigVersion],
    breaches: &mut Vec<Breach>,
) {
    let refused = record.attempts.iter().filter_map(|attempt| {
        let status = refusal_status(attempt.outcome)?;
        Some(Refusal {
            attempt,
            status,
            is_connected: is_connected(record, attempt),
            is_allowed: is_allowed_throughout(record, versions, attempt),
            is_always_allowed: versions.iter().all(|version| version.accepts(attempt)),
        })
    });
    let refused: Vec<Refusal<'_>> = refused.collect();
    breaches.extend(
        refused
            .iter()
            .filter_map(Refusal::outdated_configuration_breach),
    );
    breaches.extend(check_denied(record, &refused));
    breaches.extend(check_denied_by_faulty(&refused));
    check_reverts(record, versions, breaches);
}

/// A refusal with a final status, after which clients do not retry.
struct Refusal<'r> {
    attempt: &'r Attempt,
    status: u16,
    /// Whether the proxy was connected.
    is_connected: bool,
    /// Whether every configuration that may have been in force at the time allows the request.
    is_allowed: bool,
    /// Whether every configuration of the run allows the request.
    is_always_allowed: bool,
}

fn refusal_status(outcome: AttemptOutcome) -> Option<u16> {
    match outcome {
        AttemptOutcome::OtherStatus(status @ 300..=499) => Some(status),
        _ => None,
    }
}

impl Refusal<'_> {
    fn shows_configuration(&self) -> bool {
        matches!(self.status, 401 | 403 | 404)
    }

    fn outdated_configuration_breach(&self) -> Option<Breach> {
        if !(self.is_connected && self.is_allowed && self.shows_configuration()) {
            return None;
        }
        let (id, proxy, status) = (self.attempt.id, self.attempt.proxy, self.status);
        let description = format!(
            "{id:x} got {status} from proxy {proxy}, which only an outdated version allows"
        );
        Some(Breach::new("CONFIG", self.attempt.sent_at, description))
    }
}

fn check_denied(record: &Record, refused: &[Refusal<'_>]) -> Option<Breach> {
    let denied = refused.iter().filter(|r| r.is_connected && r.is_allowed);
    let denied: Vec<&Refusal<'_>> = denied.collect();
    let allowed = MAX_REFUSALS + record.attempts.len() / ATTEMPTS_PER_REFUSAL;
    let first = denied.first().filter(|_| denied.len() > allowed)?;
    let description = format!(
        "{} valid requests were refused, the first with {}",
        denied.len(),
        first.status
    );
    Some(Breach::new("DENIED", first.attempt.sent_at, description))
}

fn check_denied_by_faulty(refused: &[Refusal<'_>]) -> Option<Breach> {
    let denied = refused
        .iter()
        .filter(|r| !r.is_connected && r.is_always_allowed && r.shows_configuration());
    let denied: Vec<&Refusal<'_>> = denied.collect();
    let first = denied
        .first()
        .filter(|_| denied.len() > MAX_REFUSALS_BY_FAULTY)?;
    let description = format!(
        "{} requests that all configurations allow were refused by faulty proxies, the first with {}",
        denied.len(),
        first.status
    );
    Some(Breach::new("DENIED", first.attempt.sent_at, description))
}

fn is_connected(record: &Record, attempt: &Attempt) -> bool {
    let since = attempt.sent_at - record.bounds.contact;
    !record.is_faulty(attempt.proxy, since, attempt.ended_at)
}

/// Returns whether every one of the `versions` that may have been in force during the attempt allows it.
fn is_allowed_throughout(record: &Record, versions: &[&ConfigVersion], attempt: &Attempt) -> bool {
    let is_applied = |version: &&&ConfigVersion| {
        let applied_by = version.acknowledged_at.map(|at| at + record.bounds.apply);
        applied_by.is_some_and(|at| attempt.sent_at > at)
    };
    let applied = versions.iter().filter(is_applied).map(|v| v.number);
    let oldest = applied.max().unwrap_or(0);
    let mut may_be_in_force = versions
        .iter()
        .filter(|v| v.number >= oldest && v.sent_at <= attempt.ended_at)
        .peekable();
    may_be_in_force.peek().is_some() && may_be_in_force.all(|version| version.accepts(attempt))
}

/// Checks that a proxy that has served a request on an added route keeps using that version or a newer one until it is
/// restarted.
fn check_reverts(record: &Record, versions: &[&ConfigVersion], breaches: &mut Vec<Breach>) {
    let mut attempts: Vec<&Attempt> = record.attempts.iter().collect();
    attempts.sort_by(|a, b| a.ended_at.total_cmp(&b.ended_at));
    // The newest version that each proxy has used, and when it first used it.
    let mut newest_used: HashMap<usize, (u32, Millis)> = HashMap::new();
    for attempt in attempts {
        let with_route = versions.iter().filter(|version| version.accepts(attempt));
        let Some(oldest_with) = with_route.map(|version| version.number).min() else {
            continue;
        };
        match attempt.outcome {
            AttemptOutcome::Answered => {
                let newest = newest_used.entry(attempt.proxy).or_insert((0, 0.0));
                if oldest_with > newest.0 {
                    *newest = (oldest_with, attempt.ended_at);
                }
            }
            AttemptOutcome::OtherStatus(401 | 403 | 404) => {
                let Some((version, at)) = newest_used.get(&attempt.proxy).copied() else {
                    continue;
                };
                let was_restarted = record.restarts.iter().any(|restart| {
                    restart.proxy == attempt.proxy && (at..=attempt.ended_at).contains(&restart.at)
                });
                let is_kept = versions
                    .iter()
                    .filter(|v| v.number >= version)
                    .all(|v| v.accepts(attempt));
                if !was_restarted && is_kept && attempt.sent_at > at + REVERT_GRACE {
                    let (id, proxy) = (attempt.id, attempt.proxy);
                    let description =
                        format!("{id:x}: proxy {proxy} reverted to a version before {version}");
                    breaches.push(Breach::new("CONFIG", attempt.sent_at, description));
                }
            }
            _ => {}
        }
    }
}
