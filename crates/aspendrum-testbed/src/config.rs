//! The configuration that each limiter of a scenario is started with, in the platform's form.

use crate::scenario::{Group, Plan, Reports, Scenario};
use aspendrum_checker::limiter::RetrySafety;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Where one limiter finds everything, all by links of its own.
pub struct Places {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub peers_all: SocketAddr,
    /// The list of servers as it held it last.
    pub known: Value,
}

/// The limiter with that number, at its start with that seed.
pub fn limiter(scenario: &Scenario, me: usize, seed: u64, at: &Places) -> Value {
    let peers: Vec<String> = at.peers.iter().map(SocketAddr::to_string).collect();
    json!({
        "name": format!("n{me}"),
        "listen": at.listen.to_string(),
        "discovery": at.discovery.to_string(),
        "counter": at.counter.to_string(),
        "peer_listen": at.peer_listen.to_string(),
        "peers": peers,
        "peers_all": at.peers_all.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": scenario.limiters.sockets},
        "known": at.known,
        "settings": settings(scenario, me),
    })
}

fn settings(s: &Scenario, me: usize) -> Value {
    let zones: Vec<String> = (0..s.limiters.zones).map(|z| format!("zone-{z}")).collect();
    let (names, via): (&[&str], &str) = match s.servers.reports {
        Reports::Answers => (&["busy_reqs", "pending", "cpu_share"], "inline"),
        Reports::Probes => (&["busy_reqs", "pending", "cpu_share"], "on_probe"),
        Reports::Off => (&[], "off"),
    };
    let units = s.customers.iter().map(|c| c.units).fold(1.0, f64::max);
    json!({
        "Me": me, "Instances": s.limiters.count, "Zone": s.zone(me), "Zones": zones, "Kinds": ["plain"],
        "TickS": 0.004,
        "Discovery": if s.discovery.asked { "ask" } else { "push" },
        "Feedback": {"Names": names, "Via": via},
        "Invariants": {
            "DrainGraceS": s.rules.drain_grace_s, "FallMultiple": s.rules.fall_multiple,
            "FallS": s.rules.fall_s, "GraceToAnswerS": 0.016, "RampTimeS": s.servers.ramp_s,
            "StartCapacity": s.servers.cold_share, "MustAskInS": 10.0,
        },
        "Limits": {
            "Cancelling": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MayTell": s.limiters.datagrams,
            "Probes": s.servers.reports == Reports::Probes, "RetryAfter": false, "SecondCopies": false,
            "SendCap": 4,
        },
        "Profiles": s.groups.iter().map(group).collect::<Vec<_>>(),
        "Specifics": {
            "CostAfter": false, "CountWaitS": s.counter.wait_ms / 1000.0, "Counter": s.counter.there,
            "UnitsTop": units, "PeerInPerS": s.limiters.datagrams_per_s,
        },
        "TiersOfService": s.plans.iter().map(plan).collect::<Vec<_>>(),
    })
}

/// A keyed query's repeat is dropped for so long, seconds.
pub const REPEAT_WINDOW_S: f64 = 5.0;
/// Of a ceiling, what may be passed.
pub const CEILING_SLACK: f64 = 0.1;

fn group(g: &Group) -> Value {
    let semantics = match g.repeats {
        RetrySafety::Idempotent => "retryable",
        RetrySafety::Deduplicated => "dedup",
        RetrySafety::NonIdempotent => "fragile",
    };
    json!({
        "Name": g.name, "AimS": g.slo_s, "HardLimitS": g.limit_s, "Semantics": semantics, "Group": "all",
        "RepeatWindowS": REPEAT_WINDOW_S, "Credit": g.importance, "Stream": false,
    })
}

fn plan(p: &Plan) -> Value {
    json!({
        "Name": p.name, "PerSecond": p.rate, "Depth": p.burst, "Concurrency": 0, "WorthFactor": 1.0,
        "NeverOverRate": p.ceiling_rate, "NeverOverDepth": p.ceiling_burst, "CapSlack": CEILING_SLACK,
        "BeyondCosts": 1.0,
    })
}
