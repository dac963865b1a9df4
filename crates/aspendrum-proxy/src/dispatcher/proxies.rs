//! The proxies that share the work, out of the list that control sends.

use aspendrum_model::message::ProxyEndpoint;
use std::net::Ipv4Addr;

/// Addresses of proxies, sorted, each once.
pub(super) struct ProxyAddresses {
    /// Those that are ready, or about to be: after a start of all, nobody is ready yet, and each has its share already.
    pub(super) all: Vec<Ipv4Addr>,
    /// Those that are ready: they own counters.
    pub(super) ready: Vec<Ipv4Addr>,
}

impl ProxyAddresses {
    pub(super) fn of(proxies: &[ProxyEndpoint]) -> ProxyAddresses {
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
