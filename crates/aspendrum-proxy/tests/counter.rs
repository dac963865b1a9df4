//! Tenants' counters: no tenant is granted more than the terms allow, whichever proxy owns its counter.

use aspendrum_proxy::counter::{
    CounterClient, CounterHandover, CounterId, CounterStore, Quota, QuotaTolerance,
};
use std::collections::HashMap;
use std::net::Ipv4Addr;

const COUNTER: CounterId = CounterId(7);
/// The counter as the decision engine names it, in some window.
const ENGINE_NAME: u64 = 3 << 40 | 7;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    span_s: 5.0,
    excess: 0.1,
    slack: 20.0,
};

fn store(rate: f64, burst: f64) -> (CounterStore, Quota) {
    let (mut store, quota) = (
        CounterStore::default(),
        Quota::within(rate, burst, &TOLERANCE),
    );
    store.set_quotas(HashMap::from([(COUNTER, quota)]), |_| true);
    store.set_owned(-10_000.0, |_| true);
    (store, quota)
}

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * TOLERANCE.span_s + burst) * (1.0 + TOLERANCE.excess) + TOLERANCE.slack
}

/// The most of these grants that lie in any five seconds.
fn max_in_span(grants: &[f64]) -> f64 {
    let within = |from: &f64| {
        grants
            .iter()
            .filter(|g| **g >= *from && **g < from + TOLERANCE.span_s * 1000.0)
            .count()
    };
    grants.iter().map(within).max().unwrap_or(0) as f64
}

/// A tenant that sends a request every millisecond, for 20 s.
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
        let asks = (0..20_000).map(f64::from);
        let passes = |now: &f64| {
            store
                .add(*now, COUNTER, 1.0)
                .is_some_and(|total| f64::from(total) <= quota.burst)
        };
        let grants: Vec<f64> = asks.filter(passes).collect();
        let burst = if burst > 0.0 { burst } else { rate };
        assert!(
            max_in_span(&grants) <= allowed(rate, burst),
            "{rate}/{burst}: {}",
            max_in_span(&grants)
        );
        // A span touches one window more than fits in it: each window grants a little less for that.
        assert!(
            grants.len() as f64 >= 19.0 * rate,
            "{rate}/{burst}: only {}",
            grants.len()
        );
    }
}

