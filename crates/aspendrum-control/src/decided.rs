//! What is decided: the digest that proxies' tables are compared with, and the last versions for explanations.

use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::state_digest;
use std::collections::VecDeque;

/// A majority was read so lately that this node can rely on what it knows: it is not the one that is behind, and it hears
/// of the proxies of all other control nodes.
pub const MAX_MAJORITY_AGE: Millis = 1200.0;
/// How many versions can be explained.
const MAX_VERSIONS: usize = 4;

/// What a majority is known to hold, as it is in force where it was applied.
pub struct DecidedState {
    digest: StateDigest,
    /// The last versions that were committed here, the newest first.
    versions: VecDeque<Config>,
}

impl DecidedState {
    /// Before anything is known.
    pub fn unknown() -> DecidedState {
        DecidedState {
            digest: state_digest(None, 0, &[]),
            versions: VecDeque::new(),
        }
    }

    /// Takes in what is committed now.
    pub fn update(&mut self, committed: &ReplicatedState) {
        let evacuated = committed.evacuated_zones();
        // Only valid texts are ever committed. Of any other nothing would be in force anywhere.
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
