//! The kinds of day entries, and the possible values of their fields.

/// A kind of day entry, with the possible values of its fields in the syntax of the bench's `kinds`.
pub(super) struct EntryKind {
    pub(super) name: &'static str,
    /// Whether the entry is planned work rather than a fault.
    pub(super) is_planned: bool,
    /// The contract that must be in force on the site.
    pub(super) contract: &'static str,
    /// The relative frequency of the kind.
    pub(super) weight: u32,
    /// For each field, the alternatives to choose from. An alternative may set several fields, or none.
    pub(super) fields: &'static [&'static [&'static str]],
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
pub(super) const KINDS: &[EntryKind] = &[
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
