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
        compressed_text: Vec<u8>,
        /// The digest of the text as it was sent, before compression.
        digest: u64,
    },
    /// Begin or end the evacuation of a zone.
    SetEvacuation {
        /// The zone's name.
        zone: String,
        /// Whether the zone is to be evacuated.
        is_evacuated: bool,
    },
    /// Change nothing; return the state that a majority holds.
    Read,
}

/// The configuration with the highest version that was decided.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecidedConfig {
    /// The version that the operator gave it; 0 if no configuration was decided yet.
    pub version: u32,
    /// The compressed text.
    pub compressed_text: Vec<u8>,
}

/// The last command about a zone's evacuation. Ordered by revision. Of two commands with one revision the end of the
/// evacuation wins: a zone that gets traffic too early does less harm than one that never gets any again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Evacuation {
    /// Counts the commands that changed this zone.
    pub revision: u64,
    /// Whether the evacuation has ended.
    pub has_ended: bool,
}

/// The zones that get no traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Counts the commands that changed any zone; grows with each.
    pub revision: u64,
    /// The zones' names, in order.
    pub zones: Vec<String>,
}

/// The state that operators' commands change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The configuration in force.
    pub config: DecidedConfig,
    /// Every zone that was ever evacuated.
    pub evacuations: BTreeMap<String, Evacuation>,
}

impl ReplicatedState {
    /// Replaces this state by the least upper bound of itself and `other`. Returns whether that changed it.
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

    /// A digest that is equal for equal states. Replicas of two versions of this program compare it, so the way it is
    /// computed must not change.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        bytes.extend_from_slice(&self.config.version.to_le_bytes());
        bytes.extend_from_slice(&digest(&self.config.compressed_text).to_le_bytes());
        for (zone, evacuation) in &self.evacuations {
            bytes.extend_from_slice(zone.as_bytes());
            bytes.extend_from_slice(&evacuation.revision.to_le_bytes());
            bytes.push(u8::from(evacuation.has_ended));
        }
        digest(&bytes)
    }

    /// The zones that get no traffic now.
    pub fn evacuated_zones(&self) -> EvacuatedZones {
        let active = self.evacuations.iter().filter(|(_, e)| !e.has_ended);
        EvacuatedZones {
            revision: self.evacuations.values().map(|e| e.revision).sum(),
            zones: active.map(|(zone, _)| zone.clone()).collect(),
        }
    }

    /// Applies a command about a zone's evacuation. `self` must be the merged state of a majority. Other commands
    /// change nothing.
    pub fn apply(&mut self, command: &Command) {
        if let Command::SetEvacuation { zone, is_evacuated } = command {
            let evacuation = self.evacuations.entry(zone.clone()).or_default();
            // A command that asks for what is so already may be a retry: it gets no revision of its own.
            if evacuation.revision == 0 || evacuation.has_ended == *is_evacuated {
                *evacuation = Evacuation {
                    revision: evacuation.revision + 1,
                    has_ended: !is_evacuated,
                };
            }
        }
    }

    /// This state with a decided configuration, if that has a higher version than the one contained.
    pub fn with_config(mut self, version: u32, compressed_text: Vec<u8>) -> ReplicatedState {
        if version > self.config.version {
            self.config = DecidedConfig {
                version,
                compressed_text,
            };
        }
        self
    }
}
