//! Usable endpoints: servers in slow start within the fleet's limit, and none that is draining or in an
//! evacuated zone.

use aspendrum_core::api::{Health, ServerEntry, ServerId};
use aspendrum_model::servers::ServerInstance;
use aspendrum_proxy::endpoints::{
    EndpointLimits, EndpointSet, RetryLimits, SlowStart, SlowStartTolerance, ZoneLocation,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;

const LIMITS: EndpointLimits = EndpointLimits {
    slow_start: SlowStartTolerance {
        excess: 1.5,
        slack: 5.0,
    },
    retries: RetryLimits {
        ratio: 0.2,
        window: 10_000.0,
        slack: 58.0,
    },
    list_lag: 800.0,
};
const LOCAL: ZoneLocation = ZoneLocation {
    region: 0,
    cost: 1.0,
};

fn server(uid: &str, zone: &str, slow_start_left_ms: u32) -> ServerInstance {
    let (service, addr) = ("s1".to_string(), "10.128.0.9:8080".parse().unwrap());
    ServerInstance {
        uid: uid.into(),
        service,
        addr,
        zone: zone.into(),
        slots: 2,
        is_draining: false,
        slow_start_left_ms,
    }
}

fn proxy(n: u16) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + u32::from(n))
}

fn endpoints(number: u16, proxy_count: u16) -> EndpointSet {
    let mut endpoints = EndpointSet::new(LIMITS, proxy(number));
    endpoints.set_proxies((0..proxy_count).map(proxy).collect());
    endpoints.set_slow_start(
        "s1",
        SlowStart {
            duration: 3000.0,
            rate: 10.0,
        },
    );
    endpoints
}

/// The health last reported to the decision engine for each server.
#[derive(Default)]
struct ReportedHealth(HashMap<ServerId, Health>);

impl ReportedHealth {
    fn record(&mut self, changes: impl IntoIterator<Item = ServerEntry>) {
        self.0
            .extend(changes.into_iter().map(|m| (m.server, m.health)));
    }

    fn ready_count(&self) -> usize {
        self.0.values().filter(|h| **h == Health::Ready).count()
    }
}

/// Each of `proxy_count` proxies sends to a server in slow start whenever it may. Returns the maximum
/// number of requests in any second, and the mean. `known` is the number of proxies in each
/// proxy's list.
fn slow_start_load(proxy_count: u16, known: u16) -> (usize, f64) {
    let mut fleet: Vec<(EndpointSet, ReportedHealth)> = (0..proxy_count)
        .map(|number| (endpoints(number, proxy_count), ReportedHealth::default()))
        .collect();
    let mut sent = Vec::new();
    for (n, (endpoints, reported_health)) in fleet.iter_mut().enumerate() {
        let number = n as u16;
        endpoints.set_proxies(
            (0..proxy_count)
                .filter(|p| *p == number || p % proxy_count < known)
                .map(proxy)
                .collect(),
        );
        endpoints.update(0.0, 0.0, vec![server("i-1", "poa-a", 60_000)], |_| LOCAL);
        reported_health.record(endpoints.refresh(0.0));
    }
    for now in (0..20_000).step_by(10).map(f64::from) {
        for (endpoints, reported_health) in &mut fleet {
            reported_health.record(endpoints.refresh(now));
            let ready = reported_health
                .0
                .iter()
                .find(|t| *t.1 == Health::Ready)
                .map(|t| *t.0);
            if let Some(id) = ready {
                let reservation = endpoints.reserve(now, id);
                reported_health.record(reservation.health_change);
                sent.extend(reservation.granted.then_some(now));
            }
        }
    }
    let within = |from: &f64| {
        sent.iter()
            .filter(|at| **at >= *from && **at < from + 1000.0)
            .count()
    };
    (
        sent.iter().map(within).max().unwrap_or(0),
        sent.len() as f64 / 20.0,
    )
}

#[test]
fn all_proxies_together_stay_within_the_slow_start_limit() {
    for proxy_count in [1, 4, 9, 11, 63] {
        let (maximum, mean) = slow_start_load(proxy_count, proxy_count);
        assert!(maximum <= 20, "{proxy_count}: {maximum}");
        assert!(
            mean >= 0.9 * f64::from(proxy_count.min(4)),
            "{proxy_count}: {mean}"
        );
    }
}

/// Guards against exceeding the limit after a restart of the whole fleet, when each proxy knows few others.
#[test]
fn proxies_that_know_few_others_stay_within_the_slow_start_limit() {
    let (maximum, _) = slow_start_load(9, 1);
    assert!(maximum <= 20, "{maximum}");
}

