//! The decided state as it is published to agents, its digest for comparison with the tables of proxies, and the most
//! recent configuration versions for the explain report.
//!
//! Publication of configurations is rate-limited: agents and proxies parse every configuration, so during a burst of
//! changes only one configuration is published per interval. The first change after a pause is published immediately,
//! and so is every change of evacuations.

use aspendrum_consensus::{Millis, ReplicatedState};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{state_digest, MajorityReport};
use std::collections::VecDeque;

/// The maximum age in milliseconds of the last quorum read for this node to rely on its own state. A recent read
/// shows that the node is not behind, and that it is connected to the other control nodes and thus has their proxy
/// tables.
pub const MAX_MAJORITY_AGE: Millis = 1200.0;
/// The number of recent configuration versions that are retained for the explain report.
const MAX_VERSIONS: usize = 4;
/// The number of recent publications that are retained to determine since when a proxy has been outdated.
const MAX_PUBLICATIONS: usize = 16;
/// The minimum interval between two published configurations, as a fraction of the apply deadline.
const PUBLISH_INTERVAL_SHARE: f64 = 0.1;

/// The revision of a published state, and when it was published.
struct Publication {
    revision: Revision,
    at: Millis,
}

/// The committed configuration and evacuations, as published to agents.
pub struct DecidedState {
    state: ReplicatedState,
    digest: StateDigest,
    /// The last time at which a majority of disks held nothing newer than the published state; `None` before the first
    /// quorum read.
    as_of: Option<Millis>,
    /// The most recent publications, newest first.
    publications: VecDeque<Publication>,
    publish_interval: Millis,
    /// The most recently published configuration versions, newest first.
    versions: VecDeque<Config>,
}

impl DecidedState {
    /// Creates the state of a node that has not read from a majority yet. `apply_deadline` is the maximum time from the
    /// acknowledgement of a change until it is in force.
    pub fn new(apply_deadline: Millis) -> DecidedState {
        DecidedState {
            state: ReplicatedState::default(),
            digest: state_digest(None, 0, &[]),
            as_of: None,
            publications: VecDeque::new(),
            publish_interval: PUBLISH_INTERVAL_SHARE * apply_deadline,
            versions: VecDeque::new(),
        }
    }

    /// Publishes the committed state if a publication is due. Returns whether it was published. `as_of` is the last
    /// time at which a majority of disks held nothing newer than `committed`.
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
        let last = self.publications.front().map(|publication| publication.at);
        let is_due = last.is_none_or(|at| now - at >= self.publish_interval);
        if !is_due && committed.evacuations == self.state.evacuations {
            return false;
        }
        self.publish(now, committed);
        self.as_of = as_of;
        true
    }

    fn publish(&mut self, now: Millis, committed: &ReplicatedState) {
        let evacuated = committed.evacuated_zones();
        // Control nodes commit valid configurations only. Proxies would ignore an invalid one, so it is not part of the
        // digest.
        let decided = committed.config.as_ref();
        let text = decided.and_then(|config| decompress(&config.compressed_text));
        let config = text.and_then(|text| Config::read(&text).ok());
        self.digest = state_digest(config.as_ref(), evacuated.revision, &evacuated.zones);
        self.state = committed.clone();
        self.publications.push_front(Publication {
            revision: self.digest.revision,
            at: now,
        });
        self.publications.truncate(MAX_PUBLICATIONS);
        let Some(config) = config else {
            return;
        };
        self.versions
            .retain(|known| known.version != config.version);
        self.versions.push_front(config);
        self.versions.truncate(MAX_VERSIONS);
    }

    /// Returns the published state.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns the digest of the published state.
    pub fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Returns the digest of the published state and the last time at which a majority of disks held nothing newer;
    /// `None` before the first quorum read.
    pub fn report(&self) -> Option<MajorityReport> {
        let report = |as_of| MajorityReport {
            decided: self.digest,
            as_of,
        };
        self.as_of.map(report)
    }

    /// Returns since when a node with that revision has been outdated: the time of the oldest retained publication that
    /// the revision does not cover; `None` if it covers the latest one.
    pub fn outdated_since(&self, revision: &Revision) -> Option<Millis> {
        let missing = self
            .publications
            .iter()
            .take_while(|publication| !revision.covers(&publication.revision));
        missing.last().map(|publication| publication.at)
    }

    /// Returns the most recently published configuration versions, newest first.
    pub fn versions(&self) -> impl Iterator<Item = &Config> {
        self.versions.iter()
    }
}
