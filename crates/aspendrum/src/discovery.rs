//! The list of servers: the one that the configuration holds, then discovery's. Silence and faulty lists leave the last
//! list in force.

mod client;
mod endpoint;
mod publish;

pub(crate) use client::{DiscoveryClient, DiscoveryOptions};
pub(crate) use endpoint::DiscoveryEndpoint;
pub(crate) use publish::publish;
