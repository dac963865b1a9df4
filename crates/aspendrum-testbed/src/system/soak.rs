//! Soak tests: scenarios that are generated from seeds, with several concurrent and repeated faults, and clients that reuse
//! open connections, pipeline requests and disconnect early. The same seed always generates the same scenario.

use super::outcome::Outcome;
use super::play::play;
use super::scenario::{Bounds, CutForm, Habits, Scenario, Step, StepKind, Terms};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::path::Path;

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
    let mut generator = StepGenerator {
        rng: SmallRng::seed_from_u64(seed),
        size,
        core_free_s: CALM_START_S,
    };
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
/// One in this many changes of a storm adds a route.
const ADDS_ROUTE_EVERY: usize = 10;

/// Generates a scenario of configuration storms from a seed: hundreds of changes, with added routes that are probed
/// immediately, together with races, invalid texts and a credential that is removed and restored. Meanwhile processes are
/// throttled, killed, terminated, reloaded, stopped and cut off.
pub fn draw_storm(seed: u64, size: Size) -> Scenario {
    let mut generator = StepGenerator {
        rng: SmallRng::seed_from_u64(seed),
        size,
        core_free_s: CALM_START_S,
    };
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
    let mut generator = StepGenerator {
        rng: SmallRng::seed_from_u64(seed),
        size,
        core_free_s: CALM_START_S,
    };
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

/// Generates the steps of a scenario.
struct StepGenerator {
    rng: SmallRng,
    size: Size,
    /// The earliest time of the next fault of a control node, so that only one of them is faulty at a time and each has
    /// recovered before the next fault.
    core_free_s: f64,
}

impl StepGenerator {
    /// Generates one fault or change of any kind.
    fn fault(&mut self) -> Vec<Step> {
        match self.rng.random_range(0..100) {
            0..=9 => self.kill(),
            10..=24 => self.terminate(),
            25..=34 => self.reload(),
            35..=42 => self.freeze(),
            43..=54 => self.cut(),
            55..=64 => self.core_fault(),
            65..=74 => self.config_change(),
            _ => self.server_fault(),
        }
    }

    /// Returns a random start time for a step of the given duration, in seconds.
    fn start_s(&mut self, duration_s: f64) -> f64 {
        let last = self.size.seconds - CALM_END_S - duration_s;
        self.rng
            .random_range(CALM_START_S..last.max(CALM_START_S + 0.1))
    }

    /// Selects one to four consecutive edge machines, or only their proxies or agents.
    fn edges(&mut self) -> String {
        let kind = *["edge", "edge", "proxy", "agent"]
            .choose(&mut self.rng)
            .unwrap_or(&"edge");
        let first = self.rng.random_range(0..self.size.edges);
        let last = (first + self.rng.random_range(0..4)).min(self.size.edges - 1);
        format!("{kind} {first}-{last}")
    }

    /// Selects a range of servers.
    fn origins(&mut self) -> String {
        let all = 2 * ZONES * SERVERS;
        let first = self.rng.random_range(0..all);
        format!("origin {first}-{}", self.rng.random_range(first..all))
    }

    /// Returns a step of random start and duration.
    fn timed_step(&mut self, what: StepKind, of: String, max_duration_s: f64) -> Step {
        let duration_s = self.rng.random_range(0.3..max_duration_s);
        Step {
            for_s: Some(duration_s),
            ..Step::new(self.start_s(duration_s), what, of)
        }
    }

    fn kill(&mut self) -> Vec<Step> {
        let of = self.edges();
        vec![Step {
            gap_s: self.rng.random_range(0.0..0.4),
            ..self.timed_step(StepKind::Kill, of, 1.5)
        }]
    }

    /// Terminates edge processes one after the other, sometimes a second time while the first is still in progress.
    fn terminate(&mut self) -> Vec<Step> {
        let of = self.edges();
        let gap_s = self.rng.random_range(0.0..0.7);
        // A process without requests in flight ends within half of its grace period.
        let first = Step {
            gap_s,
            ..Step::new(self.start_s(4.0), StepKind::Term, of)
        };
        let again = Step {
            at_s: first.at_s + self.rng.random_range(0.2..2.0),
            ..first.clone()
        };
        if self.rng.random_bool(0.3) {
            vec![first, again]
        } else {
            vec![first]
        }
    }

    fn reload(&mut self) -> Vec<Step> {
        let of = if self.rng.random_bool(0.5) {
            format!("edge 0-{}", self.size.edges - 1)
        } else {
            self.edges()
        };
        let (count, gap_s) = (
            self.rng.random_range(2..6),
            self.rng.random_range(0.05..0.4),
        );
        vec![Step {
            count,
            gap_s,
            ..Step::new(self.start_s(2.0), StepKind::Hup, of)
        }]
    }

    fn freeze(&mut self) -> Vec<Step> {
        let of = self.edges();
        vec![self.timed_step(StepKind::Freeze, of, 2.0)]
    }

    /// Cuts edge machines off from servers, from control nodes, or from everything.
    fn cut(&mut self) -> Vec<Step> {
        let of = self.edges();
        let from = match self.rng.random_range(0..3) {
            0 => self.origins(),
            1 => format!("core 0-{}", self.size.cores - 1),
            _ => String::new(),
        };
        let form = *[CutForm::Silent, CutForm::Reset, CutForm::Refuse]
            .choose(&mut self.rng)
            .unwrap_or(&CutForm::Silent);
        let one_way = self.rng.random_bool(0.2);
        vec![Step {
            from,
            form,
            one_way,
            ..self.timed_step(StepKind::Cut, of, 2.5)
        }]
    }

    /// Kills, freezes, terminates or cuts off one control node. Returns no step if there is no time left to recover.
    fn core_fault(&mut self) -> Vec<Step> {
        let of = format!("core {}", self.rng.random_range(0..self.size.cores));
        let what = *[
            StepKind::Kill,
            StepKind::Freeze,
            StepKind::Term,
            StepKind::Cut,
        ]
        .choose(&mut self.rng)
        .unwrap_or(&StepKind::Kill);
        let step = Step {
            at_s: self.core_free_s,
            ..self.timed_step(what, of, 1.5)
        };
        self.core_free_s += step.for_s.unwrap_or_default() + Terms::default().sync_s + 1.0;
        if step.at_s + CALM_END_S + 2.0 > self.size.seconds {
            return Vec::new();
        }
        vec![step]
    }

    /// Changes to the configuration, or the evacuation of a zone.
    fn config_change(&mut self) -> Vec<Step> {
        let of = format!("core {}", self.rng.random_range(0..self.size.cores));
        if self.rng.random_bool(0.3) {
            return vec![Step::new(self.start_s(1.0), StepKind::Move, of)];
        }
        if self.rng.random_bool(0.3) {
            let zone = format!("zone-{}", self.rng.random_range(0..ZONES));
            return vec![Step {
                zone,
                ..self.timed_step(StepKind::Evacuate, of, 3.0)
            }];
        }
        let (count, gap_s) = (
            self.rng.random_range(3..12),
            self.rng.random_range(0.05..0.3),
        );
        vec![Step {
            count,
            gap_s,
            ..Step::new(self.start_s(4.0), StepKind::Changes, of)
        }]
    }

    /// Sends 40 to 199 changes, some of which add a route.
    fn storm(&mut self) -> Vec<Step> {
        let of = self.any_core();
        let count = self.rng.random_range(40..200);
        let gap_s = self.rng.random_range(0.02..0.1);
        vec![Step {
            count,
            gap_s,
            adds_route_every: ADDS_ROUTE_EVERY,
            ..Step::new(
                self.start_s(count as f64 * gap_s + 2.0),
                StepKind::Changes,
                of,
            )
        }]
    }

    /// Races between changes, invalid texts, and a credential that is removed and restored.
    fn contested_changes(&mut self) -> Vec<Step> {
        let all = format!("core 0-{}", self.size.cores - 1);
        let race = Step {
            count: self.rng.random_range(2..6),
            gap_s: self.rng.random_range(0.1..0.6),
            ..Step::new(self.start_s(5.0), StepKind::Race, all)
        };
        let invalid = Step {
            count: self.rng.random_range(5..15),
            gap_s: self.rng.random_range(0.05..0.4),
            ..Step::new(self.start_s(6.0), StepKind::InvalidChanges, self.any_core())
        };
        let taken = Step::new(self.start_s(4.0), StepKind::TakeKey, self.any_core());
        let given = Step {
            at_s: taken.at_s + self.rng.random_range(0.5..3.0),
            ..Step::new(0.0, StepKind::GiveKey, self.any_core())
        };
        vec![race, invalid, taken, given]
    }

    /// Selects one control node.
    fn any_core(&mut self) -> String {
        format!("core {}", self.rng.random_range(0..self.size.cores))
    }

    /// Throttles edge machines, or one control node.
    fn throttle(&mut self) -> Step {
        let of = match self.rng.random_range(0..4) {
            0 => self.any_core(),
            1 => self.edges(),
            _ => format!("edge 0-{}", self.size.edges - 1),
        };
        Step {
            share: self.rng.random_range(0.25..0.6),
            ..self.timed_step(StepKind::Throttle, of, 6.0)
        }
    }

    /// Generates a fault of edge processes or of a control node.
    fn process_fault(&mut self) -> Vec<Step> {
        match self.rng.random_range(0..6) {
            0 => self.kill(),
            1 => self.terminate(),
            2 => self.reload(),
            3 => self.freeze(),
            4 => self.cut(),
            _ => self.core_fault(),
        }
    }

    /// Kills all control nodes at the same time.
    fn kill_all_control(&mut self) -> Step {
        let all = format!("core 0-{}", self.size.cores - 1);
        self.timed_step(StepKind::Kill, all, 1.5)
    }

    /// Slows down all servers for a time.
    fn slow_period(&mut self) -> Step {
        let all = format!("origin 0-{}", 2 * ZONES * SERVERS - 1);
        Step {
            times: self.rng.random_range(20.0..60.0),
            ..self.timed_step(StepKind::Slow, all, 4.0)
        }
    }

    /// Lets some servers answer requests with long bodies before they have read the body.
    fn early_period(&mut self) -> Step {
        let of = self.origins();
        Step {
            share: self.rng.random_range(0.2..1.0),
            ..self.timed_step(StepKind::Early, of, 4.0)
        }
    }

    fn server_fault(&mut self) -> Vec<Step> {
        let of = self.origins();
        let (share, times) = (
            self.rng.random_range(0.1..0.5),
            self.rng.random_range(10.0..60.0),
        );
        let what = match self.rng.random_range(0..10) {
            0..=3 => StepKind::Slow,
            4..=5 => StepKind::Stall,
            6 => StepKind::Full,
            7 => StepKind::Hang,
            8 => StepKind::Reset,
            _ => StepKind::Die,
        };
        vec![Step {
            share,
            times,
            ..self.timed_step(what, of, 4.0)
        }]
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

/// Plays the scenario of a seed. Returns a summary line and whether all rules and bounds held. A failed run leaves its logs in
/// `folder`.
pub fn soak(kind: SoakKind, seed: u64, size: Size, folder: &Path) -> (String, bool) {
    let scenario = kind.draw(seed, size);
    let _ = std::fs::remove_dir_all(folder);
    let intro = format!(
        "seed {seed}: {} control nodes, {} proxies, {} steps",
        size.cores,
        size.edges,
        scenario.steps.len()
    );
    let rerun = format!(
        "to run it again: aspendrum-testbed soak{} --seeds {seed} --cores {} --edges {} --seconds {}; logs: {}",
        kind.option(),
        size.cores,
        size.edges,
        size.seconds,
        folder.display()
    );
    match play(&scenario, folder, &|_| {}) {
        Err(error) => (format!("{intro}; FAILED: {error}; {rerun}"), false),
        Ok(outcome) => {
            let broken = outcome.broken(&scenario);
            let summary = summary(&outcome);
            if broken.is_empty() {
                let _ = std::fs::remove_dir_all(folder);
                (format!("{intro}; {summary}; passed"), true)
            } else {
                // The times of the steps are needed to read the logs.
                let _ = std::fs::write(folder.join("scenario.txt"), format!("{scenario:#?}\n"));
                (
                    format!("{intro}; {summary}; FAILED: {}; {rerun}", broken.join("; ")),
                    false,
                )
            }
        }
    }
}

/// Summarizes the outcome of a run in one line.
fn summary(outcome: &Outcome) -> String {
    let disconnects = outcome.disconnect_counts();
    let (median, max) = outcome.times_in_force();
    let in_force = match outcome.in_force.len() {
        0 => String::new(),
        added => format!(
            "; {added} routes added, in force after {median:.0} ms (median), {max:.0} ms (maximum)"
        ),
    };
    format!(
        "{} attempts, {:.2} served, {} clients disconnected, {} of their requests sent late, {} of {} runs not aborted{in_force}",
        outcome.record.attempts.len(),
        outcome.verdict.all.share(),
        disconnects.disconnected,
        disconnects.sent_late,
        disconnects.not_aborted,
        disconnects.abortable
    )
}
