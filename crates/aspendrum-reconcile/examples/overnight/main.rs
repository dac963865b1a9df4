//! `overnight SEEDS [HOURS] [CHANGES] [NODES]`: nights on the cores alone, one line of what they came to.

mod nights;

use nights::{Kind, Night};
use std::thread;

/// What a lane's nights came to.
#[derive(Default)]
struct Came {
    astray: u64,
    held: u64,
    asked: u64,
    latest: f64,
    agreed: Vec<f64>,
    never: u32,
    noticed: Vec<f64>,
    mended: Vec<f64>,
}

fn main() {
    let told: Vec<f64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let number = |n: usize, default: f64| told.get(n).copied().unwrap_or(default);
    let (seeds, hours, changes) = (
        number(0, 10.0) as u64,
        number(1, 8.0),
        number(2, 300.0) as u32,
    );
    let nodes = number(3, 70.0) as usize;
    let lanes = thread::available_parallelism().map_or(1, usize::from) as u64;
    let play = |lane: u64| {
        let mut came = Came::default();
        for seed in (1..=seeds).filter(|s| s % lanes == lane) {
            let mut night = Night::new(nodes, seed, Kind::Built);
            match night.pass(hours, changes) {
                Some(ms) => came.agreed.push(ms),
                None => came.never += 1,
            }
            came.astray += night.astray;
            came.held += night.held;
            came.asked += night.asked;
            came.latest = came.latest.max(night.latest);
            came.noticed.append(&mut night.noticed);
            came.mended.append(&mut night.mended);
        }
        came
    };
    let all: Vec<_> = thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes)
            .map(|lane| scope.spawn(move || play(lane)))
            .collect();
        lanes.into_iter().filter_map(|l| l.join().ok()).collect()
    });
    let sum = |of: fn(&Came) -> u64| all.iter().map(of).sum::<u64>();
    let times = |of: fn(&Came) -> &Vec<f64>| {
        let mut all: Vec<f64> = all
            .iter()
            .flat_map(|came| of(came).iter().copied())
            .collect();
        all.sort_by(f64::total_cmp);
        let at = |n: usize| all.get(n).copied().unwrap_or(f64::NAN);
        format!(
            "{:.0} (median), {:.0} (99 of 100), {:.0} ms (most)",
            at(all.len() / 2),
            at(all.len() * 99 / 100),
            at(all.len().saturating_sub(1))
        )
    };
    println!(
        "{seeds} nights of {hours} h, {nodes} nodes, {changes} changes: {} once-only requests, {} astray, {:.4} held; \
         latest {:.0} ms after a change; {} never agreed",
        sum(|a| a.asked),
        sum(|a| a.astray),
        sum(|a| a.held) as f64 / sum(|a| a.asked).max(1) as f64,
        all.iter().map(|a| a.latest).fold(0.0, f64::max),
        sum(|a| u64::from(a.never))
    );
    println!("all agreed after the last fault: {}", times(|a| &a.agreed));
    println!(
        "held back after they began to differ: {}",
        times(|a| &a.noticed)
    );
    println!(
        "current after what kept them so was over: {}",
        times(|a| &a.mended)
    );
}
