//! The rules about proper requests that a proxy refuses for good: DENIED, and CONFIG where a refusal shows an outdated
//! configuration.

use super::breach::Breach;
use super::record::{Attempt, AttemptOutcome, ConfigVersion, Record};
use crate::Millis;
use std::collections::HashMap;

/// So many refusals of proper requests are allowed, and one more for each so many attempts.
const ALLOWED_REFUSALS: usize = 5;
const ATTEMPTS_PER_REFUSAL: usize = 500;
/// So many are allowed to proxies that are faulty, of what all configurations of the run allow.
const ALLOWED_REFUSALS_OF_FAULTY: usize = 10;
/// A proxy that has shown a version may handle requests by an older one for so long.
const REVERT: Millis = 250.0;

/// Checks all attempts. `versions`: the configurations that may have been in force.
pub(super) fn check_refusals(
    record: &Record,
    versions: &[&ConfigVersion],
    breaches: &mut Vec<Breach>,
) {
    let refused = record.attempts.iter().filter_map(|attempt| {
        let status = refusal(attempt.outcome)?;
        Some(Refusal {
            attempt,
            status,
            is_connected: is_connected(record, attempt),
            is_owed: is_allowed_throughout(record, versions, attempt),
            is_always_allowed: versions.iter().all(|version| version.has(attempt)),
        })
    });
    let refused: Vec<Refusal<'_>> = refused.collect();
    breaches.extend(
        refused
            .iter()
            .filter_map(Refusal::by_outdated_configuration),
    );
    breaches.extend(check_denied(record, &refused));
    breaches.extend(check_denied_by_faulty(&refused));
    check_reverts(record, versions, breaches);
}

/// A refusal for good, as clients do not come again after it.
struct Refusal<'r> {
    attempt: &'r Attempt,
    status: u16,
    /// The proxy was connected.
    is_connected: bool,
    /// Every configuration that may have been in force allows the request.
    is_owed: bool,
    /// All configurations of the run allow it.
    is_always_allowed: bool,
}

fn refusal(outcome: AttemptOutcome) -> Option<u16> {
    match outcome {
        AttemptOutcome::OtherStatus(status @ 300..=499) => Some(status),
        _ => None,
    }
}

impl Refusal<'_> {
    fn shows_configuration(&self) -> bool {
        matches!(self.status, 401 | 403 | 404)
    }

    fn by_outdated_configuration(&self) -> Option<Breach> {
        if !(self.is_connected && self.is_owed && self.shows_configuration()) {
            return None;
        }
        let (id, proxy, status) = (self.attempt.id, self.attempt.proxy, self.status);
        let description =
            format!("{id:x} got {status} of {proxy}, as only an outdated version says");
        Some(Breach::new("CONFIG", self.attempt.sent_at, description))
    }
}

fn check_denied(record: &Record, refused: &[Refusal<'_>]) -> Option<Breach> {
    let denied = refused.iter().filter(|r| r.is_connected && r.is_owed);
    let denied: Vec<&Refusal<'_>> = denied.collect();
    let allowed = ALLOWED_REFUSALS + record.attempts.len() / ATTEMPTS_PER_REFUSAL;
    let first = denied.first().filter(|_| denied.len() > allowed)?;
    let description = format!(
        "{} proper requests were refused, the first with {}",
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
        .filter(|_| denied.len() > ALLOWED_REFUSALS_OF_FAULTY)?;
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

/// Whether every one of these that may have been in force at the time allows the request.
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
    may_be_in_force.peek().is_some() && may_be_in_force.all(|version| version.has(attempt))
}

/// A proxy that has served a request on a route that was added knows that version from then on, until it is started again.
fn check_reverts(record: &Record, versions: &[&ConfigVersion], breaches: &mut Vec<Breach>) {
    let mut attempts: Vec<&Attempt> = record.attempts.iter().collect();
    attempts.sort_by(|a, b| a.ended_at.total_cmp(&b.ended_at));
    // By proxy: the newest version that it has shown, and when.
    let mut shown: HashMap<usize, (u32, Millis)> = HashMap::new();
    for attempt in attempts {
        let with_route = versions.iter().filter(|version| version.has(attempt));
        let Some(oldest_with) = with_route.map(|version| version.number).min() else {
            continue;
        };
        match attempt.outcome {
            AttemptOutcome::Answered => {
                let known = shown.entry(attempt.proxy).or_insert((0, 0.0));
                if oldest_with > known.0 {
                    *known = (oldest_with, attempt.ended_at);
                }
            }
            AttemptOutcome::OtherStatus(401 | 403 | 404) => {
                let Some((version, at)) = shown.get(&attempt.proxy).copied() else {
                    continue;
                };
                let was_restarted = record.restarts.iter().any(|restart| {
                    restart.proxy == attempt.proxy && (at..=attempt.ended_at).contains(&restart.at)
                });
                let is_kept = versions
                    .iter()
                    .filter(|v| v.number >= version)
                    .all(|v| v.has(attempt));
                if !was_restarted && is_kept && attempt.sent_at > at + REVERT {
                    let (id, proxy) = (attempt.id, attempt.proxy);
                    let description =
                        format!("{id:x}: {proxy} went back behind {version}, which it had shown");
                    breaches.push(Breach::new("CONFIG", attempt.sent_at, description));
                }
            }
            _ => {}
        }
    }
}
