//! Tenant request counters. Each tenant's counter is owned by one proxy, selected by rendezvous hashing.
//! Another proxy adds to it with one datagram to the owner, which replies with one. The decision engine admits
//! or rejects a request by the returned total. The decision engine calls all counters together the shared counter, and
//! refers to a single one by its name.
//!
//! Only the socket does I/O. This module reads no clock; times are milliseconds of the caller's clock.

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