/// Danger: a counter moves while its last owner's window is open, and two owners grant a burst each.
#[test]
fn a_counter_that_moves_every_three_seconds_grants_no_more() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut store, quota) = store(rate, burst);
    for now in (0..30_000).map(f64::from) {
        if now % 3000.0 == 0.0 && now > 0.0 {
            store = CounterStore::default();
            store.set_quotas(HashMap::from([(COUNTER, quota)]), |_| true);
            store.set_owned(now, |_| true);
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
    store.set_owned(50.0, |_| false);
    assert_eq!(store.add(90.0, COUNTER, 1.0), None, "another proxy owns it");
    store.set_owned(100.0, |_| true);
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

/// Danger: proxies restart one after another, the list changes every 0.4 s, and every counter that moved waits until the
/// last of them is back: a quarter of all requests were rejected below quota.
#[test]
fn a_change_of_owners_that_concerns_others_does_not_prolong_the_wait() {
    let (mut store, quota) = store(10.0, 10.0);
    store.set_owned(0.0, |_| false);
    let mut opened = None;
    for now in (100..10_000).step_by(100).map(f64::from) {
        if now % 400.0 == 100.0 {
            store.set_owned(now, |_| true);
        }
        if opened.is_none() && store.add(now, COUNTER, 1.0).is_some() {
            opened = Some(now);
        }
    }
    assert_eq!(opened, Some(100.0 + quota.window + 400.0));
}

/// A counter that is handed over goes on at once, and grants no more for that.
#[test]
fn a_counter_that_is_handed_over_goes_on_with_its_total() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut one, quota) = store(rate, burst);
    let (mut other, _) = store(rate, burst);
    other.set_owned(-5000.0, |_| false);
    for now in (0..30_000).map(f64::from) {
        if now % 700.0 == 300.0 {
            let handed = one.set_owned(now, |_| false);
            other.set_owned(now, |_| true);
            handed
                .into_iter()
                .for_each(|h| other.accept_handover(now, h));
            std::mem::swap(&mut one, &mut other);
            assert_eq!(
                other.add(now, COUNTER, 1.0),
                None,
                "the last owner grants nothing more"
            );
        }
        if one
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
    // Invalid handovers change nothing, and what was granted meanwhile is added.
    let before = one.add(30_000.0, COUNTER, 0.0);
    for (counter, total) in [(CounterId(8), 1.0), (COUNTER, f32::NAN), (COUNTER, -5.0)] {
        one.accept_handover(
            30_000.0,
            CounterHandover {
                counter,
                total: Some(total),
                age_ms: 0,
            },
        );
    }
    assert_eq!(one.add(30_000.0, COUNTER, 0.0), before);
    one.accept_handover(
        30_000.0,
        CounterHandover {
            counter: COUNTER,
            total: Some(3.0),
            age_ms: 0,
        },
    );
    assert_eq!(
        one.add(30_000.0, COUNTER, 0.0),
        before.map(|total| total + 3.0)
    );
}

/// Danger: a whole fleet comes back, the list grows for a second, and each next owner waits from the start.
#[test]
fn a_wait_that_is_handed_over_ends_when_it_would_have_ended() {
    let (mut one, quota) = store(10.0, 10.0);
    let (mut other, _) = store(10.0, 10.0);
    one.set_owned(0.0, |_| false);
    other.set_owned(0.0, |_| false);
    one.set_owned(100.0, |_| true);
    let handed = one.set_owned(900.0, |_| false);
    assert_eq!(
        handed,
        [CounterHandover {
            counter: COUNTER,
            total: None,
            age_ms: 800
        }]
    );
    // The next owner's list may come before or after the handover.
    handed
        .into_iter()
        .for_each(|h| other.accept_handover(905.0, h));
    other.set_owned(910.0, |_| true);
    assert_eq!(other.add(100.0 + quota.window + 300.0, COUNTER, 1.0), None);
    assert_eq!(
        other.add(106.0 + quota.window + 400.0, COUNTER, 1.0),
        Some(1.0)
    );
}

fn proxies(n: u8) -> Vec<Ipv4Addr> {
    (1..=n).map(|n| Ipv4Addr::new(10, 1, 0, n)).collect()
}

/// Rendezvous hashing: when one proxy goes only its own counters move.
#[test]
fn other_proxies_keep_their_counters_when_one_goes() {
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

/// Danger: an owner is killed, and its callers wait for the time-out of every call.
#[test]
fn calls_to_a_proxy_that_is_gone_end_at_once() {
    let mut calls = CounterClient::default();
    calls.set_owners(proxies(2));
    let call = calls.start_call(0.0, proxies(2)[0], ENGINE_NAME);
    assert_eq!(calls.set_owners(proxies(2)), None, "nothing changed");
    let lost = calls.set_owners(vec![proxies(2)[1]]).unwrap();
    assert_eq!(
        lost.iter().map(|call| call.engine_name).collect::<Vec<_>>(),
        [ENGINE_NAME]
    );
    assert_eq!(calls.finish_call(5.0, proxies(2)[0], call), None);
}

/// Danger: an answer of another proxy, or one that comes after its time-out.
#[test]
fn only_the_owner_answers_a_call_and_only_before_its_time_out() {
    let mut calls = CounterClient::default();
    calls.set_owners(proxies(2));
    let call = calls.start_call(0.0, proxies(2)[0], ENGINE_NAME);
    assert_eq!(calls.finish_call(1.0, proxies(2)[1], call), None);
    assert!(calls.expire_calls(100.0).is_empty());
    assert_eq!(calls.expire_calls(1000.0).len(), 1);
    assert_eq!(calls.finish_call(1001.0, proxies(2)[0], call), None);
}
