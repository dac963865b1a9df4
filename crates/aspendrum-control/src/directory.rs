//! Which proxies clients are sent to, and who reads the platform's list: decisions without I/O.

use aspendrum_consensus::Place;
use aspendrum_model::hash::{digest, rank};
use aspendrum_model::news::Front;
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

    /// Addresses for a client: of its zone, else of its region, else all; without those that have not applied what
    /// was decided, where enough others are. Empty: nobody is ready.
    pub fn look_up(&self, region: &str, zone: &str) -> Vec<SocketAddrV4> {
        let region_of = |f: &Front| self.regions.get(&f.zone).map(String::as_str);
        let near = |fits: &dyn Fn(&Front) -> bool| -> Vec<SocketAddrV4> {
            let there: Vec<&Front> = self.fronts.iter().filter(|f| fits(f)).collect();
            let enough = there.iter().filter(|f| f.current).count() >= ENOUGH;
            there.iter().filter(|f| f.current || !enough).map(|f| f.addr).take(MOST).collect()
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
        known.current |= front.current;
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

#[cfg(test)]
mod tests {
    use super::*;

    fn front(n: u8, zone: &str, ready: bool) -> Front {
        Front { addr: format!("10.0.0.{n}:80").parse().unwrap(), zone: zone.into(), ready, current: true }
    }

    fn told(fronts: &[Front], region: &str, zone: &str) -> Vec<u8> {
        let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
        let regions = regions.iter().map(|(z, r)| (z.to_string(), r.to_string())).collect();
        let found = Directory::new(fronts, &regions).look_up(region, zone);
        found.iter().map(|a| a.ip().octets()[3]).collect()
    }

    /// Danger: a client that is told of one proxy, or of its dead zone's alone, has nowhere to go when that fails.
    #[test]
    fn clients_are_sent_near_where_that_leaves_a_choice() {
        let mut fronts =
            vec![front(1, "a1", true), front(2, "a1", true), front(3, "a2", true), front(4, "b1", true)];
        assert_eq!(told(&fronts, "a", "a1"), [1, 2]);
        // What has not applied the newest is left out only where a choice is left without it.
        fronts.push(front(5, "a1", true));
        fronts[4].current = false;
        assert_eq!(told(&fronts, "a", "a1"), [1, 2]);
        fronts[1].current = false;
        assert_eq!(told(&fronts, "a", "a1"), [1, 2, 5]);
        fronts.pop();
        fronts[1].current = true;
        assert_eq!(told(&fronts, "b", "b1"), [1, 2, 3, 4], "one alone is no choice");
        fronts[0].ready = false;
        assert_eq!(told(&fronts, "a", "a1"), [2, 3]);
        fronts[1].ready = false;
        assert_eq!(told(&fronts, "a", "a1"), [3, 4]);
        fronts.iter_mut().for_each(|f| f.ready = false);
        assert!(told(&fronts, "a", "a1").is_empty());
    }

    /// Danger: all machines of control ask the platform, whose calls are counted and paid for; or none does.
    #[test]
    fn one_machine_reads_the_list_and_the_next_steps_in() {
        let all: Vec<Place> = (1..=5).collect();
        let others = |me| all.iter().copied().filter(|p| *p != me).collect::<Vec<_>>();
        let at =
            |age: Ms| all.iter().filter(|me| polls(**me, &others(**me), Some(age), 700.0, 600.0)).count();
        assert_eq!([at(699.0), at(700.0), at(1299.0), at(1300.0), at(3100.0)], [0, 1, 1, 2, 5]);
        let first = *all.iter().find(|me| polls(**me, &others(**me), Some(700.0), 700.0, 600.0)).unwrap();
        let left: Vec<Place> = others(first);
        let takes = |me: &&Place| {
            let live: Vec<Place> = left.iter().copied().filter(|p| p != *me).collect();
            polls(**me, &live, Some(700.0), 700.0, 600.0)
        };
        assert_eq!(left.iter().filter(takes).count(), 1, "the first one is gone");
    }
}
