//! Which proxies clients are sent to: a decision without I/O.

use aspendrum_consensus::Millis;
use aspendrum_model::message::{ProxyEndpoint, Readiness};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The most addresses in one answer, as the protocol requires.
const MAX_ADDRESSES: usize = 64;
/// With fewer proxies in its own zone a client has too little choice when one of them fails.
const MIN_CHOICE: usize = 2;
/// How long after a region's last proxy closed its clients are not sent to another region, in milliseconds. Planned
/// restarts take less; until then clients keep the answers that they have.
pub const REGION_HOLD_TIME: Millis = 3000.0;
/// The longest time to live, in seconds, of an answer that leads to another region or to draining proxies.
const MAX_FALLBACK_TTL_S: f64 = 1.0;

/// Where a client is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupAnswer {
    /// The proxies' addresses. Empty: there is no proxy that the client may be sent to now.
    pub addresses: Vec<SocketAddrV4>,
    /// How long the client may use the answer, in seconds.
    pub ttl_s: f64,
}

/// The proxies as lookups need them.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    proxies: Vec<ProxyEndpoint>,
    /// The region of each zone.
    region_by_zone: BTreeMap<String, String>,
    /// Until when the clients of a region without any proxy are not sent to another one.
    hold_until: BTreeMap<String, Millis>,
}

impl Directory {
    /// A directory without proxies. Until [`REGION_HOLD_TIME`] has passed, not knowing a region's proxies does not mean
    /// that it has none. `region_by_zone`: the regions of all zones.
    pub fn new(now: Millis, region_by_zone: &BTreeMap<String, String>) -> Directory {
        let regions = region_by_zone.values();
        let hold_until = regions.map(|region| (region.clone(), now + REGION_HOLD_TIME));
        Directory {
            proxies: Vec::new(),
            region_by_zone: region_by_zone.clone(),
            hold_until: hold_until.collect(),
        }
    }

    fn region_of(&self, proxy: &ProxyEndpoint) -> Option<&String> {
        self.region_by_zone.get(&proxy.zone)
    }

    /// Replaces the known proxies.
    pub fn update(&mut self, now: Millis, proxies: &[ProxyEndpoint]) {
        let takes_requests = |proxy: &&ProxyEndpoint| proxy.readiness != Readiness::Closed;
        let serving = self.proxies.iter().filter(takes_requests);
        let regions: Vec<String> = serving.filter_map(|p| self.region_of(p).cloned()).collect();
        for region in regions {
            self.hold_until.insert(region, now + REGION_HOLD_TIME);
        }
        self.proxies = proxies.to_vec();
    }

    /// The addresses of matching proxies. Those that have not applied the latest decision are left out if enough others
    /// remain.
    fn addresses(&self, matches: impl Fn(&ProxyEndpoint) -> bool) -> Vec<SocketAddrV4> {
        let matching: Vec<&ProxyEndpoint> = self.proxies.iter().filter(|p| matches(p)).collect();
        let current_count = matching.iter().filter(|p| p.is_current).count();
        let has_enough_current = current_count >= MIN_CHOICE;
        let chosen = matching
            .iter()
            .filter(|p| p.is_current || !has_enough_current);
        chosen.map(|p| p.addr).take(MAX_ADDRESSES).collect()
    }

    /// The addresses for a client: ready proxies of its zone if they leave a choice, else of its region, else draining
    /// ones of its region, which still take requests. Proxies of other regions only if its own has had none for a
    /// while: requests whose home is in a region must not be carried through others.
    pub fn look_up(&self, now: Millis, region: &str, zone: &str, ttl_s: f64) -> LookupAnswer {
        let in_region = |p: &ProxyEndpoint| self.region_of(p).is_some_and(|r| r == region);
        let of_zone = self.addresses(|p| p.is_ready() && p.zone == zone);
        if of_zone.len() >= MIN_CHOICE {
            return LookupAnswer {
                addresses: of_zone,
                ttl_s,
            };
        }
        let of_region = self.addresses(|p| p.is_ready() && in_region(p));
        if !of_region.is_empty() {
            return LookupAnswer {
                addresses: of_region,
                ttl_s,
            };
        }
        let draining = self.addresses(|p| p.readiness == Readiness::Draining && in_region(p));
        let is_held = self
            .hold_until
            .get(region)
            .is_some_and(|until| now < *until);
        let addresses = if !draining.is_empty() || is_held {
            draining
        } else {
            self.addresses(ProxyEndpoint::is_ready)
        };
        LookupAnswer {
            addresses,
            ttl_s: MAX_FALLBACK_TTL_S.min(ttl_s),
        }
    }
}
