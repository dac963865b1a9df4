//! Disks of earlier versions, read as a state of this one. There the voters were settled once, by machine; here they
//! are the founding epoch, whose voters hand what they hold over to those of the first epoch.

use aspendrum_consensus::ballot::Acceptor;
use aspendrum_consensus::holdings::{Config, Evacuation, Holdings};
use aspendrum_consensus::membership::{DiskId, Epoch};
use aspendrum_consensus::numbers::{Numbers, Text};
use aspendrum_consensus::{Place, State};
use aspendrum_model::compression::decompress;
use aspendrum_model::hash::digest;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

pub type Decode = fn(&[u8]) -> Result<State, postcard::Error>;

/// The keys under which earlier versions kept their state, the newest first.
pub const FORMATS: [(&str, Decode); 3] = [("kept-3", third), ("kept-2", second), ("kept", first)];

#[derive(Deserialize)]
struct Disk {
    #[allow(dead_code)]
    generation: u32,
    id: DiskId,
}

#[derive(Deserialize)]
struct Held {
    config: Config,
    evacuations: BTreeMap<String, Evacuation>,
    voters: BTreeSet<Place>,
    #[allow(dead_code)]
    disks: BTreeMap<Place, Disk>,
}

/// This machine's part in settling the voters for ever, which is through.
#[derive(Deserialize)]
#[allow(dead_code)]
struct Founding {
    promised: u64,
    accepted: Option<(u64, BTreeSet<Place>)>,
}

#[derive(Deserialize)]
struct Third {
    held: Held,
    numbers: Numbers,
    disk: Disk,
    whole: bool,
    first: bool,
    #[allow(dead_code)]
    founding: Founding,
}

#[derive(Deserialize)]
struct Second {
    held: Held,
    disk: Disk,
    whole: bool,
    first: bool,
    #[allow(dead_code)]
    founding: Founding,
}

type First = (Held, Disk, bool);

fn third(bytes: &[u8]) -> Result<State, postcard::Error> {
    let Third {
        held,
        numbers,
        disk,
        whole,
        first,
        ..
    } = postcard::from_bytes(bytes)?;
    Ok(state(held, numbers, &disk, whole || first))
}

fn second(bytes: &[u8]) -> Result<State, postcard::Error> {
    let Second {
        held,
        disk,
        whole,
        first,
        ..
    } = postcard::from_bytes(bytes)?;
    Ok(before_ballots(held, &disk, whole || first))
}

fn first(bytes: &[u8]) -> Result<State, postcard::Error> {
    let (held, disk, whole): First = postcard::from_bytes(bytes)?;
    Ok(before_ballots(held, &disk, whole))
}

/// Before numbers were decided by ballots, configurations were joined by their texts' digests, and some were held that
/// were not acknowledged: what was held counts as accepted, under a ballot that ranks two texts as they were ranked.
fn before_ballots(mut held: Held, disk: &Disk, whole: bool) -> State {
    let Config { version, text } = std::mem::take(&mut held.config);
    let mut numbers = Numbers::default();
    if let Some(plain) = decompress(&text).filter(|_| version > 0) {
        let accepted = Text {
            digest: digest(&plain),
            packed: Some(text.clone()),
        };
        numbers.held_before(version, digest(&text), accepted);
    }
    state(held, numbers, disk, whole)
}

/// `whole`: the disk holds all that its machine acknowledged as a voter.
fn state(held: Held, numbers: Numbers, disk: &Disk, whole: bool) -> State {
    let voters: Vec<Place> = held.voters.into_iter().collect();
    State {
        held: Holdings {
            config: held.config,
            evacuations: held.evacuations,
        },
        numbers,
        disk: disk.id,
        founding: whole,
        epoch: Epoch::first(&voters),
        joined: whole,
        successor: Acceptor::default(),
    }
}
