//! Decodes the storage formats of earlier versions and converts them to the current format. In the earlier formats the
//! voters never changed after the first decision. They are converted to the founding epoch, from which the voters of
//! the first epoch take over the state.

use aspendrum_consensus::acceptor::Acceptor;
use aspendrum_consensus::membership::{DiskId, Epoch};
use aspendrum_consensus::replicated_state::{
    optional_config, DecidedConfig, Evacuation, ReplicatedState,
};
use aspendrum_consensus::versions::{ConfigText, VersionTable};
use aspendrum_consensus::{DurableState, NodeId};
use aspendrum_model::compression::decompress;
use aspendrum_model::hash::digest;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// A decoder of one storage format.
pub type Decode = fn(&[u8]) -> Result<DurableState, postcard::Error>;

/// The keys of the earlier formats and their decoders, newest first.
pub const FORMATS: [(&str, Decode); 3] = [
    ("kept-3", decode_v3),
    ("kept-2", decode_v2),
    ("kept", decode_v1),
];

/// The identity of a disk, which included a generation in the earlier formats.
#[derive(Deserialize)]
struct DiskV1 {
    #[allow(dead_code)]
    generation: u32,
    id: DiskId,
}

/// The replicated state, which included the voters in the earlier formats.
#[derive(Deserialize)]
struct ReplicatedStateV1 {
    #[serde(with = "optional_config")]
    config: Option<DecidedConfig>,
    evacuations: BTreeMap<String, Evacuation>,
    voters: BTreeSet<NodeId>,
    #[allow(dead_code)]
    disks: BTreeMap<NodeId, DiskV1>,
}

/// The acceptor state of the consensus instance that decided the voters. It is decoded but not used: that decision is
/// complete.
#[derive(Deserialize)]
#[allow(dead_code)]
struct VoterAcceptorV1 {
    promised: u64,
    accepted: Option<(u64, BTreeSet<NodeId>)>,
}

/// The third format, in which both the voters and configuration versions were decided by ballots.
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

/// The second format, in which the voters were decided by ballots, but configuration versions were not.
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

/// Upgrades a state from before configuration versions were decided by ballots. Then, configurations were merged by the
/// digests of their texts, and a disk could hold a configuration that had not been acknowledged. The configuration is
/// therefore imported as accepted rather than decided, under a ballot that preserves the earlier ranking of two texts.
fn upgrade_without_ballots(
    mut replicated: ReplicatedStateV1,
    disk: &DiskV1,
    is_complete: bool,
) -> DurableState {
    let mut versions = VersionTable::default();
    if let Some(config) = replicated.config.take() {
        import_config(&mut versions, config);
    }
    upgrade(replicated, versions, disk, is_complete)
}

fn import_config(versions: &mut VersionTable, config: DecidedConfig) {
    let Some(text) = decompress(&config.compressed_text) else {
        return;
    };
    let rank = digest(&config.compressed_text);
    let accepted = ConfigText {
        digest: digest(&text),
        compressed: Some(config.compressed_text),
    };
    versions.import_accepted(config.version, rank, accepted);
}

/// Converts a state to the current format. `is_complete` is whether the disk holds everything that its node has
/// acknowledged as a voter.
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
