//! Addresses of the active proxies, taken from the list sent by control.

use aspendrum_model::message::ProxyEndpoint;
use std::net::Ipv4Addr;

/// Sorted proxy addresses without duplicates.
pub(super) struct ProxyAddresses {
    /// All listed proxies, including those that are about to become ready. After a restart of the whole fleet no
    /// proxy is ready yet, but each already counts for the division of quotas.
    pub(super) all: Vec<Ipv4Addr>,
    /// The proxies that are ready and therefore may own counters.
    pub(super) ready: Vec<Ipv4Addr>,
}

impl ProxyAddresses {
    pub(super) fn from_endpoints(proxies: &[ProxyEndpoint]) -> ProxyAddresses {
        let all = sorted(proxies.iter());
        let ready = sorted(proxies.iter().filter(|proxy| proxy.is_ready()));
        ProxyAddresses { all, ready }
    }
}

fn sorted<'a>(proxies: impl Iterator<Item = &'a ProxyEndpoint>) -> Vec<Ipv4Addr> {
    let mut addresses: Vec<Ipv4Addr> = proxies.map(|proxy| *proxy.addr.ip()).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}
