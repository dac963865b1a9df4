//! Generates days for the users' bench from a seed: faults of any kind at any time, concurrent and repeated, with few or
//! hundreds of configuration changes, and usually a closing fault. The same seed always generates the same day for the same
//! contracts.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

/// A kind of day entry, with the possible values of its fields in the syntax of the bench's `kinds`.
struct EntryKind {
    name: &'static str,
    /// Whether the entry is planned work rather than a fault.
    is_planned: bool,
    /// The contract that must be in force on the site.
    contract: &'static str,
    /// The relative frequency of the kind.
    weight: u32,
    /// For each field, the alternatives to choose from. An alternative may set several fields, or none.
    fields: &'static [&'static [&'static str]],
}

/// Returns a kind that needs no contract beyond the base.
const fn kind(
    name: &'static str,
    is_planned: bool,
    weight: u32,
    fields: &'static [&'static [&'static str]],
) -> EntryKind {
    EntryKind {
        name,
        is_planned,
        contract: BASE,
        weight,
        fields,
    }
}

/// Restricts a kind to sites with the given contract.
const fn with_contract(contract: &'static str, kind: EntryKind) -> EntryKind {
    EntryKind { contract, ..kind }
}

/// The contract that all sites have.
const BASE: &str = "base";

const DURATIONS: &[&str] = &["for_s = 1.0", "for_s = 2.5", "for_s = 5.0", "for_s = 9.0"];
const SHARES: &[&str] = &["share = 0.1", "share = 0.3", "share = 0.6"];
const CLIENT_SHARES: &[&str] = &["share = 0.3", "share = 0.6", "share = 1.0"];
const GAPS: &[&str] = &["gap_s = 0.3", "gap_s = 1.0", "gap_s = 3.0"];
const MACHINES: &[&str] = &["", "", "on = \"core\", count = 1", "count = 2"];

/// The kinds that the bench's `kinds` lists for the supported contracts.
const KINDS: &[EntryKind] = &[
    kind(
        "hot_tenant",
        false,
        1,
        &[DURATIONS, &["x = 4", "x = 8"], &["", "count = 2"]],
    ),
    kind(
        "srv_crash",
        false,
        2,
        &[
            DURATIONS,
            SHARES,
            &["", "how = \"dark\"", "how = \"gone\"", "how = \"across\""],
        ],
    ),
    kind("release", true, 2, &[SHARES, GAPS, &["", "x = 3"]]),
    kind(
        "scale_in",
        true,
        2,
        &[
            SHARES,
            &["", "how = \"spot\", x = 2", "how = \"reclaim\", x = 2.5"],
        ],
    ),
    kind(
        "cold_return",
        false,
        1,
        &[DURATIONS, &["", "how = \"dark\""]],
    ),
    kind(
        "answer_lost",
        false,
        2,
        &[DURATIONS, &["", "how = \"reset\", x = 0.05"]],
    ),
    kind(
        "garble",
        false,
        2,
        &[
            DURATIONS,
            &[
                "",
                "how = \"extra\"",
                "how = \"extra late\"",
                "how = \"unframed\"",
                "how = \"early\"",
            ],
        ],
    ),
    kind(
        "node_kill",
        false,
        4,
        &[
            MACHINES,
            &[
                "",
                "how = \"power\"",
                "how = \"leader race drain\"",
                "how = \"meet drain\"",
                "how = \"seed\"",
                "how = \"hard\"",
            ],
            DURATIONS,
        ],
    ),
    kind(
        "node_freeze",
        false,
        3,
        &[
            MACHINES,
            DURATIONS,
            &["", "how = \"leader\"", "how = \"turn\"", "how = \"meet\""],
        ],
    ),
    kind(
        "roll_term",
        true,
        4,
        &[
            &[
                "",
                "on = \"core\", count = 1",
                "x = 4, gap_s = 4",
                "x = 3, gap_s = 1.5",
            ],
            &[
                "",
                "",
                "how = \"busy\"",
                "how = \"remove\", count = 1",
                "how = \"drain\"",
            ],
            GAPS,
        ],
    ),
    kind(
        "herd_kill",
        false,
        2,
        &[
            &["", "on = \"core\"", "share = 0.3"],
            &[
                "",
                "how = \"power\"",
                "how = \"taken\"",
                "how = \"taken all\"",
                "how = \"off\"",
            ],
            DURATIONS,
        ],
    ),
    kind(
        "after_ack_kill",
        false,
        3,
        &[
            &[
                "",
                "how = \"kill\"",
                "how = \"timed\"",
                "how = \"taken\"",
                "count = 2",
            ],
            DURATIONS,
        ],
    ),
    kind(
        "after_ack_wipe",
        false,
        5,
        &[
            &["", "how = \"timed\"", "how = \"taken\"", "how = \"oldest\""],
            DURATIONS,
        ],
    ),
    kind(
        "clock_step",
        false,
        1,
        &[
            DURATIONS,
            &["x = 2400", "x = 30000"],
            &["", "how = \"back\"", "how = \"ahead\"", "how = \"leader\""],
        ],
    ),
    kind("zone_loss", false, 2, &[DURATIONS, &["", "how = \"race\""]]),
    kind(
        "core_cut",
        false,
        5,
        &[
            DURATIONS,
            &[
                "",
                "how = \"all\"",
                "how = \"near\"",
                "how = \"oldest\"",
                "how = \"one_way\"",
                "how = \"seeds\"",
                "how = \"both\"",
                "how = \"lure\"",
                "how = \"leader race\"",
                "how = \"reset\"",
                "how = \"refuse meet\"",
                "how = \"behind\"",
                "how = \"split\"",
                "how = \"relieve\"",
            ],
        ],
    ),
    kind(
        "node_cut",
        false,
        3,
        &[
            DURATIONS,
            SHARES,
            &[
                "",
                "how = \"all\"",
                "how = \"servers\"",
                "how = \"reset\"",
                "how = \"refuse\"",
            ],
        ],
    ),
    kind(
        "config_change",
        true,
        10,
        &[&[
            "how = \"route\"",
            "how = \"weights\"",
            "how = \"timeout\"",
            "how = \"tenant\"",
            "how = \"quota\"",
            "how = \"quota down\"",
            "how = \"topup\"",
            "how = \"idle\"",
        ]],
    ),
    kind("config_race", true, 3, &[&["count = 1", "count = 4"], GAPS]),
    kind(
        "config_storm",
        true,
        2,
        &[
            &["count = 20", "count = 80"],
            &["gap_s = 0.1", "gap_s = 0.3"],
        ],
    ),
    kind("big_config", true, 1, &[&["count = 300", "count = 900"]]),
    kind(
        "bad_config",
        true,
        3,
        &[
            &["count = 3"],
            GAPS,
            &[
                "",
                "how = \"cut_short\"",
                "how = \"unknown_service\"",
                "how = \"same_place\"",
                "how = \"no_weight\"",
                "how = \"no_timeout\"",
                "how = \"old_version\"",
                "how = \"same_version\"",
                "how = \"stale_match\"",
                "how = \"shared_key\"",
            ],
        ],
    ),
    kind(
        "revoke",
        true,
        3,
        &[
            &["count = 1", "count = 4"],
            GAPS,
            &["", "", "how = \"last\""],
        ],
    ),
    kind("evacuate", true, 3, &[DURATIONS, &["", "how = \"warm\""]]),
    kind(
        "burst",
        false,
        1,
        &[&["for_s = 3.0"], &["x = 1.7", "x = 3"]],
    ),
    kind("retry_abuse", false, 1, &[DURATIONS, &["x = 3"]]),
    // Has an effect only if servers are slower than the clients' deadline.
    kind(
        "give_up",
        false,
        4,
        &[
            DURATIONS,
            CLIENT_SHARES,
            &["", "x = 60", "x = 100", "x = 400"],
        ],
    ),
    kind(
        "srv_slow",
        false,
        4,
        &[
            DURATIONS,
            CLIENT_SHARES,
            &["", "x = 15", "x = 40"],
            &["", "", "how = \"all\""],
        ],
    ),
    with_contract(
        "health",
        kind("srv_flap", false, 1, &[DURATIONS, &["share = 0.1"], GAPS]),
    ),
    with_contract(
        "health",
        kind(
            "srv_grey",
            false,
            1,
            &[
                DURATIONS,
                &[
                    "",
                    "how = \"shed\", x = 0.4",
                    "how = \"hang\"",
                    "how = \"mute\"",
                    "how = \"busy one_zone\"",
                    "how = \"slow\"",
                ],
            ],
        ),
    ),
    with_contract(
        "health",
        kind(
            "srv_lying_health",
            false,
            1,
            &[DURATIONS, &["", "how = \"reset\"", "how = \"bad\""]],
        ),
    ),
    with_contract(
        "pool",
        kind(
            "idle_race",
            false,
            1,
            &[DURATIONS, &["share = 0.5, x = 320"]],
        ),
    ),
    kind(
        "replace_with_reuse",
        false,
        3,
        &[SHARES, &["", "how = \"drain\"", "how = \"dark\""]],
    ),
    kind("scale_out", true, 1, &[&["share = 0.3"], GAPS]),
    kind(
        "node_slow",
        false,
        2,
        &[MACHINES, DURATIONS, &["x = 5", "x = 20"]],
    ),
    kind(
        "replace_core",
        true,
        6,
        &[
            &[
                "how = \"planned\"",
                "",
                "how = \"oldest\"",
                "how = \"planned oldest\"",
            ],
            &["", "x = 3"],
        ],
    ),
    kind("seed_turnover", true, 2, &[]),
    kind("disk_slow", false, 3, &[DURATIONS, &["", "x = 100"]]),
    kind("disk_full", false, 3, &[DURATIONS, &["", "count = 2"]]),
    kind("disk_stall", false, 3, &[DURATIONS, &["", "count = 2"]]),
    kind("hup", true, 2, &[SHARES, GAPS]),
    kind(
        "reset_conns",
        false,
        2,
        &[SHARES, &["", "on = \"core\", x = 1"]],
    ),
    kind("zone_cut", false, 2, &[DURATIONS]),
    with_contract(
        "own",
        kind(
            "srv_cut",
            false,
            2,
            &[
                DURATIONS,
                SHARES,
                &[
                    "",
                    "how = \"fronts\"",
                    "how = \"some\"",
                    "how = \"some lossy\"",
                    "how = \"one_way\"",
                    "how = \"reset\"",
                ],
            ],
        ),
    ),
    kind("ack_lost", false, 3, &[DURATIONS, &["x = 0.7", "x = 1"]]),
];

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
