//! The messages on the connections between control, agents and proxies.
//!
//! Messages are encoded with postcard, which writes the index of a variant and the fields of a struct in declaration
//! order. Renaming is safe; reordering, splitting or changing a type breaks compatibility with nodes of other versions.
//! Times are transmitted as ages in milliseconds, never as times of day, since the clocks of the nodes are not
//! synchronized. The exception is `sent_at_ms`, which is only interpreted by its sender.

use crate::hash::digest;
use crate::servers::ServerInstance;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Whether clients may be directed to a proxy, ordered from worst to best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Readiness {
    /// The proxy lacks state that it needs to serve requests, or no longer accepts requests.
    #[default]
    Closed,
    /// The proxy is shutting down gracefully and still accepts requests for a short time.
    Draining,
    /// The proxy accepts requests.
    Ready,
}

/// A proxy to which clients can be directed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyEndpoint {
    /// The address at which the proxy accepts clients.
    pub addr: SocketAddrV4,
    /// The zone in which it is located.
    pub zone: String,
    /// Whether clients may be directed to the proxy.
    pub readiness: Readiness,
    /// Whether the proxy has applied the decided state, or has been behind for only a short time.
    pub is_current: bool,
}

impl ProxyEndpoint {
    /// Whether new clients may be directed to the proxy.
    pub fn is_ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// The versions of the operator commands that are included in a state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// The version of the configuration; `None`, which is less than every version, if the state has none.
    pub config: Option<u32>,
    /// The sequence number of the last evacuation command.
    pub evacuation: u64,
}

impl Revision {
    /// Whether `self` is at least as new as `other` in both components.
    pub fn covers(&self, other: &Revision) -> bool {
        self.config >= other.config && self.evacuation >= other.evacuation
    }
}

/// The number of digests in a [`StateDigest`]: routes, services, tenants and evacuations have one each.
pub const DIGEST_SECTIONS: usize = 4;

/// Identifies a decided or applied state by its revision and a digest of the canonical form of each section. The
/// digests distinguish different texts with the same version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedStateDigest", into = "EncodedStateDigest")]
pub struct StateDigest {
    /// The versions of the commands included in the state.
    pub revision: Revision,
    /// A digest of each section. Without a configuration, the digests of its sections are 0.
    pub digests: [u64; DIGEST_SECTIONS],
}

impl StateDigest {
    /// The number of sections that belong to the configuration. They precede the others.
    const CONFIG_SECTIONS: usize = 3;
}

/// The encoding of a [`StateDigest`]. Without a configuration, its version and the digests of its sections are 0. The
/// digests distinguish this from the version 0, which program versions without a separate value for "none" also send.
#[derive(Serialize, Deserialize)]
struct EncodedStateDigest {
    config: u32,
    evacuation: u64,
    digests: [u64; DIGEST_SECTIONS],
}

impl From<StateDigest> for EncodedStateDigest {
    fn from(state: StateDigest) -> EncodedStateDigest {
        EncodedStateDigest {
            config: state.revision.config.unwrap_or(0),
            evacuation: state.revision.evacuation,
            digests: state.digests,
        }
    }
}

impl From<EncodedStateDigest> for StateDigest {
    fn from(encoded: EncodedStateDigest) -> StateDigest {
        let mut config_digests = encoded.digests.iter().take(StateDigest::CONFIG_SECTIONS);
        let has_config = encoded.config != 0 || config_digests.any(|digest| *digest != 0);
        let revision = Revision {
            config: has_config.then_some(encoded.config),
            evacuation: encoded.evacuation,
        };
        StateDigest {
            revision,
            digests: encoded.digests,
        }
    }
}

/// The address of a control node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlAddress {
    /// The IP address. The ports are derived from the settings.
    pub ip: Ipv4Addr,
    /// The zone in which it is located.
    pub zone: String,
    /// Whether the node is not shutting down and the sender has recently received a message from it.
    pub is_reachable: bool,
}

