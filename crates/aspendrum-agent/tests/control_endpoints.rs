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
        is_reachable: true,
    }
}

fn settings(text: &str) -> Settings {
    Settings::read(text.as_bytes()).unwrap()
}

/// Returns the nodes that are dialed by the first `attempts` attempts.
fn first_dialed(attempts: usize, endpoints: &ControlEndpoints) -> Vec<Ipv4Addr> {
    (0..attempts)
        .filter_map(|attempt| endpoints.address_for_attempt(attempt))
        .collect()
}

/// Guards against an agent losing the advertised nodes when the settings change to other seeds.
#[test]
fn advertised_nodes_survive_new_seeds_and_unreachable_nodes_are_dialed_last() {
    let initial_settings = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&initial_settings);
    let shutting_down = ControlAddress {
        is_reachable: false,
        ..node(ip(1), "a1")
    };
    endpoints.update(&initial_settings, &[shutting_down, node(ip(3), "b1")]);
    assert_eq!(first_dialed(4, &endpoints), [ip(3), ip(1), ip(2), ip(3)]);
    endpoints.update(&settings(&SETTINGS.replace("10.0.0.2", "10.0.0.7")), &[]);
    assert_eq!(first_dialed(4, &endpoints), [ip(3), ip(1), ip(7), ip(3)]);
}

#[test]
fn the_nearest_node_comes_first() {
    let settings = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&settings);
    let known = [(ip(3), "b1"), (ip(2), "a2"), (ip(1), "a1"), (ip(4), "")];
    endpoints.update(&settings, &known.map(|(ip, zone)| node(ip, zone)));
    assert_eq!(
        first_dialed(5, &endpoints),
        [ip(1), ip(2), ip(4), ip(3), ip(1)]
    );
    assert!(endpoints.is_nearest(ip(1)) && !endpoints.is_nearest(ip(2)));
    endpoints.update(&settings, &[]);
    assert_eq!(
        endpoints.address_for_attempt(0),
        Some(ip(1)),
        "an empty list is ignored"
    );
}

/// Guards against reconnecting to a stale node. When the nearest node was partitioned from the rest of control, its
/// agents abandoned it and dialed it again, and applied a configuration 3.3 s late.
#[test]
fn an_avoided_node_is_not_dialed_while_another_is_known() {
    let initial_settings = settings(SETTINGS);
    let endpoints = ControlEndpoints::new(&initial_settings);
    endpoints.update(&initial_settings, &[node(ip(1), "a1"), node(ip(2), "a2")]);
    endpoints.avoid(ip(1));
    assert_eq!(first_dialed(2, &endpoints), [ip(2), ip(2)]);
    // If no other node is advertised, a seed is dialed. If no other node is known at all, the avoided node is dialed.
    endpoints.update(&initial_settings, &[node(ip(1), "a1")]);
    assert_eq!(endpoints.address_for_attempt(0), Some(ip(2)));
    let single = settings(&SETTINGS.replace(r#","10.0.0.2:80""#, ""));
    endpoints.update(&single, &[node(ip(1), "a1")]);
    assert_eq!(endpoints.address_for_attempt(0), Some(ip(1)));
}
