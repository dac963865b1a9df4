//! The acceptors of configuration versions. At most one text is decided per version, by a separate Paxos instance. The
//! decisions of the most recent versions are retained, so that a retried command is acknowledged again and another text
//! for its version is rejected, even after later versions and restarts.

use crate::acceptor::{Accepted, Acceptor, Preempted};
use crate::ballot::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::ops::Bound;

/// The number of versions up to the active one that are retained, so that a retried command still gets its result.
/// Covers more than two days at 440 configuration changes per day.
pub const RETAINED_VERSIONS: usize = 1024;
/// The maximum number of undecided versions above the active one.
pub const MAX_UNDECIDED_VERSIONS: usize = 64;

/// The text of a configuration, or only its digest once the version is superseded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigText {
    /// The digest of the uncompressed text as received from the operator. Two nodes may compress the same text
    /// differently.
    pub digest: u64,
    /// The compressed text; `None` once the version is superseded.
    pub compressed: Option<Vec<u8>>,
}

/// The state of a version on one node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionSlot {
    /// This node's acceptor in the version's Paxos instance.
    pub acceptor: Acceptor<ConfigText>,
    /// The digest of the decided text, if known to this node.
    pub decided: Option<u64>,
}

/// An acceptor's answer to a proposal for a version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VersionAnswer {
    /// Phase 1 is granted. Carries the proposal that the acceptor has accepted before, if any.
    Promised(Option<Accepted<ConfigText>>),
    /// Phase 2 is granted.
    Accepted,
    /// The request is rejected: the acceptor has promised this higher ballot, or it already has
    /// [`MAX_UNDECIDED_VERSIONS`] undecided versions, in which case the ballot is the default one.
    Preempted(Ballot),
    /// The version is decided. Carries the digest of the decided text.
    Decided(u64),
    /// The version is superseded and older than all retained versions. A voter of an earlier program version gives this
    /// answer for version 0 even if it has no configuration, so the proposer confirms it by a read.
    Compacted,
}

/// A version with an accepted text that is not known to be decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UndecidedVersion {
    /// The version.
    pub version: u32,
    /// The ballot under which the text was accepted.
    pub ballot: Ballot,
    /// The accepted text.
    pub text: ConfigText,
}

/// The state of all versions on one node. The `active_version` parameter of the methods is the version of the active
/// configuration of this node; `None` if it has no configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionTable {
    slots: BTreeMap<u32, VersionSlot>,
    /// The highest version that was dropped; `None` if none was. No state is retained for versions up to this one.
    /// Version 0 is dropped only together with a higher one, because the encoded 0 means that none was dropped.
    #[serde(with = "optional_watermark")]
    compacted_up_to: Option<NonZeroU32>,
}

/// The encoding of [`VersionTable::compacted_up_to`]: a plain number, 0 for `None`.
mod optional_watermark {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::num::NonZeroU32;

    pub(super) fn serialize<S: Serializer>(
        watermark: &Option<NonZeroU32>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        watermark.map_or(0, NonZeroU32::get).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<NonZeroU32>, D::Error> {
        u32::deserialize(deserializer).map(NonZeroU32::new)
    }
}

/// Returns the range of the versions above `floor`; all versions if it is `None`.
fn above(floor: Option<u32>) -> (Bound<u32>, Bound<u32>) {
    let start = floor.map_or(Bound::Unbounded, Bound::Excluded);
    (start, Bound::Unbounded)
}

impl VersionTable {
    /// Handles phase 1 of a proposal for a version.
    pub fn prepare(
        &mut self,
        version: u32,
        ballot: Ballot,
        active_version: Option<u32>,
    ) -> VersionAnswer {
        let prepare = |acceptor: &mut Acceptor<ConfigText>| {
            acceptor.prepare(ballot).map(VersionAnswer::Promised)
        };
        self.answer(version, active_version, prepare)
    }

    /// Handles phase 2 of a proposal for a version.
    pub fn accept(
        &mut self,
        version: u32,
        ballot: Ballot,
        text: ConfigText,
        active_version: Option<u32>,
    ) -> VersionAnswer {
        let is_superseded = Some(version) <= active_version;
        let text = if is_superseded {
            ConfigText {
                compressed: None,
                ..text
            }
        } else {
            text
        };
        let accept = |acceptor: &mut Acceptor<ConfigText>| {
            let accepted = acceptor.accept(ballot, text);
            accepted.map(|()| VersionAnswer::Accepted)
        };
        self.answer(version, active_version, accept)
    }

    fn answer(
        &mut self,
        version: u32,
        active_version: Option<u32>,
        request: impl FnOnce(&mut Acceptor<ConfigText>) -> Result<VersionAnswer, Preempted>,
    ) -> VersionAnswer {
        if self.is_compacted(version) {
            return VersionAnswer::Compacted;
        }
        if let Some(digest) = self.decided(version) {
            return VersionAnswer::Decided(digest);
        }
        let is_new = !self.slots.contains_key(&version);
        if Some(version) > active_version
            && is_new
            && self.undecided_above(active_version) >= MAX_UNDECIDED_VERSIONS
        {
            return VersionAnswer::Preempted(Ballot::default());
        }
        let slot = self.slots.entry(version).or_default();
        let answer = request(&mut slot.acceptor);
        let answer = answer.unwrap_or_else(|preempted| VersionAnswer::Preempted(preempted.by));
        self.compact(active_version);
        answer
    }

