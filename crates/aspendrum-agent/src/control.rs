//! The held connection to control: to a machine nearby, and to the next one when that falls silent.

use crate::notes::Note;
use aspendrum_model::hash::{digest, rank};
use aspendrum_model::message::{ControlAddress, FromControl};
use aspendrum_model::settings::Settings;
use aspendrum_net::frames::{self, Link};
use aspendrum_net::mailbox::MailboxSender;
use aspendrum_net::threads::{lock, spawn};
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK: usize = 96 << 10;
const DIAL_WAIT: Duration = Duration::from_millis(350);
const PAUSE: Duration = Duration::from_millis(60);
/// Bytes that control does not acknowledge for so long mean that it is gone.
const SILENCE: Duration = Duration::from_millis(1200);
const ROOM: usize = 64;
/// A machine without a majority is not dialled again for so long.
const SHUN: Duration = Duration::from_secs(4);
const HELD: Duration = Duration::from_secs(4);

/// Where control is, the nearest first.
#[derive(Clone)]
pub(crate) struct Route {
    /// What control told last.
    told: Arc<Mutex<Vec<ControlAddress>>>,
    near: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// A machine that was left because it had no majority's word, and when.
    left: Arc<Mutex<Option<(Ipv4Addr, Instant)>>>,
}

impl Route {
    pub(crate) fn new(settings: &Settings) -> Route {
        let route = Route {
            told: Arc::default(),
            near: Arc::default(),
            left: Arc::default(),
        };
        route.learn(settings, &[]);
        route
    }

    /// Takes a list of machines, an empty one says nothing; an empty zone is not known. Those that are up come first; the settings' seeds are dialled
    /// when all that were told of fail. Agents of one zone spread over its machines by their hosts' names.
    pub(crate) fn learn(&self, settings: &Settings, control: &[ControlAddress]) {
        let far = |zone: &str| match settings.zone_regions.get(zone) {
            _ if zone == settings.zone => 0,
            Some(region) if *region == settings.region => 1,
            Some(_) => 3,
            None => 2,
        };
        let own = digest(settings.host_name.as_bytes());
        let mut told = lock(&self.told);
        if !control.is_empty() {
            *told = control.to_vec();
        }
        let place = |c: &ControlAddress| {
            (
                !c.reachable,
                far(&c.zone),
                rank(own, u64::from(u32::from(c.ip))),
                c.ip,
            )
        };
        let mut all: Vec<_> = told.iter().map(place).collect();
        all.sort();
        let seeds = seeds(settings)
            .into_iter()
            .filter(|s| told.iter().all(|c| c.ip != s.ip));
        let mut seeds: Vec<_> = seeds.map(|s| place(&s)).collect();
        seeds.sort();
        let near: Vec<Ipv4Addr> = all.into_iter().chain(seeds).map(|c| c.3).collect();
        if !near.is_empty() {
            *lock(&self.near) = near;
        }
    }

    /// That machine is of no use now.
    pub(crate) fn shun(&self, ip: Ipv4Addr) {
        *lock(&self.left) = Some((ip, Instant::now()));
    }

    /// Whether no machine of control is nearer, as far as zones are known.
    pub(crate) fn nearest(&self, ip: Ipv4Addr) -> bool {
        lock(&self.near).first().is_none_or(|first| *first == ip)
    }

    fn get(&self, n: usize) -> Option<Ipv4Addr> {
        let all = lock(&self.near);
        let left = lock(&self.left).filter(|left| left.1.elapsed() < SHUN && all.len() > 1);
        let able: Vec<Ipv4Addr> = all
            .iter()
            .copied()
            .filter(|ip| left.is_none_or(|l| l.0 != *ip))
            .collect();
        able.get(n % able.len().max(1)).copied()
    }
}

/// The machines that the settings name: where they are is not known, nor whether they are up.
fn seeds(settings: &Settings) -> Vec<ControlAddress> {
    let address = |ip| ControlAddress {
        ip,
        zone: String::new(),
        reachable: true,
    };
    settings.seeds.iter().map(|s| address(*s.ip())).collect()
}