#[test]
fn a_draining_or_unlisted_server_gets_no_new_request() {
    let (mut endpoints, mut reported_health) = (endpoints(0, 1), ReportedHealth::default());
    endpoints.update(
        0.0,
        0.0,
        vec![server("i-1", "poa-a", 0), server("i-2", "poa-a", 0)],
        |_| LOCAL,
    );
    reported_health.record(endpoints.refresh(0.0));
    assert_eq!(reported_health.ready_count(), 2);
    let id = *reported_health.0.keys().next().unwrap();
    endpoints.update(
        100.0,
        0.0,
        vec![ServerInstance {
            is_draining: true,
            ..server("i-1", "poa-a", 0)
        }],
        |_| LOCAL,
    );
    // The decision engine chose the server before the change was reported.
    let reservation = endpoints.reserve(101.0, id);
    assert!(!reservation.granted);
    reported_health.record(reservation.health_change);
    reported_health.record(endpoints.refresh(102.0));
    assert_eq!(reported_health.ready_count(), 0);
}

/// Guards against sending full load to servers that restarted while their zone was evacuated: every available list is
/// older than the restart.
#[test]
fn a_restored_zone_is_in_slow_start_until_a_newer_list_arrives() {
    let (mut endpoints, mut reported_health) = (endpoints(0, 20), ReportedHealth::default());
    let zone = || vec![server("i-1", "poa-a", 0), server("i-2", "cwb-a", 0)];
    endpoints.update(0.0, 0.0, zone(), |_| LOCAL);
    endpoints.set_evacuated_zones(10.0, &["poa-a".into()]);
    reported_health.record(endpoints.refresh(20.0));
    assert_eq!(reported_health.ready_count(), 1);
    endpoints.set_evacuated_zones(5000.0, &[]);
    reported_health.record(endpoints.refresh(5001.0));
    assert_eq!(reported_health.ready_count(), 1, "no token yet");
    // This list was read 700 ms ago, and the platform's list lags behind the servers.
    endpoints.update(5200.0, 700.0, zone(), |_| LOCAL);
    reported_health.record(endpoints.refresh(5201.0));
    assert_eq!(reported_health.ready_count(), 1);
    endpoints.update(6100.0, 100.0, zone(), |_| LOCAL);
    reported_health.record(endpoints.refresh(6101.0));
    assert_eq!(reported_health.ready_count(), 2);
}

#[test]
fn a_slow_start_reported_by_the_server_is_applied() {
    let (mut endpoints, mut reported_health) = (endpoints(0, 20), ReportedHealth::default());
    endpoints.update(0.0, 0.0, vec![server("i-1", "poa-a", 0)], |_| LOCAL);
    reported_health.record(endpoints.refresh(1.0));
    let id = *reported_health.0.keys().next().unwrap();
    endpoints.report_slow_start(2.0, id, 2000.0);
    reported_health.record(endpoints.refresh(3.0));
    assert_eq!(reported_health.ready_count(), 0);
}

/// Nine proxies exchange no messages, and each retries whenever it may.
#[test]
fn retries_of_all_proxies_stay_within_the_budget() {
    let (proxy_count, requests) = (9, 400);
    let mut retries = 0;
    for number in 0..proxy_count {
        let mut endpoints = endpoints(number, proxy_count);
        for n in 0..requests {
            let now = f64::from(n) * 10.0;
            endpoints.record_request(now, 0);
            retries += u32::from(endpoints.reserve_retry(now, 0));
        }
    }
    let bound = 0.2 * f64::from(proxy_count) * f64::from(requests) + 58.0;
    assert!(f64::from(retries) <= bound, "{retries} of {bound}");
    assert!(f64::from(retries) >= bound / 2.0, "{retries} of {bound}");
}

/// Guards against requests that are sent to another service: the number of its pool wrapped around to that of the first
/// service.
#[test]
fn no_two_services_share_a_pool_when_the_numbers_of_pools_have_run_out() {
    let mut endpoints = EndpointSet::new(LIMITS, proxy(1));
    let first = endpoints.pool_number("first");
    for number in 1..=u32::from(u16::MAX) {
        endpoints.pool_number(&format!("service-{number}"));
    }
    assert_ne!(endpoints.pool_number("one-too-many"), first);
    assert_eq!(endpoints.pool_number("first"), first);
}
