//! Soak tests: scenarios that are generated from seeds, with several concurrent and repeated faults, and clients that reuse
//! open connections, pipeline requests and disconnect early. The same seed always generates the same scenario.

mod report;
mod steps;

pub use report::{SoakReport, SoakResult};

use super::play::play;
use super::scenario::{Bounds, Habits, Scenario, Step, Terms};
use rand::Rng;
use std::path::Path;
use steps::StepGenerator;

/// The size of a generated system.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of control nodes.
    pub cores: usize,
    /// The number of edge machines, each with a proxy and an agent.
    pub edges: usize,
    /// The duration of the traffic, in seconds.
    pub seconds: f64,
}

/// The maximum number of edge machines that are linked through relays. More of them reach each other directly, because each
/// relay uses file descriptors of the testbed.
const MAX_LINKED_EDGES: usize = 16;
const ZONES: usize = 2;
/// The number of servers of each service in each zone.
const SERVERS: usize = 2;
/// Requests per second for each proxy.
const QUERIES_PER_EDGE: f64 = 20.0;
/// The maximum number of requests per second in total.
const MAX_QUERIES_PER_S: f64 = 400.0;
/// The time without faults at the end of the traffic.
const CALM_END_S: f64 = 5.0;
/// The time without faults at the start of the traffic.
const CALM_START_S: f64 = 0.5;
/// The number of periods in which all servers are so slow that clients disconnect while their requests run.
const SLOW_PERIODS: usize = 2;
/// The minimum share of requests of the last two seconds that must be served.
const MIN_SERVED_LAST: f64 = 0.8;

/// Generates a scenario with faults of all kinds from a seed.
pub fn draw(seed: u64, size: Size) -> Scenario {
    let mut generator = StepGenerator::new(seed, size);
    let faults = generator.rng.random_range(7..=12);
    let mut steps: Vec<Step> = (0..faults).flat_map(|_| generator.fault()).collect();
    steps.extend((0..SLOW_PERIODS).map(|_| generator.slow_period()));
    let habits = Habits {
        leave: generator.rng.random_range(0.3..0.8),
        leave_most_ms: generator.rng.random_range(30.0..700.0),
        stubborn: 0.2,
        faithful: 0.4,
        ahead: 0.1,
        ..Habits::default()
    };
    Scenario {
        habits,
        steps,
        ..scenario_without_steps(seed, size)
    }
}

/// The number of routes in each configuration of a storm that receive no requests.
const FILLER_ROUTES: usize = 600;
/// Generates a scenario of configuration storms from a seed: hundreds of changes, with added routes that are probed
/// immediately, together with races, invalid texts and a credential that is removed and restored. Meanwhile processes are
/// throttled, killed, terminated, reloaded, stopped and cut off.
pub fn draw_storm(seed: u64, size: Size) -> Scenario {
    let mut generator = StepGenerator::new(seed, size);
    let mut steps = generator.storm();
    for _ in 0..generator.rng.random_range(0..2) {
        steps.extend(generator.storm());
    }
    steps.extend(generator.contested_changes());
    for _ in 0..generator.rng.random_range(1..4) {
        steps.push(generator.throttle());
    }
    for _ in 0..generator.rng.random_range(3..8) {
        steps.extend(generator.process_fault());
    }
    if generator.rng.random_bool(0.3) {
        steps.push(generator.kill_all_control());
    }
    Scenario {
        name: format!("storm-{seed}"),
        filler_routes: FILLER_ROUTES,
        habits: Habits {
            leave: 0.1,
            stubborn: 0.2,
            faithful: 0.6,
            ahead: 0.1,
            ..Habits::default()
        },
        steps,
        ..scenario_without_steps(seed, size)
    }
}

/// The number of periods in which servers answer requests with long bodies early.
const EARLY_PERIODS: usize = 4;

/// Generates a scenario of long bodies from a seed: servers answer before they have read them, reset the connection or stop,
/// while processes are killed, terminated, reloaded, stopped and cut off.
pub fn draw_long_bodies(seed: u64, size: Size) -> Scenario {
    let mut generator = StepGenerator::new(seed, size);
    let mut steps: Vec<Step> = (0..EARLY_PERIODS)
        .map(|_| generator.early_period())
        .collect();
    for _ in 0..generator.rng.random_range(1..4) {
        steps.extend(generator.server_fault());
    }
    for _ in 0..generator.rng.random_range(2..6) {
        steps.extend(generator.process_fault());
    }
    Scenario {
        name: format!("long-bodies-{seed}"),
        habits: Habits {
            leave: 0.1,
            stubborn: 0.2,
            faithful: 0.4,
            long: 0.05,
            ..Habits::default()
        },
        steps,
        ..scenario_without_steps(seed, size)
    }
}

/// Returns a scenario of the given size without steps.
fn scenario_without_steps(seed: u64, size: Size) -> Scenario {
    Scenario {
        name: format!("soak-{seed}"),
        about: format!("drawn from seed {seed}"),
        seconds: size.seconds,
        cores: size.cores,
        edges: size.edges,
        spares: 0,
        zones: ZONES,
        servers: SERVERS,
        queries_per_s: (QUERIES_PER_EDGE * size.edges as f64).min(MAX_QUERIES_PER_S),
        quota_per_s: 0.0,
        hot: 1.0,
        losses: 1,
        filler_routes: 0,
        seed,
        habits: Habits::default(),
        edge_links: size.edges <= MAX_LINKED_EDGES,
        terms: Terms::default(),
        steps: Vec::new(),
        bounds: Bounds {
            served_last: Some(MIN_SERVED_LAST),
            violations: Some(0),
            agree: true,
            ..Bounds::default()
        },
    }
}

/// The kind of scenario that is generated from a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKind {
    /// Faults of all kinds: [`draw`].
    Faults,
    /// Configuration storms among faults: [`draw_storm`].
    Storms,
    /// Servers that answer long requests early, among faults: [`draw_long_bodies`].
    LongBodies,
}

impl SoakKind {
    fn draw(self, seed: u64, size: Size) -> Scenario {
        match self {
            SoakKind::Faults => draw(seed, size),
            SoakKind::Storms => draw_storm(seed, size),
            SoakKind::LongBodies => draw_long_bodies(seed, size),
        }
    }

    /// Returns the command-line option of the kind, with a leading space.
    fn option(self) -> &'static str {
        match self {
            SoakKind::Faults => "",
            SoakKind::Storms => " --storms",
            SoakKind::LongBodies => " --long-bodies",
        }
    }
}

/// Plays the scenario of a seed. A failed run leaves its logs in `folder`.
pub fn soak(kind: SoakKind, seed: u64, size: Size, folder: &Path) -> SoakReport {
    let scenario = kind.draw(seed, size);
    let _ = std::fs::remove_dir_all(folder);
    let result = match play(&scenario, folder, &|_| {}) {
        Err(error) => SoakResult::NotPlayed(error),
        Ok(outcome) => SoakResult::of_outcome(&outcome, &scenario),
    };
    match &result {
        SoakResult::Passed { .. } => {
            let _ = std::fs::remove_dir_all(folder);
        }
        // The times of the steps are needed to read the logs.
        SoakResult::Broken { .. } => {
            let _ = std::fs::write(folder.join("scenario.txt"), format!("{scenario:#?}\n"));
        }
        SoakResult::NotPlayed(_) => {}
    }
    SoakReport {
        kind,
        seed,
        size,
        step_count: scenario.steps.len(),
        folder: folder.to_path_buf(),
        result,
    }
}
