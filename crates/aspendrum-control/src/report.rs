//! The reports of a control node to operators, as JSON. Its keys must not change: operators' tools read them. A control
//! node reports the nodes whose agents are connected to it, and the addresses of the other control nodes.

use aspendrum_model::config::{Config, Route};
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{Section, SyncStatus};
use serde_json::{json, Value};

/// A node as this control node knows it.
pub struct NodeReport {
    /// The node's host name.
    pub host: String,
    /// Its proxy's address.
    pub proxy: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Whether clients may be sent to its proxy.
    pub is_ready: bool,
    /// What it has applied, compared with what is decided.
    pub status: SyncStatus,
    /// Since when it has not been current, milliseconds before now; 0 while it is.
    pub not_current_ms: u64,
    /// What it has applied.
    pub applied: StateDigest,
    /// The number of the last update that it was sent.
    pub sent_update: u64,
    /// The number of the last update that it has acknowledged as applied.
    pub acknowledged_update: u64,
}

/// A control node's part in the control plane.
pub struct MembershipReport {
    /// The newest epoch that it knows of.
    pub epoch: u32,
    /// The addresses of the voters.
    pub voters: Vec<String>,
    /// The addresses of all other control nodes that are known of.
    pub control_nodes: Vec<String>,
    /// Whether this node votes and holds everything that was acknowledged.
    pub has_joined: bool,
}

fn version(version: u32) -> String {
    format!("{version:08x}")
}

fn digest(digest: &StateDigest) -> Value {
    let digests = digest.digests.iter().map(|d| format!("{d:016x}"));
    json!({
        "gen": version(digest.revision.config),
        "evacuations": digest.revision.evacuation,
        "digests": digests.collect::<Vec<String>>(),
    })
}

/// The report of all nodes. `host`: this control node's name. `majority_age`: how long ago a majority held nothing
/// newer than `decided`, milliseconds.
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
    let retries = if route.idempotent {
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

/// What each version of the configuration does with a request, the newest first.
pub fn explain<'c>(versions: impl Iterator<Item = &'c Config>, host: &str, path: &str) -> Value {
    let explained = versions.map(|config| {
        let matched = config.route(host, path).map(|n| route(&config.routes[n]));
        json!({"gen": version(config.version), "route": matched})
    });
    let explained: Vec<Value> = explained.collect();
    json!({"host": host, "path": path, "versions": explained})
}
