//! Configurations of the limiter.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the entries of the given servers in a server list.
pub(crate) fn hosts(servers: &[SocketAddr]) -> Value {
    let entry = |(index, address): (usize, &SocketAddr)| {
        json!({"host": format!("s-{index}"), "dial": address.to_string(), "site": "a", "class": "m2", "block": index,
               "health": "in_service", "share": 1.0, "born_ms": 0})
    };
    servers.iter().enumerate().map(entry).collect()
}

/// Returns settings with three endpoint groups, one for each kind of semantics, and one plan whose quota is sufficient
/// for all tests.
pub(crate) fn settings() -> Value {
    let group = |name, semantics| {
        json!({"AimS": 0.4, "Credit": 1.0, "Group": "all", "HardLimitS": 2.0, "Name": name,
               "RepeatWindowS": 5.0, "Semantics": semantics, "Stream": false})
    };
    json!({
        "Discovery": "push", "Feedback": {"Names": ["cpu_share"], "Via": "inline"}, "Instances": 1, "Me": 0,
        "Invariants": {"DrainGraceS": 2.0, "FallMultiple": 3.0, "FallS": 3.0, "GraceToAnswerS": 0.016,
                       "RampTimeS": 18.0, "StartCapacity": 0.16},
        "Kinds": ["m2"], "Zones": ["a"], "Zone": 0, "TickS": 0.004,
        "Limits": {"Cancelling": true, "ConnectTimeoutS": 0.25, "KeepaliveS": 30.0, "MayTell": false,
                   "Probes": true, "RetryAfter": false, "SecondCopies": false, "SendCap": 3},
        "Profiles": [group("look", "retryable"), group("book", "dedup"), group("pay", "fragile")],
        "Specifics": {"CostAfter": false, "CountWaitS": 0.03, "Counter": true, "UnitsTop": 1},
        "TiersOfService": [{"Concurrency": 0, "Depth": 1000.0, "Name": "team", "NeverOverDepth": 0.0,
                            "NeverOverRate": 0.0, "CapSlack": 0.0, "PerSecond": 1000.0, "WorthFactor": 1.0}],
    })
}

pub(crate) fn config(servers: &[SocketAddr], counter: SocketAddr, discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "5", "counter": counter.to_string(),
        "discovery": discovery.to_string(), "limits": {"memory_mb": 192, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": hosts(servers)}, "settings": settings(),
    })
}
