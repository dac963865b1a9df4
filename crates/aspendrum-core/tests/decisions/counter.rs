//! Quota decisions by the shared counter.

use crate::common::settings;
use crate::harness::Harness;
use aspendrum_core::api::{Event, Outcome, RepeatGroup, Semantics, Settings};
use test_case::test_case;

#[test_case(1.0, true ; "first units")]
#[test_case(4.0, true ; "last of the burst")]
#[test_case(5.0, false ; "beyond the burst")]
fn a_request_is_admitted_by_the_counters_total(total: f32, admitted: bool) {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, total);
    assert_eq!(
        (
            harness.calls[0],
            harness.sent(1) == 1,
            harness.local_replies(1) == 0
        ),
        ((9, 1.0), admitted, admitted)
    );
}

#[test]
fn rejected_units_are_settled_with_the_next_call_or_separately() {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, 5.0);
    harness.request(2, 9);
    assert_eq!(harness.calls[1], (9, 0.0));
    harness.counter_reply(9, Outcome::Ok, 5.0);
    harness.wait(300.0);
    assert_eq!(harness.calls[2], (9, -1.0));
}

#[test]
fn a_lost_counter_name_grants_no_additional_burst() {
    let mut harness = Harness::plain();
    for id in 0..4 {
        harness.request_with_total(id, 9, 41.0 + id as f32);
    }
    let before = harness.forwards.len();
    for id in 10..14 {
        harness.request_with_total(id, 9, (id - 9) as f32);
    }
    assert!(
        before <= 2 && harness.forwards.len() == before,
        "{:?}",
        harness.forwards
    );
}

#[test]
fn requests_are_answered_despite_a_silent_counter() {
    let mut harness = Harness::plain();
    harness.request(1, 9);
    harness.wait(100.0);
    assert_eq!(harness.sent(1), 1);
    harness.wait(3000.0);
    assert_eq!(harness.local_replies(1), 1);
}

// Units of a rejected call must be sent again without a further request. Otherwise a tenant with a
// single request would never be idle, and its state would never be removed.
#[test]
fn units_of_a_rejected_call_are_settled_again() {
    let mut harness = Harness::plain();
    harness.request(1, 9);
    harness.counter_reply(9, Outcome::Rejected, 0.0);
    harness.wait(2000.0);
    assert_eq!(harness.calls, [(9, 1.0), (9, 1.0)]);
}

/// A tenant of a hundred instances is counted under one name per window, which is the same at all
/// instances. Rejected units stay counted. Once the counter is slow, a call also accounts for the
/// requests that were not sampled.
#[test]
fn a_sparse_tenant_is_counted_by_windows() {
    let mut harnesses = [Harness::plain(), Harness::plain()];
    for harness in &mut harnesses {
        harness.request_of(1, 9, 100.0);
        harness.counter_reply(harness.calls[0].0, Outcome::Ok, 9.0);
        assert_eq!((harness.calls[0].1, harness.local_replies(1)), (1.0, 1));
        harness.wait(2005.0);
        harness.request_of(2, 9, 100.0);
        assert!(
            harness.calls.len() == 2 && harness.calls[1].0 != harness.calls[0].0,
            "{:?}",
            harness.calls
        );
    }
    assert_eq!(harnesses[0].calls, harnesses[1].calls);
    let harness = &mut harnesses[0];
    for id in 10..60 {
        let before = harness.calls.len();
        harness.request_of(id, 1000 + id, 100.0);
        if harness.calls.len() > before {
            let name = harness.calls[before].0;
            harness.now += 30.0;
            harness.handle(&Event::CounterReplied {
                name,
                outcome: Outcome::Ok,
                total: 1.0,
                rtt: 29.0,
            });
        }
    }
    assert!(
        harness.calls.iter().any(|c| c.1 > 3.0),
        "{:?}",
        harness.calls
    );
    assert!(
        (10..60).all(|id| harness.sent(id) == 1 || harness.local_replies(id) == 0),
        "one request of each tenant is admitted"
    );
}

#[test]
fn no_counter_is_called_if_none_is_configured() {
    let s = Settings {
        has_counter: false,
        ..settings(Semantics::Idempotent, RepeatGroup::All)
    };
    let mut harness = Harness::with(&s, &[]);
    (0..20).for_each(|id| harness.request(id, 9));
    harness.wait(2000.0);
    assert_eq!(
        (harness.calls.len(), harness.shed.len()),
        (0, 20),
        "every request is shed"
    );
}
