//! The decision engine's decisions, one instance at a time.

#[path = "../common/mod.rs"]
mod common;

mod breaker;
mod ceiling;
mod counter;
mod harness;
mod retries;
mod sampling;
mod servers;
mod slow_start;
