//! The messages on the connections between control, agents and proxies.
//!
//! They are encoded with postcard, which writes a variant's position and a struct's fields in their order: renaming is
//! safe; reordering, splitting or changing a type breaks nodes of other versions. All times are ages in milliseconds,
//! never times of day, since no two clocks here agree.

use crate::hash::digest;
use crate::servers::ServerInstance;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Whether clients may be sent to a proxy, from worst to best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Readiness {
    /// It lacks state that it needs to serve requests, or no longer accepts requests.
    #[default]
    Closed,
    /// It is shutting down gracefully, and accepts requests for a little longer.
    Draining,
    /// It accepts requests.
    Ready,
}

/// A proxy that clients can be sent to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyEndpoint {
    /// The address at which it accepts clients.
    pub addr: SocketAddrV4,
    /// The zone that it is in.
    pub zone: String,
    /// Whether clients may be sent to it.
    pub readiness: Readiness,
    /// Whether it has applied the decided state, or lacks it only since a moment ago.
    pub is_current: bool,
}

impl ProxyEndpoint {
    /// Whether new clients may be sent to it.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// The versions of the operators' commands that a state contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The version of the configuration.
    pub config: u32,
    /// The number of the last evacuation command.
    pub evacuation: u64,
}

impl Revision {
    /// Whether `self` is at least as new as `other` in both parts.
    pub fn covers(&self, other: &Revision) -> bool {
        self.config >= other.config && self.evacuation >= other.evacuation
    }
}

/// The number of digests in a [`StateDigest`]: routes, services, tenants and evacuations have one each.
pub const DIGEST_SECTIONS: usize = 4;

/// Identifies a decided or applied state: its revision, and a digest of each section's canonical form. The digests
/// distinguish two texts of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// The versions of the commands in it.
    pub revision: Revision,
    /// A digest of each section.
    pub digests: [u64; DIGEST_SECTIONS],
}

/// The address of a control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlAddress {
    /// Its IP address; its ports follow from the settings.
    pub ip: Ipv4Addr,
    /// The zone that it is in.
    pub zone: String,
    /// Whether the sender has received a message from it lately, and it is not shutting down.
    pub reachable: bool,
}

/// One section of the state that proxies apply. Each is complete, and supersedes the previous one of its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateSection {
    /// The operators' configuration.
    Config {
        /// Its version.
        version: u32,
        /// Its text, compressed.
        compressed_text: Vec<u8>,
        /// The digest of the decided compressed text. A text with another digest is damaged and is never applied.
        checksum: u64,
    },
    /// The zones that are evacuated.
    Evacuated {
        /// The number of the last evacuation command for any zone.
        revision: u64,
        /// The names of the zones.
        zones: Vec<String>,
    },
    /// The platform's list of servers.
    Servers {
        /// The age of the list when it was sent, in milliseconds.
        age_ms: u32,
        /// The servers.
        list: Vec<ServerInstance>,
    },
    /// The proxies that clients can be sent to.
    Proxies(Vec<ProxyEndpoint>),
    /// The control nodes.
    Control(Vec<ControlAddress>),
}

/// The number of kinds of sections.
pub const SECTION_KINDS: usize = 5;

impl StateSection {
    /// The section of a configuration, with the checksum of its compressed text.
    pub fn config(version: u32, compressed_text: Vec<u8>) -> StateSection {
        let checksum = digest(&compressed_text);
        StateSection::Config {
            version,
            compressed_text,
            checksum,
        }
    }

    /// Whether a configuration's text has the checksum that was decided with it; true for all other sections.
    pub fn has_valid_checksum(&self) -> bool {
        match self {
            StateSection::Config {
                compressed_text,
                checksum,
                ..
            } => digest(compressed_text) == *checksum,
            _ => true,
        }
    }

    /// Whether the section is decided by operators' commands, and part of the [`StateDigest`].
    pub fn is_decided(&self) -> bool {
        matches!(
            self,
            StateSection::Config { .. } | StateSection::Evacuated { .. }
        )
    }

    /// The position of the section's kind, below [`SECTION_KINDS`].
    pub fn kind(&self) -> usize {
        match self {
            StateSection::Config { .. } => 0,
            StateSection::Evacuated { .. } => 1,
            StateSection::Servers { .. } => 2,
            StateSection::Proxies(_) => 3,
            StateSection::Control(_) => 4,
        }
    }
}

/// A message from control to an agent, or from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromControl {
    /// A section of the state changed.
    Update {
        /// The sequence number of the update on this connection.
        number: u64,
        /// The new section.
        section: StateSection,
    },
    /// The answer to a heartbeat.
    Heartbeat {
        /// `sent_at_ms` of the heartbeat that is answered.
        sent_at_ms: u64,
        /// How many milliseconds ago a majority of control's disks held nothing newer than `decided`; `None` if that
        /// was never confirmed.
        majority_age: Option<u32>,
        /// The state that was decided.
        decided: StateDigest,
        /// Whether control has certainly heard the receiver lately. An agent sends false to its proxy once no heartbeat of
        /// the last 650 ms is answered.
        control_reachable: bool,
        /// Whether at least half of all agents, too, lack a recent confirmation by a majority.
        most_agents_isolated: bool,
    },
    /// Discard the applied state: all sections follow.
    Resync,
}

/// A message from a proxy to its agent, or from an agent to control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// The first message on a connection: introduces the sender.
    Hello {
        /// The host's name.
        host: String,
        /// The address at which its proxy accepts clients.
        proxy_addr: SocketAddrV4,
        /// The zone that it is in.
        zone: String,
    },
    /// The proxy is alive.
    Heartbeat {
        /// When it was sent, by the sender's monotonic clock; the answer repeats it.
        sent_at_ms: u64,
        /// Whether clients may be sent to the proxy.
        readiness: Readiness,
        /// The state that the proxy has applied, computed from its tables.
        applied: StateDigest,
    },
    /// The last message on this connection: the agent moves to another control node.
    Disconnecting,
    /// All updates up to this sequence number are applied.
    Applied {
        /// The sequence number of the last applied update.
        number: u64,
    },
}

/// A message that arrives at control: of an agent, or of another control node, whose messages `P` only control can
/// read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope<P = ()> {
    /// From an agent.
    Agent(ToControl),
    /// From another control node.
    Peer(P),
}
