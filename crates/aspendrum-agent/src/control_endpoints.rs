//! Where control is, the nearest node first.

use aspendrum_model::hash::{digest, rank};
use aspendrum_model::message::ControlAddress;
use aspendrum_model::settings::Settings;
use aspendrum_net::threads::lock;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a node that the agent has disconnected from is not dialled again.
const AVOID_FOR: Duration = Duration::from_secs(4);

/// The control nodes in the order in which they are dialled, shared between threads.
#[derive(Clone)]
pub struct ControlEndpoints(Arc<Mutex<Endpoints>>);

#[derive(Default)]
struct Endpoints {
    /// As control sent them last.
    advertised: Vec<ControlAddress>,
    dial_order: Vec<Ipv4Addr>,
    avoided: Option<AvoidedNode>,
}

/// A node that was left because it had no majority's report.
#[derive(Clone, Copy)]
struct AvoidedNode {
    ip: Ipv4Addr,
    since: Instant,
}

/// How far a node is, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    Unknown,
    OtherRegion,
}

impl Distance {
    fn to(zone: &str, settings: &Settings) -> Distance {
        match settings.zone_regions.get(zone) {
            _ if zone == settings.zone => Distance::SameZone,
            Some(region) if *region == settings.region => Distance::SameRegion,
            Some(_) => Distance::OtherRegion,
            None => Distance::Unknown,
        }
    }
}

/// What decides of the order in which nodes are dialled: nodes that are up come first, then the nearest. Agents of one
/// zone spread over its nodes by rendezvous hashing of their hosts' names.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DialKey {
    is_down: bool,
    distance: Distance,
    rank: u64,
    ip: Ipv4Addr,
}

impl DialKey {
    fn of(node: &ControlAddress, settings: &Settings) -> DialKey {
        let host = digest(settings.host_name.as_bytes());
        DialKey {
            is_down: !node.reachable,
            distance: Distance::to(&node.zone, settings),
            rank: rank(host, u64::from(u32::from(node.ip))),
            ip: node.ip,
        }
    }
}

impl ControlEndpoints {
    /// Begins with the seeds that the settings name.
    pub fn new(settings: &Settings) -> ControlEndpoints {
        let endpoints = ControlEndpoints(Arc::default());
        endpoints.update(settings, &[]);
        endpoints
    }

    /// Takes in a list of nodes; an empty one says nothing. The seeds that the settings name are dialled when all nodes
    /// of the list fail.
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
        let order: Vec<Ipv4Addr> =
            [sorted(advertised, settings), sorted(&seeds, settings)].concat();
        if !order.is_empty() {
            endpoints.dial_order = order;
        }
    }

    /// That node is of no use for a while.
    pub fn avoid(&self, ip: Ipv4Addr) {
        lock(&self.0).avoided = Some(AvoidedNode {
            ip,
            since: Instant::now(),
        });
    }

    /// Whether no control node is nearer, as far as zones are known.
    pub fn is_nearest(&self, ip: Ipv4Addr) -> bool {
        lock(&self.0)
            .dial_order
            .first()
            .is_none_or(|nearest| *nearest == ip)
    }

    /// The node to dial at that attempt, counted from 0; attempts go round the nodes. `None`: no node is known.
    pub fn nth(&self, attempt: usize) -> Option<Ipv4Addr> {
        let endpoints = lock(&self.0);
        let order = &endpoints.dial_order;
        let is_current = |node: &AvoidedNode| node.since.elapsed() < AVOID_FOR && order.len() > 1;
        let avoided = endpoints.avoided.filter(is_current);
        let is_usable = |ip: &Ipv4Addr| avoided.is_none_or(|node| node.ip != *ip);
        let usable: Vec<Ipv4Addr> = order.iter().copied().filter(is_usable).collect();
        usable.get(attempt % usable.len().max(1)).copied()
    }
}

fn sorted(nodes: &[ControlAddress], settings: &Settings) -> Vec<Ipv4Addr> {
    let mut keys: Vec<DialKey> = nodes
        .iter()
        .map(|node| DialKey::of(node, settings))
        .collect();
    keys.sort();
    keys.into_iter().map(|key| key.ip).collect()
}

/// The nodes that the settings name: neither where they are nor whether they are up is known.
fn seeds(settings: &Settings) -> impl Iterator<Item = ControlAddress> + '_ {
    let address = |ip| ControlAddress {
        ip,
        zone: String::new(),
        reachable: true,
    };
    settings.seeds.iter().map(move |seed| address(*seed.ip()))
}
