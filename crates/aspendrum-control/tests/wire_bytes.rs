//! Pins the encoding of the messages between control nodes and of the stored state. It must never change: nodes of two
//! versions run side by side during a rolling update, and stored state is read by later versions.

mod pinned;

use aspendrum_consensus::acceptor::{Accepted, Acceptor};
use aspendrum_consensus::ballot::Ballot;
use aspendrum_consensus::replicated_state::{DecidedConfig, Evacuation, ReplicatedState};
use aspendrum_consensus::versions::{ConfigText, VersionTable};
use aspendrum_consensus::{DurableState, Epoch, Message, NodeId, Voters};
use aspendrum_control::connections;
use aspendrum_control::legacy;
use aspendrum_control::peer_message::{Hello, KnownNode, PeerMessage};
use aspendrum_control::proxy_table::ProxyEntry;
use aspendrum_control::store::Store;
use aspendrum_model::compression::{compress, decompress};
use aspendrum_model::hash::digest;
use aspendrum_model::message::{Envelope, ProxyEndpoint, Readiness, ToControl};
use aspendrum_model::servers::ServerInstance;
use aspendrum_net::frames;
use pinned::Pinned;
use redb::{Builder, TableDefinition};
use serde::Serialize;
use std::path::PathBuf;

/// The digest of the decompressed fixture `vault.redb`.
const VAULT_DIGEST: u64 = 13_955_477_754_930_877_098;

const TEXT: &[u8] = br#"{"gen":"00000107"}"#;

fn proxy(readiness: Readiness, is_current: bool) -> ProxyEndpoint {
    ProxyEndpoint {
        addr: "10.0.0.9:8080".parse().unwrap(),
        zone: "z1".into(),
        readiness,
        is_current,
    }
}

fn node(address: u32) -> NodeId {
    NodeId::new(address)
}

fn voters() -> Voters {
    Voters(
        [
            (node(1), 11),
            (node(2), 0),
            (node(0x0a00_0003), 0x0102_0304_0506_0708),
        ]
        .into(),
    )
}

fn epoch() -> Epoch {
    Epoch {
        number: 5,
        voters: voters(),
        previous_voters: Voters::founding(&[1, 2, 3].map(node)),
    }
}

/// Checks the frame of a message between control nodes, and that the frame decodes to the same message.
fn assert_peer_message(pinned: &mut Pinned, name: &str, message: &PeerMessage) {
    let frame = frames::encode_frame(&connections::envelope(message));
    pinned.assert_bytes(name, &frame);
    let read: Envelope<PeerMessage> = frames::read_frame(&mut frame.as_slice()).unwrap();
    let Envelope::Peer(read) = read else {
        panic!("{name}: {read:?}")
    };
    assert_eq!(format!("{read:?}"), format!("{message:?}"), "{name}");
}

#[test]
fn messages_between_control_nodes_keep_their_bytes() {
    let mut pinned = Pinned::new(
        "peer_messages.hex",
        include_str!("fixtures/peer_messages.hex"),
    );
    let hello = Hello {
        node: node(0x0a00_0001),
        zone: "z1".into(),
        disk: 77,
        is_leaving: true,
        epoch: epoch(),
        known_nodes: vec![
            KnownNode {
                node: node(2),
                zone: "z2".into(),
            },
            KnownNode {
                node: node(0x0a00_0003),
                zone: String::new(),
            },
        ],
    };
    assert_peer_message(&mut pinned, "hello", &PeerMessage::Hello(Box::new(hello)));
    assert_peer_message(
        &mut pinned,
        "heartbeat.never_polled",
        &PeerMessage::Heartbeat {
            server_list_age: None,
        },
    );
    assert_peer_message(
        &mut pinned,
        "heartbeat",
        &PeerMessage::Heartbeat {
            server_list_age: Some(700),
        },
    );
    assert_peer_message(
        &mut pinned,
        "consensus",
        &PeerMessage::Consensus(Message::Decided {
            version: 8,
            digest: 9,
        }),
    );
    assert_peer_message(
        &mut pinned,
        "consensus.nudge",
        &PeerMessage::Consensus(Message::CommitNotice),
    );
    let proxies = vec![
        ProxyEntry {
            proxy: proxy(Readiness::Closed, true),
            is_connected: false,
        },
        ProxyEntry {
            proxy: proxy(Readiness::Draining, false),
            is_connected: true,
        },
        ProxyEntry {
            proxy: proxy(Readiness::Ready, true),
            is_connected: true,
        },
    ];
    assert_peer_message(&mut pinned, "proxies", &PeerMessage::Proxies(proxies));
    let server = |is_draining: bool, slow_start_left_ms: u32| ServerInstance {
        uid: "u1".into(),
        service: "s".into(),
        addr: "10.1.2.3:443".parse().unwrap(),
        zone: "z1".into(),
        slots: 300,
        is_draining,
        slow_start_left_ms,
    };
    let list = vec![server(false, 0), server(true, 2500)];
    assert_peer_message(
        &mut pinned,
        "servers",
        &PeerMessage::Servers { age: 1200, list },
    );
    // Messages of agents are received on the same port; the first byte distinguishes them.
    let agent = frames::encode_frame(&Envelope::<PeerMessage>::Agent(ToControl::Disconnecting));
    pinned.assert_bytes("agent", &agent);
    let read: Envelope<PeerMessage> = frames::read_frame(&mut agent.as_slice()).unwrap();
    assert!(
        matches!(read, Envelope::Agent(ToControl::Disconnecting)),
        "{read:?}"
    );
    pinned.assert_complete();
}

