//! Formats the outcome of a system run as a table.

use super::outcome::Outcome;
use super::scenario::Scenario;
use std::fmt::Write;

/// The maximum number of failures, broken rules and violated bounds that are listed.
const MAX_LISTED: usize = 20;

/// The name and the value of a row of the table.
type Row = (String, String);

/// Returns the table of a run, followed by failures, broken rules and violated bounds.
pub fn table(s: &Scenario, o: &Outcome) -> String {
    let mut out = format!("{}: {}\n\n", s.name, s.about);
    let rows = size_rows(s, o)
        .into_iter()
        .chain(served_rows(o))
        .chain(fault_rows(o))
        .chain(configuration_rows(o))
        .chain(usage_rows(o))
        .chain(outcome_rows(o));
    for (name, value) in rows {
        // Writing to a string cannot fail, here and below.
        let _ = writeln!(out, "| {name:<45} | {value:>14} |");
    }
    let broken = o.broken(s);
    for text in broken.iter().take(MAX_LISTED) {
        let _ = writeln!(out, "broken: {text}");
    }
    out.push_str(if broken.is_empty() {
        "all bounds kept\n"
    } else {
        "bounds or rules broken\n"
    });
    out
}

fn row(name: &str, value: impl ToString) -> Row {
    (name.to_string(), value.to_string())
}

fn size_rows(s: &Scenario, o: &Outcome) -> Vec<Row> {
    vec![
        row(
            "control nodes, proxies, servers",
            format!("{}, {}, {}", s.cores, s.edges, s.origins()),
        ),
        row(
            "ready after all processes started, ms",
            format!("{:.0}", o.ready),
        ),
    ]
}

fn served_rows(o: &Outcome) -> Vec<Row> {
    let (all, once_only) = (&o.verdict.all, &o.verdict.once_only);
    let part = |part: &super::outcome::ServedPart| format!("{}, {}", part.requests, part.served);
    vec![
        row(
            "requests, served",
            format!("{}, {:.3}", all.requests, all.share()),
        ),
        row(
            "once-only requests, served",
            format!("{}, {:.3}", once_only.requests, once_only.share()),
        ),
        row("requests of the last two seconds, served", part(&o.last)),
        row(
            "the second tenant's requests, served",
            part(&o.second_tenant),
        ),
        row(
            "ran, and no client heard of it",
            o.verdict.executed_without_response,
        ),
    ]
}

fn fault_rows(o: &Outcome) -> Vec<Row> {
    let v = &o.verdict;
    let astray = ["CONFIG", "ROUTE", "EVAC"].map(|rule| v.count_breaches(rule));
    let clients = o.disconnect_counts();
    vec![
        row("doubled", v.count_breaches("TWICE")),
        row("refused, and ran", v.count_breaches("REFUSED")),
        row(
            "refused though proper, too often",
            v.count_breaches("DENIED"),
        ),
        row("astray", astray.iter().sum::<usize>()),
        row(
            "clients that left, sent 500 ms later",
            format!("{}, {}", clients.disconnected, clients.sent_late),
        ),
        row(
            "runs to be broken off, that went on",
            format!("{}, {}", clients.abortable, clients.not_aborted),
        ),
        row("violations of invariants", o.violations),
        row("lost without any fault", v.count_breaches("LOST")),
    ]
}

fn configuration_rows(o: &Outcome) -> Vec<Row> {
    let (acknowledged, slowest) = o.acknowledgements();
    let mut rows = vec![
        row(
            "configurations sent, acknowledged",
            format!("{}, {acknowledged}", o.record.versions.len()),
        ),
        row("the slowest acknowledgement, ms", format!("{slowest:.0}")),
    ];
    if !o.in_force.is_empty() {
        let (median, max) = o.times_in_force();
        rows.push(row(
            "added routes in force at the last proxy, ms",
            format!("{median:.0}, {max:.0}"),
        ));
    }
    rows
}

fn usage_rows(o: &Outcome) -> Vec<Row> {
    let usage = &o.usage;
    vec![
        row(
            "processor s of control, agents, proxies",
            format!(
                "{:.1}, {:.1}, {:.1}",
                usage.control_cpu_s, usage.agents_cpu_s, usage.proxies_cpu_s
            ),
        ),
        row(
            "KB from control to agents, peak KB of control",
            format!(
                "{}, {}",
                usage.bytes_to_agents / 1000,
                usage.control_peak_kb
            ),
        ),
        row(
            "refusals for a quota, 95th percentile, ms",
            format!("{:.1}", o.quota_refusal_p95()),
        ),
    ]
}

fn outcome_rows(o: &Outcome) -> Vec<Row> {
    let outcomes = o.verdict.outcomes.iter();
    outcomes
        .map(|(outcome, count)| row(&format!("attempts: {outcome:?}"), count))
        .collect()
}
