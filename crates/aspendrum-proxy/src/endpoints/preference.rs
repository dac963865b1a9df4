//! Deterministic subsetting: selects the servers to which a proxy preferably keeps connections. Each further server
//! needs another connection, and a rarely used connection is closed before it is used again.

use aspendrum_model::hash::{digest, rendezvous_weight};
use aspendrum_model::servers::ServerInstance;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

/// The number of preferred servers per service and zone.
const PREFERRED_PER_ZONE: usize = 6;
/// The cost factor of servers that are not preferred.
const NON_PREFERRED_COST_FACTOR: f32 = 1.5;

/// The uids of a proxy's preferred servers.
pub(super) struct PreferredServers(HashSet<String>);

impl PreferredServers {
    /// Selects servers of each service and zone by rendezvous hashing, so that each server is preferred by about the
    /// same number of proxies.
    pub(super) fn select(local_ip: Ipv4Addr, servers: &[ServerInstance]) -> PreferredServers {
        let mut ranked: HashMap<(&str, &str), Vec<(u64, &str)>> = HashMap::new();
        let proxy = u64::from(u32::from(local_ip));
        for server in servers.iter().filter(|server| !server.is_draining) {
            let rank = rendezvous_weight(proxy, digest(server.uid.as_bytes()));
            let group = ranked.entry((&server.service, &server.zone)).or_default();
            group.push((rank, &server.uid));
        }
        let mut preferred = HashSet::new();
        for group in ranked.values_mut() {
            group.sort_unstable();
            preferred.extend(
                group
                    .iter()
                    .take(PREFERRED_PER_ZONE)
                    .map(|(_, uid)| uid.to_string()),
            );
        }
        PreferredServers(preferred)
    }

    /// Returns the cost factor of a server, which is 1 for preferred servers.
    pub(super) fn cost_factor(&self, uid: &str) -> f32 {
        if self.0.contains(uid) {
            1.0
        } else {
            NON_PREFERRED_COST_FACTOR
        }
    }
}