/// A section of the state that proxies apply. Each section is complete and supersedes the previous one of its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateSection {
    /// The operators' configuration.
    Config {
        /// The version.
        version: u32,
        /// The compressed text.
        compressed_text: Vec<u8>,
        /// The digest of the decided compressed text. A text with a different digest is corrupt and never applied.
        checksum: u64,
    },
    /// The evacuated zones.
    EvacuatedZones {
        /// The sequence number of the last evacuation command for any zone.
        revision: u64,
        /// The names of the zones.
        zones: Vec<String>,
    },
    /// The platform's server list.
    Servers {
        /// The age of the list when it was sent, in milliseconds.
        age_ms: u32,
        /// The servers.
        list: Vec<ServerInstance>,
    },
    /// The proxies to which clients can be directed.
    Proxies(Vec<ProxyEndpoint>),
    /// The control nodes.
    ControlNodes(Vec<ControlAddress>),
}

/// The number of section kinds.
pub const SECTION_KINDS: usize = 5;

impl StateSection {
    /// Creates the section of a configuration, with the checksum of its compressed text.
    pub fn config(version: u32, compressed_text: Vec<u8>) -> StateSection {
        let checksum = digest(&compressed_text);
        StateSection::Config {
            version,
            compressed_text,
            checksum,
        }
    }

    /// Whether the compressed text of a configuration matches its checksum. Always true for other sections.
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

    /// Whether the section is determined by operator commands and thus part of the [`StateDigest`].
    pub fn is_decided(&self) -> bool {
        matches!(
            self,
            StateSection::Config { .. } | StateSection::EvacuatedZones { .. }
        )
    }

    /// Returns the index of the section kind, which is less than [`SECTION_KINDS`].
    pub fn kind(&self) -> usize {
        match self {
            StateSection::Config { .. } => 0,
            StateSection::EvacuatedZones { .. } => 1,
            StateSection::Servers { .. } => 2,
            StateSection::Proxies(_) => 3,
            StateSection::ControlNodes(_) => 4,
        }
    }
}

/// A message from control to an agent, or from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromControl {
    /// A section of the state has changed.
    Update {
        /// The sequence number of the update on the connection.
        number: u64,
        /// The new section.
        section: StateSection,
    },
    /// The reply to a heartbeat.
    HeartbeatReply {
        /// The `sent_at_ms` of the heartbeat to which this is the reply.
        sent_at_ms: u64,
        /// The time in milliseconds since a majority of control's disks held nothing newer than `decided`; `None` if
        /// this was never confirmed.
        majority_age: Option<u32>,
        /// The decided state.
        decided: StateDigest,
        /// Whether control has recently received a message from the receiver. An agent sends false to its proxy if none
        /// of its heartbeats of the last 650 ms has been answered.
        control_reachable: bool,
        /// Whether at least half of all agents lack a recent majority report.
        half_of_agents_isolated: bool,
    },
    /// Instructs the receiver to rebuild its tables from the next configuration, whatever its version. The current
    /// tables remain in use until then. All sections follow.
    Resync,
}

/// A message from a proxy to its agent, or from an agent to control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// Identifies the sender and its proxy. It precedes all heartbeats on a connection.
    Hello {
        /// The host name.
        host: String,
        /// The address at which the proxy accepts clients.
        proxy_addr: SocketAddrV4,
        /// The zone in which it is located.
        zone: String,
    },
    /// Reports the state of the proxy periodically.
    Heartbeat {
        /// The time of sending by the sender's monotonic clock. The reply repeats it.
        sent_at_ms: u64,
        /// Whether clients may be directed to the proxy.
        readiness: Readiness,
        /// The state that the proxy has applied, computed from its tables.
        applied: StateDigest,
    },
    /// The last message on a connection: the agent moves to another control node.
    Disconnecting,
    /// All updates up to a sequence number have been applied.
    Applied {
        /// The sequence number of the last applied update.
        number: u64,
    },
}

/// A message received by control, either from an agent or from another control node. The type `P` of messages between
/// control nodes is only defined in control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope<P = ()> {
    /// From an agent.
    Agent(ToControl),
    /// From another control node.
    Peer(P),
}
