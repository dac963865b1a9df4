//! Days for the users' bench drawn from a seed: any kind of trouble at any moment, several at once and more than once,
//! with few or hundreds of changes, and an end of each kind. The same seed draws the same day on the same site.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

/// A kind of entry and what its fields may be, as the bench's `kinds` words them.
struct Kind {
    name: &'static str,
    /// Planned work, or a fault.
    planned: bool,
    /// The contract that must be in force on the site.
    contract: &'static str,
    /// How often it is drawn beside the others.
    weight: u32,
    /// Each field as one of these texts.
    fields: &'static [&'static [&'static str]],
}

const fn kind(
    name: &'static str,
    planned: bool,
    weight: u32,
    fields: &'static [&'static [&'static str]],
) -> Kind {
    Kind {
        name,
        planned,
        contract: BASE,
        weight,
        fields,
    }
}

/// A kind that only some sites know.
const fn under(contract: &'static str, of: Kind) -> Kind {
    Kind { contract, ..of }
}

const BASE: &str = "base";

const FOR: &[&str] = &["for_s = 1.0", "for_s = 2.5", "for_s = 5.0", "for_s = 9.0"];
const SHARE: &[&str] = &["share = 0.1", "share = 0.3", "share = 0.6"];
const LEAVERS: &[&str] = &["share = 0.3", "share = 0.6", "share = 1.0"];
const GAP: &[&str] = &["gap_s = 0.3", "gap_s = 1.0", "gap_s = 3.0"];
const MACHINES: &[&str] = &["", "", "on = \"core\", count = 1", "count = 2"];

/// Everything that `kinds` lists for the contracts in force.
const KINDS: &[Kind] = &[
    kind(
        "hot_tenant",
        false,
        1,
        &[FOR, &["x = 4", "x = 8"], &["", "count = 2"]],
    ),
    kind(
        "srv_crash",
        false,
        2,
        &[
            FOR,
            SHARE,
            &["", "how = \"dark\"", "how = \"gone\"", "how = \"across\""],
        ],
    ),
    kind("release", true, 2, &[SHARE, GAP, &["", "x = 3"]]),
    kind(
        "scale_in",
        true,
        2,
        &[SHARE, &["", "how = \"spot\", x = 2"]],
    ),
    kind("cold_return", false, 1, &[FOR, &["", "how = \"dark\""]]),
    kind(
        "answer_lost",
        false,
        2,
        &[FOR, &["", "how = \"reset\", x = 0.05"]],
    ),
    kind(
        "garble",
        false,
        2,
        &[
            FOR,
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
            FOR,
        ],
    ),
    kind(
        "node_freeze",
        false,
        3,
        &[
            MACHINES,
            FOR,
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
            GAP,
        ],
    ),
    kind(
        "herd_kill",
        false,
        2,
        &[
            &["", "on = \"core\"", "share = 0.3"],
            &["", "how = \"power\"", "how = \"taken\""],
            FOR,
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
            FOR,
        ],
    ),
    kind(
        "after_ack_wipe",
        false,
        5,
        &[
            &["", "how = \"timed\"", "how = \"taken\"", "how = \"oldest\""],
            FOR,
        ],
    ),
    kind(
        "clock_step",
        false,
        1,
        &[
            FOR,
            &["x = 2400", "x = 30000"],
            &["", "how = \"back\"", "how = \"ahead\"", "how = \"leader\""],
        ],
    ),
    kind("zone_loss", false, 2, &[FOR, &["", "how = \"race\""]]),
    kind(
        "core_cut",
        false,
        5,
        &[
            FOR,
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
            ],
        ],
    ),
    kind(
        "node_cut",
        false,
        3,
        &[
            FOR,
            SHARE,
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
            "how = \"idle\"",
        ]],
    ),
    kind("config_race", true, 3, &[&["count = 1", "count = 4"], GAP]),
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
            GAP,
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
    kind("revoke", true, 3, &[&["count = 1", "count = 4"], GAP]),
    kind("evacuate", true, 3, &[FOR, &["", "how = \"warm\""]]),
    kind(
        "burst",
        false,
        1,
        &[&["for_s = 3.0"], &["x = 1.7", "x = 3"]],
    ),
    kind("retry_abuse", false, 1, &[FOR, &["x = 3"]]),
    // Seen only beside servers that are slower than clients wait.
    kind(
        "give_up",
        false,
        4,
        &[FOR, LEAVERS, &["", "x = 60", "x = 100", "x = 400"]],
    ),
    kind(
        "srv_slow",
        false,
        4,
        &[
            FOR,
            LEAVERS,
            &["", "x = 15", "x = 40"],
            &["", "", "how = \"all\""],
        ],
    ),
    under(
        "health",
        kind("srv_flap", false, 1, &[FOR, &["share = 0.1"], GAP]),
    ),
    under(
        "health",
        kind(
            "srv_grey",
            false,
            1,
            &[FOR, &["how = \"shed\", x = 0.4", ""]],
        ),
    ),
    under(
        "health",
        kind(
            "srv_lying_health",
            false,
            1,
            &[FOR, &["", "how = \"reset\""]],
        ),
    ),
    under(
        "pool",
        kind("idle_race", false, 1, &[FOR, &["share = 0.5, x = 320"]]),
    ),
    kind(
        "replace_with_reuse",
        false,
        3,
        &[SHARE, &["", "how = \"drain\"", "how = \"dark\""]],
    ),
    kind("scale_out", true, 1, &[&["share = 0.3"], GAP]),
    kind(
        "node_slow",
        false,
        2,
        &[MACHINES, FOR, &["x = 5", "x = 20"]],
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
    kind("disk_slow", false, 3, &[FOR, &["", "x = 100"]]),
    kind("disk_full", false, 3, &[FOR, &["", "count = 2"]]),
    kind("disk_stall", false, 3, &[FOR, &["", "count = 2"]]),
    kind("hup", true, 2, &[SHARE, GAP]),
    kind(
        "reset_conns",
        false,
        2,
        &[SHARE, &["", "on = \"core\", x = 1"]],
    ),
    kind("zone_cut", false, 2, &[FOR]),
    kind("ack_lost", false, 3, &[FOR, &["x = 0.7", "x = 1"]]),
];

const CLOSINGS: &[&str] = &[
    "{ kind = \"power_off_all\", down_s = 0.8 }",
    "{ kind = \"kill_all\", down_s = 1.4 }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0 }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0, how = \"timed\" }",
    "{ kind = \"wipe_after_ack\", down_s = 1.0, how = \"oldest\" }",
    "{ kind = \"power_off_all\", down_s = 1.0, how = \"taken\" }",
    "{ kind = \"kill_all\", down_s = 0.6, how = \"timed\" }",
];

/// Seconds of traffic in which entries begin.
const LENGTH_S: f64 = 28.0;

fn entry(rng: &mut SmallRng, of: &Kind) -> String {
    let at = 1.0 + rng.random_range(0.0..LENGTH_S);
    let mut out = format!("    {{ at = {at:.2}, kind = \"{}\"", of.name);
    for choices in of.fields {
        let chosen = choices[rng.random_range(0..choices.len())];
        // A field that an earlier choice named already stays as it is.
        for field in chosen.split(", ").filter(|f| !f.is_empty()) {
            let key = field.split(' ').next().unwrap_or("");
            if !out.contains(&format!(", {key} =")) {
                // Writing to memory does not fail.
                let _ = write!(out, ", {field}");
            }
        }
    }
    out + " },\n"
}

/// The text of the day with that seed, on a site with these contracts.
pub fn day(name: &str, seed: u64, contracts: &[String]) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    let known = KINDS
        .iter()
        .filter(|k| contracts.iter().any(|c| c == k.contract));
    let pool: Vec<&Kind> = known
        .flat_map(|k| std::iter::repeat_n(k, k.weight as usize))
        .collect();
    let (mut plan, mut faults) = (String::new(), String::new());
    for _ in 0..rng.random_range(3..12) {
        let drawn = pool[rng.random_range(0..pool.len())];
        let into = if drawn.planned {
            &mut plan
        } else {
            &mut faults
        };
        into.push_str(&entry(&mut rng, drawn));
    }
    // One in three is a day of hundreds of changes.
    if rng.random_range(0..3) == 0 {
        let (count, gap) = (rng.random_range(120..260), 0.1);
        let _ = writeln!(
            plan,
            "    {{ at = 2.0, kind = \"config_storm\", count = {count}, gap_s = {gap} }},"
        );
    }
    let closing = CLOSINGS.get(rng.random_range(0..CLOSINGS.len() + 2));
    let closing = closing.map_or(String::new(), |c| format!("closing = {c}\n"));
    let head = format!("name = \"{name}\"\nslot = \"trouble\"\nseed = {seed}\n{closing}");
    format!("{head}plan = [\n{plan}]\nfaults = [\n{faults}]\n")
}
