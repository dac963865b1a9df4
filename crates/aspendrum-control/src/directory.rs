//! The lookup directory: selects the proxies that clients are directed to. It performs no I/O.

use aspendrum_consensus::Millis;
use aspendrum_model::message::{ProxyEndpoint, Readiness};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The maximum number of addresses in one answer, as required by the protocol.
const MAX_ADDRESSES: usize = 64;
/// The minimum number of addresses for a client to have an alternative when one of the proxies fails.
const MIN_ADDRESSES: usize = 2;
/// The time in milliseconds after a region's last proxy has closed during which its clients are not directed to another
/// region. Planned restarts take less time, and clients continue to use their previous answers meanwhile.
pub const REGION_HOLD_TIME: Millis = 3000.0;
/// The maximum time to live, in seconds, of an answer with proxies of another region or draining proxies.
const MAX_FALLBACK_TTL_S: f64 = 1.0;

/// The answer to a lookup.
#[derive(Clone, Debug, PartialEq)]
pub struct LookupAnswer {
    /// The addresses of proxies; empty if the client cannot be directed to any proxy now.
    pub addresses: Vec<SocketAddrV4>,
    /// The time to live of the answer, in seconds.
    pub ttl_s: f64,
}

/// The known proxies and their regions.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    proxies: Vec<ProxyEndpoint>,
    /// The region of each zone.
    region_by_zone: BTreeMap<String, String>,
    /// For each region, the time until which its clients are not directed to other regions even if it has no proxy.
    hold_until: BTreeMap<String, Millis>,
}

impl Directory {
    /// Creates a directory without proxies. For the first [`REGION_HOLD_TIME`], clients are not directed to other
    /// regions, because the proxies of their own region may not be known yet. `region_by_zone` maps each zone to its
    /// region.
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

    /// Replaces the known proxies. The hold time of every region that had an open proxy until now starts again.
    pub fn update(&mut self, now: Millis, proxies: &[ProxyEndpoint]) {
        let is_open = |proxy: &&ProxyEndpoint| proxy.readiness != Readiness::Closed;
        let open = self.proxies.iter().filter(is_open);
        let regions: Vec<String> = open.filter_map(|p| self.region_of(p).cloned()).collect();
        for region in regions {
            self.hold_until.insert(region, now + REGION_HOLD_TIME);
        }
        self.proxies = proxies.to_vec();
    }

    /// Returns the addresses of matching proxies. Proxies that are not current are excluded if enough current ones
    /// match.
    fn addresses(&self, matches: impl Fn(&ProxyEndpoint) -> bool) -> Vec<SocketAddrV4> {
        let matching: Vec<&ProxyEndpoint> = self.proxies.iter().filter(|p| matches(p)).collect();
        let current_count = matching.iter().filter(|p| p.is_current).count();
        let has_enough_current = current_count >= MIN_ADDRESSES;
        let selected = matching
            .iter()
            .filter(|p| p.is_current || !has_enough_current);
        selected.map(|p| p.addr).take(MAX_ADDRESSES).collect()
    }

    /// Returns the answer for a client in `region` and `zone`, with the first of these sets that is sufficient:
    ///
    /// 1. the ready proxies of its zone, if there are at least [`MIN_ADDRESSES`];
    /// 2. the ready proxies of its region;
    /// 3. the draining proxies of its region, which still accept requests;
    /// 4. the ready proxies of all regions, but only after its own region has had no open proxy for
    ///    [`REGION_HOLD_TIME`]: requests with a home region must not pass through other regions.
    pub fn look_up(&self, now: Millis, region: &str, zone: &str, ttl_s: f64) -> LookupAnswer {
        let in_region = |p: &ProxyEndpoint| self.region_of(p).is_some_and(|r| r == region);
        let of_zone = self.addresses(|p| p.is_ready() && p.zone == zone);
        if of_zone.len() >= MIN_ADDRESSES {
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
        let is_in_hold_time = self
            .hold_until
            .get(region)
            .is_some_and(|until| now < *until);
        let addresses = if !draining.is_empty() || is_in_hold_time {
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
