//! Which servers may be used: cold ones within the fleet's bound, none that drains, none of an evacuated zone.

use aspendrum_core::api::{Health, ServerEntry, ServerId};
use aspendrum_model::servers::ServerInstance;
use aspendrum_proxy::stacks::{Stacks, Terms, Warmth};
use std::collections::HashMap;
use std::net::Ipv4Addr;

const TERMS: Terms = Terms {
    warm_excess: 1.5,
    warm_slack: 5.0,
    retry_ratio: 0.2,
    retry_win: 10_000.0,
    retry_slack: 58.0,
    list_lag: 800.0,
};

fn server(uid: &str, zone: &str, warm_left_ms: u32) -> ServerInstance {
    let (service, addr) = ("s1".to_string(), "10.128.0.9:8080".parse().unwrap());
    ServerInstance {
        uid: uid.into(),
        service,
        addr,
        zone: zone.into(),
        slots: 2,
        draining: false,
        slow_start_left_ms: warm_left_ms,
    }
}

fn proxy(n: u16) -> Ipv4Addr {
    Ipv4Addr::from(0x0a01_0000 + u32::from(n))
}

fn stacks(me: u16, of: u16) -> Stacks {
    let mut stacks = Stacks::new(TERMS, proxy(me));
    stacks.fronts((0..of).map(proxy).collect());
    stacks.warmth(
        "s1",
        Warmth {
            warmup: 3000.0,
            rate: 10.0,
        },
    );
    stacks
}

/// What the module was told of each server last.
#[derive(Default)]
struct Told(HashMap<ServerId, Health>);

impl Told {
    fn hear(&mut self, members: impl IntoIterator<Item = ServerEntry>) {
        self.0
            .extend(members.into_iter().map(|m| (m.server, m.health)));
    }

    fn ready(&self) -> usize {
        self.0.values().filter(|h| **h == Health::Ready).count()
    }
}

/// Each of the proxies sends to a cold server whenever it may; no second holds more than the bound, and the
/// server is not left idle. `known`: how many of them each knows of.
fn cold(of: u16, known: u16) -> (usize, f64) {
    let mut fleet: Vec<(Stacks, Told)> = (0..of)
        .map(|me| (stacks(me, of), Told::default()))
        .collect();
    let mut sent = Vec::new();
    for (n, (stacks, told)) in fleet.iter_mut().enumerate() {
        let me = n as u16;
        stacks.fronts(
            (0..of)
                .filter(|p| *p == me || p % of < known)
                .map(proxy)
                .collect(),
        );
        stacks.list(0.0, 0.0, vec![server("i-1", "poa-a", 60_000)], |_| (0, 1.0));
        told.hear(stacks.beat(0.0));
    }
    for now in (0..20_000).step_by(10).map(f64::from) {
        for (stacks, told) in &mut fleet {
            told.hear(stacks.beat(now));
            let ready = told.0.iter().find(|t| *t.1 == Health::Ready).map(|t| *t.0);
            if let Some(id) = ready {
                let (may, change) = stacks.leave_for(now, id);
                told.hear(change);
                sent.extend(may.then_some(now));
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
fn all_proxies_together_keep_to_what_a_cold_server_bears() {
    for of in [1, 4, 9, 11, 63] {
        let (most, mean) = cold(of, of);
        assert!(most <= 20, "{of}: {most}");
        assert!(mean >= 0.9 * f64::from(of.min(4)), "{of}: {mean}");
    }
}

/// Danger: after a loss of power of all, each proxy knows of few others.
#[test]
fn proxies_that_know_of_few_others_do_not_take_their_shares() {
    let (most, _) = cold(9, 1);
    assert!(most <= 20, "{most}");
}

#[test]
fn a_server_that_drains_or_is_gone_gets_nothing_new() {
    let (mut stacks, mut told) = (stacks(0, 1), Told::default());
    stacks.list(
        0.0,
        0.0,
        vec![server("i-1", "poa-a", 0), server("i-2", "poa-a", 0)],
        |_| (0, 1.0),
    );
    told.hear(stacks.beat(0.0));
    assert_eq!(told.ready(), 2);
    let id = *told.0.keys().next().unwrap();
    stacks.list(
        100.0,
        0.0,
        vec![ServerInstance {
            draining: true,
            ..server("i-1", "poa-a", 0)
        }],
        |_| (0, 1.0),
    );
    // Asked for before the module heard of it.
    let (may, change) = stacks.leave_for(101.0, id);
    assert!(!may);
    told.hear(change);
    told.hear(stacks.beat(102.0));
    assert_eq!(told.ready(), 0);
}

/// Danger: the zone's servers turned cold while it was evacuated, and every list at hand is older.
#[test]
fn a_zone_taken_back_is_cold_until_a_list_read_since_says_otherwise() {
    let (mut stacks, mut told) = (stacks(0, 20), Told::default());
    let zone = || vec![server("i-1", "poa-a", 0), server("i-2", "cwb-a", 0)];
    stacks.list(0.0, 0.0, zone(), |_| (0, 1.0));
    stacks.evacuate(10.0, &["poa-a".into()]);
    told.hear(stacks.beat(20.0));
    assert_eq!(told.ready(), 1);
    stacks.evacuate(5000.0, &[]);
    told.hear(stacks.beat(5001.0));
    assert_eq!(told.ready(), 1, "no turn yet");
    // Read 700 ms ago, and the list lags.
    stacks.list(5200.0, 700.0, zone(), |_| (0, 1.0));
    told.hear(stacks.beat(5201.0));
    assert_eq!(told.ready(), 1);
    stacks.list(6100.0, 100.0, zone(), |_| (0, 1.0));
    told.hear(stacks.beat(6101.0));
    assert_eq!(told.ready(), 2);
}

#[test]
fn a_server_that_says_it_is_cold_is_taken_at_its_word() {
    let (mut stacks, mut told) = (stacks(0, 20), Told::default());
    stacks.list(0.0, 0.0, vec![server("i-1", "poa-a", 0)], |_| (0, 1.0));
    told.hear(stacks.beat(1.0));
    let id = *told.0.keys().next().unwrap();
    stacks.said_cold(2.0, id, 2000.0);
    told.hear(stacks.beat(3.0));
    assert_eq!(told.ready(), 0);
}

/// Nine proxies that hear nothing of each other, each sending on whatever it may.
#[test]
fn further_tries_of_all_stay_within_the_budget() {
    let (of, firsts) = (9, 400);
    let mut all = 0;
    for me in 0..of {
        let mut stacks = stacks(me, of);
        for n in 0..firsts {
            let now = f64::from(n) * 10.0;
            stacks.first(now, 0);
            all += u32::from(stacks.further(now, 0));
        }
    }
    let bound = 0.2 * f64::from(of) * f64::from(firsts) + 58.0;
    assert!(f64::from(all) <= bound, "{all} of {bound}");
    assert!(f64::from(all) >= bound / 2.0, "{all} of {bound}");
}
