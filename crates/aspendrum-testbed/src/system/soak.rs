//! Soak: scenarios drawn from seeds, several troubles at a time and each more than once, under clients that keep using
//! open connections, send ahead and leave early. The same seed draws the same scenario.

use super::outcome::Outcome;
use super::play::play;
use super::scenario::{Bounds, Form, Habits, Scenario, Step, Terms, What};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::path::Path;

/// How large the drawn system is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Control nodes.
    pub cores: usize,
    /// Machines with a proxy and an agent.
    pub edges: usize,
    /// Of traffic.
    pub seconds: f64,
}

/// More proxies than these reach each other directly: each link between two takes descriptors of the rig.
const LINKED_EDGES: usize = 16;
const ZONES: usize = 2;
/// Of each service in each zone.
const SERVERS: usize = 2;
/// Wishes a second for each proxy, and at the most.
const QUERIES_PER_EDGE: f64 = 20.0;
const QUERIES: f64 = 400.0;
/// Troubles are over so long before the traffic's end, and begin so long after its start.
const CALM_END_S: f64 = 5.0;
const CALM_START_S: f64 = 0.5;
/// In these all servers are so slow that clients leave while their requests run.
const SLOW_SPELLS: usize = 2;
/// Of the wishes of the last two seconds, those that must be served.
const SERVED_LAST: f64 = 0.8;

/// Draws a scenario.
pub fn draw(seed: u64, size: Size) -> Scenario {
    let mut draw = Draw {
        rng: SmallRng::seed_from_u64(seed),
        size,
        core_free_s: CALM_START_S,
    };
    let troubles = draw.rng.random_range(7..=12);
    let mut steps: Vec<Step> = (0..troubles).flat_map(|_| draw.trouble()).collect();
    steps.extend((0..SLOW_SPELLS).map(|_| draw.slow_spell()));
    let habits = Habits {
        leave: draw.rng.random_range(0.3..0.8),
        leave_most_ms: draw.rng.random_range(30.0..700.0),
        stubborn: 0.2,
        faithful: 0.4,
        ahead: 0.1,
        ..Habits::default()
    };
    Scenario {
        habits,
        steps,
        ..draw_calm(seed, size)
    }
}

/// Routes in each configuration of a storm that nobody uses.
const FILLER_ROUTES: usize = 600;
/// Of changes in a storm, each so many adds a route.
const ADDS_ROUTE_EVERY: usize = 10;

/// Draws a scenario of configuration storms: hundreds of changes, with added routes that are used at once, among races,
/// invalid texts and credentials that come and go, on processes with little processor time that are killed, told to end,
/// stopped, cut off and reset meanwhile.
pub fn draw_storm(seed: u64, size: Size) -> Scenario {
    let mut draw = Draw {
        rng: SmallRng::seed_from_u64(seed),
        size,
        core_free_s: CALM_START_S,
    };
    let mut steps = draw.storm();
    for _ in 0..draw.rng.random_range(0..2) {
        steps.extend(draw.storm());
    }
    steps.extend(draw.contested_changes());
    for _ in 0..draw.rng.random_range(1..4) {
        steps.push(draw.throttled());
    }
    for _ in 0..draw.rng.random_range(3..8) {
        steps.extend(draw.process_fault());
    }
    if draw.rng.random_bool(0.3) {
        steps.push(draw.all_of_control_killed());
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
        ..draw_calm(seed, size)
    }
}

/// The system of that size, without any step.
fn draw_calm(seed: u64, size: Size) -> Scenario {
    Scenario {
        name: format!("soak-{seed}"),
        about: format!("drawn from seed {seed}"),
        seconds: size.seconds,
        cores: size.cores,
        edges: size.edges,
        spares: 0,
        zones: ZONES,
        servers: SERVERS,
        queries_per_s: (QUERIES_PER_EDGE * size.edges as f64).min(QUERIES),
        quota_per_s: 0.0,
        hot: 1.0,
        losses: 1,
        filler_routes: 0,
        seed,
        habits: Habits::default(),
        edge_links: size.edges <= LINKED_EDGES,
        terms: Terms::default(),
        steps: Vec::new(),
        bounds: Bounds {
            served_last: Some(SERVED_LAST),
            violations: Some(0),
            agree: true,
            ..Bounds::default()
        },
    }
}

struct Draw {
    rng: SmallRng,
    size: Size,
    /// From then on the next machine of control may be troubled: one at a time, and each is whole again before.
    core_free_s: f64,
}

impl Draw {
    fn trouble(&mut self) -> Vec<Step> {
        match self.rng.random_range(0..100) {
            0..=9 => self.killed(),
            10..=24 => self.told_to_end(),
            25..=34 => self.told_to_reload(),
            35..=42 => self.frozen(),
            43..=54 => self.cut(),
            55..=64 => self.core(),
            65..=74 => self.changed(),
            _ => self.servers(),
        }
    }

