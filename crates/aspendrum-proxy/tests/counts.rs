//! Counters inside proxies: no tenant is granted more than the terms allow, wherever its counter is.

use aspendrum_proxy::counts::{Calls, Handed, Leave, Ledger, Quota};
use std::collections::HashMap;
use std::net::Ipv4Addr;

const NAME: u64 = 7;
const LEAVE: Leave = Leave {
    win: 5.0,
    excess: 0.1,
    slack: 20.0,
};

fn ledger(rate: f64, burst: f64) -> (Ledger, Quota) {
    let (mut ledger, quota) = (Ledger::default(), Quota::of(rate, burst, &LEAVE));
    ledger.quotas(HashMap::from([(NAME, quota)]), |_| true);
    ledger.held(-10_000.0, |_| true);
    (ledger, quota)
}

fn allowed(rate: f64, burst: f64) -> f64 {
    (rate * LEAVE.win + burst) * (1.0 + LEAVE.excess) + LEAVE.slack
}

/// The most of these grants that lie in any five seconds.
fn most(grants: &[f64]) -> f64 {
    let within = |from: &f64| {
        grants
            .iter()
            .filter(|g| **g >= *from && **g < from + LEAVE.win * 1000.0)
            .count()
    };
    grants.iter().map(within).max().unwrap_or(0) as f64
}

/// A tenant that asks every millisecond, for 20 s.
#[test]
fn no_span_holds_more_than_the_terms_allow() {
    for (rate, burst) in [
        (186.0, 186.0),
        (16.0, 16.0),
        (4.0, 40.0),
        (60.0, 6.0),
        (61.0, 0.0),
    ] {
        let (mut ledger, quota) = ledger(rate, burst);
        let asks = (0..20_000).map(f64::from);
        let passes = |now: &f64| {
            ledger
                .add(*now, NAME, 1.0)
                .is_some_and(|total| f64::from(total) <= quota.burst)
        };
        let grants: Vec<f64> = asks.filter(passes).collect();
        let burst = if burst > 0.0 { burst } else { rate };
        assert!(
            most(&grants) <= allowed(rate, burst),
            "{rate}/{burst}: {}",
            most(&grants)
        );
        // A window more than fits in a span is paid for by each.
        assert!(
            grants.len() as f64 >= 19.0 * rate,
            "{rate}/{burst}: only {}",
            grants.len()
        );
    }
}

/// Danger: the counter moves while its last holder's window is open; two holders each grant a burst.
#[test]
fn a_counter_that_moves_every_three_seconds_grants_no_more() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut held, quota) = ledger(rate, burst);
    for now in (0..30_000).map(f64::from) {
        if now % 3000.0 == 0.0 && now > 0.0 {
            held = Ledger::default();
            held.quotas(HashMap::from([(NAME, quota)]), |_| true);
            held.held(now, |_| true);
        }
        if held
            .add(now, NAME, 1.0)
            .is_some_and(|total| f64::from(total) <= quota.burst)
        {
            grants.push(now);
        }
    }
    assert!(most(&grants) <= allowed(rate, burst), "{}", most(&grants));
    assert!(grants.len() > 1000);
}

#[test]
fn a_counter_taken_away_and_given_back_is_behind_the_fence_again() {
    let (mut ledger, quota) = ledger(10.0, 10.0);
    assert_eq!(ledger.add(0.0, NAME, 1.0), Some(1.0));
    ledger.held(50.0, |_| false);
    assert_eq!(ledger.add(90.0, NAME, 1.0), None, "another's");
    ledger.held(100.0, |_| true);
    assert_eq!(ledger.add(200.0, NAME, 1.0), None);
    assert_eq!(
        ledger.add(200.0 + quota.window + 400.0, NAME, 1.0),
        Some(1.0)
    );
    assert_eq!(
        ledger.add(0.0, 8, 1.0),
        None,
        "a tenant that no configuration names"
    );
}

/// Danger: proxies restart one after another, the list changes every 0.4 s, and every counter that moved stays behind
/// its fence until the last of them is back: a quarter of all tries were refused below quota.
#[test]
fn a_list_that_changes_for_others_sake_prolongs_no_fence() {
    let (mut ledger, quota) = ledger(10.0, 10.0);
    ledger.held(0.0, |_| false);
    let mut opened = None;
    for now in (100..10_000).step_by(100).map(f64::from) {
        if now % 400.0 == 100.0 {
            ledger.held(now, |_| true);
        }
        if opened.is_none() && ledger.add(now, NAME, 1.0).is_some() {
            opened = Some(now);
        }
    }
    assert_eq!(opened, Some(100.0 + quota.window + 400.0));
}

