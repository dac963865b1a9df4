//! What control tells operators of nodes and of what is decided, as JSON. Each machine of control knows the nodes
//! whose agents hold a link to it, and where the other machines are.

use aspendrum_model::config::{Config, Route};
use aspendrum_model::message::StateDigest;
use aspendrum_reconcile::{Section, Standing};
use serde_json::{json, Value};

/// A node as this machine of control knows it.
pub struct Node {
    pub host: String,
    pub front: String,
    pub zone: String,
    pub ready: bool,
    pub standing: Standing,
    /// Milliseconds since it was current last, as of now; 0 while it is.
    pub off_ms: u64,
    pub applied: StateDigest,
    /// Numbered news: told, and acknowledged as in force.
    pub news: (u64, u64),
}

fn version(n: u32) -> String {
    format!("{n:08x}")
}

fn edition(e: &StateDigest) -> Value {
    let digests: Vec<String> = e.digests.iter().map(|d| format!("{d:016x}")).collect();
    json!({"gen": version(e.revision.config), "evacuations": e.revision.evacuation, "digests": digests})
}

/// How a machine of control stands among the others.
pub struct Membership {
    pub epoch: u32,
    /// IP numbers of the voters, and of all other machines that are known of.
    pub voters: Vec<String>,
    pub control: Vec<String>,
    /// This machine votes and holds all that was acknowledged.
    pub joined: bool,
}

/// `age`: so long ago a majority held nothing newer, in milliseconds.
pub fn nodes(
    me: &str,
    decided: &StateDigest,
    age: Option<u64>,
    nodes: &[Node],
    members: &Membership,
) -> Value {
    let row = |n: &Node| {
        let differs: Vec<String> = Section::differing(&n.applied, decided)
            .iter()
            .map(|s| format!("{s:?}").to_lowercase())
            .collect();
        json!({"host": n.host, "front": n.front, "zone": n.zone, "ready": n.ready, "via": me,
            "standing": n.standing.word(), "off-ms": n.off_ms, "applied": edition(&n.applied), "differs": differs,
            "told": n.news.0, "acknowledged": n.news.1})
    };
    let rows: Vec<Value> = nodes.iter().map(row).collect();
    json!({"decided": edition(decided), "majority-ms-ago": age, "nodes": rows, "control": members.control,
        "epoch": members.epoch, "voters": members.voters, "joined": members.joined})
}

fn route(r: &Route) -> Value {
    let may = if r.idempotent {
        "repeated freely"
    } else {
        "lands once: leaves only where decided is applied"
    };
    let services: Vec<Value> = r
        .services
        .iter()
        .map(|s| json!({"svc": s.service, "wt": s.weight}))
        .collect();
    json!({"name": r.name, "retries": may, "services": services, "tries": r.max_attempts, "limit-ms": r.timeout_ms,
        "public": r.is_public, "homes": r.home_regions})
}

/// What each version would do with a request, the newest first.
pub fn explain<'c>(versions: impl Iterator<Item = &'c Config>, host: &str, path: &str) -> Value {
    let told = |c: &Config| json!({"gen": version(c.version), "route": c.route(host, path).map(|n| route(&c.routes[n]))});
    let all: Vec<Value> = versions.map(told).collect();
    json!({"host": host, "path": path, "versions": all})
}
