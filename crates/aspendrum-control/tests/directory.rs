//! Which proxies clients are sent to, and which machine of control reads the platform's list.

use aspendrum_consensus::Place;
use aspendrum_control::directory::{polls, union, Answer, Directory, KnownFront, Ms, HELD};
use aspendrum_model::message::{ProxyEndpoint, Readiness};

fn front(n: u8, zone: &str, readiness: Readiness) -> ProxyEndpoint {
    ProxyEndpoint {
        addr: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: zone.into(),
        readiness,
        is_current: true,
    }
}

fn ready(n: u8, zone: &str) -> ProxyEndpoint {
    front(n, zone, Readiness::Ready)
}

fn directory(now: Ms) -> Directory {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    Directory::new(
        now,
        &regions
            .iter()
            .map(|(z, r)| (z.to_string(), r.to_string()))
            .collect(),
    )
}

fn named(answer: &Answer) -> Vec<u8> {
    answer
        .addresses
        .iter()
        .map(|a| a.ip().octets()[3])
        .collect()
}

/// What a client is told long after the start.
fn told(fronts: &[ProxyEndpoint], region: &str, zone: &str) -> Vec<u8> {
    let mut directory = directory(0.0);
    directory.update(HELD, fronts);
    named(&directory.look_up(2.0 * HELD, region, zone, 5.0))
}

/// Danger: a client that is told of one proxy of its zone, or of its dead zone's alone, has nowhere to go when that
/// fails.
#[test]
fn clients_are_sent_near_where_that_leaves_a_choice() {
    let mut fronts = vec![
        ready(1, "a1"),
        ready(2, "a1"),
        ready(3, "a2"),
        ready(4, "b1"),
    ];
    assert_eq!(told(&fronts, "a", "a1"), [1, 2]);
    // What has not applied the newest is left out only where a choice is left without it.
    fronts.push(ready(5, "a1"));
    fronts[4].is_current = false;
    assert_eq!(told(&fronts, "a", "a1"), [1, 2]);
    fronts[1].is_current = false;
    assert_eq!(told(&fronts, "a", "a1"), [1, 2, 5]);
    fronts.pop();
    fronts[1].is_current = true;
    fronts[0].readiness = Readiness::Closed;
    assert_eq!(told(&fronts, "a", "a1"), [2, 3]);
    fronts
        .iter_mut()
        .for_each(|f| f.readiness = Readiness::Closed);
    assert!(told(&fronts, "a", "a1").is_empty());
}

/// Danger: what has its home in a region is carried through another one, since the directory named proxies there while
/// planned restarts left the region one ready proxy, or none for a moment.
#[test]
fn clients_stay_in_their_region_while_that_has_any_proxy() {
    let mut fronts = vec![
        ready(1, "a1"),
        ready(2, "a2"),
        ready(3, "a2"),
        ready(4, "b1"),
        ready(5, "b1"),
    ];
    let mut directory = directory(0.0);
    let begun = 10.0 * HELD;
    directory.update(begun, &fronts);
    // One alone is a choice too, as long as others are far.
    fronts[1].readiness = Readiness::Draining;
    fronts[2].readiness = Readiness::Closed;
    directory.update(begun, &fronts);
    assert_eq!(named(&directory.look_up(begun, "a", "a1", 5.0)), [1]);
    // None is ready: those that end still take requests.
    fronts[0].readiness = Readiness::Draining;
    directory.update(begun, &fronts);
    let ending = directory.look_up(begun, "a", "a1", 5.0);
    assert_eq!((named(&ending), ending.ttl_s), (vec![1, 2], 1.0));
    // None takes any: clients hold what they were told, until it is clear that nobody comes back.
    fronts[..3]
        .iter_mut()
        .for_each(|f| f.readiness = Readiness::Closed);
    directory.update(begun, &fronts);
    assert!(directory
        .look_up(begun + HELD - 1.0, "a", "a1", 5.0)
        .addresses
        .is_empty());
    let away = directory.look_up(begun + HELD, "a", "a1", 5.0);
    assert_eq!((named(&away), away.ttl_s), (vec![4, 5], 1.0));
    assert_eq!(named(&directory.look_up(begun, "b", "b1", 5.0)), [4, 5]);
}

/// Danger: a machine of control that has just started hears of another region's proxies first.
#[test]
fn what_is_known_right_after_a_start_leads_nobody_away() {
    let mut directory = directory(100.0);
    directory.update(110.0, &[ready(4, "b1"), ready(5, "b1")]);
    assert!(directory
        .look_up(120.0, "a", "a1", 5.0)
        .addresses
        .is_empty());
    assert_eq!(named(&directory.look_up(120.0, "b", "b1", 5.0)), [4, 5]);
    assert_eq!(
        named(&directory.look_up(100.0 + HELD, "a", "a1", 5.0)),
        [4, 5]
    );
}

/// Danger: an agent goes to another machine of control, and for a moment its proxy is nowhere; or what was known of it
/// before outlives what is known now.
#[test]
fn a_proxy_whose_agent_moves_stays_as_whoever_holds_it_says() {
    let known = |readiness, connected| KnownFront {
        front: front(1, "a1", readiness),
        connected,
    };
    let joined = |tables: &[Vec<KnownFront>]| union(tables.iter())[0].readiness;
    let moved = vec![known(Readiness::Ready, false)];
    assert_eq!(joined(&[moved.clone(), vec![]]), Readiness::Ready);
    assert_eq!(
        joined(&[moved.clone(), vec![known(Readiness::Closed, true)]]),
        Readiness::Closed
    );
    assert_eq!(
        joined(&[vec![known(Readiness::Draining, true)], moved]),
        Readiness::Draining
    );
    let two = [
        vec![known(Readiness::Closed, true)],
        vec![known(Readiness::Ready, true)],
    ];
    assert_eq!(joined(&two), Readiness::Ready);
}

/// Danger: all machines of control ask the platform, whose calls are counted and paid for; or none does.
#[test]
fn one_machine_reads_the_list_and_the_next_steps_in() {
    let all: Vec<Place> = (1..=5).collect();
    let others = |me| all.iter().copied().filter(|p| *p != me).collect::<Vec<_>>();
    let at = |age: Ms| {
        all.iter()
            .filter(|me| polls(**me, &others(**me), Some(age), 700.0, 600.0))
            .count()
    };
    assert_eq!(
        [at(699.0), at(700.0), at(1299.0), at(1300.0), at(3100.0)],
        [0, 1, 1, 2, 5]
    );
    let first = *all
        .iter()
        .find(|me| polls(**me, &others(**me), Some(700.0), 700.0, 600.0))
        .unwrap();
    let left: Vec<Place> = others(first);
    let takes = |me: &&Place| {
        let live: Vec<Place> = left.iter().copied().filter(|p| p != *me).collect();
        polls(**me, &live, Some(700.0), 700.0, 600.0)
    };
    assert_eq!(
        left.iter().filter(takes).count(),
        1,
        "the first one is gone"
    );
}
