//! The configuration of each limiter of a scenario, in the platform's JSON format.

use crate::scenario::{Group, LoadReports, Plan, Scenario};
use aspendrum_checker::limiter::RetrySafety;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The addresses in the configuration of a limiter. Each limiter has its own links to the other parties.
pub struct LimiterAddresses {
    /// The listen address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the shared counter.
    pub counter: SocketAddr,
    /// The listen address for datagrams of other limiters.
    pub peer_listen: SocketAddr,
    /// The addresses of all limiters, including itself.
    pub peers: Vec<SocketAddr>,
    /// The address that broadcasts to all other limiters.
    pub broadcast: SocketAddr,
    /// The server list with which the limiter starts, as discovery last published it.
    pub initial_list: Value,
}

/// Returns the configuration of a limiter for a start with a seed.
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

/// Returns the operator settings of a limiter, with the key names of the settings format.
fn settings(scenario: &Scenario, number: usize) -> Value {
    let zones: Vec<String> = (0..scenario.limiters.zones)
        .map(|zone| format!("zone-{zone}"))
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

/// How long repeats of a query with an idempotency key are deduplicated, in seconds.
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
