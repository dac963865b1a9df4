//! Which servers may be used: those in slow start within the fleet's limit, none that drains, none of an evacuated zone.

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
        draining: false,
        slow_start_left_ms,
    }
}

fn proxy(n: u16) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + u32::from(n))
}

fn endpoints(me: u16, of: u16) -> EndpointSet {
    let mut endpoints = EndpointSet::new(LIMITS, proxy(me));
    endpoints.set_proxies((0..of).map(proxy).collect());
    endpoints.set_slow_start(
        "s1",
        SlowStart {
            duration: 3000.0,
            rate: 10.0,
        },
    );
    endpoints
}

/// What the decision engine was told of each server last.
#[derive(Default)]
struct ReportedHealth(HashMap<ServerId, Health>);

impl ReportedHealth {
    fn record(&mut self, members: impl IntoIterator<Item = ServerEntry>) {
        self.0
            .extend(members.into_iter().map(|m| (m.server, m.health)));
    }

    fn ready_count(&self) -> usize {
        self.0.values().filter(|h| **h == Health::Ready).count()
    }
}

/// Each of the proxies sends to a server in slow start whenever it may. Returns the most requests in any second, and the
/// mean. `known`: how many of the proxies each knows of.
fn slow_start_load(of: u16, known: u16) -> (usize, f64) {
    let mut fleet: Vec<(EndpointSet, ReportedHealth)> = (0..of)
        .map(|me| (endpoints(me, of), ReportedHealth::default()))
        .collect();
    let mut sent = Vec::new();
    for (n, (endpoints, reported)) in fleet.iter_mut().enumerate() {
        let me = n as u16;
        endpoints.set_proxies(
            (0..of)
                .filter(|p| *p == me || p % of < known)
                .map(proxy)
                .collect(),
        );
        endpoints.update(0.0, 0.0, vec![server("i-1", "poa-a", 60_000)], |_| LOCAL);
        reported.record(endpoints.refresh(0.0));
    }
    for now in (0..20_000).step_by(10).map(f64::from) {
        for (endpoints, reported) in &mut fleet {
            reported.record(endpoints.refresh(now));
            let ready = reported
                .0
                .iter()
                .find(|t| *t.1 == Health::Ready)
                .map(|t| *t.0);
            if let Some(id) = ready {
                let reservation = endpoints.reserve(now, id);
                reported.record(reservation.change);
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
fn all_proxies_together_keep_to_the_slow_start_limit() {
    for of in [1, 4, 9, 11, 63] {
        let (most, mean) = slow_start_load(of, of);
        assert!(most <= 20, "{of}: {most}");
        assert!(mean >= 0.9 * f64::from(of.min(4)), "{of}: {mean}");
    }
}

/// Danger: after a power loss of the whole fleet each proxy knows of few others.
#[test]
fn proxies_that_know_of_few_others_do_not_take_the_others_shares() {
    let (most, _) = slow_start_load(9, 1);
    assert!(most <= 20, "{most}");
}

#[test]
fn a_draining_or_unlisted_server_gets_no_new_request() {
    let (mut endpoints, mut reported) = (endpoints(0, 1), ReportedHealth::default());
    endpoints.update(
        0.0,
        0.0,
        vec![server("i-1", "poa-a", 0), server("i-2", "poa-a", 0)],
        |_| LOCAL,
    );
    reported.record(endpoints.refresh(0.0));
    assert_eq!(reported.ready_count(), 2);
    let id = *reported.0.keys().next().unwrap();
    endpoints.update(
        100.0,
        0.0,
        vec![ServerInstance {
            draining: true,
            ..server("i-1", "poa-a", 0)
        }],
        |_| LOCAL,
    );
    // The decision engine chose it before it was reported.
    let reservation = endpoints.reserve(101.0, id);
    assert!(!reservation.granted);
    reported.record(reservation.change);
    reported.record(endpoints.refresh(102.0));
    assert_eq!(reported.ready_count(), 0);
}

/// Danger: a zone's servers restarted while it was evacuated, and every list at hand is older.
#[test]
fn a_restored_zone_is_in_slow_start_until_a_newer_list_says_otherwise() {
    let (mut endpoints, mut reported) = (endpoints(0, 20), ReportedHealth::default());
    let zone = || vec![server("i-1", "poa-a", 0), server("i-2", "cwb-a", 0)];
    endpoints.update(0.0, 0.0, zone(), |_| LOCAL);
    endpoints.set_evacuated_zones(10.0, &["poa-a".into()]);
    reported.record(endpoints.refresh(20.0));
    assert_eq!(reported.ready_count(), 1);
    endpoints.set_evacuated_zones(5000.0, &[]);
    reported.record(endpoints.refresh(5001.0));
    assert_eq!(reported.ready_count(), 1, "no token yet");
    // Read 700 ms ago, and the platform's list lags.
    endpoints.update(5200.0, 700.0, zone(), |_| LOCAL);
    reported.record(endpoints.refresh(5201.0));
    assert_eq!(reported.ready_count(), 1);
    endpoints.update(6100.0, 100.0, zone(), |_| LOCAL);
    reported.record(endpoints.refresh(6101.0));
    assert_eq!(reported.ready_count(), 2);
}

#[test]
fn a_server_that_reports_slow_start_is_believed() {
    let (mut endpoints, mut reported) = (endpoints(0, 20), ReportedHealth::default());
    endpoints.update(0.0, 0.0, vec![server("i-1", "poa-a", 0)], |_| LOCAL);
    reported.record(endpoints.refresh(1.0));
    let id = *reported.0.keys().next().unwrap();
    endpoints.report_slow_start(2.0, id, 2000.0);
    reported.record(endpoints.refresh(3.0));
    assert_eq!(reported.ready_count(), 0);
}

/// Nine proxies that exchange no messages, each retrying whatever it may.
#[test]
fn retries_of_all_proxies_stay_within_the_budget() {
    let (of, requests) = (9, 400);
    let mut all = 0;
    for me in 0..of {
        let mut endpoints = endpoints(me, of);
        for n in 0..requests {
            let now = f64::from(n) * 10.0;
            endpoints.record_request(now, 0);
            all += u32::from(endpoints.reserve_retry(now, 0));
        }
    }
    let bound = 0.2 * f64::from(of) * f64::from(requests) + 58.0;
    assert!(f64::from(all) <= bound, "{all} of {bound}");
    assert!(f64::from(all) >= bound / 2.0, "{all} of {bound}");
}
