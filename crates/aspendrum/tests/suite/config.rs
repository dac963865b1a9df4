//! Invalid configurations.

use crate::support::configuration::config;
use aspendrum::config::Config;
use serde_json::{json, Value};
use std::net::SocketAddr;
use test_case::test_case;

#[test_case("/listen", json!("here"), "listen is not an address: here" ; "listen")]
#[test_case("/counter", json!(null), "counter is not an address: null" ; "counter")]
#[test_case("/seed", json!("xyz"), "seed is not a hexadecimal number: xyz" ; "seed")]
#[test_case("/limits/sockets", json!(63), "limits.sockets is absurd: 63" ; "sockets")]
#[test_case("/settings/Me", json!(-1), "setting Me is absurd: -1" ; "own number")]
#[test_case("/settings/Profiles", json!([]), "setting Profiles.count" ; "no groups")]
#[test_case("/settings/Profiles/1/AimS", json!("soon"), "setting Profiles.1.AimS is absurd: soon" ; "latency target")]
#[test_case("/settings/Profiles/1/Name", json!("look"), "setting Profiles.1.Name is there twice: look" ; "a name twice")]
#[test_case("/settings/Limits/KeepaliveS", json!(0), "setting Limits.KeepaliveS is absurd" ; "keepalive")]
#[test_case("/known/hosts/0/health", json!("fine"), "known.hosts.0.health is unknown: fine" ; "a known server")]
fn an_invalid_configuration_is_rejected_with_the_name_of_the_key(
    path: &str,
    value: Value,
    error: &str,
) {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let mut config = config(&[address], address, address);
    *config.pointer_mut(path).unwrap() = value;
    let rejected = Config::parse(&config.to_string())
        .map(|_| ())
        .unwrap_err()
        .to_string();
    assert!(rejected.starts_with(error), "{rejected}");
}
