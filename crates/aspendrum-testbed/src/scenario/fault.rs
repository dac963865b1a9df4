//! The faults of a scenario's timeline.

use super::selector::Selector;
use serde::{Deserialize, Serialize};

/// One fault of the timeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds from the start.
    pub at_s: f64,
    /// How long it lasts; without it, to the end or, for what happens at once, not at all.
    #[serde(default)]
    pub for_s: Option<f64>,
    /// It comes again after so long, as often as the time allows.
    #[serde(default)]
    pub every_s: Option<f64>,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// A fault on the links of some limiters.
    Link(LinkFault),
    /// SIGKILL; started again from nothing when it ends.
    Kill(ProcessFault),
    /// SIGTERM; started again when it ends, however long the limiter takes.
    Term(ProcessFault),
    /// SIGSTOP, and SIGCONT when it ends.
    Stall(ProcessFault),
    /// Servers.
    Server(ServerFault),
    /// The shared counter.
    Counter(CounterFault),
    /// Discovery.
    Discovery(DiscoveryFault),
}

/// A fault on the links of some limiters. Shares are of messages, from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// On which links.
    pub path: LinkPath,
    /// The limiters at the one end.
    pub of: Selector,
    /// The limiters at the other, where `path` leads to limiters; servers, where it leads to servers.
    #[serde(default)]
    pub to: Selector,
    /// In which direction.
    #[serde(default, rename = "way")]
    pub direction: LinkDirection,
    /// Nothing comes through.
    #[serde(default, rename = "cut")]
    pub is_cut: bool,
    /// The share of datagrams that are lost.
    #[serde(default, rename = "lose")]
    pub loss: f64,
    /// What is added to each, in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// By how much that varies, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// The share that overtakes others.
    #[serde(default, rename = "reorder")]
    pub reordering: f64,
    /// The share that comes twice.
    #[serde(default, rename = "twice")]
    pub duplication: f64,
    /// Ends the connections that are open, at once.
    #[serde(default, rename = "reset")]
    pub resets_connections: bool,
}

/// A signal to limiters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// The limiters.
    pub of: Selector,
}

/// A fault of servers. Shares are of queries, from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerFault {
    /// The servers.
    pub of: Selector,
    /// They take so many times as long.
    #[serde(default, rename = "slow")]
    pub slowdown: f64,
    /// The share of queries that they answer with a failure.
    #[serde(default, rename = "failing")]
    pub error_share: f64,
    /// The share of queries that they reset.
    #[serde(default, rename = "resetting")]
    pub reset_share: f64,
    /// They answer nothing.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// Discovery reports that they drain; they end with the fault, and are back with a slow start.
    #[serde(default, rename = "drain")]
    pub is_draining: bool,
    /// They crash at once, and are back with a slow start when the fault ends.
    #[serde(default, rename = "gone")]
    pub is_gone: bool,
}

/// A fault of the shared counter.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterFault {
    /// It answers nothing.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// What is added to each answer, in milliseconds.
    #[serde(default, rename = "slow_ms")]
    pub delay_ms: f64,
    /// It rejects calls.
    #[serde(default, rename = "busy")]
    pub is_busy: bool,
    /// Every count is lost, at once.
    #[serde(default, rename = "emptied")]
    pub is_cleared: bool,
    /// The same, and its connections are reset.
    #[serde(default, rename = "replaced")]
    pub is_replaced: bool,
}

/// A fault of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    /// It answers nothing.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// How late its lists are, in milliseconds.
    #[serde(default, rename = "late_ms")]
    pub delay_ms: f64,
    /// It answers with old lists.
    #[serde(default, rename = "stale")]
    pub is_stale: bool,
    /// Calls that it takes in a second; 0: as many as without the fault.
    #[serde(default)]
    pub calls_per_s: f64,
}

impl FaultKind {
    /// Whether it is over as soon as it has begun; else it lasts until it is ended.
    pub fn is_instant(&self) -> bool {
        match self {
            FaultKind::Link(fault) => fault.resets_connections && !fault.impairs(),
            FaultKind::Counter(fault) => {
                !fault.is_silent && !fault.is_busy && fault.delay_ms == 0.0
            }
            _ => false,
        }
    }

    /// As the text names it.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Link(_) => "link",
            FaultKind::Kill(_) => "kill",
            FaultKind::Term(_) => "term",
            FaultKind::Stall(_) => "stall",
            FaultKind::Server(_) => "server",
            FaultKind::Counter(_) => "counter",
            FaultKind::Discovery(_) => "discovery",
        }
    }
}

impl LinkFault {
    /// Whether messages are lost, late, out of order or repeated while it lasts.
    fn impairs(&self) -> bool {
        let shares_and_delays =
            self.loss + self.delay_ms + self.jitter_ms + self.reordering + self.duplication;
        self.is_cut || shares_and_delays != 0.0
    }
}

/// The links between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkPath {
    /// Between limiters.
    Limiters,
    /// From limiters to the counter.
    Counter,
    /// From limiters to discovery.
    Discovery,
    /// From limiters to servers.
    Servers,
    /// From clients to limiters.
    #[serde(rename = "front")]
    Clients,
}

/// Which direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// From the one that connects.
    #[serde(rename = "there")]
    Forward,
    /// To the one that connects.
    #[serde(rename = "back")]
    Backward,
    /// Both.
    #[default]
    Both,
}

impl LinkDirection {
    /// Whether it includes what the one that connects sends.
    pub fn is_forward(self) -> bool {
        self != LinkDirection::Backward
    }

    /// Whether it includes what the one that connects receives.
    pub fn is_backward(self) -> bool {
        self != LinkDirection::Forward
    }
}
