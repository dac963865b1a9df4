//! Tenants' request counters. Each tenant's counter has one owner among the proxies, found by rendezvous hashing; the
//! other proxies ask the owner with one datagram and are answered with one. The decision engine grants or rejects a
//! request by the total that comes back.
//!
//! Only the socket does I/O. Nothing in this module reads a clock; times are milliseconds of the caller's clock.

mod client;
mod id;
mod lease;
mod message;
mod quota;
mod rtt;
mod socket;
mod store;

pub use client::{CounterCall, CounterClient};
pub use id::CounterId;
pub use lease::OwnerLease;
pub use message::{CounterHandover, CounterMessage};
pub use quota::{Quota, QuotaTolerance};
pub use rtt::RttEstimator;
pub use socket::CounterSocket;
pub use store::CounterStore;
