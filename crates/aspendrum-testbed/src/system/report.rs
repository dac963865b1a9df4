//! What a run of the system came to, as a table.

use super::outcome::Outcome;
use super::scenario::Scenario;
use std::fmt::Write;

/// The table of a run.
pub fn table(s: &Scenario, o: &Outcome) -> String {
    let v = &o.verdict;
    let mut out = format!("{}: {}\n\n", s.name, s.about);
    let mut line = |name: &str, value: String| {
        // Writing to memory does not fail.
        let _ = writeln!(out, "| {name:<44} | {value:>14} |");
    };
    line(
        "machines of control, proxies, servers",
        format!("{}, {}, {}", s.cores, s.edges, s.origins()),
    );
    line(
        "ready after all processes started, ms",
        format!("{:.0}", o.ready),
    );
    line(
        "wishes, served",
        format!("{}, {:.3}", v.all.requests, v.all.share()),
    );
    line(
        "once-only wishes, served",
        format!("{}, {:.3}", v.once_only.requests, v.once_only.share()),
    );
    line(
        "wishes of the last two seconds, served",
        format!("{}, {}", o.last.requests, o.last.served),
    );
    line(
        "the second tenant's wishes, served",
        format!("{}, {}", o.second_tenant.requests, o.second_tenant.served),
    );
    line("ran, and no client heard of it", v.unreported.to_string());
    line("doubled", v.count_breaches("TWICE").to_string());
    line("refused, and ran", v.count_breaches("REFUSED").to_string());
    line(
        "astray",
        (v.count_breaches("CONFIG") + v.count_breaches("ROUTE") + v.count_breaches("EVAC"))
            .to_string(),
    );
    let gone = o.departed();
    line(
        "clients that left, sent 500 ms later",
        format!("{}, {}", gone.disconnected, gone.sent_late),
    );
    line(
        "runs to be broken off, that went on",
        format!("{}, {}", gone.abortable, gone.not_aborted),
    );
    line("violations of invariants", o.violations.to_string());
    line(
        "lost without any trouble",
        v.count_breaches("LOST").to_string(),
    );
    let (acked, slowest) = o.acknowledged();
    line(
        "configurations sent, acknowledged",
        format!("{}, {acked}", o.record.versions.len()),
    );
    line("the slowest acknowledgement, ms", format!("{slowest:.0}"));
    if !o.in_force.is_empty() {
        let (median, most) = o.times_in_force();
        line(
            "added routes in force at the last proxy, ms",
            format!("{median:.0}, {most:.0}"),
        );
    }
    let used = &o.used;
    line(
        "processor s of control, agents, proxies",
        format!(
            "{:.1}, {:.1}, {:.1}",
            used.control_cpu_s, used.agents_cpu_s, used.proxies_cpu_s
        ),
    );
    line(
        "KB from control to agents, peak KB of control",
        format!("{}, {}", used.bytes_to_agents / 1000, used.control_peak_kb),
    );
    line(
        "refusals for a quota, 95th percentile, ms",
        format!("{:.1}", o.refusals()),
    );
    for (end, n) in &v.outcomes {
        line(&format!("tries: {end:?}"), n.to_string());
    }
    let broken = o.broken(s);
    for text in broken.iter().take(20) {
        let _ = writeln!(out, "broken: {text}");
    }
    let _ = writeln!(
        out,
        "{}",
        if broken.is_empty() {
            "all bounds kept"
        } else {
            "bounds or rules broken"
        }
    );
    out
}
