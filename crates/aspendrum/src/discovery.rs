//! Server discovery: the list in the configuration is used until the discovery service responds. If the service does
//! not respond or sends an invalid list, the last valid list stays in use.

mod client;
mod endpoint;
mod publish;

pub(crate) use client::{DiscoveryClient, DiscoveryOptions};
pub(crate) use endpoint::DiscoveryEndpoint;
pub(crate) use publish::publish;
