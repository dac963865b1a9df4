//! Tests of the decisions of a single engine.

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
