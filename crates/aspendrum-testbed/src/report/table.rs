//! The terminal table of a run.

use super::Row;
use crate::run::Outcome;
use crate::scenario::Scenario;
use aspendrum_checker::limiter::{Recovery, Verdict};
use std::fmt::Write;

/// The maximum number of violations listed.
const MAX_LISTED: usize = 20;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A line of the table: a label and its value.
type Line = (String, String);

/// Formats the summary of a run and its violations.
pub fn table(scenario: &Scenario, outcome: &Outcome) -> String {
    let (row, verdict) = (Row::new(scenario, outcome), &outcome.verdict);
    let lines = query_lines(&row, verdict)
        .into_iter()
        .chain(quota_lines(&row, verdict))
        .chain(service_lines(&row))
        .chain(verdict.recoveries.iter().map(recovery_line))
        .chain(usage_lines(&row))
        .chain(verdict_lines(&outcome.violations(scenario)));
    let mut text = String::new();
    for (name, value) in lines {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{name:<36} {value}");
    }
    text
}

fn line(name: &str, value: impl ToString) -> Line {
    (name.to_string(), value.to_string())
}

fn query_lines(row: &Row, verdict: &Verdict) -> Vec<Line> {
    let fleet = format!(
        "{}, {} limiters, {:.0} s",
        row.scenario, row.limiters, row.seconds
    );
    let counts = verdict.outcomes.iter().filter(|(_, count)| *count > 0);
    let counts: Vec<String> = counts
        .map(|(kind, count)| format!("{kind:?} {count}"))
        .collect();
    vec![line("scenario", fleet), line("queries", counts.join(", "))]
}

fn quota_lines(row: &Row, verdict: &Verdict) -> Vec<Line> {
    let mut lines = vec![
        line("granted over quota", format!("{:.2}", row.over_quota)),
        line(
            "worst window over burst",
            format!("{:.2}", row.peak_over_burst),
        ),
    ];
    if row.peak_over_ceiling > 0.0 {
        let peak = format!("{:.2}", row.peak_over_ceiling);
        lines.push(line("worst window over ceiling's burst", peak));
    }
    let quota = &verdict.total_use;
    let granted = format!(
        "{:.0} units of {:.0} that had room",
        quota.granted_within_quota, quota.ideally_granted
    );
    lines.push(line("inside the quota", granted));
    let refused = format!("{:.3}", row.refused_with_room);
    lines.push(line("refused with room, of what had room", refused));
    lines
}

fn service_lines(row: &Row) -> Vec<Line> {
    let times = format!("{:.1} ms, {:.1} ms", row.p50_ms, row.p99_ms);
    let forwards = format!("{:.3}", row.forwards_per_query);
    let mut lines = vec![
        line("answered in, p50 and p99", times),
        line("forwards a query", forwards),
    ];
    if row.cold_load > 0.0 {
        let load = format!("{:.2} of what the rule allows", row.cold_load);
        lines.push(line("worst load on a cold server", load));
    }
    lines
}

fn recovery_line(recovery: &Recovery) -> Line {
    let after = recovery.time.map_or("not before the end".into(), |ms| {
        format!("after {:.1} s", ms / MILLIS_PER_SECOND)
    });
    (
        format!("recovered from fault {}", recovery.fault.name),
        after,
    )
}

fn usage_lines(row: &Row) -> Vec<Line> {
    let datagrams = format!(
        "{:.1}, {:.0} bytes",
        row.datagrams_per_limiter_s, row.bytes_per_limiter_s
    );
    vec![
        line("datagrams a limiter a second", datagrams),
        line("datagrams lost or cut off", row.datagrams_lost),
        line(
            "counter's calls a second",
            format!("{:.0}", row.counter_calls_per_s),
        ),
        line("discovery's calls", row.discovery_calls),
        line("memory a limiter", format!("{:.1} MB", row.memory_mb)),
        line(
            "processor a limiter",
            format!("{:.1} ms a second", row.cpu_ms_per_limiter_s),
        ),
    ]
}

fn verdict_lines(violations: &[String]) -> Vec<Line> {
    let verdict = match violations.len() {
        0 => "kept".to_string(),
        count => format!("{count} BROKEN"),
    };
    let listed = violations
        .iter()
        .take(MAX_LISTED)
        .map(|text| line("", text));
    std::iter::once(line("verdict", verdict))
        .chain(listed)
        .collect()
}
