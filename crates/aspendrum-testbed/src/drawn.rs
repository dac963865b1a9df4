//! Generates days for the users' bench from a seed: faults of any kind at any time, concurrent and repeated, with few or
//! hundreds of configuration changes, and usually a closing fault. The same seed always generates the same day for the same
//! contracts.

mod kinds;
mod storm;

pub use storm::draw_storm_day;

use kinds::{EntryKind, KINDS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

/// The faults that may close a day.
const CLOSING_FAULTS: &[&str] = &[
    "{ kind = \"power_off_all\", down_s = 0.8 }",
    "{ kind = \"kill_all\", down_s = 1.4 }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0 }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0, how = \"timed\" }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0, how = \"oldest\" }",
    "{ kind = \"power_off_all\", down_s = 1.0, how = \"taken\" }",
    "{ kind = \"kill_all\", down_s = 0.6, how = \"timed\" }",
];

/// The length of the period in which entries begin, in seconds of traffic.
const ENTRY_PERIOD_S: f64 = 28.0;

/// The time before the first entry, in seconds of traffic.
const FIRST_ENTRY_S: f64 = 1.0;
/// The number of entries of a day.
const ENTRY_COUNT: std::ops::Range<i32> = 3..12;
/// One day in this many has a storm of changes.
const STORM_EVERY: i32 = 3;
/// The number of changes of a storm.
const STORM_CHANGES: std::ops::Range<i32> = 120..260;
/// The weight of having no closing fault, relative to a weight of 1 for each closing fault.
const NO_CLOSING_FAULT_WEIGHT: usize = 2;

/// Generates the text of an entry of the given kind.
fn draw_entry(rng: &mut SmallRng, kind: &EntryKind) -> String {
    let at = FIRST_ENTRY_S + rng.random_range(0.0..ENTRY_PERIOD_S);
    let mut entry = format!("    {{ at = {at:.2}, kind = \"{}\"", kind.name);
    for alternatives in kind.fields {
        let chosen = alternatives[rng.random_range(0..alternatives.len())];
        // Fields that an earlier alternative has set are not overwritten.
        for field in chosen.split(", ").filter(|field| !field.is_empty()) {
            let key = field.split(' ').next().unwrap_or("");
            if !entry.contains(&format!(", {key} =")) {
                // Writing to a string cannot fail, here and below.
                let _ = write!(entry, ", {field}");
            }
        }
    }
    entry + " },\n"
}

/// Returns the kinds for a site with the given contracts, each repeated according to its weight.
fn weighted_kinds(contracts: &[String]) -> Vec<&'static EntryKind> {
    let is_in_force = |kind: &&EntryKind| contracts.iter().any(|c| c == kind.contract);
    let kinds = KINDS.iter().filter(is_in_force);
    kinds
        .flat_map(|kind| std::iter::repeat_n(kind, kind.weight as usize))
        .collect()
}

/// Generates the text of a day from a seed, for a site with the given contracts.
pub fn draw_day(name: &str, seed: u64, contracts: &[String]) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let kinds = weighted_kinds(contracts);
    let (mut plan, mut faults) = (String::new(), String::new());
    for _ in 0..rng.random_range(ENTRY_COUNT) {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let entries = if kind.is_planned {
            &mut plan
        } else {
            &mut faults
        };
        entries.push_str(&draw_entry(&mut rng, kind));
    }
    if rng.random_range(0..STORM_EVERY) == 0 {
        let (count, gap) = (rng.random_range(STORM_CHANGES), 0.1);
        let _ = writeln!(
            plan,
            "    {{ at = 2.0, kind = \"config_storm\", count = {count}, gap_s = {gap} }},"
        );
    }
    day_text(name, seed, &mut rng, &plan, &faults)
}

/// Returns the text of a day with the given entries and a random closing fault or none.
fn day_text(name: &str, seed: u64, rng: &mut SmallRng, plan: &str, faults: &str) -> String {
    let closing = rng.random_range(0..CLOSING_FAULTS.len() + NO_CLOSING_FAULT_WEIGHT);
    let closing = CLOSING_FAULTS.get(closing);
    let closing = closing.map_or(String::new(), |fault| format!("closing = {fault}\n"));
    let head = format!("name = \"{name}\"\nslot = \"trouble\"\nseed = {seed}\n{closing}");
    format!("{head}plan = [\n{plan}]\nfaults = [\n{faults}]\n")
}
