//! The encoding of the messages between processes of different versions. Postcard writes the index of a variant and the
//! fields of a struct in declaration order. The fixture must not change when types or fields are renamed.

use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::hash::{digest, rendezvous_owner, rendezvous_weight};
use aspendrum_model::message::{
    ControlAddress, Envelope, FromControl, ProxyEndpoint, Readiness, Revision, StateDigest,
    StateSection, ToControl,
};
use aspendrum_model::servers::ServerInstance;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::fmt::Write;

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const COMPRESSED: &str = include_str!("fixtures/packed.txt");

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn from_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Returns the bytes of the fixture line with the given name.
fn fixture_bytes(name: &str) -> Vec<u8> {
    let mut lines = MESSAGES.lines().filter_map(|line| line.split_once(' '));
    let line = lines.find(|line| line.0 == name);
    from_hex(
        line.unwrap_or_else(|| panic!("the fixture has no line {name}"))
            .1,
    )
}

/// Checks that the value is encoded to the bytes of the fixture and decoded from them.
fn check_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: T) {
    let written = postcard::to_allocvec(&value).unwrap();
    assert_eq!(
        to_hex(&written),
        to_hex(&fixture_bytes(name)),
        "{name}: {value:?}"
    );
    assert_eq!(
        postcard::from_bytes::<T>(&fixture_bytes(name)).unwrap(),
        value,
        "{name}"
    );
}

fn revision() -> Revision {
    Revision {
        config: Some(300),
        evacuation: 7,
    }
}

fn state_digest() -> StateDigest {
    StateDigest {
        revision: revision(),
        digests: [1, 0x80, 0xffff_ffff_ffff_ffff, 0],
    }
}

fn digest_of_version(version: u32) -> StateDigest {
    StateDigest {
        revision: Revision {
            config: Some(version),
            evacuation: 0,
        },
        digests: [0, 0, 5, 0],
    }
}

fn proxy(readiness: Readiness, is_current: bool) -> ProxyEndpoint {
    ProxyEndpoint {
        addr: "10.1.0.31:8206".parse().unwrap(),
        zone: "poa-a".into(),
        readiness,
        is_current,
    }
}

fn control_address() -> ControlAddress {
    ControlAddress {
        ip: "10.1.0.34".parse().unwrap(),
        zone: "cwb-a".into(),
        is_reachable: true,
    }
}

fn server() -> ServerInstance {
    ServerInstance {
        uid: "i-7".into(),
        service: "s1".into(),
        addr: "10.128.0.9:8080".parse().unwrap(),
        zone: "poa-a".into(),
        slots: 300,
        is_draining: true,
        slow_start_left_ms: 1200,
    }
}

