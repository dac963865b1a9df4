//! The texts and lists that are measured are what they are said to be.

use aspendrum_benchmarks::measure::Samples;
use aspendrum_benchmarks::sizes::{self, Size, GRADES, REGIONS, ZONES};
use aspendrum_model::config::Config;
use aspendrum_model::servers::{parse_page, ServerPage};
use std::collections::{BTreeMap, BTreeSet};

/// Danger: a figure for 35,000 tenants out of a text that holds fewer, or that control would refuse.
#[test]
fn a_configuration_holds_what_its_size_says_and_is_valid() {
    for (size, hosts) in [
        (GRADES[0], 16),
        (GRADES[0], 1),
        (
            Size {
                tenants: 7,
                ..GRADES[1]
            },
            62,
        ),
    ] {
        let text = sizes::config(&size, hosts, 3);
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
        let at: BTreeSet<&str> = config.route_entries().map(|entry| entry.host).collect();
        assert_eq!(at.len(), hosts);
        assert_eq!(
            text,
            sizes::config(&size, hosts, 3),
            "the same numbers give the same text"
        );
    }
    let one =
        |version| sizes::config(&GRADES[0], 16, version).replace(&format!("{version:08x}"), "");
    assert_ne!(one(1), one(2), "versions differ in more than their number");
}

/// Danger: servers that all stand in one zone, or addresses that two share.
#[test]
fn servers_and_fronts_are_spread_over_the_fleet() {
    for size in GRADES {
        let list = sizes::servers(&size, sizes::apart);
        let mut of = BTreeMap::<&str, usize>::new();
        list.iter()
            .for_each(|s| *of.entry(&s.service).or_default() += 1);
        let (least, most) = (of.values().min().unwrap(), of.values().max().unwrap());
        assert!(
            of.len() == size.services && most - least <= 1,
            "{least} to {most}"
        );
        let zones: BTreeSet<&str> = list.iter().map(|s| s.zone.as_str()).collect();
        let names: BTreeSet<&str> = list.iter().map(|s| s.uid.as_str()).collect();
        let places: BTreeSet<_> = list.iter().map(|s| s.addr).collect();
        assert_eq!(
            [zones.len(), names.len(), places.len()],
            [ZONES, size.servers, size.servers]
        );
        let fronts: BTreeSet<_> = sizes::fronts(size.limiters)
            .iter()
            .map(|f| f.addr)
            .collect();
        assert_eq!(fronts.len(), size.limiters);
    }
    let regions: BTreeSet<String> = sizes::regions().into_values().collect();
    assert_eq!((sizes::regions().len(), regions.len()), (ZONES, REGIONS));
}

#[test]
fn a_page_is_read_as_the_platforms_is() {
    let list = sizes::servers(&GRADES[0], sizes::apart);
    let ServerPage { servers, next_page } =
        parse_page(sizes::page(&list[..50], Some("p-50".into())).as_bytes()).unwrap();
    assert_eq!(
        (servers, next_page.as_deref()),
        (list[..50].to_vec(), Some("p-50"))
    );
}

#[test]
fn shares_of_samples() {
    let samples = Samples::of(vec![5.0, 1.0, 4.0, 2.0, 3.0]);
    assert_eq!(
        [samples.at(0.0), samples.median(), samples.at(1.0)],
        [1.0, 3.0, 5.0]
    );
    assert_eq!(Samples::of(Vec::new()).median(), 0.0);
}