    /// A moment for a trouble that lasts so long.
    fn at(&mut self, lasts_s: f64) -> f64 {
        let last = self.size.seconds - CALM_END_S - lasts_s;
        self.rng
            .random_range(CALM_START_S..last.max(CALM_START_S + 0.1))
    }

    /// One to four machines at the edge, with their agents or one of the two programs alone.
    fn edges(&mut self) -> String {
        let kind = *["edge", "edge", "proxy", "agent"]
            .choose(&mut self.rng)
            .unwrap_or(&"edge");
        let first = self.rng.random_range(0..self.size.edges);
        let last = (first + self.rng.random_range(0..4)).min(self.size.edges - 1);
        format!("{kind} {first}-{last}")
    }

    fn origins(&mut self) -> String {
        let all = 2 * ZONES * SERVERS;
        let first = self.rng.random_range(0..all);
        format!("origin {first}-{}", self.rng.random_range(first..all))
    }

    fn lasting(&mut self, what: What, of: String, most_s: f64) -> Step {
        let lasts = self.rng.random_range(0.3..most_s);
        Step {
            for_s: Some(lasts),
            ..Step::new(self.at(lasts), what, of)
        }
    }

    fn killed(&mut self) -> Vec<Step> {
        let of = self.edges();
        vec![Step {
            gap_s: self.rng.random_range(0.0..0.4),
            ..self.lasting(What::Kill, of, 1.5)
        }]
    }

    /// One after the other, and now and then twice.
    fn told_to_end(&mut self) -> Vec<Step> {
        let of = self.edges();
        let gap_s = self.rng.random_range(0.0..0.7);
        // Each ends within half of its grace, if it has nothing in hand.
        let first = Step {
            gap_s,
            ..Step::new(self.at(4.0), What::Term, of)
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

    fn told_to_reload(&mut self) -> Vec<Step> {
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
            ..Step::new(self.at(2.0), What::Hup, of)
        }]
    }

    fn frozen(&mut self) -> Vec<Step> {
        let of = self.edges();
        vec![self.lasting(What::Freeze, of, 2.0)]
    }

    /// Machines at the edge from servers, from control, or from all.
    fn cut(&mut self) -> Vec<Step> {
        let of = self.edges();
        let from = match self.rng.random_range(0..3) {
            0 => self.origins(),
            1 => format!("core 0-{}", self.size.cores - 1),
            _ => String::new(),
        };
        let form = *[Form::Silent, Form::Reset, Form::Refuse]
            .choose(&mut self.rng)
            .unwrap_or(&Form::Silent);
        let one_way = self.rng.random_bool(0.2);
        vec![Step {
            from,
            form,
            one_way,
            ..self.lasting(What::Cut, of, 2.5)
        }]
    }

    /// One machine of control.
    fn core(&mut self) -> Vec<Step> {
        let of = format!("core {}", self.rng.random_range(0..self.size.cores));
        let what = *[What::Kill, What::Freeze, What::Term, What::Cut]
            .choose(&mut self.rng)
            .unwrap_or(&What::Kill);
        let step = Step {
            at_s: self.core_free_s,
            ..self.lasting(what, of, 1.5)
        };
        self.core_free_s += step.for_s.unwrap_or_default() + Terms::default().sync_s + 1.0;
        if step.at_s + CALM_END_S + 2.0 > self.size.seconds {
            return Vec::new();
        }
        vec![step]
    }

    fn changed(&mut self) -> Vec<Step> {
        let of = format!("core {}", self.rng.random_range(0..self.size.cores));
        if self.rng.random_bool(0.3) {
            return vec![Step::new(self.at(1.0), What::Move, of)];
        }
        if self.rng.random_bool(0.3) {
            let zone = format!("zone-{}", self.rng.random_range(0..ZONES));
            return vec![Step {
                zone,
                ..self.lasting(What::Evacuate, of, 3.0)
            }];
        }
        let (count, gap_s) = (
            self.rng.random_range(3..12),
            self.rng.random_range(0.05..0.3),
        );
        vec![Step {
            count,
            gap_s,
            ..Step::new(self.at(4.0), What::Changes, of)
        }]
    }

    /// Hundreds of changes, some of which add a route.
    fn storm(&mut self) -> Vec<Step> {
        let of = self.any_core();
        let count = self.rng.random_range(40..200);
        let gap_s = self.rng.random_range(0.02..0.1);
        vec![Step {
            count,
            gap_s,
            adds_route_every: ADDS_ROUTE_EVERY,
            ..Step::new(self.at(count as f64 * gap_s + 2.0), What::Changes, of)
        }]
    }