fn sections() -> [(&'static str, StateSection); 5] {
    [
        ("config", StateSection::config(12, b"packed".to_vec())),
        (
            "evacuated",
            StateSection::EvacuatedZones {
                revision: 9,
                zones: vec!["poa-a".into(), "poa-b".into()],
            },
        ),
        (
            "servers",
            StateSection::Servers {
                age_ms: 450,
                list: vec![server()],
            },
        ),
        (
            "proxies",
            StateSection::Proxies(vec![proxy(Readiness::Ready, true)]),
        ),
        (
            "control",
            StateSection::ControlNodes(vec![control_address()]),
        ),
    ]
}

#[test]
fn message_components_keep_their_bytes() {
    check_encoding("readiness.closed", Readiness::Closed);
    check_encoding("readiness.draining", Readiness::Draining);
    check_encoding("readiness.ready", Readiness::Ready);
    check_encoding("proxy.closed", proxy(Readiness::Closed, false));
    check_encoding("proxy.draining", proxy(Readiness::Draining, true));
    check_encoding("proxy.ready", proxy(Readiness::Ready, true));
    // A revision is only sent as the beginning of a digest.
    let encoded = postcard::to_allocvec(&state_digest()).unwrap();
    let revision_bytes = fixture_bytes("revision");
    assert_eq!(encoded[..revision_bytes.len()], revision_bytes);
    check_encoding("state_digest", state_digest());
    // Versions of the program without a separate value for "none" send the same bytes.
    check_encoding("state_digest.none", StateDigest::default());
    check_encoding("state_digest.lowest", digest_of_version(0));
    check_encoding("state_digest.highest", digest_of_version(u32::MAX));
    check_encoding("control_address", control_address());
    check_encoding("server", server());
    for (name, section) in sections() {
        check_encoding(&format!("section.{name}"), section);
    }
}

#[test]
fn messages_to_an_agent_or_a_proxy_keep_their_bytes() {
    for (name, section) in sections() {
        check_encoding(
            &format!("down.update.{name}"),
            FromControl::Update {
                number: 1000,
                section,
            },
        );
    }
    let heartbeat =
        |majority_age, control_reachable, half_of_agents_isolated| FromControl::HeartbeatReply {
            sent_at_ms: 5,
            majority_age,
            decided: state_digest(),
            control_reachable,
            half_of_agents_isolated,
        };
    check_encoding(
        "down.heartbeat.confirmed",
        heartbeat(Some(1500), true, false),
    );
    check_encoding("down.heartbeat.unconfirmed", heartbeat(None, false, true));
    check_encoding("down.resync", FromControl::Resync);
}

fn messages_from_an_agent_or_a_proxy() -> [(&'static str, ToControl); 4] {
    let (host, proxy_addr, zone) = (
        "edge-1".to_string(),
        "10.1.0.31:8206".parse().unwrap(),
        "poa-a".to_string(),
    );
    [
        (
            "hello",
            ToControl::Hello {
                host,
                proxy_addr,
                zone,
            },
        ),
        (
            "heartbeat",
            ToControl::Heartbeat {
                sent_at_ms: 5,
                readiness: Readiness::Draining,
                applied: state_digest(),
            },
        ),
        ("disconnecting", ToControl::Disconnecting),
        ("applied", ToControl::Applied { number: 1000 }),
    ]
}

#[test]
fn messages_from_an_agent_or_a_proxy_keep_their_bytes() {
    for (name, message) in messages_from_an_agent_or_a_proxy() {
        check_encoding(&format!("up.{name}"), message);
    }
}

#[test]
fn envelopes_keep_their_bytes() {
    for (name, message) in messages_from_an_agent_or_a_proxy() {
        check_encoding(
            &format!("envelope.up.{name}"),
            Envelope::<()>::Agent(message),
        );
    }
    check_encoding("envelope.between.nothing", Envelope::Peer(()));
    check_encoding("envelope.between.bytes", Envelope::Peer(vec![1_u8, 2, 3]));
}

/// Guards against fixture lines that no test reads.
#[test]
fn each_line_of_the_fixture_has_its_message() {
    assert_eq!(MESSAGES.lines().count(), 36);
}

#[test]
fn section_kinds_are_stable_and_a_corrupt_configuration_is_detected() {
    let kinds: Vec<usize> = sections()
        .iter()
        .map(|(_, section)| section.kind())
        .collect();
    assert_eq!(kinds, [0, 1, 2, 3, 4]);
    assert!(sections()
        .iter()
        .all(|(_, section)| section.has_valid_checksum()));
    let damaged = StateSection::Config {
        version: 12,
        compressed_text: b"packet".to_vec(),
        checksum: digest(b"packed"),
    };
    assert!(!damaged.has_valid_checksum());
}

#[test]
fn readiness_is_ordered_from_closed_to_ready() {
    assert!(Readiness::Closed < Readiness::Draining && Readiness::Draining < Readiness::Ready);
    assert_eq!(Readiness::default(), Readiness::Closed);
    assert!(
        proxy(Readiness::Ready, false).is_ready() && !proxy(Readiness::Draining, true).is_ready()
    );
}

#[test]
fn a_revision_covers_those_that_are_newer_in_neither_component() {
    let older = [
        Revision {
            config: Some(300),
            evacuation: 7,
        },
        Revision {
            config: Some(299),
            evacuation: 7,
        },
        Revision::default(),
    ];
    assert!(older.iter().all(|other| revision().covers(other)));
    let lowest = Revision {
        config: Some(0),
        evacuation: 0,
    };
    assert!(lowest.covers(&Revision::default()) && !Revision::default().covers(&lowest));
    let newer = [
        Revision {
            config: Some(301),
            evacuation: 7,
        },
        Revision {
            config: Some(0),
            evacuation: 8,
        },
    ];
    assert!(newer.iter().all(|other| !revision().covers(other)));
}

const DIGEST: u64 = 0x963e_db87_da3f_fe7d;
const RANKS: [u64; 2] = [0x1722_dee5_0e00_c79c, 0x40ec_3339_838d_6d11];
const OWNERS: [u64; 16] = [
    10, 30, 10, 20, 10, 10, 20, 30, 30, 30, 30, 10, 30, 10, 20, 10,
];

/// Nodes of all versions must compute the same digests and the same owner of a key.
#[test]
fn digests_and_key_owners_are_stable() {
    assert_eq!(digest(b""), 0x2d06_8005_38d3_94c2);
    assert_eq!(digest(b"aspendrum"), DIGEST);
    assert_eq!([rendezvous_weight(1, 2), rendezvous_weight(2, 1)], RANKS);
    let members = || [10, 20, 30].into_iter().map(|member| (member, member));
    let owners: Vec<u64> = (0..16)
        .filter_map(|key| rendezvous_owner(key, members()))
        .collect();
    assert_eq!(owners, OWNERS);
    assert_eq!(rendezvous_owner::<u64>(1, std::iter::empty()), None);
}

/// Compressed configurations are digested and stored on disk, so the compressed form of a text must not change, and
/// texts compressed by older versions must remain readable.
#[test]
fn compressed_texts_are_stable() {
    let text = include_str!("fixtures/config.json");
    assert_eq!(to_hex(&compress(text.as_bytes())), COMPRESSED.trim());
    assert_eq!(
        decompress(&from_hex(COMPRESSED.trim())).unwrap(),
        text.as_bytes()
    );
    assert_eq!(
        (to_hex(&compress(b"")), decompress(&[0x03, 0x00])),
        ("0300".to_string(), Some(Vec::new()))
    );
    assert_eq!(decompress(b"no packed text"), None);
}
