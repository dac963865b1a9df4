//! Draws the faults and changes of a generated scenario.

use super::{Size, CALM_END_S, CALM_START_S, SERVERS, ZONES};
use crate::system::scenario::{CutForm, Step, StepKind, Terms};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// One in this many changes of a storm adds a route.
const ADDS_ROUTE_EVERY: usize = 10;

/// Generates the steps of a scenario.
pub(super) struct StepGenerator {
    pub(super) rng: SmallRng,
    size: Size,
    /// The earliest time of the next fault of a control node, so that only one of them is faulty at a time and each has
    /// recovered before the next fault.
    core_free_s: f64,
}

impl StepGenerator {
    pub(super) fn new(seed: u64, size: Size) -> StepGenerator {
        StepGenerator {
            rng: SmallRng::seed_from_u64(seed),
            size,
            core_free_s: CALM_START_S,
        }
    }

    /// Generates one fault or change of any kind.
    pub(super) fn fault(&mut self) -> Vec<Step> {
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
    pub(super) fn storm(&mut self) -> Vec<Step> {
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
    pub(super) fn contested_changes(&mut self) -> Vec<Step> {
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
    pub(super) fn throttle(&mut self) -> Step {
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
    pub(super) fn process_fault(&mut self) -> Vec<Step> {
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
    pub(super) fn kill_all_control(&mut self) -> Step {
        let all = format!("core 0-{}", self.size.cores - 1);
        self.timed_step(StepKind::Kill, all, 1.5)
    }

    /// Slows down all servers for a time.
    pub(super) fn slow_period(&mut self) -> Step {
        let all = format!("origin 0-{}", 2 * ZONES * SERVERS - 1);
        Step {
            times: self.rng.random_range(20.0..60.0),
            ..self.timed_step(StepKind::Slow, all, 4.0)
        }
    }

    /// Lets some servers answer requests with long bodies before they have read the body.
    pub(super) fn early_period(&mut self) -> Step {
        let of = self.origins();
        Step {
            share: self.rng.random_range(0.2..1.0),
            ..self.timed_step(StepKind::Early, of, 4.0)
        }
    }

    pub(super) fn server_fault(&mut self) -> Vec<Step> {
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
