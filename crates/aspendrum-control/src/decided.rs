//! What is decided: the digest that proxies' tables are compared with, and the last versions for explanations.

use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::state_digest;
use std::collections::VecDeque;

/// If a majority was read within this time, in milliseconds, this node relies on its own state: it is not itself
/// behind, and it is connected to the other control nodes, so that it knows their proxies.
pub const MAX_MAJORITY_AGE: Millis = 1200.0;
/// How many of the last versions are kept for explanations.
const MAX_VERSIONS: usize = 4;

/// The committed configuration and evacuations in the form that proxies apply.
pub struct DecidedState {
    digest: StateDigest,
    /// The last versions that were committed here, the newest first.
    versions: VecDeque<Config>,
}

impl DecidedState {
    /// The state of a node that has not read a majority yet.
    pub fn unknown() -> DecidedState {
        DecidedState {
            digest: state_digest(None, 0, &[]),
            versions: VecDeque::new(),
        }
    }

    /// Replaces the digest by that of `committed`, and keeps its configuration for explanations.
    pub fn update(&mut self, committed: &ReplicatedState) {
        let evacuated = committed.evacuated_zones();
        // Control commits valid texts only. Proxies would ignore any other, so the digest has no configuration then.
        let text = decompress(&committed.config.compressed_text);
        let config = text.and_then(|text| Config::read(&text).ok());
        self.digest = state_digest(config.as_ref(), evacuated.revision, &evacuated.zones);
        let Some(config) = config else {
            return;
        };
        self.versions
            .retain(|known| known.version != config.version);
        self.versions.push_front(config);
        self.versions.truncate(MAX_VERSIONS);
    }

    /// The digest of everything that is decided.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// The last versions, the newest first.
    pub fn versions(&self) -> impl Iterator<Item = &Config> {
        self.versions.iter()
    }
}
