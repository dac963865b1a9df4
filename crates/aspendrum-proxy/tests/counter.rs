//! Tenant counters: no tenant is granted more than the terms allow, whichever proxy owns its counter.

use aspendrum_proxy::counter::{
    CounterClient, CounterHandover, CounterId, CounterStore, Quota, QuotaTolerance,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;

const COUNTER: CounterId = CounterId(7);
/// The decision engine's name for the counter in some window.
const ENGINE_NAME: u64 = 3 << 40 | 7;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    span_s: 5.0,
    excess: 0.1,
    slack: 20.0,
};

fn store(rate: f64, burst: f64) -> (CounterStore, Quota) {
    let (mut store, quota) = (
        CounterStore::default(),
        Quota::with_tolerance(rate, burst, &TOLERANCE).unwrap(),
    );
    store.set_quotas(HashMap::from([(COUNTER, Some(quota))]), |_| true);
    store.update_ownership(-10_000.0, |_| true);
    (store, quota)
}

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * TOLERANCE.span_s + burst) * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
}

/// Returns the maximum number of grants in any five seconds.
fn max_in_span(grants: &[f64]) -> f64 {
    let within = |from: &f64| {
        grants
            .iter()
            .filter(|g| **g >= *from && **g < from + TOLERANCE.span_s * 1000.0)
            .count()
    };
    grants.iter().map(within).max().unwrap_or(0) as f64
}

/// Guards against a tenant with one of the lowest rates that is not limited at all: its window was infinite, and the rate
/// of the window 0, which means no limit.
#[test]
fn the_lowest_rates_are_limits_and_only_0_is_none() {
    for rate in [f64::from_bits(1), 1e-320, f64::MIN_POSITIVE, 1e-9] {
        for burst in [0.0, 61.0, f64::MAX] {
            let quota = Quota::with_tolerance(rate, burst, &TOLERANCE).unwrap();
            assert!(quota.rate > 0.0 && quota.window.is_finite(), "{quota:?}");
            assert!(quota.burst <= allowed(rate, burst), "{quota:?}");
        }
    }
    assert_eq!(Quota::with_tolerance(0.0, 61.0, &TOLERANCE), None);
    let highest = Quota::with_tolerance(1e300, 1e300, &TOLERANCE).unwrap();
    assert!(highest.rate.is_finite() && highest.burst > 0.0);
}

/// Covers a tenant that sends a request every millisecond for 20 s.
#[test]
fn no_span_holds_more_than_the_terms_allow() {
    for (rate, burst) in [
        (186.0, 186.0),
        (16.0, 16.0),
        (4.0, 40.0),
        (60.0, 6.0),
        (61.0, 0.0),
    ] {
        let (mut store, quota) = store(rate, burst);
        let request_times = (0..20_000).map(f64::from);
        let is_granted = |now: &f64| {
            store
                .add(*now, COUNTER, 1.0)
                .is_some_and(|total| f64::from(total) <= quota.burst)
        };
        let grants: Vec<f64> = request_times.filter(is_granted).collect();
        let burst = if burst > 0.0 { burst } else { rate };
        assert!(
            max_in_span(&grants) <= allowed(rate, burst),
            "{rate}/{burst}: {}",
            max_in_span(&grants)
        );
        // A span overlaps one window more than fits into it, so each window grants a little less.
        assert!(
            grants.len() as f64 >= 19.0 * rate,
            "{rate}/{burst}: only {}",
            grants.len()
        );
    }
}

/// Guards against two owners granting a burst each when a counter moves during a window of its previous owner.
#[test]
fn a_counter_that_moves_every_three_seconds_stays_within_the_quota() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut store, quota) = store(rate, burst);
    for now in (0..30_000).map(f64::from) {
        if now % 3000.0 == 0.0 && now > 0.0 {
            store = CounterStore::default();
            store.set_quotas(HashMap::from([(COUNTER, Some(quota))]), |_| true);
            store.update_ownership(now, |_| true);
        }
        if store
            .add(now, COUNTER, 1.0)
            .is_some_and(|total| f64::from(total) <= quota.burst)
        {
            grants.push(now);
        }
    }
    assert!(
        max_in_span(&grants) <= allowed(rate, burst),
        "{}",
        max_in_span(&grants)
    );
    assert!(grants.len() > 1000);
}

#[test]
fn a_counter_that_returns_to_an_owner_waits_again_before_it_grants() {
    let (mut store, quota) = store(10.0, 10.0);
    assert_eq!(store.add(0.0, COUNTER, 1.0), Some(1.0));
    store.update_ownership(50.0, |_| false);
    assert_eq!(store.add(90.0, COUNTER, 1.0), None, "another proxy owns it");
    store.update_ownership(100.0, |_| true);
    assert_eq!(store.add(200.0, COUNTER, 1.0), None);
    assert_eq!(
        store.add(200.0 + quota.window + 400.0, COUNTER, 1.0),
        Some(1.0)
    );
    assert_eq!(
        store.add(0.0, CounterId(8), 1.0),
        None,
        "a tenant that no configuration names"
    );
}

/// Guards against counters that wait until the last change of owners. With proxies restarting one after
/// another, the list changes every 0.4 s; a quarter of all requests were rejected below the quota until the
/// last proxy was back.
#[test]
fn a_change_of_other_owners_does_not_prolong_the_wait() {
    let (mut store, quota) = store(10.0, 10.0);
    store.update_ownership(0.0, |_| false);
    let mut first_granted_at = None;
    for now in (100..10_000).step_by(100).map(f64::from) {
        if now % 400.0 == 100.0 {
            store.update_ownership(now, |_| true);
        }
        if first_granted_at.is_none() && store.add(now, COUNTER, 1.0).is_some() {
            first_granted_at = Some(now);
        }
    }
    assert_eq!(first_granted_at, Some(100.0 + quota.window + 400.0));
}

