//! What one limiter costs: decisions for each second of a core, and the time it adds, against the baseline
//! that lets all in, with the same traffic through the same links in the same run.

use crate::program::Program;
use crate::report::Row;
use crate::run;
use crate::scenario::Scenario;
use std::fmt::Write;
use std::path::PathBuf;

/// Servers that answer at once, and quotas that nobody comes near: what is left is the limiter.
const SCENARIO: &str = "
name = 'bench'
about = 'one limiter in front of servers that answer at once'
seconds = 1.0
limiters = { count = 1, sockets = 1024 }
servers = { count = 4, cores = 64, queue = 1000 }
counter = { calls_per_s = 100000.0 }
groups = [{ name = 'look', repeats = 'repeatable', work_ms = 0.0, slo_s = 0.4, limit_s = 2.0 }]
plans = [{ name = 'wide', rate = 100000.0, burst = 100000.0 }]
customers = [{ count = 50, plan = 'wide', queries_per_s = 1.0 }]
";

/// Plays both in turn, twice, and tells them side by side.
pub fn play(limiter: Option<PathBuf>, seconds: f64, rate: f64) -> Result<String, String> {
    let mut s = Scenario::read(SCENARIO)?;
    s.seconds = seconds;
    for customers in &mut s.customers {
        customers.queries_per_s = rate / customers.count as f64;
    }
    let mut out = format!("one limiter, {rate:.0} queries a second for {seconds:.0} s\n");
    // Writing to memory does not fail.
    let mut row = |cells: [String; 6]| {
        let _ = writeln!(
            out,
            "{:<14} {:>9} {:>9} {:>9} {:>18} {:>10}",
            cells[0], cells[1], cells[2], cells[3], cells[4], cells[5]
        );
    };
    row([
        "",
        "answered",
        "p50, ms",
        "p99, ms",
        "queries a core s",
        "MB",
    ]
    .map(String::from));
    let mut figures = [Vec::new(), Vec::new()];
    for play in 0..2 {
        for (n, pass_through) in [true, false].into_iter().enumerate() {
            s.limiters.pass_through = pass_through;
            s.seed = 1 + play;
            let folder = tempfile::tempdir().map_err(|e| format!("a folder for the run: {e}"))?;
            let o = run::play(
                &s,
                &Program::for_scenario(&s, limiter.clone()).map_err(|e| e.to_string())?,
                folder.path(),
                &|_| {},
            )?;
            let r = Row::of(&s, &o);
            let a_core = r.queries as f64 / o.cpu_s.max(0.01);
            let name = if pass_through {
                "pass-through"
            } else {
                "limiter"
            };
            let told = [r.p50_ms, r.p99_ms].map(|ms| format!("{ms:.2}"));
            let [p50, p99] = told;
            row([
                name.into(),
                r.answered.to_string(),
                p50,
                p99,
                format!("{a_core:.0}"),
                format!("{:.1}", r.memory_mb),
            ]);
            figures[n].push([r.p50_ms, r.p99_ms, a_core]);
        }
    }
    let mean = |n: usize, of: usize| figures[n].iter().map(|f: &[f64; 3]| f[of]).sum::<f64>() / 2.0;
    let ratio = |of: usize| mean(1, of) / mean(0, of).max(f64::MIN_POSITIVE);
    let _ = writeln!(
        out,
        "limiter over pass-through, means of two plays: p50 {:.2}, p99 {:.2}, queries a core s {:.2}",
        ratio(0),
        ratio(1),
        ratio(2)
    );
    Ok(out)
}
