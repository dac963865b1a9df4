//! Tests the day files for the users' bench, the evaluation of its reports, and the generation of days from seeds.

use aspendrum_testbed::days::{all_days, verdict, BenchVerdict, Day};
use aspendrum_testbed::drawn;
use serde_json::json;

#[test]
fn every_day_states_its_purpose_sites_and_seeds() {
    let days = all_days().unwrap();
    assert!(days.len() >= 20, "{}", days.len());
    for day in &days {
        let has_purpose = ["Point", "Incident "]
            .iter()
            .any(|prefix| day.about.starts_with(prefix));
        assert!(
            has_purpose && day.about.contains(':'),
            "{}: {}",
            day.name,
            day.about
        );
        assert!(day
            .sites
            .iter()
            .all(|s| s.starts_with("pampa-lb") || s.starts_with("tabua-sign-edge")));
    }
    for point in '1'..='5' {
        let of_points = days.iter().filter(|d| d.about.starts_with("Point"));
        let matching =
            of_points.filter(|d| d.about.split(':').next().is_some_and(|a| a.contains(point)));
        assert!(matching.count() > 0, "no day covers point {point}");
    }
    assert!(days.iter().any(|d| d.about.starts_with("Incident GONE: ")));
}

#[test]
fn a_day_without_purpose_sites_seeds_or_matching_name_is_rejected() {
    let whole = "# Point 1: a cut.\n# sites: small\n# seeds: 1 2\nname = \"cut\"\n";
    let day = Day::read("cut", whole).unwrap();
    assert_eq!(
        (day.about.as_str(), &day.sites[..], &day.seeds[..]),
        ("Point 1: a cut.", &["small".into()][..], &[1, 2][..])
    );
    for (bad, why) in [
        (whole.replace("# sites: small\n", ""), "must state"),
        (whole.replace("# seeds: 1 2\n", ""), "must state"),
        (whole.replace("# Point 1: a cut.\n", ""), "must state"),
        (whole.replace("1 2", "1 two"), "is not a number"),
        (whole.replace("\"cut\"", "\"other\""), "name"),
        (whole.replace("name =", "name"), "cut"),
    ] {
        let error = Day::read("cut", &bad).unwrap_err().to_string();
        assert!(error.contains(why), "{bad}: {error}");
    }
}

#[test]
fn a_broken_rule_a_fault_and_a_missed_gate_are_reported() {
    assert_eq!(
        verdict(&json!({"breaks": {}, "fault": null, "short": []})),
        BenchVerdict {
            text: "none".into(),
            passed: true
        }
    );
    let failed = verdict(&json!({"breaks": {"CONFIG": 3}, "fault": "an end", "short": ["served"]}));
    assert_eq!(
        failed,
        BenchVerdict {
            text: "CONFIG 3; fault: \"an end\"; gate: \"served\"".into(),
            passed: false
        }
    );
    // An incomplete report is not a pass.
    assert!(!verdict(&json!({})).passed);
}

#[test]
fn a_storm_day_has_a_storm_and_faults() {
    assert_eq!(drawn::draw_storm_day("d", 7), drawn::draw_storm_day("d", 7));
    for seed in 0..200 {
        let day: toml::Table = toml::from_str(&drawn::draw_storm_day("d", seed)).unwrap();
        let kinds = |list: &str| -> Vec<String> {
            let entries = day[list].as_array().unwrap().iter();
            entries
                .map(|entry| entry["kind"].as_str().unwrap().to_string())
                .collect()
        };
        let plan = kinds("plan");
        for kind in [
            "config_storm",
            "config_race",
            "bad_config",
            "big_config",
            "revoke",
        ] {
            assert!(plan.iter().any(|k| k == kind), "{seed}: {plan:?}");
        }
        assert!((3..7).contains(&kinds("faults").len()));
    }
}

/// Guards against generated days that are not reproducible, and against kinds that are never generated.
#[test]
fn generated_days_are_reproducible_and_cover_every_kind() {
    let all = ["base", "health", "own", "pool"].map(str::to_string);
    assert_eq!(drawn::draw_day("d", 7, &all), drawn::draw_day("d", 7, &all));
    for kind in ["srv_grey", "srv_cut"] {
        let is_absent = |seed| !drawn::draw_day("d", seed, &all[..1]).contains(kind);
        assert!((0..400).all(is_absent), "{kind} needs a contract");
    }
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..400 {
        let day: toml::Table = toml::from_str(&drawn::draw_day("d", seed, &all)).unwrap();
        for list in ["plan", "faults"] {
            for entry in day[list].as_array().unwrap() {
                kinds.insert(entry["kind"].as_str().unwrap().to_string());
            }
        }
    }
    for kind in [
        "replace_core",
        "disk_slow",
        "disk_stall",
        "disk_full",
        "ack_lost",
        "zone_cut",
        "srv_cut",
        "node_slow",
    ] {
        assert!(kinds.contains(kind), "{kind}");
    }
    assert_eq!(kinds.len(), 45, "{kinds:?}");
}