/// A counter that is handed over goes on at once, and grants no more for it.
#[test]
fn a_counter_that_is_handed_over_goes_on_where_it_stood() {
    let (mut grants, (rate, burst)) = (Vec::new(), (186.0, 186.0));
    let (mut one, quota) = ledger(rate, burst);
    let (mut other, _) = ledger(rate, burst);
    other.held(-5000.0, |_| false);
    for now in (0..30_000).map(f64::from) {
        if now % 700.0 == 300.0 {
            let handed = one.held(now, |_| false);
            other.held(now, |_| true);
            handed.into_iter().for_each(|h| other.take(now, h));
            std::mem::swap(&mut one, &mut other);
            assert_eq!(
                other.add(now, NAME, 1.0),
                None,
                "the last holder grants nothing more"
            );
        }
        if one
            .add(now, NAME, 1.0)
            .is_some_and(|total| f64::from(total) <= quota.burst)
        {
            grants.push(now);
        }
    }
    assert!(most(&grants) <= allowed(rate, burst), "{}", most(&grants));
    assert!(grants.len() as f64 >= 29.0 * rate, "only {}", grants.len());
    // Nonsense hands nothing over, and what was granted meanwhile is not forgotten.
    let before = one.add(30_000.0, NAME, 0.0);
    for (name, total) in [(8, 1.0), (NAME, f32::NAN), (NAME, -5.0)] {
        one.take(
            30_000.0,
            Handed {
                name,
                total: Some(total),
                age: 0,
            },
        );
    }
    assert_eq!(one.add(30_000.0, NAME, 0.0), before);
    one.take(
        30_000.0,
        Handed {
            name: NAME,
            total: Some(3.0),
            age: 0,
        },
    );
    assert_eq!(
        one.add(30_000.0, NAME, 0.0),
        before.map(|total| total + 3.0)
    );
}

/// Danger: a whole fleet comes back, the list grows for a second, and each next holder begins the fence anew.
#[test]
fn a_fence_that_is_handed_over_ends_where_it_would_have() {
    let (mut one, quota) = ledger(10.0, 10.0);
    let (mut other, _) = ledger(10.0, 10.0);
    one.held(0.0, |_| false);
    other.held(0.0, |_| false);
    one.held(100.0, |_| true);
    let handed = one.held(900.0, |_| false);
    assert_eq!(
        handed,
        [Handed {
            name: NAME,
            total: None,
            age: 800
        }]
    );
    // The next one's list may come before or behind that word.
    handed.into_iter().for_each(|h| other.take(905.0, h));
    other.held(910.0, |_| true);
    assert_eq!(other.add(100.0 + quota.window + 300.0, NAME, 1.0), None);
    assert_eq!(
        other.add(106.0 + quota.window + 400.0, NAME, 1.0),
        Some(1.0)
    );
}

fn proxies(n: u8) -> Vec<Ipv4Addr> {
    (1..=n).map(|n| Ipv4Addr::new(10, 1, 0, n)).collect()
}

/// When one proxy goes only its own counters move.
#[test]
fn the_others_keep_their_counters_when_one_goes() {
    let (mut before, mut after) = (Calls::default(), Calls::default());
    before.holders(proxies(9));
    after.holders(
        proxies(9)
            .into_iter()
            .filter(|p| *p != proxies(9)[4])
            .collect(),
    );
    let moved = (0..1000).filter(|n| before.holder(*n) != after.holder(*n));
    assert!(moved
        .clone()
        .all(|n| before.holder(n) == Some(proxies(9)[4])));
    assert!((60..200).contains(&moved.count()));
}

/// Danger: a holder that was killed; its callers would each wait for the time-out of every call.
#[test]
fn calls_to_a_proxy_that_is_gone_end_at_once() {
    let mut calls = Calls::default();
    calls.holders(proxies(2));
    let call = calls.begin(0.0, proxies(2)[0], NAME);
    assert_eq!(calls.holders(proxies(2)), None, "nothing changed");
    let lost = calls.holders(vec![proxies(2)[1]]).unwrap();
    assert_eq!(lost.iter().map(|c| c.name).collect::<Vec<_>>(), [NAME]);
    assert_eq!(calls.answered(5.0, proxies(2)[0], call), None);
}

/// Danger: an answer of a stranger, or one that comes after its time.
#[test]
fn only_the_holder_answers_and_only_in_time() {
    let mut calls = Calls::default();
    calls.holders(proxies(2));
    let call = calls.begin(0.0, proxies(2)[0], NAME);
    assert_eq!(calls.answered(1.0, proxies(2)[1], call), None);
    assert!(calls.late(100.0).is_empty());
    assert_eq!(calls.late(1000.0).len(), 1);
    assert_eq!(calls.answered(1001.0, proxies(2)[0], call), None);
}
