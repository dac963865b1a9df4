//! Which proxies clients are sent to, and who reads the platform's list: decisions without I/O.

use aspendrum_accession::Place;
use aspendrum_catalog::hash::{digest, rank};
use aspendrum_catalog::news::Front;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

pub type Ms = f64;

/// The most addresses in one answer, as the protocol words it.
const MOST: usize = 64;
/// With fewer in its own zone a client has too little choice when one of them fails.
const ENOUGH: usize = 2;

/// Who is ready, as look-ups need it.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    fronts: Vec<Front>,
    regions: BTreeMap<String, String>,
}

impl Directory {
    pub fn new(fronts: &[Front], regions: &BTreeMap<String, String>) -> Directory {
        let ready = fronts.iter().filter(|f| f.ready).cloned().collect();
        Directory { fronts: ready, regions: regions.clone() }
    }

    /// Addresses for a client: of its zone, else of its region, else all. Empty: nobody is ready.
    pub fn look_up(&self, region: &str, zone: &str) -> Vec<SocketAddrV4> {
        let region_of = |f: &Front| self.regions.get(&f.zone).map(String::as_str);
        let near = |fits: &dyn Fn(&Front) -> bool| -> Vec<SocketAddrV4> {
            self.fronts.iter().filter(|f| fits(f)).map(|f| f.addr).take(MOST).collect()
        };
        let of_zone = near(&|f| f.zone == zone);
        if of_zone.len() >= ENOUGH {
            return of_zone;
        }
        let of_region = near(&|f| region_of(f) == Some(region));
        if of_region.len() >= ENOUGH {
            return of_region;
        }
        near(&|_| true)
    }
}

/// All proxies that any machine of control holds a link to. Of two words about one, `ready` counts only where
/// its own link says so last: an agent that moves its link is heard of twice for a moment.
pub fn union<'a>(tables: impl Iterator<Item = &'a Vec<Front>>) -> Vec<Front> {
    let mut all: HashMap<SocketAddrV4, Front> = HashMap::new();
    for front in tables.flatten() {
        let known = all.entry(front.addr).or_insert_with(|| front.clone());
        known.ready |= front.ready;
    }
    let mut all: Vec<Front> = all.into_values().collect();
    all.sort();
    all
}

/// Whether this machine reads the platform's list now. One does at a time: those after it in the key's order
/// wait a step longer each, and step in when the list has grown old. Two at once cost a call, no more.
pub fn polls(me: Place, live: &[Place], age: Option<Ms>, every: Ms, step: Ms) -> bool {
    let key = digest(b"servers");
    let before = live.iter().filter(|p| rank(key, u64::from(**p)) > rank(key, u64::from(me))).count() as f64;
    age.is_none_or(|age| age >= every + before * step)
}
