//! Reads the disk formats of earlier versions and converts them to the present one. In those formats the voters never
//! changed after the first decision; here they become the founding epoch, from which the voters of the first epoch take
//! over the state.

use aspendrum_consensus::acceptor::Acceptor;
use aspendrum_consensus::membership::{DiskId, Epoch};
use aspendrum_consensus::replicated_state::{DecidedConfig, Evacuation, ReplicatedState};
use aspendrum_consensus::versions::{ConfigText, VersionTable};
use aspendrum_consensus::{DurableState, NodeId};
use aspendrum_model::compression::decompress;
use aspendrum_model::hash::digest;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Decodes a state of some format.
pub type Decode = fn(&[u8]) -> Result<DurableState, postcard::Error>;

/// The keys under which earlier formats were stored, and their decoders, the newest first.
pub const FORMATS: [(&str, Decode); 3] = [
    ("kept-3", decode_v3),
    ("kept-2", decode_v2),
    ("kept", decode_v1),
];

/// A disk's identity, which had a generation in the earlier formats.
#[derive(Deserialize)]
struct DiskV1 {
    #[allow(dead_code)]
    generation: u32,
    id: DiskId,
}

/// The replicated state, which contained the voters.
#[derive(Deserialize)]
struct ReplicatedStateV1 {
    config: DecidedConfig,
    evacuations: BTreeMap<String, Evacuation>,
    voters: BTreeSet<NodeId>,
    #[allow(dead_code)]
    disks: BTreeMap<NodeId, DiskV1>,
}

/// The node's acceptor in deciding the voters. That decision is over.
#[derive(Deserialize)]
#[allow(dead_code)]
struct VoterAcceptorV1 {
    promised: u64,
    accepted: Option<(u64, BTreeSet<NodeId>)>,
}

/// The format in which versions were decided by ballots already.
#[derive(Deserialize)]
struct StateV3 {
    replicated: ReplicatedStateV1,
    versions: VersionTable,
    disk: DiskV1,
    is_complete: bool,
    is_first_start: bool,
    #[allow(dead_code)]
    voter_acceptor: VoterAcceptorV1,
}

/// The format in which the voters were decided by ballots, but versions were not.
#[derive(Deserialize)]
struct StateV2 {
    replicated: ReplicatedStateV1,
    disk: DiskV1,
    is_complete: bool,
    is_first_start: bool,
    #[allow(dead_code)]
    voter_acceptor: VoterAcceptorV1,
}

/// The first format.
#[derive(Deserialize)]
struct StateV1 {
    replicated: ReplicatedStateV1,
    disk: DiskV1,
    is_complete: bool,
}

fn decode_v3(bytes: &[u8]) -> Result<DurableState, postcard::Error> {
    let state: StateV3 = postcard::from_bytes(bytes)?;
    let is_complete = state.is_complete || state.is_first_start;
    Ok(upgrade(
        state.replicated,
        state.versions,
        &state.disk,
        is_complete,
    ))
}

fn decode_v2(bytes: &[u8]) -> Result<DurableState, postcard::Error> {
    let state: StateV2 = postcard::from_bytes(bytes)?;
    let is_complete = state.is_complete || state.is_first_start;
    Ok(upgrade_without_ballots(
        state.replicated,
        &state.disk,
        is_complete,
    ))
}

fn decode_v1(bytes: &[u8]) -> Result<DurableState, postcard::Error> {
    let state: StateV1 = postcard::from_bytes(bytes)?;
    Ok(upgrade_without_ballots(
        state.replicated,
        &state.disk,
        state.is_complete,
    ))
}

/// Before versions were decided by ballots, configurations were merged by their texts' digests, and a disk could hold
/// one that was not acknowledged. Its text therefore counts as accepted, not as decided, under a ballot that ranks two
/// texts as they were ranked then.
fn upgrade_without_ballots(
    mut replicated: ReplicatedStateV1,
    disk: &DiskV1,
    is_complete: bool,
) -> DurableState {
    let DecidedConfig {
        version,
        compressed_text,
    } = std::mem::take(&mut replicated.config);
    let mut versions = VersionTable::default();
    if let Some(text) = decompress(&compressed_text).filter(|_| version > 0) {
        let rank = digest(&compressed_text);
        let accepted = ConfigText {
            digest: digest(&text),
            compressed: Some(compressed_text),
        };
        versions.import_accepted(version, rank, accepted);
    }
    upgrade(replicated, versions, disk, is_complete)
}

/// `is_complete`: the disk holds everything that its node has acknowledged as a voter.
fn upgrade(
    replicated: ReplicatedStateV1,
    versions: VersionTable,
    disk: &DiskV1,
    is_complete: bool,
) -> DurableState {
    let voters: Vec<NodeId> = replicated.voters.into_iter().collect();
    DurableState {
        replicated: ReplicatedState {
            config: replicated.config,
            evacuations: replicated.evacuations,
        },
        versions,
        disk: disk.id,
        is_founding_disk: is_complete,
        epoch: Epoch::founding(&voters),
        has_joined: is_complete,
        successor: Acceptor::default(),
    }
}
