//! The JSON reports of a control node for operators. The keys must not change because operators' tools read them. The
//! version (`gen`) of a state without a configuration is null. A control node reports the nodes whose agents are connected to it, and the addresses of the other control nodes.

use aspendrum_model::config::{Config, Route};
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{Section, SyncStatus};
use serde_json::{json, Value};

/// The status of a node whose agent is connected to this control node.
pub struct NodeReport {
    /// The node's host name.
    pub host: String,
    /// The address of its proxy.
    pub proxy: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether its proxy is ready for clients.
    pub is_ready: bool,
    /// The comparison of the applied state with the decided state.
    pub status: SyncStatus,
    /// The time in milliseconds for which the proxy has not been current; 0 if it is current.
    pub not_current_ms: u64,
    /// The digest of the state that the proxy has applied.
    pub applied: StateDigest,
    /// The number of the last update that was sent to the agent.
    pub sent_update: u64,
    /// The number of the last update that the agent has acknowledged as applied.
    pub acknowledged_update: u64,
}

/// A control node's view of the control plane's membership.
pub struct MembershipReport {
    /// The number of the newest known epoch.
    pub epoch: u32,
    /// The addresses of the voters.
    pub voters: Vec<String>,
    /// The addresses of all other known control nodes.
    pub control_nodes: Vec<String>,
    /// Whether this node is a voter and holds everything that was acknowledged before its epoch began.
    pub has_joined: bool,
}

fn version(version: u32) -> String {
    format!("{version:08x}")
}

fn digest(digest: &StateDigest) -> Value {
    let digests = digest.digests.iter().map(|d| format!("{d:016x}"));
    json!({
        "gen": digest.revision.config.map(version),
        "evacuations": digest.revision.evacuation,
        "digests": digests.collect::<Vec<String>>(),
    })
}

/// Returns the report of all nodes. `host` is the host name of this control node. `majority_age` is the time in
/// milliseconds since a majority was last known to hold nothing newer than `decided`.
pub fn nodes(
    host: &str,
    decided: &StateDigest,
    majority_age: Option<u64>,
    nodes: &[NodeReport],
    membership: &MembershipReport,
) -> Value {
    let rows: Vec<Value> = nodes.iter().map(|n| node(host, decided, n)).collect();
    json!({
        "decided": digest(decided),
        "majority-ms-ago": majority_age,
        "nodes": rows,
        "control": membership.control_nodes,
        "epoch": membership.epoch,
        "voters": membership.voters,
        "joined": membership.has_joined,
    })
}

fn node(host: &str, decided: &StateDigest, node: &NodeReport) -> Value {
    let differing = Section::differing(&node.applied, decided);
    let differing = differing.iter().map(|section| section.as_str());
    json!({
        "host": node.host,
        "front": node.proxy,
        "zone": node.zone,
        "ready": node.is_ready,
        "via": host,
        "standing": node.status.as_str(),
        "off-ms": node.not_current_ms,
        "applied": digest(&node.applied),
        "differs": differing.collect::<Vec<&str>>(),
        "told": node.sent_update,
        "acknowledged": node.acknowledged_update,
    })
}

fn route(route: &Route) -> Value {
    let retries = if route.is_idempotent {
        "repeated freely"
    } else {
        "lands once: leaves only where decided is applied"
    };
    let services = route.services.iter();
    let services = services.map(|s| json!({"svc": s.service, "wt": s.weight}));
    json!({
        "name": route.name,
        "retries": retries,
        "services": services.collect::<Vec<Value>>(),
        "tries": route.max_attempts,
        "limit-ms": route.timeout_ms,
        "public": route.is_public,
        "homes": route.home_regions,
    })
}

/// Returns how each configuration version routes a request, newest version first.
pub fn explain<'c>(versions: impl Iterator<Item = &'c Config>, host: &str, path: &str) -> Value {
    let explained = versions.map(|config| {
        let matched = config.route(host, path).map(|n| route(&config.routes[n]));
        json!({"gen": version(config.version), "route": matched})
    });
    let explained: Vec<Value> = explained.collect();
    json!({"host": host, "path": path, "versions": explained})
}
