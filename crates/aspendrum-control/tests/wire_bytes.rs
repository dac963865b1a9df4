//! The encoding of what control nodes send each other and keep on disk. Nodes of two versions run side by side
//! during an update, and disks outlive it: these bytes must never change.

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

/// Of the whole file `vault.redb` in the fixture.
const VAULT_DIGEST: u64 = 13_955_477_754_930_877_098;

const TEXT: &[u8] = br#"{"gen":"00000107"}"#;

fn front(readiness: Readiness, is_current: bool) -> ProxyEndpoint {
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

/// A frame as one control node writes it to another, read by that one.
fn peer_message(pinned: &mut Pinned, name: &str, message: &PeerMessage) {
    let frame = frames::encode_frame(&connections::envelope(message));
    pinned.same_bytes(name, &frame);
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
    peer_message(&mut pinned, "hello", &PeerMessage::Hello(Box::new(hello)));
    peer_message(
        &mut pinned,
        "heartbeat.never_polled",
        &PeerMessage::Heartbeat {
            server_list_age: None,
        },
    );
    peer_message(
        &mut pinned,
        "heartbeat",
        &PeerMessage::Heartbeat {
            server_list_age: Some(700),
        },
    );
    peer_message(
        &mut pinned,
        "consensus",
        &PeerMessage::Consensus(Message::Decided {
            version: 8,
            digest: 9,
        }),
    );
    peer_message(
        &mut pinned,
        "consensus.nudge",
        &PeerMessage::Consensus(Message::CommitNotice),
    );
    let proxies = vec![
        ProxyEntry {
            proxy: front(Readiness::Closed, true),
            is_connected: false,
        },
        ProxyEntry {
            proxy: front(Readiness::Draining, false),
            is_connected: true,
        },
        ProxyEntry {
            proxy: front(Readiness::Ready, true),
            is_connected: true,
        },
    ];
    peer_message(&mut pinned, "proxies", &PeerMessage::Proxies(proxies));
    let server = |draining: bool, slow_start_left_ms: u32| ServerInstance {
        uid: "u1".into(),
        service: "s".into(),
        addr: "10.1.2.3:443".parse().unwrap(),
        zone: "z1".into(),
        slots: 300,
        draining,
        slow_start_left_ms,
    };
    let list = vec![server(false, 0), server(true, 2500)];
    peer_message(
        &mut pinned,
        "servers",
        &PeerMessage::Servers { age: 1200, list },
    );
    // What an agent says comes over the same port, told apart by the first byte.
    let agent = frames::encode_frame(&Envelope::<PeerMessage>::Agent(ToControl::Disconnecting));
    pinned.same_bytes("agent", &agent);
    let read: Envelope<PeerMessage> = frames::read_frame(&mut agent.as_slice()).unwrap();
    assert!(
        matches!(read, Envelope::Agent(ToControl::Disconnecting)),
        "{read:?}"
    );
    pinned.complete();
}

/// A folder of this test alone, gone with the value.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("aspendrum-disk-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A voter that has accepted an undecided configuration and a successor.
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
        0x0107,
    );
    versions.decide(0x0107, digest(TEXT), 0x0107);
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
        config,
        evacuations: evacuations.into(),
    }
}

/// Danger: an update cannot read the disks that it finds.
#[test]
fn a_disk_as_it_was_written_before_is_read() {
    let folder = Folder::new("written-before");
    // The file is 3.6 MB of almost nothing but zeros, so the fixture is its raw DEFLATE stream.
    let file = decompress(include_bytes!("fixtures/vault.redb.deflate")).unwrap();
    assert_eq!((file.len(), digest(&file)), (3_686_400, VAULT_DIGEST));
    std::fs::write(folder.0.join("vault.redb"), file).unwrap();
    let store = Store::open(&folder.0).unwrap();
    assert_eq!(store.read().unwrap(), Some(state()));
}

const TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("kept");

/// What is on the disk under each key.
fn keys(folder: &Folder) -> Vec<(String, Vec<u8>)> {
    use redb::ReadableTable;
    let database = Builder::new().open(folder.0.join("vault.redb")).unwrap();
    let table = database.begin_read().unwrap().open_table(TABLE).unwrap();
    let entries = table.iter().unwrap().map(|entry| entry.unwrap());
    entries
        .map(|(key, value)| (key.value().to_string(), value.value().to_vec()))
        .collect()
}

