//! The words on the held connections between control, agents and proxies. All times in milliseconds; ages,
//! never times of day: no two clocks here agree.

use crate::hash::digest;
use crate::servers::ServerInstance;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Whether clients may be sent to a proxy; what is better comes later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Readiness {
    /// It lacks something that requests need, or takes none any more.
    #[default]
    Closed,
    /// It was told to end, and takes requests for a little longer.
    Draining,
    Ready,
}

/// A proxy that takes queries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyEndpoint {
    pub addr: SocketAddrV4,
    pub zone: String,
    pub readiness: Readiness,
    /// What it applied is what was decided, or was so a moment ago.
    pub current: bool,
}

impl ProxyEndpoint {
    /// New clients may be sent to it.
    pub fn ready(&self) -> bool {
        self.readiness == Readiness::Ready
    }
}

/// How far orders have come: the version of the configuration, and the number of the last evacuation order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    pub config: u32,
    pub evacuation: u64,
}

/// The sections of a configuration and of what operators ordered besides, each with a digest of its own.
pub const DIGEST_SECTIONS: usize = 4;

/// What was decided, or what is in force: how far it has come, and a digest of each section's canonical form. Two
/// texts under one number differ in these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    pub revision: Revision,
    pub digests: [u64; DIGEST_SECTIONS],
}

impl Revision {
    /// Nothing in the other is newer.
    pub fn covers(&self, other: &Revision) -> bool {
        self.config >= other.config && self.evacuation >= other.evacuation
    }
}

/// Part of what is decided, each whole and newer than the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateSection {
    /// A configuration, packed. `seal`: of the text that was decided; what does not bear it is never applied.
    Config {
        version: u32,
        text: Vec<u8>,
        checksum: u64,
    },
    /// The zones that are evacuated, and the number of the last order about any zone.
    Evacuated {
        number: u64,
        zones: Vec<String>,
    },
    /// The platform's list, and its age when it was said.
    Servers {
        age: u32,
        list: Vec<ServerInstance>,
    },
    Proxies(Vec<ProxyEndpoint>),
    Control(Vec<ControlAddress>),
}

/// Where a machine of control is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlAddress {
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Whoever tells this has heard of it of late, and it does not end.
    pub reachable: bool,
}

impl StateSection {
    /// A configuration as it is told, out of its packed text.
    pub fn config(version: u32, text: Vec<u8>) -> StateSection {
        let seal = digest(&text);
        StateSection::Config {
            version,
            text,
            checksum: seal,
        }
    }

    /// It is what whoever sealed it told.
    pub fn has_valid_checksum(&self) -> bool {
        match self {
            StateSection::Config {
                text,
                checksum: seal,
                ..
            } => digest(text) == *seal,
            _ => true,
        }
    }
}

/// The kinds of parts: numbered changes of one kind supersede each other.
pub const SECTION_KINDS: usize = 5;

impl StateSection {
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

/// What flows down: from control to an agent, from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromControl {
    Update {
        number: u64,
        part: StateSection,
    },
    /// Answers a beat. `age`: that long ago a majority of control's disks held nothing above `of`; none if that
    /// was never so.
    Heartbeat {
        stamp: u64,
        majority_age: Option<u32>,
        decided: StateDigest,
        /// Control is heard of; an agent says no while it has no answer of any machine of control.
        control_reachable: bool,
        /// Half of the agents or more have no majority's word either.
        most_agents_isolated: bool,
    },
    /// Forget what was applied: all of it follows.
    Resync,
}

/// What flows up: from a proxy to its agent, from an agent to control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToControl {
    /// The first word: who speaks, and from where.
    Hello {
        host: String,
        front: SocketAddrV4,
        zone: String,
    },
    /// `stamp` comes back with the answer. `applied`: what is in force at the proxy, out of its tables.
    Heartbeat {
        stamp: u64,
        readiness: Readiness,
        applied: StateDigest,
    },
    /// The last word on this connection: the agent goes to another machine of control.
    Disconnecting,
    /// All news up to that number are in force.
    Applied { number: u64 },
}

/// A word on a connection to control: an agent's, or that of another machine of control, whose words only
/// control can read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Envelope<B = ()> {
    Agent(ToControl),
    Peer(B),
}
