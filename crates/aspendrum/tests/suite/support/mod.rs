//! Test support: fake services, configurations and clients on loopback.

pub(crate) mod client;
pub(crate) mod configuration;
pub(crate) mod fake_services;

use aspendrum::config::Config;
use aspendrum::Limiter;
use configuration::{config, hosts};
use fake_services::{counter, discovery};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a limiter in front of the given servers, with a working counter and discovery.
pub(crate) fn limiter(servers: &[SocketAddr]) -> Limiter {
    start(&config(servers, counter(None), discovery(list(servers, 2))))
}

/// Returns a complete list of the given servers.
pub(crate) fn list(servers: &[SocketAddr], version: u64) -> String {
    json!({"seq": version, "whole": true, "hosts": hosts(servers)}).to_string()
}

pub(crate) fn start(config: &Value) -> Limiter {
    Limiter::start(Config::parse(&config.to_string()).unwrap()).unwrap()
}

/// Waits up to two seconds for the condition to become true.
pub(crate) fn eventually(condition: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while !condition() && started_at.elapsed() < Duration::from_secs(2) {
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}
