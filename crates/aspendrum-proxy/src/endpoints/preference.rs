//! Which servers a proxy keeps connections to first (deterministic subsetting): each server more is a connection more,
//! and one that is seldom used is closed before it is used again.

use aspendrum_model::hash::{digest, rank};
use aspendrum_model::servers::ServerInstance;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

/// Preferred servers of each service and zone.
const PREFERRED: usize = 6;
/// How many times dearer the other servers count.
const OTHERS_COST: f32 = 1.5;

/// The uids of a proxy's preferred servers.
pub(super) struct PreferredServers(HashSet<String>);

impl PreferredServers {
    /// Of each service's servers in a zone a few, ranked by rendezvous hashing, so that all servers are preferred by
    /// about as many proxies.
    pub(super) fn choose(local_ip: Ipv4Addr, servers: &[ServerInstance]) -> PreferredServers {
        let mut ranked: HashMap<(&str, &str), Vec<(u64, &str)>> = HashMap::new();
        let proxy = u64::from(u32::from(local_ip));
        for server in servers.iter().filter(|server| !server.draining) {
            let rank = rank(proxy, digest(server.uid.as_bytes()));
            let group = ranked.entry((&server.service, &server.zone)).or_default();
            group.push((rank, &server.uid));
        }
        let mut preferred = HashSet::new();
        for group in ranked.values_mut() {
            group.sort_unstable();
            preferred.extend(group.iter().take(PREFERRED).map(|(_, uid)| uid.to_string()));
        }
        PreferredServers(preferred)
    }

    /// How many times dearer a server counts than a preferred one.
    pub(super) fn cost_factor(&self, uid: &str) -> f32 {
        if self.0.contains(uid) {
            1.0
        } else {
            OTHERS_COST
        }
    }
}
