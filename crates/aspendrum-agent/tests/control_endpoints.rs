//! The order in which an agent dials control nodes.

use aspendrum_agent::control_endpoints::ControlEndpoints;
use aspendrum_model::message::ControlAddress;
use aspendrum_model::settings::Settings;
use std::net::Ipv4Addr;

const SETTINGS: &str = r#"{"self":{"host-name":"e1","ip":"10.0.0.9","az":"a1","geo":"a"},"net":{"port-range":[7600,7615],
    "seeds":["10.0.0.1:80","10.0.0.2:80"],"zones":{"a1":"a","a2":"a","b1":"b"}}}"#;

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn node(ip: Ipv4Addr, zone: &str) -> ControlAddress {
    ControlAddress {
        ip,
        zone: zone.to_string(),
        reachable: true,
    }
}

fn settings(text: &str) -> Settings {
    Settings::read(text.as_bytes()).unwrap()
}

/// The nodes that the first attempts dial.
fn first(attempts: usize, endpoints: &ControlEndpoints) -> Vec<Ipv4Addr> {
    (0..attempts)
        .filter_map(|attempt| endpoints.nth(attempt))
        .collect()
}

/// Danger: the settings name other nodes, and an agent forgets those that control told it of.
#[test]
fn advertised_nodes_stay_known_and_a_node_that_ends_comes_last() {
    let seeded = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&seeded);
    let ending = ControlAddress {
        reachable: false,
        ..node(ip(1), "a1")
    };
    endpoints.update(&seeded, &[ending, node(ip(3), "b1")]);
    assert_eq!(first(4, &endpoints), [ip(3), ip(1), ip(2), ip(3)]);
    endpoints.update(&settings(&SETTINGS.replace("10.0.0.2", "10.0.0.7")), &[]);
    assert_eq!(first(4, &endpoints), [ip(3), ip(1), ip(7), ip(3)]);
}

#[test]
fn the_nearest_node_comes_first() {
    let settings = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&settings);
    let known = [(ip(3), "b1"), (ip(2), "a2"), (ip(1), "a1"), (ip(4), "")];
    endpoints.update(&settings, &known.map(|(ip, zone)| node(ip, zone)));
    assert_eq!(first(5, &endpoints), [ip(1), ip(2), ip(4), ip(3), ip(1)]);
    assert!(endpoints.is_nearest(ip(1)) && !endpoints.is_nearest(ip(2)));
    endpoints.update(&settings, &[]);
    assert_eq!(endpoints.nth(0), Some(ip(1)), "an empty list says nothing");
}

/// Danger: the nearest node is cut off from the rest of control; its agents left it as stale and dialled it again, and
/// applied a configuration 3.3 s late.
#[test]
fn a_node_that_was_left_is_not_dialled_again_at_once() {
    let seeded = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&seeded);
    endpoints.update(&seeded, &[node(ip(1), "a1"), node(ip(2), "a2")]);
    endpoints.avoid(ip(1));
    assert_eq!(first(2, &endpoints), [ip(2), ip(2)]);
    // Where control names no other, a seed is dialled; where there is none at all it is better than nothing.
    endpoints.update(&seeded, &[node(ip(1), "a1")]);
    assert_eq!(endpoints.nth(0), Some(ip(2)));
    let single = settings(&SETTINGS.replace(r#","10.0.0.2:80""#, ""));
    endpoints.update(&single, &[node(ip(1), "a1")]);
    assert_eq!(endpoints.nth(0), Some(ip(1)));
}
