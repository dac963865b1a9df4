//! The faults that a scenario injects.

use super::selector::Selector;
use serde::{Deserialize, Serialize};

/// One fault of the timeline.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    /// When it first begins, in seconds since the traffic began.
    pub at_s: f64,
    /// The duration of one occurrence, in seconds. Without it, the fault lasts until the end of the run, unless it is
    /// instantaneous ([`FaultKind::is_instant`]).
    #[serde(default, rename = "for_s")]
    pub duration_s: Option<f64>,
    /// The interval between the starts of two occurrences, in seconds. Without it, the fault occurs once.
    #[serde(default, rename = "every_s")]
    pub interval_s: Option<f64>,
    /// The kind of the fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults, by what they affect.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FaultKind {
    /// A fault on the links of some limiters.
    Link(LinkFault),
    /// Limiters receive SIGKILL, and are restarted without state when the fault ends.
    Kill(ProcessFault),
    /// Limiters receive SIGTERM, and are restarted when the fault ends and the old process has exited.
    Term(ProcessFault),
    /// Limiters receive SIGSTOP, and SIGCONT when the fault ends.
    Stall(ProcessFault),
    /// A fault of servers.
    Server(ServerFault),
    /// A fault of the shared counter.
    Counter(CounterFault),
    /// A fault of discovery.
    Discovery(DiscoveryFault),
}

/// A fault on the links of some limiters. Shares are of messages, from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// The kind of links affected.
    pub path: LinkPath,
    /// The limiters at one end of the links.
    #[serde(rename = "of")]
    pub limiters: Selector,
    /// The limiters or servers at the other end, for paths to limiters and servers. For servers, empty selects all.
    #[serde(default)]
    pub to: Selector,
    /// The direction of the affected messages.
    #[serde(default, rename = "way")]
    pub direction: LinkDirection,
    /// Whether the links are cut, so that nothing passes.
    #[serde(default, rename = "cut")]
    pub is_cut: bool,
    /// The share of datagrams that are lost.
    #[serde(default, rename = "lose")]
    pub loss: f64,
    /// The delay added to each message, in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// The maximum random delay added to `delay_ms`, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// The share of datagrams that are reordered.
    #[serde(default, rename = "reorder")]
    pub reordering: f64,
    /// The share of datagrams that are duplicated.
    #[serde(default, rename = "twice")]
    pub duplication: f64,
    /// Whether the open connections are reset when the fault begins.
    #[serde(default, rename = "reset")]
    pub resets_connections: bool,
}

/// A signal sent to limiters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    /// The limiters.
    #[serde(rename = "of")]
    pub limiters: Selector,
}

/// A fault of servers. Shares are of queries, from 0 to 1.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerFault {
    /// The servers.
    #[serde(rename = "of")]
    pub servers: Selector,
    /// The factor by which their processing time is multiplied; values below 1 count as 1.
    #[serde(default, rename = "slow")]
    pub slowdown: f64,
    /// The share of queries answered with an error.
    #[serde(default, rename = "failing")]
    pub error_share: f64,
    /// The share of queries whose connection is reset.
    #[serde(default, rename = "resetting")]
    pub reset_share: f64,
    /// Whether they send no responses.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// Whether discovery reports them as draining. They are killed and restarted, with a slow start, when the fault ends.
    #[serde(default, rename = "drain")]
    pub is_draining: bool,
    /// Whether they crash when the fault begins. They are restarted, with a slow start, when it ends.
    #[serde(default, rename = "gone")]
    pub is_gone: bool,
}

/// A fault of the shared counter.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CounterFault {
    /// Whether it sends no responses.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// The delay added to each response, in milliseconds.
    #[serde(default, rename = "slow_ms")]
    pub delay_ms: f64,
    /// Whether it rejects calls as overloaded.
    #[serde(default, rename = "busy")]
    pub is_busy: bool,
    /// Whether all counts are lost when the fault begins.
    #[serde(default, rename = "emptied")]
    pub is_cleared: bool,
    /// Whether all counts are lost and its connections are reset when the fault begins.
    #[serde(default, rename = "replaced")]
    pub is_replaced: bool,
}

/// A fault of discovery.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoveryFault {
    /// Whether it sends no responses.
    #[serde(default, rename = "silent")]
    pub is_silent: bool,
    /// The delay of its server lists, in milliseconds.
    #[serde(default, rename = "late_ms")]
    pub delay_ms: f64,
    /// Whether its server lists are no longer updated.
    #[serde(default, rename = "stale")]
    pub is_stale: bool,
    /// The maximum number of calls per second; 0 keeps the scenario's limit.
    #[serde(default)]
    pub calls_per_s: f64,
}

impl FaultKind {
    /// Whether the fault takes effect only at its start; otherwise it lasts until it ends.
    pub fn is_instant(&self) -> bool {
        match self {
            FaultKind::Link(fault) => fault.resets_connections && !fault.impairs(),
            FaultKind::Counter(fault) => {
                !fault.is_silent && !fault.is_busy && fault.delay_ms == 0.0
            }
            _ => false,
        }
    }

    /// Returns the name of the kind in scenario files.
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
    /// Whether messages are lost, delayed, reordered or duplicated during the fault.
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

/// A direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkDirection {
    /// From the connecting side.
    #[serde(rename = "there")]
    Forward,
    /// To the connecting side.
    #[serde(rename = "back")]
    Backward,
    /// Both directions.
    #[default]
    Both,
}

impl LinkDirection {
    /// Whether it includes messages sent by the connecting side.
    pub fn is_forward(self) -> bool {
        self != LinkDirection::Backward
    }

    /// Whether it includes messages received by the connecting side.
    pub fn is_backward(self) -> bool {
        self != LinkDirection::Forward
    }
}
