//! The state that is read and written by majorities. It is a join semilattice: any two states merge into one that
//! contains both, in whatever order they arrive, so writes to it need no order among themselves (a state-based CRDT,
//! Shapiro et al. 2011).

use aspendrum_model::hash::digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Set the configuration. The caller has found the text valid.
    SetConfig {
        /// The version that the operator gave it.
        version: u32,
        /// The compressed text.
        packed_text: Vec<u8>,
        /// Of the text as it was sent, before compression.
        digest: u64,
    },
    /// Begin or end the evacuation of a zone.
    SetEvacuation {
        /// The zone's name.
        zone: String,
        /// Whether the zone is to be evacuated.
        evacuated: bool,
    },
    /// Change nothing; find out what a majority holds.
    Read,
}

/// The configuration with the highest version that was decided.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecidedConfig {
    /// 0: none was decided yet.
    pub version: u32,
    /// The compressed text.
    pub packed_text: Vec<u8>,
}

/// The last command about a zone's evacuation. Ordered by revision. Of two commands with one revision the end of the
/// evacuation wins: sending traffic to a zone that could do without harms less than forgetting the zone for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Evacuation {
    /// Counts the commands that changed this zone.
    pub revision: u64,
    /// Whether the evacuation has ended.
    pub ended: bool,
}

/// The zones that get no traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Counts the commands that changed any zone; grows with each.
    pub revision: u64,
    /// The zones' names, in order.
    pub zones: Vec<String>,
}

/// What operators have set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The configuration in force.
    pub config: DecidedConfig,
    /// Every zone that was ever evacuated.
    pub evacuations: BTreeMap<String, Evacuation>,
}

impl ReplicatedState {
    /// Takes in what `other` contains: the least upper bound of both. Returns whether anything changed.
    pub fn merge(&mut self, other: &ReplicatedState) -> bool {
        let before = self.clone();
        if other.config.version > self.config.version {
            self.config = other.config.clone();
        }
        for (zone, theirs) in &other.evacuations {
            let ours = self.evacuations.entry(zone.clone()).or_default();
            *ours = (*ours).max(*theirs);
        }
        *self != before
    }

    /// Equal where the same commands have taken effect. Sent between replicas, so it must stay the same between
    /// versions of this program.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&self.config.version.to_le_bytes());
        bytes.extend_from_slice(&digest(&self.config.packed_text).to_le_bytes());
        for (zone, evacuation) in &self.evacuations {
            bytes.extend_from_slice(zone.as_bytes());
            bytes.extend_from_slice(&evacuation.revision.to_le_bytes());
            bytes.push(u8::from(evacuation.ended));
        }
        digest(&bytes)
    }

    /// The zones that get no traffic now.
    pub fn evacuated_zones(&self) -> EvacuatedZones {
        let active = self.evacuations.iter().filter(|(_, e)| !e.ended);
        EvacuatedZones {
            revision: self.evacuations.values().map(|e| e.revision).sum(),
            zones: active.map(|(zone, _)| zone.clone()).collect(),
        }
    }

    /// Applies a command about a zone to what a majority was seen to hold. Other commands change nothing here.
    pub fn apply(&mut self, command: &Command) {
        if let Command::SetEvacuation { zone, evacuated } = command {
            let evacuation = self.evacuations.entry(zone.clone()).or_default();
            // A command that is in force already is a retry of the one that brought it into force.
            if evacuation.revision == 0 || evacuation.ended == *evacuated {
                *evacuation = Evacuation {
                    revision: evacuation.revision + 1,
                    ended: !evacuated,
                };
            }
        }
    }

    /// The same state with a configuration that was decided, if that is newer.
    pub fn with_config(mut self, version: u32, packed_text: Vec<u8>) -> ReplicatedState {
        if version > self.config.version {
            self.config = DecidedConfig {
                version,
                packed_text,
            };
        }
        self
    }
}
