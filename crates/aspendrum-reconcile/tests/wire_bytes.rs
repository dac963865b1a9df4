//! The digests of canonical forms. Nodes of different versions compare them during an upgrade, so they must not
//! change: `fixtures/digests.txt` holds the digests of the four sections of each case, in the order in which they
//! go over the wire.

use aspendrum_model::config::Config;
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{edition, Section, Standing};

const CONFIGURATION: &str = include_str!("fixtures/configuration.json");
const DIGESTS: &str = include_str!("fixtures/digests.txt");

fn line(name: &str, edition: &StateDigest) -> String {
    let digests: Vec<String> = edition
        .digests
        .iter()
        .map(|digest| format!("{digest:016x}"))
        .collect();
    let mark = &edition.revision;
    format!(
        "{name} {} {} {}",
        mark.config,
        mark.evacuation,
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
        line("configuration", &edition(Some(&config), 0, &[])),
        line("without-tenants", &edition(Some(&no_tenants), 0, &[])),
        line(
            "one-zone-evacuated",
            &edition(Some(&config), 7, &zones[..1]),
        ),
        line("two-zones-evacuated", &edition(Some(&config), 8, &zones)),
        line("no-configuration", &edition(None, 0, &[])),
        line(
            "no-configuration-zone-evacuated",
            &edition(None, 9, &zones[..1]),
        ),
    ];
    assert_eq!(lines.join("\n") + "\n", DIGESTS);
}

#[test]
fn sections_stand_in_the_order_of_the_digests() {
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

/// Control's report and the logs name a node's status by these words.
#[test]
fn the_words_for_a_status() {
    let all = [
        Standing::Current,
        Standing::Behind,
        Standing::Differs,
        Standing::Alone,
    ];
    assert_eq!(
        all.map(Standing::word),
        ["current", "behind", "differs", "alone"]
    );
}
