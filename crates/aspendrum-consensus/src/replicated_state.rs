//! The state that is read from and written to majorities. It is a state-based CRDT (Shapiro et al., 2011): its values
//! form a join semilattice, so merges are commutative and writes need no ordering.

use aspendrum_model::hash::digest;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An operator command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Set the configuration. The caller has validated the text.
    SetConfig {
        /// The version assigned by the operator.
        version: u32,
        /// The compressed text.
        compressed_text: Vec<u8>,
        /// The digest of the uncompressed text as received from the operator.
        digest: u64,
    },
    /// Begin or end the evacuation of a zone.
    SetEvacuation {
        /// The zone's name.
        zone: String,
        /// Whether to begin (`true`) or end (`false`) the evacuation.
        is_evacuated: bool,
    },
    /// Return the state that a majority holds, without changing it.
    Read,
}

/// A decided configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecidedConfig {
    /// The version assigned by the operator. All numbers are versions, 0 included.
    pub version: u32,
    /// The compressed text, which is never empty.
    pub compressed_text: Vec<u8>,
}

/// The encoding of an optional configuration: a version and a compressed text, both of which are zero or empty without a
/// configuration. Disks and replicas of versions that had no separate value for "none" use the same bytes.
pub mod optional_config {
    use super::DecidedConfig;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Encodes an optional configuration.
    ///
    /// # Errors
    /// Returns the errors of the serializer.
    pub fn serialize<S: Serializer>(
        config: &Option<DecidedConfig>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let none = DecidedConfig {
            version: 0,
            compressed_text: Vec::new(),
        };
        config.as_ref().unwrap_or(&none).serialize(serializer)
    }

    /// Decodes an optional configuration.
    ///
    /// # Errors
    /// Returns the errors of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<DecidedConfig>, D::Error> {
        let config = DecidedConfig::deserialize(deserializer)?;
        let is_none = config.version == 0 && config.compressed_text.is_empty();
        Ok((!is_none).then_some(config))
    }
}

/// The last evacuation command for a zone, ordered by revision. If two commands have the same revision, the end of the
/// evacuation wins: a zone that receives traffic too early does less harm than one that never receives traffic again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Evacuation {
    /// The number of commands that changed this zone.
    pub revision: u64,
    /// Whether the evacuation has ended.
    pub has_ended: bool,
}

/// A zone's evacuation cannot be changed any more, because its last command has the highest revision.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no revision is left for the zone")]
pub struct NoRevisionLeft;

/// The zones that receive no traffic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// The total number of commands that changed any zone. Increases with each of them.
    pub revision: u64,
    /// The names of the zones in ascending order.
    pub zones: Vec<String>,
}

/// The state that operator commands change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The decided configuration with the highest version, which is the active one; `None` before the first decision.
    #[serde(with = "optional_config")]
    pub config: Option<DecidedConfig>,
    /// The last evacuation command for each zone that was ever evacuated.
    pub evacuations: BTreeMap<String, Evacuation>,
}

impl ReplicatedState {
    /// Returns a state that consists of a decided configuration.
    pub fn of_config(version: u32, compressed_text: Vec<u8>) -> ReplicatedState {
        let config = DecidedConfig {
            version,
            compressed_text,
        };
        ReplicatedState {
            config: Some(config),
            ..ReplicatedState::default()
        }
    }

    /// Returns the version of the active configuration. `None` is less than every version.
    pub fn config_version(&self) -> Option<u32> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Replaces this state with the least upper bound of itself and `other`. Returns whether the state changed.
    pub fn merge(&mut self, other: &ReplicatedState) -> bool {
        let before = self.clone();
        if other.config_version() > self.config_version() {
            self.config.clone_from(&other.config);
        }
        for (zone, theirs) in &other.evacuations {
            let ours = self.evacuations.entry(zone.clone()).or_default();
            *ours = (*ours).max(*theirs);
        }
        *self != before
    }

    /// Returns a digest that is equal for equal states. Replicas of different program versions compare it, so its
    /// computation must not change.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::new();
        let (version, text) = match &self.config {
            Some(config) => (config.version, config.compressed_text.as_slice()),
            None => (0, [].as_slice()),
        };
        bytes.extend_from_slice(&version.to_le_bytes());
        bytes.extend_from_slice(&digest(text).to_le_bytes());
        for (zone, evacuation) in &self.evacuations {
            bytes.extend_from_slice(zone.as_bytes());
            bytes.extend_from_slice(&evacuation.revision.to_le_bytes());
            bytes.push(u8::from(evacuation.has_ended));
        }
        digest(&bytes)
    }

    /// Returns the zones that currently receive no traffic.
    pub fn evacuated_zones(&self) -> EvacuatedZones {
        let active = self.evacuations.iter().filter(|(_, e)| !e.has_ended);
        let revisions = self.evacuations.values().map(|e| e.revision);
        EvacuatedZones {
            revision: revisions.fold(0, u64::saturating_add),
            zones: active.map(|(zone, _)| zone.clone()).collect(),
        }
    }

    /// Applies an evacuation command; other commands have no effect. `self` must be the merged state of a majority.
    ///
    /// # Errors
    /// [`NoRevisionLeft`] if the zone's last command has the highest revision, so that none can follow it.
    pub fn apply(&mut self, command: &Command) -> Result<(), NoRevisionLeft> {
        let Command::SetEvacuation { zone, is_evacuated } = command else {
            return Ok(());
        };
        let evacuation = self.evacuations.entry(zone.clone()).or_default();
        // A command that matches the current state may be a retry and does not create a new revision.
        if evacuation.revision == 0 || evacuation.has_ended == *is_evacuated {
            *evacuation = Evacuation {
                revision: evacuation.revision.checked_add(1).ok_or(NoRevisionLeft)?,
                has_ended: !is_evacuated,
            };
        }
        Ok(())
    }
}
