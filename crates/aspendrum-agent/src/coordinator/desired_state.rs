//! What was decided, as far as this agent knows: the newest section of each kind.

use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{StateDigest, StateSection, SECTION_KINDS};
use aspendrum_model::servers::ServerList;
use aspendrum_reconcile::{state_digest, Millis};

/// Kinds of sections that the digest is of.
pub(super) const CONFIG: usize = 0;
pub(super) const EVACUATED: usize = 1;
const CONTROL: usize = 4;

/// Who sent a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Control, which decides which of two texts under one version counts.
    Control,
    /// Another agent.
    Peer,
}

/// What became of a section.
pub(super) enum Update {
    /// It is held now.
    Accepted {
        /// Its kind.
        kind: usize,
    },
    /// What is held is as new.
    Ignored,
}

/// The newest section of each kind that has come.
pub(super) struct DesiredState {
    sections: [Option<StateSection>; SECTION_KINDS],
    /// The list of servers, which ages while it is held.
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
    /// All kinds of sections.
    pub(super) fn kinds() -> std::ops::Range<usize> {
        0..SECTION_KINDS
    }

    /// The digest of what is held, as it would be in force.
    pub(super) fn digest(&self) -> StateDigest {
        self.digest
    }

    /// A list of control nodes has come.
    pub(super) fn knows_control(&self) -> bool {
        self.sections[CONTROL].is_some()
    }

    /// Takes a section that is newer than what is held. Versions of a configuration and numbers of evacuations order them;
    /// of the other kinds the last one counts.
    pub(super) fn accept(&mut self, now: Millis, section: StateSection, source: Source) -> Update {
        let kind = section.kind();
        if !is_newer(&section, self.sections[kind].as_ref(), source) {
            return Update::Ignored;
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
        Update::Accepted { kind }
    }

    /// The section of one kind, as it is to be sent now.
    pub(super) fn section(&self, kind: usize, now: Millis) -> Option<StateSection> {
        let mut section = self.sections[kind].clone()?;
        if let (StateSection::Servers { age_ms, list }, Some(polled)) =
            (&mut section, self.servers.polled_at)
        {
            *age_ms = (now - polled).max(0.0) as u32;
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
            Some(StateSection::Evacuated { revision, zones }) => (*revision, zones.as_slice()),
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
            let replaces = version == held_version && checksum != held_checksum;
            version > held_version || replaces && source == Source::Control
        }
        (
            StateSection::Evacuated { revision, .. },
            Some(StateSection::Evacuated {
                revision: held_revision,
                ..
            }),
        ) => revision > held_revision,
        _ => true,
    }
}
