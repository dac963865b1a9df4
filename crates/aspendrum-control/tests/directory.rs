//! The selection of proxies for clients, the merge of proxy tables, and the choice of the control node that polls the
//! platform.

use aspendrum_consensus::{Millis, NodeId};
use aspendrum_control::directory::{Directory, LookupAnswer, REGION_HOLD_TIME};
use aspendrum_control::proxy_table::{merge_proxy_tables, ProxyEntry};
use aspendrum_control::server_list::should_poll;
use aspendrum_model::message::{ProxyEndpoint, Readiness};

fn proxy(n: u8, zone: &str, readiness: Readiness) -> ProxyEndpoint {
    ProxyEndpoint {
        addr: format!("10.0.0.{n}:80").parse().unwrap(),
        zone: zone.into(),
        readiness,
        is_current: true,
    }
}

fn ready(n: u8, zone: &str) -> ProxyEndpoint {
    proxy(n, zone, Readiness::Ready)
}

fn close(proxies: &mut [ProxyEndpoint]) {
    for proxy in proxies {
        proxy.readiness = Readiness::Closed;
    }
}

/// A directory of two zones in region a and one in region b.
fn directory(now: Millis) -> Directory {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    let regions = regions.map(|(zone, region)| (zone.to_string(), region.to_string()));
    Directory::new(now, &regions.into())
}

/// Returns the last octet of each address in an answer.
fn last_octets(answer: &LookupAnswer) -> Vec<u8> {
    answer
        .addresses
        .iter()
        .map(|a| a.ip().octets()[3])
        .collect()
}

/// Looks up proxies after the hold time that follows startup.
fn look_up(proxies: &[ProxyEndpoint], region: &str, zone: &str) -> Vec<u8> {
    let mut directory = directory(0.0);
    directory.update(REGION_HOLD_TIME, proxies);
    last_octets(&directory.look_up(2.0 * REGION_HOLD_TIME, region, zone, 5.0))
}

/// A client that is directed to a single proxy, or only to the proxies of a failed zone, has no alternative when these
/// fail.
#[test]
fn clients_are_directed_to_their_zone_if_it_has_enough_proxies() {
    let mut proxies = vec![
        ready(1, "a1"),
        ready(2, "a1"),
        ready(3, "a2"),
        ready(4, "b1"),
    ];
    assert_eq!(look_up(&proxies, "a", "a1"), [1, 2]);
    // A proxy that is not current is excluded only if enough current proxies remain.
    proxies.push(ready(5, "a1"));
    proxies[4].is_current = false;
    assert_eq!(look_up(&proxies, "a", "a1"), [1, 2]);
    proxies[1].is_current = false;
    assert_eq!(look_up(&proxies, "a", "a1"), [1, 2, 5]);
    proxies.pop();
    proxies[1].is_current = true;
    proxies[0].readiness = Readiness::Closed;
    assert_eq!(look_up(&proxies, "a", "a1"), [2, 3]);
    close(&mut proxies);
    assert!(look_up(&proxies, "a", "a1").is_empty());
}

