//! The rules for each attempt, based on its outcome and its executions: TWICE, REFUSED, MIXED and LOST.

use super::breach::Breach;
use super::record::{Attempt, AttemptOutcome, Record};

/// Checks one attempt that ran `executions` times.
pub(super) fn check_attempt(
    record: &Record,
    attempt: &Attempt,
    executions: usize,
    breaches: &mut Vec<Breach>,
) {
    let (id, outcome) = (attempt.id, attempt.outcome);
    let mut add = |rule, at, description| breaches.push(Breach::new(rule, at, description));
    let is_once_only = record.is_once_only(attempt.route);
    let has_run = executions > 0;
    if is_once_only && executions > 1 {
        add(
            "TWICE",
            attempt.sent_at,
            format!("{id:x} ran {executions} times"),
        );
    }
    if let (true, AttemptOutcome::NotRun(status), true) = (is_once_only, outcome, has_run) {
        add(
            "REFUSED",
            attempt.sent_at,
            format!("{id:x} got {status} although it ran"),
        );
    }
    if outcome == AttemptOutcome::Foreign {
        add(
            "MIXED",
            attempt.ended_at,
            format!("{id:x} got the response of another attempt"),
        );
    }
    if outcome == AttemptOutcome::Unreached && has_run {
        let description = format!("{id:x} ran although its client could not connect");
        add("REFUSED", attempt.sent_at, description);
    }
    if is_lost(record, attempt, has_run) {
        let waited = attempt.ended_at - attempt.sent_at;
        let (request, proxy) = (attempt.request, attempt.proxy);
        let description = format!(
            "{id:x} of {request:x} at {proxy} got no response in {waited:.0} ms and ran {executions} times"
        );
        add("LOST", attempt.sent_at, description);
    }
}

/// Returns whether the connection was lost although neither a fault nor the `loss` bound excuses it.
fn is_lost(record: &Record, attempt: &Attempt, has_run: bool) -> bool {
    let bounds = &record.bounds;
    let is_counted = has_run || attempt.ended_at - attempt.sent_at > bounds.loss;
    attempt.outcome == AttemptOutcome::Lost
        && is_counted
        && !record.is_faulty(
            attempt.proxy,
            attempt.sent_at - bounds.contact,
            attempt.ended_at,
        )
}
