//! Measures the overhead of one limiter: its throughput per CPU second and its added latency, relative to the pass-through
//! baseline with the same traffic over the same kind of links.

use crate::error::TestbedError;
use crate::program::Program;
use crate::report::Row;
use crate::run;
use crate::scenario::Scenario;
use std::fmt::Write;
use std::path::PathBuf;

/// Servers that answer immediately, and quotas that are never reached, so that the limiter dominates the cost.
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
/// The number of runs of the limiter, and of the baseline.
const RUNS: u64 = 2;
/// The resolution of CPU times in the kernel, in seconds. Avoids a division by zero in short runs.
const MIN_CPU_S: f64 = 0.01;

/// The measurement of one run.
struct Measurement {
    row: Row,
    queries_per_core_s: f64,
}

/// Runs the baseline and the limiter alternately, twice each, and returns a table that compares them.
///
/// # Errors
/// [`TestbedError`] if a run cannot be completed.
pub fn play(limiter: Option<PathBuf>, seconds: f64, rate: f64) -> Result<String, TestbedError> {
    let mut scenario = scenario(seconds, rate)?;
    let (mut baseline, mut limiters) = (Vec::new(), Vec::new());
    for seed in 1..=RUNS {
        scenario.seed = seed;
        scenario.limiters.pass_through = true;
        baseline.push(measure(&scenario, limiter.clone())?);
        scenario.limiters.pass_through = false;
        limiters.push(measure(&scenario, limiter.clone())?);
    }
    Ok(table(&baseline, &limiters, seconds, rate))
}

fn scenario(seconds: f64, rate: f64) -> Result<Scenario, TestbedError> {
    let mut scenario = Scenario::read(SCENARIO)?;
    scenario.seconds = seconds;
    for customers in &mut scenario.customers {
        customers.queries_per_s = rate / customers.count as f64;
    }
    Ok(scenario)
}

fn measure(scenario: &Scenario, limiter: Option<PathBuf>) -> Result<Measurement, TestbedError> {
    let program = Program::for_scenario(scenario, limiter)?;
    let folder = tempfile::tempdir().map_err(TestbedError::TemporaryDirectory)?;
    let outcome = run::play(scenario, &program, folder.path(), &|_| {})?;
    let row = Row::new(scenario, &outcome);
    let queries_per_core_s = row.queries as f64 / outcome.usage.cpu_s.max(MIN_CPU_S);
    Ok(Measurement {
        row,
        queries_per_core_s,
    })
}

fn table(baseline: &[Measurement], limiters: &[Measurement], seconds: f64, rate: f64) -> String {
    let mut text = format!("one limiter, {rate:.0} queries a second for {seconds:.0} s\n");
    let header = ["answered", "p50, ms", "p99, ms", "queries a core s", "MB"];
    write_line(&mut text, "", header.map(String::from));
    for (baseline, limiter) in baseline.iter().zip(limiters) {
        write_line(&mut text, "pass-through", cells(baseline));
        write_line(&mut text, "limiter", cells(limiter));
    }
    let ratio = |metric: fn(&Measurement) -> f64| {
        mean(limiters, metric) / mean(baseline, metric).max(f64::MIN_POSITIVE)
    };
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "limiter over pass-through, means of two runs: p50 {:.2}, p99 {:.2}, queries a core s {:.2}",
        ratio(|measurement| measurement.row.p50_ms),
        ratio(|measurement| measurement.row.p99_ms),
        ratio(|measurement| measurement.queries_per_core_s)
    );
    text
}

fn write_line(text: &mut String, name: &str, cells: [String; 5]) {
    let [answered, p50, p99, queries_per_core_s, memory] = cells;
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "{name:<14} {answered:>9} {p50:>9} {p99:>9} {queries_per_core_s:>18} {memory:>10}"
    );
}

fn cells(measurement: &Measurement) -> [String; 5] {
    let row = &measurement.row;
    [
        row.answered.to_string(),
        format!("{:.2}", row.p50_ms),
        format!("{:.2}", row.p99_ms),
        format!("{:.0}", measurement.queries_per_core_s),
        format!("{:.1}", row.memory_mb),
    ]
}

fn mean(measurements: &[Measurement], metric: fn(&Measurement) -> f64) -> f64 {
    let sum: f64 = measurements.iter().map(metric).sum();
    sum / measurements.len() as f64
}