/// Requests with a home region must not pass through another one. The directory must therefore not return proxies of
/// other regions while planned restarts briefly leave a region with a single ready proxy, or none.
#[test]
fn clients_stay_in_their_region_while_it_has_any_proxy() {
    let mut proxies = vec![
        ready(1, "a1"),
        ready(2, "a2"),
        ready(3, "a2"),
        ready(4, "b1"),
        ready(5, "b1"),
    ];
    let mut directory = directory(0.0);
    let start = 10.0 * REGION_HOLD_TIME;
    directory.update(start, &proxies);
    // A single ready proxy of the region takes precedence over those of other regions.
    proxies[1].readiness = Readiness::Draining;
    proxies[2].readiness = Readiness::Closed;
    directory.update(start, &proxies);
    assert_eq!(last_octets(&directory.look_up(start, "a", "a1", 5.0)), [1]);
    // No proxy is ready: draining proxies still accept requests.
    proxies[0].readiness = Readiness::Draining;
    directory.update(start, &proxies);
    let draining = directory.look_up(start, "a", "a1", 5.0);
    assert_eq!(last_octets(&draining), [1, 2]);
    assert_eq!(draining.ttl_s, 1.0);
    // All proxies are closed: clients keep their previous answers during the hold time.
    close(&mut proxies[..3]);
    directory.update(start, &proxies);
    let held = directory.look_up(start + REGION_HOLD_TIME - 1.0, "a", "a1", 5.0);
    assert!(held.addresses.is_empty());
    let fallback = directory.look_up(start + REGION_HOLD_TIME, "a", "a1", 5.0);
    assert_eq!(last_octets(&fallback), [4, 5]);
    assert_eq!(fallback.ttl_s, 1.0);
    assert_eq!(
        last_octets(&directory.look_up(start, "b", "b1", 5.0)),
        [4, 5]
    );
}

/// A control node that has just started may receive the proxies of another region first.
#[test]
fn clients_are_not_directed_to_another_region_right_after_startup() {
    let mut directory = directory(100.0);
    directory.update(110.0, &[ready(4, "b1"), ready(5, "b1")]);
    assert!(directory
        .look_up(120.0, "a", "a1", 5.0)
        .addresses
        .is_empty());
    assert_eq!(
        last_octets(&directory.look_up(120.0, "b", "b1", 5.0)),
        [4, 5]
    );
    let later = 100.0 + REGION_HOLD_TIME;
    assert_eq!(
        last_octets(&directory.look_up(later, "a", "a1", 5.0)),
        [4, 5]
    );
}

/// While an agent moves to another control node, its proxy must not disappear from the merged table, and the entry of
/// the previous node must not override that of the new one.
#[test]
fn the_entry_of_the_connected_control_node_takes_precedence() {
    let entry = |readiness, is_connected| ProxyEntry {
        proxy: proxy(1, "a1", readiness),
        is_connected,
    };
    let merged = |tables: &[Vec<ProxyEntry>]| merge_proxy_tables(tables.iter())[0].readiness;
    let moved = vec![entry(Readiness::Ready, false)];
    assert_eq!(merged(&[moved.clone(), vec![]]), Readiness::Ready);
    let closed = vec![entry(Readiness::Closed, true)];
    assert_eq!(merged(&[moved.clone(), closed.clone()]), Readiness::Closed);
    let draining = vec![entry(Readiness::Draining, true)];
    assert_eq!(merged(&[draining, moved]), Readiness::Draining);
    let ready = vec![entry(Readiness::Ready, true)];
    assert_eq!(merged(&[closed, ready]), Readiness::Ready);
}

/// Calls to the platform are limited and charged, so not all control nodes may poll it; but one of them always has to.
#[test]
fn one_node_polls_the_platform_and_the_next_takes_over() {
    let nodes: Vec<NodeId> = (1..=5).map(NodeId::new).collect();
    let polls = |nodes: &[NodeId], node: NodeId, age: Millis| {
        let others = nodes.iter().copied().filter(|other| *other != node);
        let others: Vec<NodeId> = others.collect();
        should_poll(node, &others, Some(age), 700.0, 600.0)
    };
    let polling = |nodes: &[NodeId], age: Millis| {
        let polling = nodes
            .iter()
            .copied()
            .filter(|node| polls(nodes, *node, age));
        polling.collect::<Vec<NodeId>>()
    };
    let counts = [699.0, 700.0, 1299.0, 1300.0, 3100.0].map(|age| polling(&nodes, age).len());
    assert_eq!(counts, [0, 1, 1, 2, 5]);
    let first = polling(&nodes, 700.0)[0];
    let remaining = nodes.iter().copied().filter(|node| *node != first);
    let remaining: Vec<NodeId> = remaining.collect();
    assert_eq!(
        polling(&remaining, 700.0).len(),
        1,
        "the first node was removed"
    );
}
