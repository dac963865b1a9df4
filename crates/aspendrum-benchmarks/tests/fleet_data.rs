//! Checks the sizes and the validity of generated configurations and lists.

use aspendrum_benchmarks::fleet_data::{
    config_text, proxies, server_page, servers, SERVERS_PER_PAGE,
};
use aspendrum_benchmarks::fleet_size::{region_by_zone, FleetSize, FLEET_SIZES, REGIONS, ZONES};
use aspendrum_benchmarks::measure::Samples;
use aspendrum_model::config::Config;
use aspendrum_model::servers::{parse_page, ServerPage};
use std::collections::{BTreeMap, BTreeSet};

/// Guards against figures, such as those for 35,000 tenants, that are measured with a smaller configuration or with one
/// that control would reject.
#[test]
fn a_configuration_has_the_requested_size_and_is_valid() {
    for (size, hosts) in [
        (FLEET_SIZES[0], 16),
        (FLEET_SIZES[0], 1),
        (
            FleetSize {
                tenants: 7,
                ..FLEET_SIZES[1]
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
            "the generated text is deterministic"
        );
    }
    let without_version =
        |version| config_text(&FLEET_SIZES[0], 16, version).replace(&format!("{version:08x}"), "");
    assert_ne!(
        without_version(1),
        without_version(2),
        "versions differ in more than the version number"
    );
}

/// Servers are distributed over all zones, and addresses are unique.
#[test]
fn servers_and_proxies_are_distributed_over_the_fleet() {
    for size in FLEET_SIZES {
        let list = servers(&size);
        let mut servers_by_service = BTreeMap::<&str, usize>::new();
        list.iter()
            .for_each(|s| *servers_by_service.entry(&s.service).or_default() += 1);
        let (min, max) = (
            servers_by_service.values().min().unwrap(),
            servers_by_service.values().max().unwrap(),
        );
        assert!(
            servers_by_service.len() == size.services && max - min <= 1,
            "{min} to {max}"
        );
        let zones: BTreeSet<&str> = list.iter().map(|s| s.zone.as_str()).collect();
        let names: BTreeSet<&str> = list.iter().map(|s| s.uid.as_str()).collect();
        let addresses: BTreeSet<_> = list.iter().map(|s| s.addr).collect();
        assert_eq!(
            [zones.len(), names.len(), addresses.len()],
            [ZONES, size.servers, size.servers]
        );
        let proxy_addresses: BTreeSet<_> = proxies(size.limiters)
            .iter()
            .map(|proxy| proxy.addr)
            .collect();
        assert_eq!(proxy_addresses.len(), size.limiters);
    }
    let regions: BTreeSet<String> = region_by_zone().into_values().collect();
    assert_eq!((region_by_zone().len(), regions.len()), (ZONES, REGIONS));
}

#[test]
fn a_generated_server_page_is_parsed_as_a_platform_page() {
    let list = servers(&FLEET_SIZES[0]);
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
