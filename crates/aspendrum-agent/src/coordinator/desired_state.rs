//! The desired state: the newest known section of each kind.

use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{StateDigest, StateSection, SECTION_KINDS};
use aspendrum_model::servers::ServerList;
use aspendrum_reconcile::{state_digest, Millis};

/// The section kinds that are covered by the digest.
pub(super) const CONFIG: usize = 0;
pub(super) const EVACUATED: usize = 1;
/// The kind of the list of control nodes.
const CONTROL: usize = 4;

/// The sender of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Control, which is authoritative if two configurations have the same version.
    Control,
    /// Another agent.
    Peer,
}

/// The result of [`DesiredState::accept`].
pub(super) enum AcceptResult {
    /// The section was stored.
    Accepted {
        /// The kind of the section.
        kind: usize,
    },
    /// The stored section is at least as new.
    Ignored,
}

/// The newest received section of each kind.
pub(super) struct DesiredState {
    sections: [Option<StateSection>; SECTION_KINDS],
    /// The server list, whose age and slow-start times are updated when it is sent.
    servers: ServerList,
    digest: StateDigest,
}

impl Default for DesiredState {
    fn default() -> DesiredState {
        let digest = state_digest(None, 0, &[]);
        DesiredState {
            sections: [const { None }; SECTION_KINDS],
            servers: ServerList::default(),
            digest,
        }
    }
}

impl DesiredState {
    /// Returns the range of all section kinds.
    pub(super) fn kinds() -> std::ops::Range<usize> {
        0..SECTION_KINDS
    }

    /// Returns the digest of the stored state.
    pub(super) fn digest(&self) -> StateDigest {
        self.digest
    }

    /// Whether a list of control nodes has been received.
    pub(super) fn has_control_nodes(&self) -> bool {
        self.sections[CONTROL].is_some()
    }

    /// Stores a section if it is newer than the stored one. Configurations are ordered by version and evacuations by
    /// revision. The other kinds are always accepted. Of a server list, the entries are taken only if it was polled
    /// later than the stored list.
    pub(super) fn accept(
        &mut self,
        now: Millis,
        section: StateSection,
        source: Source,
    ) -> AcceptResult {
        let kind = section.kind();
        if !is_newer(&section, self.sections[kind].as_ref(), source) {
            return AcceptResult::Ignored;
        }
        if let StateSection::Servers { age_ms, list } = &section {
            self.servers
                .replace(now, list.clone(), now - f64::from(*age_ms));
        }
        if let StateSection::Config { version, .. } = &section {
            log::info!("event=update part=config version={version:08x}");
        }
        self.sections[kind] = Some(section);
        if kind == CONFIG || kind == EVACUATED {
            self.update_digest();
        }
        AcceptResult::Accepted { kind }
    }

    /// Returns the section of the given kind, with ages as of `now`.
    pub(super) fn section(&self, kind: usize, now: Millis) -> Option<StateSection> {
        let mut section = self.sections[kind].clone()?;
        if let (StateSection::Servers { age_ms, list }, Some(polled_at)) =
            (&mut section, self.servers.polled_at)
        {
            *age_ms = (now - polled_at).max(0.0) as u32;
            *list = self.servers.snapshot(now);
        }
        Some(section)
    }

    fn update_digest(&mut self) {
        let config = match &self.sections[CONFIG] {
            Some(StateSection::Config {
                compressed_text, ..
            }) => decompress(compressed_text).and_then(|text| Config::read(&text).ok()),
            _ => None,
        };
        let (revision, zones) = match &self.sections[EVACUATED] {
            Some(StateSection::EvacuatedZones { revision, zones }) => (*revision, zones.as_slice()),
            _ => (0, [].as_slice()),
        };
        self.digest = state_digest(config.as_ref(), revision, zones);
    }
}

fn is_newer(section: &StateSection, held: Option<&StateSection>, source: Source) -> bool {
    match (section, held) {
        (
            StateSection::Config {
                version, checksum, ..
            },
            Some(StateSection::Config {
                version: held_version,
                checksum: held_checksum,
                ..
            }),
        ) => {
            let conflicts = version == held_version && checksum != held_checksum;
            version > held_version || conflicts && source == Source::Control
        }
        (
            StateSection::EvacuatedZones { revision, .. },
            Some(StateSection::EvacuatedZones {
                revision: held_revision,
                ..
            }),
        ) => revision > held_revision,
        _ => true,
    }
}
