//! What the tests need around a limiter, on loopback: fake services, configurations and clients.

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

/// A limiter in front of these servers, with a counter and a discovery that work.
pub(crate) fn limiter(servers: &[SocketAddr]) -> Limiter {
    start(&config(servers, counter(None), discovery(list(servers, 2))))
}

/// A complete list of these servers.
pub(crate) fn list(servers: &[SocketAddr], version: u64) -> String {
    json!({"seq": version, "whole": true, "hosts": hosts(servers)}).to_string()
}

pub(crate) fn start(config: &Value) -> Limiter {
    Limiter::start(Config::parse(&config.to_string()).unwrap()).unwrap()
}

/// Waits for what another thread is about to do, up to two seconds.
pub(crate) fn eventually(condition: impl Fn() -> bool) -> bool {
    let started_at = Instant::now();
    while !condition() && started_at.elapsed() < Duration::from_secs(2) {
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}
