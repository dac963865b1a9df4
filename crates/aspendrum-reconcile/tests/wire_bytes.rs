//! Pins the digests of canonical forms. Nodes of different versions compare them during an upgrade, so they must not
//! change. `fixtures/digests.txt` contains the digests of the four sections of each case, in wire order.

use aspendrum_model::config::Config;
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{state_digest, Section, SyncStatus};

const CONFIGURATION: &str = include_str!("fixtures/configuration.json");
const DIGESTS: &str = include_str!("fixtures/digests.txt");

fn line(name: &str, state: &StateDigest) -> String {
    let digests: Vec<String> = state
        .digests
        .iter()
        .map(|digest| format!("{digest:016x}"))
        .collect();
    let revision = &state.revision;
    format!(
        "{name} {} {} {}",
        revision.config.unwrap_or(0),
        revision.evacuation,
        digests.join(" ")
    )
}

#[test]
fn digests_are_those_of_the_fixture() {
    let config = Config::read(CONFIGURATION.as_bytes()).unwrap();
    let no_tenants = {
        let (head, rest) = CONFIGURATION.split_once("\"tenants\":").unwrap();
        let (_, ports) = rest.split_once("\"ports\":").unwrap();
        Config::read(format!("{head}\"ports\":{ports}").as_bytes()).unwrap()
    };
    let zones = ["poa-a".to_string(), "poa-b".to_string()];
    let lines = [
        line("configuration", &state_digest(Some(&config), 0, &[])),
        line("without-tenants", &state_digest(Some(&no_tenants), 0, &[])),
        line(
            "one-zone-evacuated",
            &state_digest(Some(&config), 7, &zones[..1]),
        ),
        line(
            "two-zones-evacuated",
            &state_digest(Some(&config), 8, &zones),
        ),
        line("no-configuration", &state_digest(None, 0, &[])),
        line(
            "no-configuration-zone-evacuated",
            &state_digest(None, 9, &zones[..1]),
        ),
    ];
    assert_eq!(lines.join("\n") + "\n", DIGESTS);
    assert_eq!(state_digest(None, 0, &[]).revision.config, None);
    let version = state_digest(Some(&config), 0, &[]).revision.config;
    assert_eq!(version, Some(config.version));
}

#[test]
fn sections_are_in_the_order_of_the_digests() {
    let changed = |at: usize| {
        let mut digests = [0; 4];
        digests[at] = 1;
        Section::differing(
            &StateDigest::default(),
            &StateDigest {
                digests,
                ..StateDigest::default()
            },
        )
    };
    let order = [
        Section::Routes,
        Section::Services,
        Section::Tenants,
        Section::Evacuations,
    ];
    assert_eq!((0..4).flat_map(changed).collect::<Vec<_>>(), order);
}

/// Control's report lists the sections in which a node differs by these names.
#[test]
fn section_names_are_stable() {
    let names = ["routes", "services", "tenants", "evacuations"];
    assert_eq!(Section::ALL.map(Section::as_str), names);
}

/// Control's report and the logs use these names for the status of a node.
#[test]
fn status_names_are_stable() {
    let all = [
        SyncStatus::Current,
        SyncStatus::Behind,
        SyncStatus::Diverged,
        SyncStatus::Isolated,
    ];
    assert_eq!(
        all.map(SyncStatus::as_str),
        ["current", "behind", "differs", "alone"]
    );
}