    fn undecided_above(&self, active_version: Option<u32>) -> usize {
        self.slots.range(above(active_version)).count()
    }

    /// Imports a text from an on-disk format without ballots. The text counts as accepted under a ballot below all real
    /// ones. If nodes import different texts for a version, the one with the highest rank wins.
    pub fn import_accepted(&mut self, version: u32, rank: u64, text: ConfigText) {
        let ballot = Ballot {
            incarnation: rank,
            ..Ballot::default()
        };
        let acceptor = Acceptor {
            promised: ballot,
            accepted: Some(Accepted {
                ballot,
                value: text,
            }),
        };
        let slot = VersionSlot {
            acceptor,
            decided: None,
        };
        self.slots.insert(version, slot);
    }

    /// Returns the highest promised ballot of all versions.
    pub fn highest_promised(&self) -> Ballot {
        let promised = self.slots.values().map(|slot| slot.acceptor.promised);
        promised.max().unwrap_or_default()
    }

    /// Returns the digest of the text that was decided for a version, if known.
    pub fn decided(&self, version: u32) -> Option<u64> {
        self.slots.get(&version)?.decided
    }

    /// Whether the state of a version has been dropped.
    pub fn is_compacted(&self, version: u32) -> bool {
        self.compacted_up_to
            .is_some_and(|watermark| version <= watermark.get())
    }

    /// Returns the accepted text of a version in compressed form, if it has this digest.
    pub fn accepted_text(&self, version: u32, digest: u64) -> Option<Vec<u8>> {
        let accepted = self.slots.get(&version)?.acceptor.accepted.as_ref()?;
        let text = &accepted.value;
        text.compressed.clone().filter(|_| text.digest == digest)
    }

    /// Records a decision. Returns whether it was unknown to this node.
    ///
    /// Decisions above `active_version` are ignored: a node that lacks the decided text must continue to report the
    /// version as undecided, or reads would miss it.
    pub fn decide(&mut self, version: u32, digest: u64, active_version: Option<u32>) -> bool {
        if self.is_compacted(version) || Some(version) > active_version {
            return false;
        }
        let slot = self.slots.entry(version).or_default();
        let was_unknown = slot.decided.replace(digest).is_none();
        slot.acceptor = Acceptor::default();
        self.compact(active_version);
        was_unknown
    }

    /// Returns the highest version above `floor` with an accepted text that is not known to be decided.
    pub fn highest_undecided(&self, floor: Option<u32>) -> Option<UndecidedVersion> {
        let mut slots = self.slots.range(above(floor)).rev();
        slots.find_map(|(version, slot)| {
            let accepted = slot.acceptor.accepted.clone();
            let accepted = accepted.filter(|_| slot.decided.is_none())?;
            Some(UndecidedVersion {
                version: *version,
                ballot: accepted.ballot,
                text: accepted.value,
            })
        })
    }

    /// Drops the texts of all versions up to `active_version`, and keeps their decisions.
    pub fn discard_superseded_texts(&mut self, active_version: Option<u32>) {
        let Some(highest_superseded) = active_version else {
            return;
        };
        for (_, slot) in self.slots.range_mut(..=highest_superseded) {
            if let Some(accepted) = &mut slot.acceptor.accepted {
                accepted.value.compressed = None;
            }
        }
        self.compact(active_version);
    }

    /// Drops the oldest superseded slots beyond [`RETAINED_VERSIONS`].
    fn compact(&mut self, active_version: Option<u32>) {
        let Some(highest_superseded) = active_version else {
            return;
        };
        let superseded = self.slots.range(..=highest_superseded).count();
        let excess = superseded.saturating_sub(RETAINED_VERSIONS);
        let highest_excess = excess.checked_sub(1);
        let highest_dropped = highest_excess.and_then(|index| self.slots.keys().nth(index));
        let Some(watermark) = highest_dropped.and_then(|version| NonZeroU32::new(*version)) else {
            return;
        };
        self.compacted_up_to = self.compacted_up_to.max(Some(watermark));
        self.drop_compacted();
    }

    fn drop_compacted(&mut self) {
        if let Some(watermark) = self.compacted_up_to {
            self.slots.retain(|version, _| *version > watermark.get());
        }
    }

    /// Merges another node's table into this one. This node then answers as if it had also received the requests of the
    /// other node.
    pub fn merge(&mut self, other: &VersionTable) {
        self.compacted_up_to = self.compacted_up_to.max(other.compacted_up_to);
        for (version, theirs) in &other.slots {
            let ours = self.slots.entry(*version).or_default();
            ours.acceptor.merge(&theirs.acceptor);
            ours.decided = ours.decided.or(theirs.decided);
        }
        self.drop_compacted();
    }

    /// Returns the number of retained versions.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no version is retained.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
