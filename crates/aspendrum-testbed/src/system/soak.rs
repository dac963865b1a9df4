//! Soak: scenarios drawn from seeds, several troubles at a time and each more than once, under clients that keep using
//! open connections, send ahead and leave early. The same seed draws the same scenario.

use super::play::{play, Outcome};
use super::scenario::{Bounds, Form, Habits, Scenario, Step, Terms, What};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::path::Path;

/// How large the drawn system is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub cores: usize,
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
        seed,
        habits,
        edge_links: size.edges <= LINKED_EDGES,
        terms: Terms::default(),
        steps,
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

/// Plays a seed. Its line, and whether all was kept; a seed that fails leaves its logs in `folder`.
pub fn soak(seed: u64, size: Size, folder: &Path) -> (String, bool) {
    let scenario = draw(seed, size);
    let _ = std::fs::remove_dir_all(folder);
    let begun = format!(
        "seed {seed}: {} cores, {} proxies, {} troubles",
        size.cores,
        size.edges,
        scenario.steps.len()
    );
    let again = format!(
        "play it again: aspendrum-testbed soak --seeds {seed} --cores {} --edges {} --seconds {}; its logs: {}",
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
    format!(
        "{} tries, served {:.2}, {} left, {} sent late, {} of {} runs went on",
        outcome.record.attempts.len(),
        outcome.verdict.all.share(),
        gone.disconnected,
        gone.sent_late,
        gone.not_aborted,
        gone.abortable
    )
}
