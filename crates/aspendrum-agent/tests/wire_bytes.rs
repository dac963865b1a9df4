//! The encoding of the messages between an agent and control, its proxy and other agents. Processes are upgraded one by
//! one, so each version must be able to read the messages of the others. The fixture must not change when types are
//! renamed.

use aspendrum_gossip::view::Neighbour;
use aspendrum_gossip::GossipMessage;
use aspendrum_model::message::{
    ControlAddress, Envelope, FromControl, ProxyEndpoint, Readiness, Revision, StateDigest,
    StateSection, ToControl,
};
use aspendrum_model::servers::ServerInstance;
use aspendrum_net::frames;
use std::net::{Ipv4Addr, SocketAddrV4};

/// One line per message: the channel, a name, and the bytes in hexadecimal.
const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(hex: &str) -> Vec<u8> {
    let digits =
        |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 9), 8080)
}

fn state_digest() -> StateDigest {
    StateDigest {
        revision: Revision {
            config: Some(300),
            evacuation: 7,
        },
        digests: [1, u64::MAX, 0, 129],
    }
}

/// The messages from control to an agent, from an agent to its proxy, and in snapshots between agents.
fn messages_from_control() -> Vec<(&'static str, FromControl)> {
    let server = ServerInstance {
        uid: "i-1".into(),
        service: "s1".into(),
        addr: address(),
        zone: "poa-a".into(),
        slots: 400,
        is_draining: true,
        slow_start_left_ms: 3000,
    };
    let proxy = |readiness, is_current| ProxyEndpoint {
        addr: address(),
        zone: "poa-a".into(),
        readiness,
        is_current,
    };
    let proxies = vec![
        proxy(Readiness::Closed, false),
        proxy(Readiness::Draining, true),
        proxy(Readiness::Ready, true),
    ];
    let control = ControlAddress {
        ip: *address().ip(),
        zone: "poa-a".into(),
        is_reachable: true,
    };
    let update = |number, section| FromControl::Update { number, section };
    let heartbeat =
        |majority_age, control_reachable, half_of_agents_isolated| FromControl::HeartbeatReply {
            sent_at_ms: 300,
            majority_age,
            decided: state_digest(),
            control_reachable,
            half_of_agents_isolated,
        };
    vec![
        (
            "configuration",
            update(
                1,
                StateSection::Config {
                    version: 0xabcd,
                    compressed_text: vec![1, 2, 255],
                    checksum: u64::MAX,
                },
            ),
        ),
        (
            "evacuated_zones",
            update(
                300,
                StateSection::EvacuatedZones {
                    revision: 7,
                    zones: vec!["poa-a".into(), String::new()],
                },
            ),
        ),
        (
            "servers",
            update(
                3,
                StateSection::Servers {
                    age_ms: 1500,
                    list: vec![server],
                },
            ),
        ),
        ("proxies", update(4, StateSection::Proxies(proxies))),
        (
            "control_nodes",
            update(u64::MAX, StateSection::ControlNodes(vec![control])),
        ),
        ("heartbeat_answer", heartbeat(Some(250), true, false)),
        ("heartbeat_answer_without_age", heartbeat(None, false, true)),
        ("resync", FromControl::Resync),
    ]
}

/// The messages from a proxy to its agent and from an agent to control.
fn messages_to_control() -> Vec<(&'static str, ToControl)> {
    let heartbeat = |readiness| ToControl::Heartbeat {
        sent_at_ms: 300,
        readiness,
        applied: state_digest(),
    };
    vec![
        (
            "hello",
            ToControl::Hello {
                host: "edge-1".into(),
                proxy_addr: address(),
                zone: "poa-a".into(),
            },
        ),
        ("heartbeat_closed", heartbeat(Readiness::Closed)),
        ("heartbeat_draining", heartbeat(Readiness::Draining)),
        ("heartbeat_ready", heartbeat(Readiness::Ready)),
        ("disconnecting", ToControl::Disconnecting),
        ("applied", ToControl::Applied { number: 300 }),
    ]
}

