//! Days with a configuration storm during faults of control nodes.

use super::day_text;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The entries of every configuration storm, in addition to the changes. Each begins within [`STORM_SPREAD_S`] of the start of
/// the storm.
const STORM_PLAN: &[&str] = &[
    "kind = \"big_config\", count = 600",
    "kind = \"config_race\", count = 7, gap_s = 1.0",
    "kind = \"bad_config\", count = 4, gap_s = 0.7",
    "kind = \"bad_config\", count = 4, gap_s = 0.7, how = \"stale_match\"",
    "kind = \"revoke\", count = 2, gap_s = 1.5",
    "kind = \"config_change\", how = \"route\"",
];
/// The period after the start of a storm in which its entries begin, in seconds.
const STORM_SPREAD_S: f64 = 7.0;
/// The start of a storm, in seconds of traffic.
const STORM_START_S: std::ops::Range<f64> = 3.0..12.0;
/// The possible numbers of changes of a storm.
const STORM_COUNTS: &[u32] = &[80, 150, 300];
/// The possible intervals between the changes of a storm, in seconds.
const STORM_GAPS: &[&str] = &["0.05", "0.1"];
/// Faults during a storm, most of them of control nodes.
const STORM_FAULTS: &[&str] = &[
    "kind = \"core_cut\", for_s = 9.0, how = \"leader one_way\"",
    "kind = \"core_cut\", for_s = 5.0, how = \"behind\"",
    "kind = \"core_cut\", for_s = 5.0, how = \"both\"",
    "kind = \"core_cut\", for_s = 5.0, how = \"oldest reset\"",
    "kind = \"core_cut\", for_s = 2.5, how = \"lure\"",
    "kind = \"core_cut\", for_s = 5.0, how = \"relieve\"",
    "kind = \"core_cut\", for_s = 5.0, how = \"split\"",
    "kind = \"zone_cut\", for_s = 12.0",
    "kind = \"zone_cut\", for_s = 5.0",
    "kind = \"reset_conns\", on = \"core\", share = 1.0, x = 0.8, for_s = 3.0",
    "kind = \"herd_kill\", on = \"core\", for_s = 1.0, how = \"power\"",
    "kind = \"herd_kill\", on = \"core\", for_s = 1.0",
    "kind = \"node_freeze\", on = \"core\", count = 1, for_s = 5.0",
    "kind = \"node_kill\", on = \"core\", count = 1, how = \"hard\", for_s = 2.5",
    "kind = \"node_cut\", share = 0.3, for_s = 5.0",
    "kind = \"node_slow\", share = 0.3, for_s = 5.0, x = 5",
    "kind = \"disk_slow\", for_s = 5.0, x = 100",
    "kind = \"disk_stall\", for_s = 5.0",
    "kind = \"disk_full\", for_s = 5.0",
    "kind = \"clock_step\", for_s = 5.0",
];
/// Planned work during a storm.
const STORM_PLANNED_WORK: &[&str] = &[
    "kind = \"replace_core\"",
    "kind = \"replace_core\", how = \"planned\"",
    "kind = \"roll_term\", on = \"core\", count = 1",
    "kind = \"roll_term\", share = 0.5, x = 4, gap_s = 1.5",
    "kind = \"hup\", share = 0.6, gap_s = 1.0",
];
/// The number of faults during a storm.
const STORM_FAULT_COUNT: std::ops::Range<i32> = 3..7;

/// Generates the text of a day with a configuration storm during faults of control nodes.
pub fn draw_storm_day(name: &str, seed: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = rng.random_range(STORM_START_S);
    let entry = |rng: &mut SmallRng, text: &str| {
        let at = start + rng.random_range(0.0..STORM_SPREAD_S);
        format!("    {{ at = {at:.2}, {text} }},\n")
    };
    let (count, gap) = (
        STORM_COUNTS[rng.random_range(0..STORM_COUNTS.len())],
        STORM_GAPS[rng.random_range(0..STORM_GAPS.len())],
    );
    let mut plan = format!(
        "    {{ at = {start:.2}, kind = \"config_storm\", count = {count}, gap_s = {gap} }},\n"
    );
    for text in STORM_PLAN {
        plan.push_str(&entry(&mut rng, text));
    }
    if rng.random_bool(0.5) {
        let planned = STORM_PLANNED_WORK[rng.random_range(0..STORM_PLANNED_WORK.len())];
        plan.push_str(&entry(&mut rng, planned));
    }
    let mut faults = String::new();
    for _ in 0..rng.random_range(STORM_FAULT_COUNT) {
        let fault = STORM_FAULTS[rng.random_range(0..STORM_FAULTS.len())];
        faults.push_str(&entry(&mut rng, fault));
    }
    day_text(name, seed, &mut rng, &plan, &faults)
}
