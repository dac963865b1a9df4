//! What is decided, as it is published to agents: the digest that proxies' tables are compared with, and the last versions
//! for explanations.
//!
//! A committed state is published at once, unless another one was published a moment ago: a storm of changes costs agents
//! and proxies, which parse each configuration, one configuration an interval. An evacuation is always published at once.

use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{state_digest, MajorityReport};
use std::collections::VecDeque;

/// If a majority was read within this time, in milliseconds, this node relies on its own state: it is not itself
/// behind, and it is connected to the other control nodes, so that it knows their proxies.
pub const MAX_MAJORITY_AGE: Millis = 1200.0;
/// How many of the last versions are kept for explanations.
const MAX_VERSIONS: usize = 4;
/// How many of the last published states are kept to tell since when a proxy lacks one.
const MAX_PUBLISHED: usize = 16;
/// The share of the deadline for applying a change that may pass between two published configurations.
const PUBLISH_INTERVAL_SHARE: f64 = 0.1;

/// A state that was published.
struct Published {
    revision: Revision,
    at: Millis,
}

/// The committed configuration and evacuations in the form that proxies apply.
pub struct DecidedState {
    state: ReplicatedState,
    digest: StateDigest,
    /// When a majority held nothing newer than what is published; none if no majority was read yet.
    as_of: Option<Millis>,
    /// The last states that were published, the newest first.
    published: VecDeque<Published>,
    publish_interval: Millis,
    /// The last versions that were published, the newest first.
    versions: VecDeque<Config>,
}

impl DecidedState {
    /// The state of a node that has not read a majority yet. `apply_deadline`: how long a change may take from its
    /// acknowledgement until it is in force.
    pub fn unknown(apply_deadline: Millis) -> DecidedState {
        DecidedState {
            state: ReplicatedState::default(),
            digest: state_digest(None, 0, &[]),
            as_of: None,
            published: VecDeque::new(),
            publish_interval: PUBLISH_INTERVAL_SHARE * apply_deadline,
            versions: VecDeque::new(),
        }
    }

    /// Publishes the committed state if that is due. Returns whether it was published. `as_of`: when a majority held
    /// nothing newer than `committed`.
    pub fn publish_if_due(
        &mut self,
        now: Millis,
        committed: &ReplicatedState,
        as_of: Option<Millis>,
    ) -> bool {
        if *committed == self.state {
            self.as_of = as_of;
            return false;
        }
        let last = self.published.front().map(|published| published.at);
        let is_first = last.is_none_or(|at| now - at >= self.publish_interval);
        if !is_first && committed.evacuations == self.state.evacuations {
            return false;
        }
        self.publish(now, committed);
        self.as_of = as_of;
        true
    }

    fn publish(&mut self, now: Millis, committed: &ReplicatedState) {
        let evacuated = committed.evacuated_zones();
        // Control commits valid texts only. Proxies would ignore any other, so the digest has no configuration then.
        let text = decompress(&committed.config.compressed_text);
        let config = text.and_then(|text| Config::read(&text).ok());
        self.digest = state_digest(config.as_ref(), evacuated.revision, &evacuated.zones);
        self.state = committed.clone();
        self.published.push_front(Published {
            revision: self.digest.revision,
            at: now,
        });
        self.published.truncate(MAX_PUBLISHED);
        let Some(config) = config else {
            return;
        };
        self.versions
            .retain(|known| known.version != config.version);
        self.versions.push_front(config);
        self.versions.truncate(MAX_VERSIONS);
    }

    /// The state that is published.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The digest of everything that is published.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// What a majority was last known to hold nothing newer than, and when; none if no majority was read yet.
    pub fn report(&self) -> Option<MajorityReport> {
        let report = |as_of| MajorityReport {
            decided: self.digest,
            as_of,
        };
        self.as_of.map(report)
    }

    /// Since when something is published that a node with that revision lacks; none if it lacks nothing.
    pub fn lacking_since(&self, revision: &Revision) -> Option<Millis> {
        let lacking = self
            .published
            .iter()
            .take_while(|published| !revision.covers(&published.revision));
        lacking.last().map(|published| published.at)
    }

    /// The last versions, the newest first.
    pub fn versions(&self) -> impl Iterator<Item = &Config> {
        self.versions.iter()
    }
}
