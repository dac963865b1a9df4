//! The addresses of the control nodes, in the order in which they are dialed.

use aspendrum_model::hash::{digest, rendezvous_weight};
use aspendrum_model::message::ControlAddress;
use aspendrum_model::settings::Settings;
use aspendrum_net::threads::lock;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a node that the agent abandoned as unresponsive or stale is not dialed again.
const AVOID_DURATION: Duration = Duration::from_secs(4);

/// The control nodes in the order in which they are dialed. Clones share the list.
#[derive(Clone)]
pub struct ControlEndpoints(Arc<Mutex<Endpoints>>);

#[derive(Default)]
struct Endpoints {
    /// The most recent list received from control.
    advertised: Vec<ControlAddress>,
    dial_order: Vec<Ipv4Addr>,
    avoided: Option<AvoidedNode>,
}

/// A node that was abandoned because it was unresponsive or had no recent majority report.
#[derive(Clone, Copy)]
struct AvoidedNode {
    ip: Ipv4Addr,
    since: Instant,
}

/// The distance of a control node, ordered from the nearest to the farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Unknown,
    OtherRegion,
}

impl Distance {
    fn of_zone(zone: &str, settings: &Settings) -> Distance {
        match settings.zone_regions.get(zone) {
            _ if zone == settings.zone => Distance::SameZone,
            Some(region) if *region == settings.region => Distance::SameRegion,
            Some(_) => Distance::OtherRegion,
            None => Distance::Unknown,
        }
    }
}

/// The sort key of the dial order: reachable nodes before unreachable ones, then nearer nodes before farther ones.
/// Among equally distant nodes, rendezvous hashing of the host name distributes the agents.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DialKey {
    is_down: bool,
    distance: Distance,
    rank: u64,
    ip: Ipv4Addr,
}

impl DialKey {
    fn new(node: &ControlAddress, settings: &Settings) -> DialKey {
        let host = digest(settings.host_name.as_bytes());
        DialKey {
            is_down: !node.is_reachable,
            distance: Distance::of_zone(&node.zone, settings),
            rank: rendezvous_weight(host, u64::from(u32::from(node.ip))),
            ip: node.ip,
        }
    }
}

impl ControlEndpoints {
    /// Creates a list that contains the seeds of the settings.
    pub fn new(settings: &Settings) -> ControlEndpoints {
        let endpoints = ControlEndpoints(Arc::default());
        endpoints.update(settings, &[]);
        endpoints
    }

    /// Replaces the advertised nodes, unless `nodes` is empty, and recomputes the dial order. Seeds of the settings
    /// that are not advertised are dialed after all advertised nodes.
    pub fn update(&self, settings: &Settings, nodes: &[ControlAddress]) {
        let mut endpoints = lock(&self.0);
        if !nodes.is_empty() {
            endpoints.advertised = nodes.to_vec();
        }
        let advertised = &endpoints.advertised;
        let is_advertised =
            |seed: &ControlAddress| advertised.iter().any(|node| node.ip == seed.ip);
        let seeds: Vec<ControlAddress> = seeds(settings)
            .filter(|seed| !is_advertised(seed))
            .collect();
        let order: Vec<Ipv4Addr> = [
            sort_for_dialing(advertised, settings),
            sort_for_dialing(&seeds, settings),
        ]
        .concat();
        if !order.is_empty() {
            endpoints.dial_order = order;
        }
    }

    /// Excludes a node from dialing for [`AVOID_DURATION`], unless it is the only known node. Replaces the previously
    /// avoided node.
    pub fn avoid(&self, ip: Ipv4Addr) {
        lock(&self.0).avoided = Some(AvoidedNode {
            ip,
            since: Instant::now(),
        });
    }

    /// Whether the node is the first in the dial order. Also true if no node is known.
    pub fn is_nearest(&self, ip: Ipv4Addr) -> bool {
        lock(&self.0)
            .dial_order
            .first()
            .is_none_or(|nearest| *nearest == ip)
    }

    /// Returns the node to dial at the given attempt, counted from 0. Attempts cycle through the nodes. Returns `None`
    /// if no node is known.
    pub fn address_for_attempt(&self, attempt: usize) -> Option<Ipv4Addr> {
        let endpoints = lock(&self.0);
        let order = &endpoints.dial_order;
        let is_in_effect =
            |node: &AvoidedNode| node.since.elapsed() < AVOID_DURATION && order.len() > 1;
        let avoided = endpoints.avoided.filter(is_in_effect);
        let is_usable = |ip: &Ipv4Addr| avoided.is_none_or(|node| node.ip != *ip);
        let usable: Vec<Ipv4Addr> = order.iter().copied().filter(is_usable).collect();
        usable.get(attempt % usable.len().max(1)).copied()
    }
}

fn sort_for_dialing(nodes: &[ControlAddress], settings: &Settings) -> Vec<Ipv4Addr> {
    let mut keys: Vec<DialKey> = nodes
        .iter()
        .map(|node| DialKey::new(node, settings))
        .collect();
    keys.sort();
    keys.into_iter().map(|key| key.ip).collect()
}

/// Returns the seeds of the settings. Their zones are unknown, and they are assumed to be reachable.
fn seeds(settings: &Settings) -> impl Iterator<Item = ControlAddress> + '_ {
    let address = |ip| ControlAddress {
        ip,
        zone: String::new(),
        is_reachable: true,
    };
    settings.seeds.iter().map(move |seed| address(*seed.ip()))
}
