//! What a run came to, for people: a table on the terminal.

use crate::run::Outcome;
use crate::scenario::Scenario;
use std::fmt::Write;

/// The run's figures, and whatever it broke.
pub fn table(s: &Scenario, o: &Outcome) -> String {
    let mut out = String::new();
    let (v, seconds, n) = (&o.verdict, o.seconds(), s.limiters.count as f64);
    let mut row = |name: &str, value: String| {
        // Writing to memory does not fail.
        let _ = writeln!(out, "{name:<36} {value}");
    };
    row("scenario", format!("{}, {} limiters, {seconds:.0} s", s.name, s.limiters.count));
    let ends: Vec<String> =
        v.outcomes.iter().filter(|o| o.1 > 0).map(|(kind, n)| format!("{kind:?} {n}")).collect();
    row("queries", ends.join(", "));
    row("granted over quota", format!("{:.2}", v.whole.over_quota));
    row("worst window over burst", format!("{:.2}", v.whole.peak_over_burst));
    if v.whole.peak_over_ceiling > 0.0 {
        row("worst window over ceiling's burst", format!("{:.2}", v.whole.peak_over_ceiling));
    }
    row("inside the quota", format!("{:.0} of {:.0} asked", v.whole.inside, v.whole.asked));
    row("refused with room, of asked", format!("{:.3}", v.refused_with_room()));
    row("answered in, p50 and p99", format!("{:.1} ms, {:.1} ms", v.time(0.5), v.time(0.99)));
    row("forwards a query", format!("{:.3}", v.forwards_per_query));
    if v.cold_load > 0.0 {
        row("worst load on a cold server", format!("{:.2} of the rule's", v.cold_load));
    }
    for (trouble, after) in &v.recoveries {
        let told = after.map_or("not before the end".into(), |ms| format!("{:.1} s", ms / 1000.0));
        row(&format!("recovered from fault {}", trouble.name), told);
    }
    let d = o.traffic.datagrams;
    let per = |count: u64| count as f64 / n / seconds;
    row("datagrams a limiter a second", format!("{:.1}, {:.0} bytes", per(d.messages), per(d.bytes)));
    row("datagrams lost or cut off", format!("{}", d.lost));
    row("counter's calls a second", format!("{:.0}", o.traffic.counter.calls as f64 / seconds));
    row("discovery's calls", format!("{}", o.traffic.discovery.calls));
    if !o.memory_kb.is_empty() {
        let mean = o.memory_kb.iter().sum::<u64>() as f64 / o.memory_kb.len() as f64 / 1024.0;
        row("memory a limiter", format!("{mean:.1} MB"));
    }
    row("processor a limiter", format!("{:.1} ms a second", o.cpu_s * 1000.0 / n / seconds));
    let broken = o.broken(s);
    row(
        "verdict",
        if broken.is_empty() { "kept".into() } else { format!("BROKEN in {} ways", broken.len()) },
    );
    broken.iter().take(20).for_each(|what| row("", what.clone()));
    out
}
