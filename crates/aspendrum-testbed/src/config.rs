//! The configuration that each limiter of a scenario is started with, in the platform's form (JSON).

use crate::scenario::{Group, LoadReports, Plan, Scenario};
use aspendrum_checker::limiter::RetrySafety;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The addresses that one limiter is told, all of links of its own.
pub struct LimiterAddresses {
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: SocketAddr,
    /// Where it listens for datagrams of other limiters.
    pub peer_listen: SocketAddr,
    /// Each limiter, itself included.
    pub peers: Vec<SocketAddr>,
    /// All other limiters at once.
    pub broadcast: SocketAddr,
    /// The list of servers, as discovery sent it last.
    pub initial_list: Value,
}

/// The configuration of the limiter with that number, at its start with that seed.
pub fn limiter_config(
    scenario: &Scenario,
    number: usize,
    seed: u64,
    addresses: &LimiterAddresses,
) -> Value {
    let peers: Vec<String> = addresses.peers.iter().map(SocketAddr::to_string).collect();
    json!({
        "name": format!("n{number}"),
        "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(),
        "counter": addresses.counter.to_string(),
        "peer_listen": addresses.peer_listen.to_string(),
        "peers": peers,
        "peers_all": addresses.broadcast.to_string(),
        "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": scenario.limiters.sockets},
        "known": addresses.initial_list,
        "settings": settings(scenario, number),
    })
}

/// What the operators set for all limiters, in the names of their form.
fn settings(scenario: &Scenario, number: usize) -> Value {
    let zones: Vec<String> = (0..scenario.limiters.zones)
        .map(|z| format!("zone-{z}"))
        .collect();
    let (names, via): (&[&str], &str) = match scenario.servers.reports {
        LoadReports::Answers => (&["busy_reqs", "pending", "cpu_share"], "inline"),
        LoadReports::Probes => (&["busy_reqs", "pending", "cpu_share"], "on_probe"),
        LoadReports::Off => (&[], "off"),
    };
    let units = scenario
        .customers
        .iter()
        .map(|c| c.units)
        .fold(1.0, f64::max);
    json!({
        "Me": number, "Instances": scenario.limiters.count, "Zone": scenario.zone(number), "Zones": zones, "Kinds": ["plain"],
        "TickS": 0.004,
        "Discovery": if scenario.discovery.is_polled { "ask" } else { "push" },
        "Feedback": {"Names": names, "Via": via},
        "Invariants": {
            "DrainGraceS": scenario.rules.drain_grace_s, "FallMultiple": scenario.rules.collapse_multiple,
            "FallS": scenario.rules.collapse_window_s, "GraceToAnswerS": 0.016, "RampTimeS": scenario.servers.slow_start_s,
            "StartCapacity": scenario.servers.slow_start_capacity, "MustAskInS": 10.0,
        },
        "Limits": {
            "Cancelling": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MayTell": scenario.limiters.may_send_datagrams,
            "Probes": scenario.servers.reports == LoadReports::Probes, "RetryAfter": false, "SecondCopies": false,
            "SendCap": 4,
        },
        "Profiles": scenario.groups.iter().map(group).collect::<Vec<_>>(),
        "Specifics": {
            "CostAfter": false, "CountWaitS": scenario.counter.timeout_ms / 1000.0, "Counter": scenario.counter.is_present,
            "UnitsTop": units, "PeerInPerS": scenario.limiters.datagrams_per_s,
        },
        "TiersOfService": scenario.plans.iter().map(plan).collect::<Vec<_>>(),
    })
}

/// For so long a repeat of a query with a key is dropped, in seconds.
pub const DEDUPLICATION_WINDOW_S: f64 = 5.0;
/// The share by which a hard limit may be exceeded.
pub const HARD_LIMIT_SLACK: f64 = 0.1;

fn group(group: &Group) -> Value {
    let semantics = match group.retry_safety {
        RetrySafety::Idempotent => "retryable",
        RetrySafety::Deduplicated => "dedup",
        RetrySafety::NonIdempotent => "fragile",
    };
    json!({
        "Name": group.name, "AimS": group.slo_s, "HardLimitS": group.timeout_s, "Semantics": semantics, "Group": "all",
        "RepeatWindowS": DEDUPLICATION_WINDOW_S, "Credit": group.importance, "Stream": false,
    })
}

fn plan(plan: &Plan) -> Value {
    json!({
        "Name": plan.name, "PerSecond": plan.rate, "Depth": plan.burst, "Concurrency": 0, "WorthFactor": 1.0,
        "NeverOverRate": plan.limit_rate, "NeverOverDepth": plan.limit_burst, "CapSlack": HARD_LIMIT_SLACK,
        "BeyondCosts": 1.0,
    })
}