/// A temporary directory that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path =
            std::env::temp_dir().join(format!("aspendrum-disk-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The state of a voter that has accepted an undecided configuration and the voters of the next epoch.
fn state() -> DurableState {
    let ballot = Ballot {
        counter: 3,
        node: node(2),
        incarnation: 0x0123_4500_0000,
    };
    let mut versions = VersionTable::default();
    versions.accept(
        0x0108,
        ballot,
        ConfigText {
            digest: 5,
            compressed: Some(compress(b"other")),
        },
        Some(0x0107),
    );
    versions.decide(0x0107, digest(TEXT), Some(0x0107));
    DurableState {
        replicated: replicated(),
        versions,
        disk: 77,
        is_founding_disk: false,
        epoch: epoch(),
        has_joined: true,
        successor: Acceptor {
            promised: ballot,
            accepted: Some(Accepted {
                ballot,
                value: voters(),
            }),
        },
    }
}

fn replicated() -> ReplicatedState {
    let config = DecidedConfig {
        version: 0x0107,
        compressed_text: compress(TEXT),
    };
    let evacuations = [("z1", 3, false), ("z2", 4, true)];
    let evacuations = evacuations.map(|(zone, revision, has_ended)| {
        (
            zone.to_string(),
            Evacuation {
                revision,
                has_ended,
            },
        )
    });
    ReplicatedState {
        config: Some(config),
        evacuations: evacuations.into(),
    }
}

/// An update must be able to read the database that an earlier build has written.
#[test]
fn a_database_of_an_earlier_build_is_readable() {
    let temp_dir = TempDir::new("written-before");
    // The file is 3.6 MB and mostly zeros, so the fixture contains its raw DEFLATE stream.
    let file = decompress(include_bytes!("fixtures/vault.redb.deflate")).unwrap();
    assert_eq!((file.len(), digest(&file)), (3_686_400, VAULT_DIGEST));
    std::fs::write(temp_dir.0.join("vault.redb"), file).unwrap();
    let store = Store::open(&temp_dir.0).unwrap();
    assert_eq!(store.read().unwrap(), Some(state()));
}

const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("kept");

/// Returns the keys and values in the database.
fn entries(temp_dir: &TempDir) -> Vec<(String, Vec<u8>)> {
    use redb::ReadableTable;
    let database = Builder::new().open(temp_dir.0.join("vault.redb")).unwrap();
    let table = database.begin_read().unwrap().open_table(TABLE).unwrap();
    let entries = table.iter().unwrap().map(|entry| entry.unwrap());
    entries
        .map(|(key, value)| (key.value().to_string(), value.value().to_vec()))
        .collect()
}

#[test]
fn the_database_keeps_its_file_name_table_and_key() {
    let temp_dir = TempDir::new("layout");
    let store = Store::open(&temp_dir.0).unwrap();
    assert_eq!(store.read().unwrap(), None);
    store.write(&state()).unwrap();
    drop(store);
    let mut pinned = Pinned::new("disk.hex", include_str!("fixtures/disk.hex"));
    let entries = entries(&temp_dir);
    assert_eq!(entries.len(), 1);
    pinned.assert_bytes(&entries[0].0, &entries[0].1);
    pinned.assert_complete();
}

/// The identity of a disk in the earlier formats: its generation and its id.
type EarlierDisk = (u32, u64);
/// The replicated state in the earlier formats: configuration, evacuations, voters and their disks.
type EarlierReplicated = (
    DecidedConfig,
    Vec<(String, Evacuation)>,
    Vec<u32>,
    Vec<(u32, EarlierDisk)>,
);
/// The acceptor state of the consensus instance that decided the voters in the earlier formats.
type EarlierVoterAcceptor = (u64, Option<(u64, Vec<u32>)>);

fn earlier_replicated() -> EarlierReplicated {
    let ReplicatedState {
        config,
        evacuations,
    } = replicated();
    (
        config.unwrap(),
        evacuations.into_iter().collect(),
        vec![1, 2, 3],
        vec![(1, (1, 77)), (2, (4, 78))],
    )
}

fn earlier_voter_acceptor() -> EarlierVoterAcceptor {
    (9, Some((8, vec![1, 2, 3])))
}

/// Checks that a state in an earlier format has the bytes of the fixture and decodes to `expected`, and that a database
/// in that format is readable and has the current format after a write.
fn assert_earlier_format<T: Serialize>(
    pinned: &mut Pinned,
    key: &str,
    earlier: &T,
    expected: &DurableState,
) {
    let bytes = postcard::to_allocvec(earlier).unwrap();
    pinned.assert_bytes(key, &bytes);
    let (_, decode) = legacy::FORMATS
        .iter()
        .find(|format| format.0 == key)
        .unwrap();
    assert_eq!(&decode(&bytes).unwrap(), expected, "{key}");
    let temp_dir = TempDir::new(key);
    let database = Builder::new()
        .create(temp_dir.0.join("vault.redb"))
        .unwrap();
    let write = database.begin_write().unwrap();
    write
        .open_table(TABLE)
        .unwrap()
        .insert(key, bytes.as_slice())
        .unwrap();
    write.commit().unwrap();
    drop(database);
    let store = Store::open(&temp_dir.0).unwrap();
    assert_eq!(store.read().unwrap().as_ref(), Some(expected), "{key}");
    store.write(expected).unwrap();
    drop(store);
    let names: Vec<String> = entries(&temp_dir)
        .into_iter()
        .map(|entry| entry.0)
        .collect();
    assert_eq!(names, ["state-4"], "{key}");
}

#[test]
fn disks_of_the_three_earlier_formats_are_read() {
    let mut pinned = Pinned::new(
        "earlier_disks.hex",
        include_str!("fixtures/earlier_disks.hex"),
    );
    let (disk, mut versions) = ((2u32, 77u64), VersionTable::default());
    versions.decide(0x0107, digest(TEXT), Some(0x0107));
    let third = DurableState {
        replicated: replicated(),
        versions: versions.clone(),
        disk: 77,
        is_founding_disk: true,
        epoch: Epoch {
            number: 0,
            voters: Voters::founding(&[1, 2, 3].map(node)),
            previous_voters: Voters::default(),
        },
        has_joined: true,
        successor: Acceptor::default(),
    };
    let earlier = (
        earlier_replicated(),
        versions,
        disk,
        true,
        false,
        earlier_voter_acceptor(),
    );
    assert_earlier_format(&mut pinned, "kept-3", &earlier, &third);
    // In a format without ballots, the stored configuration is imported as accepted below every ballot, not as decided.
    let mut versions = VersionTable::default();
    let accepted = ConfigText {
        digest: digest(TEXT),
        compressed: Some(compress(TEXT)),
    };
    versions.import_accepted(0x0107, digest(&compress(TEXT)), accepted);
    let replicated = ReplicatedState {
        config: None,
        ..replicated()
    };
    let second = DurableState {
        replicated,
        versions,
        ..third
    };
    let earlier = (
        earlier_replicated(),
        disk,
        false,
        true,
        earlier_voter_acceptor(),
    );
    assert_earlier_format(&mut pinned, "kept-2", &earlier, &second);
    let first = DurableState {
        is_founding_disk: false,
        has_joined: false,
        ..second
    };
    assert_earlier_format(
        &mut pinned,
        "kept",
        &(earlier_replicated(), disk, false),
        &first,
    );
    pinned.assert_complete();
}