/// Keeps one link for as long as the process runs; the desk ends one that is of no use.
pub(crate) fn hold(
    route: &Route,
    settings: &Settings,
    notes: &Arc<MailboxSender<Note>>,
) -> std::io::Result<()> {
    let (route, settings, notes) = (route.clone(), settings.clone(), notes.clone());
    spawn("control", STACK, move || {
        let (mut n, mut id) = (0, 0);
        loop {
            let Some(ip) = route.get(n) else {
                sleep(PAUSE);
                continue;
            };
            n += 1;
            if let Ok(stream) = Link::connect(settings.control_addr(ip), DIAL_WAIT) {
                if let Ok(link) = Link::from_stream(stream.clone(), SILENCE, ROOM) {
                    id += 1;
                    let since = Instant::now();
                    notes.send(Note::Control { id, ip, link }, None);
                    let mut from = BufReader::with_capacity(4 << 10, &*stream);
                    while let Ok(said) = frames::read_frame::<FromControl>(&mut from) {
                        notes.send(Note::Said { id, said }, None);
                    }
                    notes.send(Note::ControlLost { id }, None);
                    // A link that held: the nearest is tried first again.
                    n = if since.elapsed() > HELD || id == 1 {
                        0
                    } else {
                        n
                    };
                }
            }
            sleep(PAUSE);
        }
    })?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const SETTINGS: &str = r#"{"self":{"host-name":"e1","ip":"10.0.0.9","az":"a1","geo":"a"},"net":{"port-range":[7600,7615],
        "seeds":["10.0.0.1:80","10.0.0.2:80"],"zones":{"a1":"a","a2":"a","b1":"b"}}}"#;

    fn ip(n: u8) -> Ipv4Addr {
        Ipv4Addr::new(10, 0, 0, n)
    }

    fn at(ip: Ipv4Addr, zone: &str) -> ControlAddress {
        ControlAddress {
            ip,
            zone: zone.to_string(),
            reachable: true,
        }
    }

    /// Danger: the settings name other machines, and an agent forgets those that control told it of.
    #[test]
    fn who_was_told_of_stays_and_who_ends_comes_last() {
        let settings = Settings::read(SETTINGS.as_bytes()).unwrap();
        let route = Route::new(&settings);
        let ending = ControlAddress {
            reachable: false,
            ..at(ip(1), "a1")
        };
        route.learn(&settings, &[ending, at(ip(3), "b1")]);
        assert_eq!(
            (0..4).filter_map(|n| route.get(n)).collect::<Vec<_>>(),
            [ip(3), ip(1), ip(2), ip(3)]
        );
        let other = Settings::read(SETTINGS.replace("10.0.0.2", "10.0.0.7").as_bytes()).unwrap();
        route.learn(&other, &[]);
        assert_eq!(
            (0..4).filter_map(|n| route.get(n)).collect::<Vec<_>>(),
            [ip(3), ip(1), ip(7), ip(3)]
        );
    }

    #[test]
    fn the_nearest_machine_of_control_comes_first() {
        let settings = Settings::read(SETTINGS.as_bytes()).unwrap();
        let route = Route::new(&settings);
        let known = [(ip(3), "b1"), (ip(2), "a2"), (ip(1), "a1"), (ip(4), "")];
        route.learn(&settings, &known.map(|(ip, zone)| at(ip, zone)));
        assert_eq!(
            (0..5).filter_map(|n| route.get(n)).collect::<Vec<_>>(),
            [ip(1), ip(2), ip(4), ip(3), ip(1)]
        );
        assert!(route.nearest(ip(1)) && !route.nearest(ip(2)));
        route.learn(&settings, &[]);
        assert_eq!(route.get(0), Some(ip(1)), "an empty list says nothing");
    }

    /// Danger: the nearest machine is cut off from the rest of control; its agents left it as stale and dialled
    /// it again, and applied a configuration 3.3 s late.
    #[test]
    fn a_machine_that_was_left_is_not_dialled_again_at_once() {
        let settings = Settings::read(SETTINGS.as_bytes()).unwrap();
        let route = Route::new(&settings);
        route.learn(&settings, &[at(ip(1), "a1"), at(ip(2), "a2")]);
        route.shun(ip(1));
        assert_eq!([route.get(0), route.get(1)], [Some(ip(2)), Some(ip(2))]);
        // Where control tells of no other, a seed is; where there is none at all it is better than nothing.
        route.learn(&settings, &[at(ip(1), "a1")]);
        assert_eq!(route.get(0), Some(ip(2)));
        let alone = Settings::read(SETTINGS.replace(r#","10.0.0.2:80""#, "").as_bytes()).unwrap();
        route.learn(&alone, &[at(ip(1), "a1")]);
        assert_eq!(route.get(0), Some(ip(1)));
    }
}
