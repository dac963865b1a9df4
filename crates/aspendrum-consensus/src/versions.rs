//! The acceptors of configuration versions. At most one text is ever decided for a version, by a Paxos instance of its
//! own. Decisions on the newest versions are remembered, so that a retried command is acknowledged again and another
//! text for its version is refused, also after higher versions and restarts.

use crate::acceptor::{Accepted, Acceptor, Preempted};
use crate::ballot::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How many versions up to the one in force are remembered, so that a retried command still gets its answer: more than
/// two days at 440 configuration changes a day.
pub const REMEMBERED_VERSIONS: usize = 1024;
/// How many versions above the one in force may be undecided at once.
pub const MAX_UNDECIDED: usize = 64;

/// The text of a configuration, or only its digest once a higher version is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigText {
    /// The digest of the text as the operator sent it, before compression: the same text may be compressed differently
    /// by two nodes.
    pub digest: u64,
    /// The compressed text.
    pub compressed: Option<Vec<u8>>,
}

/// What one node knows of a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionSlot {
    /// This node's acceptor in the version's Paxos instance.
    pub acceptor: Acceptor<ConfigText>,
    /// The digest of the text that was decided, once that is known here.
    pub decided: Option<u64>,
}

/// An acceptor's answer to a proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VersionAnswer {
    /// Phase 1 is granted. Carries the proposal that the voter had accepted before, if any.
    Promised(Option<Accepted<ConfigText>>),
    /// Phase 2 is granted.
    Accepted,
    /// The acceptor has promised this higher ballot before, or [`MAX_UNDECIDED`] versions are undecided.
    Preempted(Ballot),
    /// The version is decided, on the text with that digest.
    Decided(u64),
    /// The version is older than all that are remembered, and was superseded long ago.
    Compacted,
}

/// A text that was accepted for a version and is not known to be decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenVersion {
    /// The version.
    pub version: u32,
    /// The ballot under which the text was accepted.
    pub ballot: Ballot,
    /// The accepted text.
    pub text: ConfigText,
}

/// What one node knows of all versions. Where a method takes `in_force`, that is the version of the configuration in
/// force on this node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionTable {
    slots: BTreeMap<u32, VersionSlot>,
    /// Nothing is remembered of this version and those below it.
    compacted_up_to: u32,
}

impl VersionTable {
    /// Answers phase 1 of a proposal for a version.
    pub fn prepare(&mut self, version: u32, ballot: Ballot, in_force: u32) -> VersionAnswer {
        let prepare = |acceptor: &mut Acceptor<ConfigText>| {
            acceptor.prepare(ballot).map(VersionAnswer::Promised)
        };
        self.answer(version, in_force, prepare)
    }

    /// Answers phase 2 of a proposal for a version.
    pub fn accept(
        &mut self,
        version: u32,
        ballot: Ballot,
        text: ConfigText,
        in_force: u32,
    ) -> VersionAnswer {
        let is_superseded = version <= in_force;
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
        self.answer(version, in_force, accept)
    }

    fn answer(
        &mut self,
        version: u32,
        in_force: u32,
        request: impl FnOnce(&mut Acceptor<ConfigText>) -> Result<VersionAnswer, Preempted>,
    ) -> VersionAnswer {
        if self.is_compacted(version) {
            return VersionAnswer::Compacted;
        }
        if let Some(digest) = self.decided(version) {
            return VersionAnswer::Decided(digest);
        }
        let is_new = !self.slots.contains_key(&version);
        if version > in_force && is_new && self.undecided_above(in_force) >= MAX_UNDECIDED {
            return VersionAnswer::Preempted(Ballot::default());
        }
        let slot = self.slots.entry(version).or_default();
        let answer = request(&mut slot.acceptor);
        let answer = answer.unwrap_or_else(|preempted| VersionAnswer::Preempted(preempted.by));
        self.compact(in_force);
        answer
    }

    fn undecided_above(&self, in_force: u32) -> usize {
        self.slots.range(in_force.saturating_add(1)..).count()
    }

    /// Takes over a text from a disk of a format without ballots: it counts as accepted, below every real ballot. Of
    /// two such texts that with the higher rank wins.
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

    /// The highest ballot that was promised for any version.
    pub fn highest_promised(&self) -> Ballot {
        let promised = self.slots.values().map(|slot| slot.acceptor.promised);
        promised.max().unwrap_or_default()
    }

    /// The digest of the text that was decided for a version, if that is known.
    pub fn decided(&self, version: u32) -> Option<u64> {
        self.slots.get(&version)?.decided
    }

    /// Whether nothing is remembered of a version any more.
    pub fn is_compacted(&self, version: u32) -> bool {
        version <= self.compacted_up_to
    }

    /// The compressed text with that digest, if it was accepted here.
    pub fn accepted_text(&self, version: u32, digest: u64) -> Option<Vec<u8>> {
        let accepted = self.slots.get(&version)?.acceptor.accepted.as_ref()?;
        let text = &accepted.value;
        text.compressed.clone().filter(|_| text.digest == digest)
    }

    /// Records a decision. Returns whether it was unknown here.
    ///
    /// Ignored while the version is above the one in force: a node that knows of a decision but lacks its text must go
    /// on reporting the version as open, or a read would miss it.
    pub fn decide(&mut self, version: u32, digest: u64, in_force: u32) -> bool {
        if self.is_compacted(version) || version > in_force {
            return false;
        }
        let slot = self.slots.entry(version).or_default();
        let was_unknown = slot.decided.replace(digest).is_none();
        slot.acceptor = Acceptor::default();
        self.compact(in_force);
        was_unknown
    }

    /// The highest version above `floor` with a text that was accepted and is not known to be decided.
    pub fn highest_open(&self, floor: u32) -> Option<OpenVersion> {
        let mut slots = self.slots.range(floor.saturating_add(1)..).rev();
        slots.find_map(|(version, slot)| {
            let accepted = slot.acceptor.accepted.clone();
            let accepted = accepted.filter(|_| slot.decided.is_none())?;
            Some(OpenVersion {
                version: *version,
                ballot: accepted.ballot,
                text: accepted.value,
            })
        })
    }

    /// Drops the texts of all versions up to `in_force`, which are no longer needed, and keeps the decisions on them.
    pub fn discard_superseded_texts(&mut self, in_force: u32) {
        for (_, slot) in self.slots.range_mut(..=in_force) {
            if let Some(accepted) = &mut slot.acceptor.accepted {
                accepted.value.compressed = None;
            }
        }
        self.compact(in_force);
    }

    /// Drops the oldest slots beyond [`REMEMBERED_VERSIONS`].
    fn compact(&mut self, in_force: u32) {
        let superseded = self.slots.range(..=in_force).count();
        for _ in REMEMBERED_VERSIONS..superseded {
            let Some((version, _)) = self.slots.pop_first() else {
                return;
            };
            self.compacted_up_to = self.compacted_up_to.max(version);
        }
    }

    /// Merges the other node's table into this one. This node then answers as if it had received the other's requests
    /// too.
    pub fn merge(&mut self, other: &VersionTable) {
        self.compacted_up_to = self.compacted_up_to.max(other.compacted_up_to);
        for (version, theirs) in &other.slots {
            let ours = self.slots.entry(*version).or_default();
            ours.acceptor.merge(&theirs.acceptor);
            ours.decided = ours.decided.or(theirs.decided);
        }
        let compacted_up_to = self.compacted_up_to;
        self.slots.retain(|version, _| *version > compacted_up_to);
    }

    /// How many versions are remembered.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