#[test]
fn the_disk_keeps_its_file_its_table_and_its_key() {
    let folder = Folder::new("layout");
    let store = Store::open(&folder.0).unwrap();
    assert_eq!(store.read().unwrap(), None);
    store.write(&state()).unwrap();
    drop(store);
    let mut pinned = Pinned::new("disk.hex", include_str!("fixtures/disk.hex"));
    let keys = keys(&folder);
    assert_eq!(keys.len(), 1);
    pinned.same_bytes(&keys[0].0, &keys[0].1);
    pinned.complete();
}

/// The identity that a disk had in earlier formats: its generation and its id.
type EarlierDisk = (u32, u64);
/// The earlier replicated state: configuration, evacuations, voters and their disks.
type EarlierReplicated = (
    DecidedConfig,
    Vec<(String, Evacuation)>,
    Vec<u32>,
    Vec<(u32, EarlierDisk)>,
);
/// The acceptor in deciding the voters for ever.
type EarlierFounding = (u64, Option<(u64, Vec<u32>)>);

fn earlier_replicated() -> EarlierReplicated {
    let ReplicatedState {
        config,
        evacuations,
    } = replicated();
    (
        config,
        evacuations.into_iter().collect(),
        vec![1, 2, 3],
        vec![(1, (1, 77)), (2, (4, 78))],
    )
}

fn earlier_founding() -> EarlierFounding {
    (9, Some((8, vec![1, 2, 3])))
}

/// The bytes of an earlier format are those of the fixture and become that state; a disk of that format is read and is
/// one of the present format once it is written.
fn earlier_format<T: Serialize>(
    pinned: &mut Pinned,
    key: &str,
    earlier: &T,
    expected: &DurableState,
) {
    let bytes = postcard::to_allocvec(earlier).unwrap();
    pinned.same_bytes(key, &bytes);
    let (_, decode) = legacy::FORMATS
        .iter()
        .find(|format| format.0 == key)
        .unwrap();
    assert_eq!(&decode(&bytes).unwrap(), expected, "{key}");
    let folder = Folder::new(key);
    let database = Builder::new().create(folder.0.join("vault.redb")).unwrap();
    let write = database.begin_write().unwrap();
    write
        .open_table(TABLE)
        .unwrap()
        .insert(key, bytes.as_slice())
        .unwrap();
    write.commit().unwrap();
    drop(database);
    let store = Store::open(&folder.0).unwrap();
    assert_eq!(store.read().unwrap().as_ref(), Some(expected), "{key}");
    store.write(expected).unwrap();
    drop(store);
    let names: Vec<String> = keys(&folder).into_iter().map(|entry| entry.0).collect();
    assert_eq!(names, ["state-4"], "{key}");
}

#[test]
fn disks_of_the_three_earlier_formats_are_read() {
    let mut pinned = Pinned::new(
        "earlier_disks.hex",
        include_str!("fixtures/earlier_disks.hex"),
    );
    let (disk, mut versions) = ((2u32, 77u64), VersionTable::default());
    versions.decide(0x0107, digest(TEXT), 0x0107);
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
        earlier_founding(),
    );
    earlier_format(&mut pinned, "kept-3", &earlier, &third);
    // Without ballots what was held counts as accepted, below every ballot, and not as decided.
    let mut versions = VersionTable::default();
    let accepted = ConfigText {
        digest: digest(TEXT),
        compressed: Some(compress(TEXT)),
    };
    versions.import_accepted(0x0107, digest(&compress(TEXT)), accepted);
    let replicated = ReplicatedState {
        config: DecidedConfig::default(),
        ..replicated()
    };
    let second = DurableState {
        replicated,
        versions,
        ..third
    };
    let earlier = (earlier_replicated(), disk, false, true, earlier_founding());
    earlier_format(&mut pinned, "kept-2", &earlier, &second);
    let first = DurableState {
        is_founding_disk: false,
        has_joined: false,
        ..second
    };
    earlier_format(
        &mut pinned,
        "kept",
        &(earlier_replicated(), disk, false),
        &first,
    );
    pinned.complete();
}
