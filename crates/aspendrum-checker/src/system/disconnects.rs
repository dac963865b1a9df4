//! The rule GONE: requests of clients that closed their connection are no longer sent, and are aborted if possible.

use super::breach::Breach;
use super::record::{Attempt, AttemptOutcome, Execution, Record};
use crate::Millis;
use std::collections::HashMap;

/// The time after a client's disconnect within which its request must no longer be sent, and a repeatable one must be
/// aborted.
const REACTION_DEADLINE: Millis = 500.0;
/// The number of requests that may reach servers after the deadline.
const MAX_SENT_LATE: usize = 3;
/// The share of abortable executions that may continue after the deadline.
const MAX_NOT_ABORTED_SHARE: f64 = 0.25;
/// With fewer abortable executions the share is not checked.
const MIN_ABORTABLE: usize = 8;

/// The requests whose clients had disconnected, and how proxies handled them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisconnectCounts {
    /// Attempts whose clients disconnected before a response.
    pub disconnected: usize,
    /// The part of these attempts that reached a server after the deadline, half a second after the disconnect.
    pub sent_late: usize,
    /// Repeatable executions that would have continued past the deadline, at servers that abort on a closed connection.
    pub abortable: usize,
    /// The part of these executions that did continue past the deadline.
    pub not_aborted: usize,
}

/// Counts the disconnected clients of proxies without a fault, and the executions of their requests.
pub fn count_disconnects(record: &Record, attempts: &HashMap<u64, &Attempt>) -> DisconnectCounts {
    let is_counted = |attempt: &Attempt| is_disconnected_without_fault(record, attempt);
    let mut counts = DisconnectCounts {
        disconnected: record
            .attempts
            .iter()
            .filter(|attempt| is_counted(attempt))
            .count(),
        ..DisconnectCounts::default()
    };
    for execution in &record.executions {
        let Some(attempt) = attempts
            .get(&execution.id)
            .filter(|attempt| is_counted(attempt))
        else {
            continue;
        };
        let deadline = attempt.ended_at + REACTION_DEADLINE;
        count_execution(
            &mut counts,
            execution,
            deadline,
            record.is_once_only(attempt.route),
        );
    }
    counts
}

fn is_disconnected_without_fault(record: &Record, attempt: &Attempt) -> bool {
    let since = attempt.sent_at - record.bounds.contact;
    let until = attempt.ended_at + REACTION_DEADLINE;
    attempt.outcome == AttemptOutcome::ClientDisconnected
        && !record.is_faulty(attempt.proxy, since, until)
}

fn count_execution(
    counts: &mut DisconnectCounts,
    execution: &Execution,
    deadline: Millis,
    is_once_only: bool,
) {
    if execution.arrived_at > deadline {
        counts.sent_late += 1;
    } else if !is_once_only && execution.aborts_on_close && execution.would_end_at > deadline {
        counts.abortable += 1;
        counts.not_aborted += usize::from(execution.ended_at > deadline);
    }
}

/// Checks the rule GONE.
pub(super) fn check_disconnects(
    record: &Record,
    attempts: &HashMap<u64, &Attempt>,
    breaches: &mut Vec<Breach>,
) {
    let counts = count_disconnects(record, attempts);
    let DisconnectCounts {
        sent_late,
        abortable,
        not_aborted,
        ..
    } = counts;
    if sent_late > MAX_SENT_LATE {
        let description = format!(
            "{sent_late} requests reached a server more than {REACTION_DEADLINE} ms after their clients disconnected"
        );
        breaches.push(Breach::new("GONE", record.to, description));
    }
    let allowed = MAX_NOT_ABORTED_SHARE * abortable as f64;
    if abortable >= MIN_ABORTABLE && not_aborted as f64 > allowed {
        let description =
            format!("{not_aborted} of {abortable} executions were not aborted after their clients disconnected");
        breaches.push(Breach::new("GONE", record.to, description));
    }
}
