//! Pins the encoding of each datagram between agents. Agents of different versions run side by side during an upgrade,
//! so the bytes must not change. `fixtures/datagrams.txt` contains one datagram per line in hexadecimal digits.

use aspendrum_gossip::{GossipMessage, Neighbour};
use aspendrum_model::message::{Revision, StateDigest};
use std::net::Ipv4Addr;

const DATAGRAMS: &str = include_str!("fixtures/datagrams.txt");

fn neighbours() -> Vec<Neighbour> {
    vec![
        Neighbour {
            ip: Ipv4Addr::new(10, 0, 0, 1),
            age: 0,
        },
        Neighbour {
            ip: Ipv4Addr::new(10, 2, 255, 254),
            age: 300,
        },
    ]
}

fn decided() -> StateDigest {
    let revision = Revision {
        config: Some(70_000),
        evacuation: 9,
    };
    StateDigest {
        revision,
        digests: [1, 0x0123_4567_89ab_cdef, u64::MAX, 4],
    }
}

/// One value of each variant, in the order of the fixture's lines.
fn messages() -> Vec<(&'static str, GossipMessage)> {
    vec![
        (
            "shuffle",
            GossipMessage::ShuffleRequest {
                offer: neighbours(),
            },
        ),
        (
            "shuffle-nothing",
            GossipMessage::ShuffleRequest { offer: Vec::new() },
        ),
        (
            "shuffle-reply",
            GossipMessage::ShuffleReply {
                offer: neighbours(),
            },
        ),
        (
            "question",
            GossipMessage::ReportRequest { sent_at: 1_234_567 },
        ),
        (
            "answer",
            GossipMessage::Report {
                sent_at: 1_234_567,
                age: 950,
                decided: decided(),
            },
        ),
        ("no-answer", GossipMessage::NoReport { sent_at: 1_234_567 }),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn fixture() -> Vec<(&'static str, &'static str)> {
    DATAGRAMS
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect()
}

#[test]
fn each_datagram_is_encoded_as_in_the_fixture() {
    let encoded: Vec<(&str, String)> = messages()
        .iter()
        .map(|(name, m)| (*name, hex(&postcard::to_allocvec(m).unwrap())))
        .collect();
    let expected: Vec<(&str, String)> = fixture()
        .into_iter()
        .map(|(n, hex)| (n, hex.to_string()))
        .collect();
    assert_eq!(encoded, expected);
}

#[test]
fn each_datagram_of_the_fixture_is_decoded() {
    let decoded: Vec<(&str, GossipMessage)> = fixture()
        .into_iter()
        .map(|(n, hex)| (n, postcard::from_bytes(&bytes_of(hex)).unwrap()))
        .collect();
    assert_eq!(decoded, messages());
}
