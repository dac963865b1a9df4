//! `overnight SEEDS [HOURS] [CHANGES] [NODES]` simulates one night per seed and prints the combined metrics.

mod simulation;

use simulation::{Metrics, Simulation, Variant};
use std::thread;

const DEFAULT_SEEDS: f64 = 10.0;
const DEFAULT_HOURS: f64 = 8.0;
const DEFAULT_CHANGES: f64 = 300.0;
const DEFAULT_NODES: f64 = 70.0;

/// The combined results of several nights.
#[derive(Default)]
struct Totals {
    metrics: Metrics,
    /// The time from the last fault until all nodes agreed, for each night in which they converged.
    convergence_times: Vec<f64>,
    never_converged: u32,
}

impl Totals {
    fn add_night(&mut self, converged_after: Option<f64>, night: Metrics) {
        match converged_after {
            Some(time) => self.convergence_times.push(time),
            None => self.never_converged += 1,
        }
        self.add_metrics(night);
    }

    fn add(&mut self, other: Totals) {
        self.convergence_times.extend(other.convergence_times);
        self.never_converged += other.never_converged;
        self.add_metrics(other.metrics);
    }

    fn add_metrics(&mut self, other: Metrics) {
        let metrics = &mut self.metrics;
        metrics.requests += other.requests;
        metrics.rejected += other.rejected;
        metrics.violations += other.violations;
        metrics.max_staleness = metrics.max_staleness.max(other.max_staleness);
        metrics.detection_times.extend(other.detection_times);
        metrics.recovery_times.extend(other.recovery_times);
    }
}

fn percentiles(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    let at = |index: usize| times.get(index).copied().unwrap_or(f64::NAN);
    let (median, percentile_99) = (at(times.len() / 2), at(times.len() * 99 / 100));
    let max = at(times.len().saturating_sub(1));
    format!("{median:.0} (median), {percentile_99:.0} (99th percentile), {max:.0} ms (maximum)")
}

/// The command line options.
#[derive(Clone, Copy)]
struct Options {
    seeds: u64,
    hours: f64,
    changes: u32,
    nodes: usize,
}

impl Options {
    fn from_arguments() -> Options {
        let arguments: Vec<f64> = std::env::args()
            .skip(1)
            .filter_map(|argument| argument.parse().ok())
            .collect();
        let argument = |index: usize, default| arguments.get(index).copied().unwrap_or(default);
        Options {
            seeds: argument(0, DEFAULT_SEEDS) as u64,
            hours: argument(1, DEFAULT_HOURS),
            changes: argument(2, DEFAULT_CHANGES) as u32,
            nodes: argument(3, DEFAULT_NODES) as usize,
        }
    }

    /// Simulates the share of the nights that belongs to `thread` out of `threads`.
    fn simulate(&self, thread: u64, threads: u64) -> Totals {
        let mut totals = Totals::default();
        for seed in (1..=self.seeds).filter(|seed| seed % threads == thread) {
            let mut simulation = Simulation::new(self.nodes, seed, Variant::Correct);
            let converged_after = simulation.run(self.hours, self.changes);
            totals.add_night(converged_after, simulation.metrics);
        }
        totals
    }

    fn simulate_all(&self) -> Totals {
        let threads = thread::available_parallelism().map_or(1, usize::from) as u64;
        let mut totals = Totals::default();
        thread::scope(|scope| {
            let handles: Vec<_> = (0..threads)
                .map(|thread| scope.spawn(move || self.simulate(thread, threads)))
                .collect();
            for handle in handles {
                totals.add(handle.join().unwrap_or_default());
            }
        });
        totals
    }
}

fn print(options: &Options, totals: Totals) {
    let Options {
        seeds,
        hours,
        changes,
        nodes,
    } = options;
    let metrics = totals.metrics;
    println!(
        "{seeds} nights of {hours} h, {nodes} nodes, {changes} changes: {} non-idempotent requests, {} violations, \
         {:.4} rejected; longest use of a replaced route {:.0} ms; {} nights never converged",
        metrics.requests,
        metrics.violations,
        metrics.rejected as f64 / metrics.requests.max(1) as f64,
        metrics.max_staleness,
        totals.never_converged
    );
    let lines = [
        (
            "all nodes agreed after the last fault",
            totals.convergence_times,
        ),
        (
            "nodes out of sync rejected requests after",
            metrics.detection_times,
        ),
        (
            "nodes were current after the end of their fault",
            metrics.recovery_times,
        ),
    ];
    for (name, times) in lines {
        println!("{name}: {}", percentiles(times));
    }
}

fn main() {
    let options = Options::from_arguments();
    print(&options, options.simulate_all());
}