    /// Races, invalid texts, and a credential that is taken away and given back.
    fn contested_changes(&mut self) -> Vec<Step> {
        let all = format!("core 0-{}", self.size.cores - 1);
        let race = Step {
            count: self.rng.random_range(2..6),
            gap_s: self.rng.random_range(0.1..0.6),
            ..Step::new(self.at(5.0), What::Race, all)
        };
        let invalid = Step {
            count: self.rng.random_range(5..15),
            gap_s: self.rng.random_range(0.05..0.4),
            ..Step::new(self.at(6.0), What::InvalidChanges, self.any_core())
        };
        let taken = Step::new(self.at(4.0), What::TakeKey, self.any_core());
        let given = Step {
            at_s: taken.at_s + self.rng.random_range(0.5..3.0),
            ..Step::new(0.0, What::GiveKey, self.any_core())
        };
        vec![race, invalid, taken, given]
    }

    fn any_core(&mut self) -> String {
        format!("core {}", self.rng.random_range(0..self.size.cores))
    }

    /// Machines at the edge, or one of control, with a part of their processor time.
    fn throttled(&mut self) -> Step {
        let of = match self.rng.random_range(0..4) {
            0 => self.any_core(),
            1 => self.edges(),
            _ => format!("edge 0-{}", self.size.edges - 1),
        };
        Step {
            share: self.rng.random_range(0.25..0.6),
            ..self.lasting(What::Throttle, of, 6.0)
        }
    }

    fn process_fault(&mut self) -> Vec<Step> {
        match self.rng.random_range(0..6) {
            0 => self.killed(),
            1 => self.told_to_end(),
            2 => self.told_to_reload(),
            3 => self.frozen(),
            4 => self.cut(),
            _ => self.core(),
        }
    }

    fn all_of_control_killed(&mut self) -> Step {
        let all = format!("core 0-{}", self.size.cores - 1);
        self.lasting(What::Kill, all, 1.5)
    }

    fn slow_spell(&mut self) -> Step {
        let all = format!("origin 0-{}", 2 * ZONES * SERVERS - 1);
        Step {
            times: self.rng.random_range(20.0..60.0),
            ..self.lasting(What::Slow, all, 4.0)
        }
    }

    fn servers(&mut self) -> Vec<Step> {
        let of = self.origins();
        let (share, times) = (
            self.rng.random_range(0.1..0.5),
            self.rng.random_range(10.0..60.0),
        );
        let what = match self.rng.random_range(0..10) {
            0..=3 => What::Slow,
            4..=5 => What::Stall,
            6 => What::Full,
            7 => What::Hang,
            8 => What::Reset,
            _ => What::Die,
        };
        vec![Step {
            share,
            times,
            ..self.lasting(what, of, 4.0)
        }]
    }
}

/// What is drawn from a seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKind {
    /// Faults of all kinds: [`draw`].
    Faults,
    /// Configuration storms among faults: [`draw_storm`].
    Storms,
}

impl SoakKind {
    fn draw(self, seed: u64, size: Size) -> Scenario {
        match self {
            SoakKind::Faults => draw(seed, size),
            SoakKind::Storms => draw_storm(seed, size),
        }
    }

    /// The option of the command line that stands for it.
    fn option(self) -> &'static str {
        match self {
            SoakKind::Faults => "",
            SoakKind::Storms => " --storms",
        }
    }
}

/// Plays a seed. Its line, and whether all was kept; a seed that fails leaves its logs in `folder`.
pub fn soak(kind: SoakKind, seed: u64, size: Size, folder: &Path) -> (String, bool) {
    let scenario = kind.draw(seed, size);
    let _ = std::fs::remove_dir_all(folder);
    let begun = format!(
        "seed {seed}: {} cores, {} proxies, {} troubles",
        size.cores,
        size.edges,
        scenario.steps.len()
    );
    let again = format!(
        "play it again: aspendrum-testbed soak{} --seeds {seed} --cores {} --edges {} --seconds {}; its logs: {}",
        kind.option(),
        size.cores,
        size.edges,
        size.seconds,
        folder.display()
    );
    match play(&scenario, folder, &|_| {}) {
        Err(why) => (format!("{begun}; FAILED: {why}; {again}"), false),
        Ok(outcome) => {
            let broken = outcome.broken(&scenario);
            let told = told(&outcome);
            if broken.is_empty() {
                let _ = std::fs::remove_dir_all(folder);
                (format!("{begun}; {told}; kept"), true)
            } else {
                // Beside the logs, for whoever traces it: what happened when.
                let _ = std::fs::write(folder.join("scenario.txt"), format!("{scenario:#?}\n"));
                (
                    format!("{begun}; {told}; FAILED: {}; {again}", broken.join("; ")),
                    false,
                )
            }
        }
    }
}

fn told(outcome: &Outcome) -> String {
    let gone = outcome.departed();
    let (median, most) = outcome.times_in_force();
    let in_force = match outcome.in_force.len() {
        0 => String::new(),
        added => format!("; {added} routes added, in force in {median:.0}, {most:.0} ms"),
    };
    format!(
        "{} tries, served {:.2}, {} left, {} sent late, {} of {} runs went on{in_force}",
        outcome.record.attempts.len(),
        outcome.verdict.all.share(),
        gone.disconnected,
        gone.sent_late,
        gone.not_aborted,
        gone.abortable
    )
}
