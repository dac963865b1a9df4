//! The decision engine's decisions, one instance at a time.

#[path = "../common/mod.rs"]
mod common;

mod breaker;
mod counter;
mod harness;
mod rate_limit;
mod retries;
mod sampling;
mod servers;
mod slow_start;
