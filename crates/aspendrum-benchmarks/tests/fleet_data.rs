//! The generated configurations and lists are what their names and sizes say.

use aspendrum_benchmarks::fleet_data::{
    config_text, proxies, server_page, servers, SERVERS_PER_PAGE,
};
use aspendrum_benchmarks::fleet_size::{region_by_zone, FleetSize, GRADES, REGIONS, ZONES};
use aspendrum_benchmarks::measure::Samples;
use aspendrum_model::config::Config;
use aspendrum_model::servers::{parse_page, ServerPage};
use std::collections::{BTreeMap, BTreeSet};

/// Otherwise a figure for 35,000 tenants could come from a text that has fewer, or that control would refuse.
#[test]
fn a_configuration_has_the_size_asked_for_and_is_valid() {
    for (size, hosts) in [
        (GRADES[0], 16),
        (GRADES[0], 1),
        (
            FleetSize {
                tenants: 7,
                ..GRADES[1]
            },
            62,
        ),
    ] {
        let text = config_text(&size, hosts, 3);
        let config = Config::read(text.as_bytes()).unwrap();
        let tenants = config.tenants.as_ref().unwrap();
        assert_eq!((config.version, config.routes.len()), (3, size.routes));
        assert_eq!(
            (tenants.len(), config.services.len()),
            (size.tenants, size.services)
        );
        let names: BTreeSet<&str> = tenants.iter().map(|t| t.name.as_str()).collect();
        assert_eq!(names.len(), size.tenants);
        assert!(tenants
            .iter()
            .all(|t| t.keys.len() == 2 && t.rate_per_second > 0.0));
        let host_names: BTreeSet<&str> = config.route_entries().map(|entry| entry.host).collect();
        assert_eq!(host_names.len(), hosts);
        assert_eq!(
            text,
            config_text(&size, hosts, 3),
            "the same numbers give the same text"
        );
    }
    let without_number =
        |version| config_text(&GRADES[0], 16, version).replace(&format!("{version:08x}"), "");
    assert_ne!(
        without_number(1),
        without_number(2),
        "versions differ in more than their number"
    );
}

/// Servers must not all be in one zone, and no two may share an address.
#[test]
fn servers_and_proxies_are_spread_over_the_fleet() {
    for size in GRADES {
        let list = servers(&size);
        let mut servers_by_service = BTreeMap::<&str, usize>::new();
        list.iter()
            .for_each(|s| *servers_by_service.entry(&s.service).or_default() += 1);
        let (least, most) = (
            servers_by_service.values().min().unwrap(),
            servers_by_service.values().max().unwrap(),
        );
        assert!(
            servers_by_service.len() == size.services && most - least <= 1,
            "{least} to {most}"
        );
        let zones: BTreeSet<&str> = list.iter().map(|s| s.zone.as_str()).collect();
        let names: BTreeSet<&str> = list.iter().map(|s| s.uid.as_str()).collect();
        let addresses: BTreeSet<_> = list.iter().map(|s| s.addr).collect();
        assert_eq!(
            [zones.len(), names.len(), addresses.len()],
            [ZONES, size.servers, size.servers]
        );
        let proxy_addresses: BTreeSet<_> = proxies(size.limiters).iter().map(|f| f.addr).collect();
        assert_eq!(proxy_addresses.len(), size.limiters);
    }
    let regions: BTreeSet<String> = region_by_zone().into_values().collect();
    assert_eq!((region_by_zone().len(), regions.len()), (ZONES, REGIONS));
}

#[test]
fn a_server_page_is_read_as_the_platforms_are() {
    let list = servers(&GRADES[0]);
    let ServerPage { servers, next_page } =
        parse_page(server_page(&list[..SERVERS_PER_PAGE], Some("p-50".into())).as_bytes()).unwrap();
    assert_eq!(
        (servers, next_page.as_deref()),
        (list[..SERVERS_PER_PAGE].to_vec(), Some("p-50"))
    );
}

#[test]
fn quantiles_of_samples() {
    let samples = Samples::new(vec![5.0, 1.0, 4.0, 2.0, 3.0]);
    assert_eq!(
        [
            samples.quantile(0.0),
            samples.median(),
            samples.quantile(1.0)
        ],
        [1.0, 3.0, 5.0]
    );
    assert_eq!(Samples::new(Vec::new()).median(), 0.0);
}