/// A counter that is handed over is available at once at its new owner, and grants no more for that.
#[test]
fn a_counter_that_is_handed_over_keeps_its_total() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut owner, quota) = store(rate, burst);
    let (mut other_proxy, _) = store(rate, burst);
    other_proxy.update_ownership(-5000.0, |_| false);
    for now in (0..30_000).map(f64::from) {
        if now % 700.0 == 300.0 {
            let handovers = owner.update_ownership(now, |_| false);
            other_proxy.update_ownership(now, |_| true);
            handovers
                .into_iter()
                .for_each(|h| other_proxy.accept_handover(now, h));
            std::mem::swap(&mut owner, &mut other_proxy);
            assert_eq!(
                other_proxy.add(now, COUNTER, 1.0),
                None,
                "the last owner grants nothing more"
            );
        }
        if owner
            .add(now, COUNTER, 1.0)
            .is_some_and(|total| f64::from(total) <= quota.burst)
        {
            grants.push(now);
        }
    }
    assert!(
        max_in_span(&grants) <= allowed(rate, burst),
        "{}",
        max_in_span(&grants)
    );
    assert!(grants.len() as f64 >= 29.0 * rate, "only {}", grants.len());
    // Invalid handovers change nothing. The total of a valid one is added to the units already granted.
    let before = owner.add(30_000.0, COUNTER, 0.0);
    for (counter, total) in [(CounterId(8), 1.0), (COUNTER, f32::NAN), (COUNTER, -5.0)] {
        owner.accept_handover(
            30_000.0,
            CounterHandover {
                counter,
                total: Some(total),
                age_ms: 0,
            },
        );
    }
    assert_eq!(owner.add(30_000.0, COUNTER, 0.0), before);
    owner.accept_handover(
        30_000.0,
        CounterHandover {
            counter: COUNTER,
            total: Some(3.0),
            age_ms: 0,
        },
    );
    assert_eq!(
        owner.add(30_000.0, COUNTER, 0.0),
        before.map(|total| total + 3.0)
    );
}

/// Guards against a wait that starts again at each new owner while the list of proxies grows during a fleet restart.
#[test]
fn a_handover_does_not_restart_the_wait() {
    let (mut owner, quota) = store(10.0, 10.0);
    let (mut other_proxy, _) = store(10.0, 10.0);
    owner.update_ownership(0.0, |_| false);
    other_proxy.update_ownership(0.0, |_| false);
    owner.update_ownership(100.0, |_| true);
    let handovers = owner.update_ownership(900.0, |_| false);
    assert_eq!(
        handovers,
        [CounterHandover {
            counter: COUNTER,
            total: None,
            age_ms: 800
        }]
    );
    // The new owner may get its list before or after the handover.
    handovers
        .into_iter()
        .for_each(|h| other_proxy.accept_handover(905.0, h));
    other_proxy.update_ownership(910.0, |_| true);
    assert_eq!(
        other_proxy.add(100.0 + quota.window + 300.0, COUNTER, 1.0),
        None
    );
    assert_eq!(
        other_proxy.add(106.0 + quota.window + 400.0, COUNTER, 1.0),
        Some(1.0)
    );
}

fn proxies(n: u8) -> Vec<Ipv4Addr> {
    (1..=n).map(|n| Ipv4Addr::new(10, 1, 0, n)).collect()
}

/// Rendezvous hashing: if a proxy is removed, only its own counters move.
#[test]
fn other_proxies_keep_their_counters_when_one_is_removed() {
    let (mut before, mut after) = (CounterClient::default(), CounterClient::default());
    before.set_owners(proxies(9));
    after.set_owners(
        proxies(9)
            .into_iter()
            .filter(|p| *p != proxies(9)[4])
            .collect(),
    );
    let counters = (0..1000).map(CounterId);
    let moved = counters.filter(|counter| before.owner(*counter) != after.owner(*counter));
    assert!(moved
        .clone()
        .all(|counter| before.owner(counter) == Some(proxies(9)[4])));
    assert!((60..200).contains(&moved.count()));
}

/// Guards against callers that wait for the timeout of every call to a removed proxy.
#[test]
fn calls_to_a_removed_proxy_fail_immediately() {
    let mut calls = CounterClient::default();
    calls.set_owners(proxies(2));
    let call = calls.start_call(0.0, proxies(2)[0], ENGINE_NAME);
    assert_eq!(calls.set_owners(proxies(2)), None, "nothing changed");
    let failed_calls = calls.set_owners(vec![proxies(2)[1]]).unwrap();
    assert_eq!(
        failed_calls
            .iter()
            .map(|call| call.engine_name)
            .collect::<Vec<_>>(),
        [ENGINE_NAME]
    );
    assert_eq!(calls.finish_call(5.0, proxies(2)[0], call), None);
}

/// Guards against accepting a reply from another proxy, or after the timeout.
#[test]
fn only_the_owner_can_complete_a_call_and_only_before_its_timeout() {
    let mut calls = CounterClient::default();
    calls.set_owners(proxies(2));
    let call = calls.start_call(0.0, proxies(2)[0], ENGINE_NAME);
    assert_eq!(calls.finish_call(1.0, proxies(2)[1], call), None);
    assert!(calls.expire_calls(100.0).is_empty());
    assert_eq!(calls.expire_calls(1000.0).len(), 1);
    assert_eq!(calls.finish_call(1001.0, proxies(2)[0], call), None);
}