/// The gossip datagrams between agents.
fn datagrams() -> Vec<(&'static str, GossipMessage)> {
    let neighbour = |last, age| Neighbour {
        ip: Ipv4Addr::new(10, 1, 0, last),
        age,
    };
    vec![
        (
            "shuffle",
            GossipMessage::ShuffleRequest {
                offer: vec![neighbour(1, 0), neighbour(2, 300)],
            },
        ),
        (
            "shuffle_answer",
            GossipMessage::ShuffleReply { offer: Vec::new() },
        ),
        ("question", GossipMessage::ReportRequest { sent_at: 300 }),
        (
            "majority_report",
            GossipMessage::Report {
                sent_at: 300,
                age: 250,
                decided: state_digest(),
            },
        ),
        (
            "no_majority_report",
            GossipMessage::NoReport { sent_at: u64::MAX },
        ),
    ]
}

#[test]
fn messages_keep_their_bytes() {
    let mut written = String::new();
    for (name, message) in messages_from_control() {
        written += &format!("down {name} {}\n", hex(&frames::encode_frame(&message)));
    }
    for (name, message) in messages_to_control() {
        written += &format!("to_agent {name} {}\n", hex(&frames::encode_frame(&message)));
        let envelope: Envelope = Envelope::Agent(message);
        written += &format!(
            "to_control {name} {}\n",
            hex(&frames::encode_frame(&envelope))
        );
    }
    for (name, message) in datagrams() {
        written += &format!(
            "datagram {name} {}\n",
            hex(&postcard::to_allocvec(&message).unwrap())
        );
    }
    assert_eq!(written, MESSAGES);
}

#[test]
fn messages_are_read_from_their_bytes() {
    let lines = |channel: &str| -> Vec<(String, Vec<u8>)> {
        let parts = MESSAGES
            .lines()
            .map(|line| line.splitn(3, ' ').collect::<Vec<&str>>());
        let own = parts.filter(|parts| parts[0] == channel);
        own.map(|parts| (parts[1].to_string(), bytes_of(parts[2])))
            .collect()
    };
    let read = lines("down").into_iter().map(|(name, bytes)| {
        (
            name,
            frames::read_frame::<FromControl>(&mut &bytes[..]).unwrap(),
        )
    });
    assert!(read.eq(messages_from_control()
        .into_iter()
        .map(|(name, message)| (name.to_string(), message))));
    let read = lines("to_agent").into_iter().map(|(name, bytes)| {
        (
            name,
            frames::read_frame::<ToControl>(&mut &bytes[..]).unwrap(),
        )
    });
    assert!(read.eq(messages_to_control()
        .into_iter()
        .map(|(name, message)| (name.to_string(), message))));
    let read = lines("to_control").into_iter().map(|(name, bytes)| {
        (
            name,
            frames::read_frame::<Envelope>(&mut &bytes[..]).unwrap(),
        )
    });
    assert!(read.eq(messages_to_control()
        .into_iter()
        .map(|(name, message)| (name.to_string(), Envelope::Agent(message)))));
    let read = lines("datagram")
        .into_iter()
        .map(|(name, bytes)| (name, postcard::from_bytes(&bytes).unwrap()));
    assert!(read.eq(datagrams()
        .into_iter()
        .map(|(name, message)| (name.to_string(), message))));
}

/// A snapshot is a sequence of frames that ends with the connection.
#[test]
fn a_snapshot_is_read_frame_by_frame() {
    let updates: Vec<FromControl> = messages_from_control()
        .into_iter()
        .take(5)
        .map(|(_, message)| message)
        .collect();
    let snapshot: Vec<u8> = updates.iter().flat_map(frames::encode_frame).collect();
    let mut from = &snapshot[..];
    for update in updates {
        assert_eq!(
            frames::read_frame::<FromControl>(&mut from).unwrap(),
            update
        );
    }
    assert!(frames::read_frame::<FromControl>(&mut from).is_err());
}
