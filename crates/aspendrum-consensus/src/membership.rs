//! Who votes. A voter is a machine together with its disk: a machine that lost its disk is another voter. The set of
//! voters belongs to a numbered epoch, and the voters of an epoch decide the set of the next one.

use crate::holdings::Place;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identity of a disk, drawn when it is first used.
pub type DiskId = u64;

/// Stands for the disk that a machine had at the first start of the whole system, when nobody knew the disks' ids.
pub const FOUNDING_DISK: DiskId = 0;

/// As many voters that a majority is left when so many disks are lost at once.
pub fn voters_for(losses: usize) -> usize {
    2 * losses + 1
}

/// The voters of an epoch: each machine and its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters(pub BTreeMap<Place, DiskId>);

impl Voters {
    /// Machines whose disks' ids are not known yet.
    pub fn founding(places: &[Place]) -> Voters {
        Voters(places.iter().map(|p| (*p, FOUNDING_DISK)).collect())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many voters form a majority.
    pub fn quorum(&self) -> usize {
        self.0.len() / 2 + 1
    }

    pub fn places(&self) -> impl Iterator<Item = Place> + '_ {
        self.0.keys().copied()
    }

    /// Some disk of that machine votes.
    pub fn names(&self, place: Place) -> bool {
        self.0.contains_key(&place)
    }

    /// That disk of that machine votes. `founding`: it is the disk of the system's first start.
    pub fn include(&self, place: Place, disk: DiskId, founding: bool) -> bool {
        match self.0.get(&place) {
            Some(&FOUNDING_DISK) => founding,
            Some(id) => *id == disk,
            None => false,
        }
    }
}

/// A set of voters and its place in the history of such sets. Epoch 0 are the machines that the settings of the first
/// start name; its voters decide epoch 1 and acknowledge nothing. A machine that knows of no epoch has one without
/// voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    pub number: u32,
    pub voters: Voters,
    /// The voters of the epoch before, from whom this one's learn what is held.
    pub previous: Voters,
}

impl Epoch {
    /// The epoch that begins the history.
    pub fn first(seeds: &[Place]) -> Epoch {
        Epoch {
            number: 0,
            voters: Voters::founding(seeds),
            previous: Voters::default(),
        }
    }

    /// The epoch after this one.
    pub fn next(&self, voters: Voters) -> Epoch {
        Epoch {
            number: self.number + 1,
            voters,
            previous: self.voters.clone(),
        }
    }

    /// It was decided after the other, or the other is unknown.
    pub fn succeeds(&self, other: &Epoch) -> bool {
        self.number > other.number || (other.voters.is_empty() && !self.voters.is_empty())
    }

    /// Orders are taken and answered: the founding epoch only decides the next one.
    pub fn serves(&self) -> bool {
        self.number > 0
    }
}
