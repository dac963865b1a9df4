//! Which proxies clients are sent to, and who reads the platform's list: decisions without I/O.

use aspendrum_consensus::Place;
use aspendrum_model::hash::{digest, rank};
use aspendrum_model::message::{ProxyEndpoint, Readiness};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

pub type Ms = f64;

/// The most addresses in one answer, as the protocol words it.
const MOST: usize = 64;
/// With fewer in its own zone a client has too little choice when one of them fails.
const ENOUGH: usize = 2;
/// A region without any proxy gets no other region's for so long: planned restarts are over by then, and clients hold
/// their old answers meanwhile.
pub const HELD: Ms = 3000.0;
/// An answer that leads to another region counts for so long at most, seconds.
const AWAY_TTL_S: f64 = 1.0;

/// A proxy as a machine of control knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KnownFront {
    pub front: ProxyEndpoint,
    /// Its agent is connected to the machine that says so; if not, it is on its way to another.
    pub connected: bool,
}

/// Where clients are sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Empty: nobody is to be named now.
    pub addresses: Vec<SocketAddrV4>,
    pub ttl_s: f64,
}

/// Who is ready, as look-ups need it.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    fronts: Vec<ProxyEndpoint>,
    regions: BTreeMap<String, String>,
    /// Until when a region without any proxy gets no other region's.
    held_until: BTreeMap<String, Ms>,
}

impl Directory {
    /// The regions of all zones. None of their proxies is known yet, and for a while that says nothing.
    pub fn new(now: Ms, regions: &BTreeMap<String, String>) -> Directory {
        let held_until = regions
            .values()
            .map(|region| (region.clone(), now + HELD))
            .collect();
        Directory {
            fronts: Vec::new(),
            regions: regions.clone(),
            held_until,
        }
    }

    fn region_of(&self, front: &ProxyEndpoint) -> Option<&String> {
        self.regions.get(&front.zone)
    }

    /// Takes in which proxies there are now.
    pub fn update(&mut self, now: Ms, fronts: &[ProxyEndpoint]) {
        let takes = |f: &&ProxyEndpoint| f.readiness != Readiness::Closed;
        let there: Vec<String> = self
            .fronts
            .iter()
            .filter(takes)
            .filter_map(|f| self.region_of(f).cloned())
            .collect();
        for region in there {
            self.held_until.insert(region, now + HELD);
        }
        self.fronts = fronts.to_vec();
    }

    /// Those that fit, without the ones that have not applied what was decided, where enough others are.
    fn named(&self, fits: impl Fn(&ProxyEndpoint) -> bool) -> Vec<SocketAddrV4> {
        let there: Vec<&ProxyEndpoint> = self.fronts.iter().filter(|f| fits(f)).collect();
        let enough = there.iter().filter(|f| f.is_current).count() >= ENOUGH;
        there
            .iter()
            .filter(|f| f.is_current || !enough)
            .map(|f| f.addr)
            .take(MOST)
            .collect()
    }

    /// Addresses for a client: ready ones of its zone, if that leaves a choice, else of its region; else those of its
    /// region that end and still take requests. Those of other regions only if its own has had none for a while: what
    /// has its home in a region must not be carried through others.
    pub fn look_up(&self, now: Ms, region: &str, zone: &str, ttl_s: f64) -> Answer {
        let at_home = |f: &ProxyEndpoint| self.region_of(f).is_some_and(|r| r == region);
        let of_zone = self.named(|f| f.is_ready() && f.zone == zone);
        if of_zone.len() >= ENOUGH {
            return Answer {
                addresses: of_zone,
                ttl_s,
            };
        }
        let of_region = self.named(|f| f.is_ready() && at_home(f));
        if !of_region.is_empty() {
            return Answer {
                addresses: of_region,
                ttl_s,
            };
        }
        let ending = self.named(|f| f.readiness == Readiness::Draining && at_home(f));
        let held = self
            .held_until
            .get(region)
            .is_some_and(|until| now < *until);
        let away = AWAY_TTL_S.min(ttl_s);
        if !ending.is_empty() || held {
            return Answer {
                addresses: ending,
                ttl_s: away,
            };
        }
        Answer {
            addresses: self.named(ProxyEndpoint::is_ready),
            ttl_s: away,
        }
    }
}

/// All proxies that any machine of control knows of. Whoever holds the connection to an agent knows better than who
/// held it last; of two who hold one, the better word counts: an agent that moves is heard of twice for a moment.
pub fn union<'a>(tables: impl Iterator<Item = &'a Vec<KnownFront>>) -> Vec<ProxyEndpoint> {
    let mut all: HashMap<SocketAddrV4, KnownFront> = HashMap::new();
    for known in tables.flatten() {
        let entry = all.entry(known.front.addr).or_insert_with(|| known.clone());
        if known.connected && !entry.connected {
            *entry = known.clone();
        } else if known.connected == entry.connected {
            entry.front.readiness = entry.front.readiness.max(known.front.readiness);
            entry.front.is_current |= known.front.is_current;
        }
    }
    let mut all: Vec<ProxyEndpoint> = all.into_values().map(|known| known.front).collect();
    all.sort();
    all
}

/// Whether this machine reads the platform's list now. One does at a time: those after it in the key's order
/// wait a step longer each, and step in when the list has grown old. Two at once cost a call, no more.
pub fn polls(me: Place, live: &[Place], age: Option<Ms>, every: Ms, step: Ms) -> bool {
    let key = digest(b"servers");
    let before = live
        .iter()
        .filter(|p| rank(key, u64::from(**p)) > rank(key, u64::from(me)))
        .count() as f64;
    age.is_none_or(|age| age >= every + before * step)
}
