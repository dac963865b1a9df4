//! Quotas decided by the shared counter.

use crate::common::settings;
use crate::harness::Harness;
use aspendrum_core::api::{Event, Outcome, RepeatGroup, Semantics, Settings};
use test_case::test_case;

#[test_case(1.0, true ; "first units")]
#[test_case(4.0, true ; "last of the burst")]
#[test_case(5.0, false ; "beyond the burst")]
fn a_request_is_admitted_by_the_counters_total(total: f32, admitted: bool) {
    let mut harness = Harness::plain();
    harness.ask_at(1, 9, total);
    assert_eq!(
        (
            harness.calls[0],
            harness.sent(1) == 1,
            harness.finals(1) == 0
        ),
        ((9, 1.0), admitted, admitted)
    );
}

#[test]
fn refused_units_are_settled_with_the_next_call_or_soon_by_themselves() {
    let mut harness = Harness::plain();
    harness.ask_at(1, 9, 5.0);
    harness.ask(2, 9);
    assert_eq!(harness.calls[1], (9, 0.0));
    harness.count(9, Outcome::Ok, 5.0);
    harness.wait(300.0);
    assert_eq!(harness.calls[2], (9, -1.0));
}

#[test]
fn a_lost_name_hands_out_no_fresh_burst() {
    let mut harness = Harness::plain();
    for id in 0..4 {
        harness.ask_at(id, 9, 41.0 + id as f32);
    }
    let before = harness.forwards.len();
    for id in 10..14 {
        harness.ask_at(id, 9, (id - 9) as f32);
    }
    assert!(
        before <= 2 && harness.forwards.len() == before,
        "{:?}",
        harness.forwards
    );
}

#[test]
fn a_silent_counter_still_gets_each_request_an_answer() {
    let mut harness = Harness::plain();
    harness.ask(1, 9);
    harness.wait(100.0);
    assert_eq!(harness.sent(1), 1);
    harness.wait(3000.0);
    assert_eq!(harness.finals(1), 1);
}

// An amount whose call was turned away must go again by itself: kept for a next add that may never
// come, it held a tenant who came once in memory for ever.
#[test]
fn units_of_a_rejected_call_are_settled_again() {
    let mut harness = Harness::plain();
    harness.ask(1, 9);
    harness.count(9, Outcome::Rejected, 0.0);
    harness.wait(2000.0);
    assert_eq!(harness.calls, [(9, 1.0), (9, 1.0)]);
}

/// A tenant of a hundred instances is counted under a name for each window, the same at all of
/// them; what is refused stays counted; once the counter is late, a call stands for those that did
/// not ask.
#[test]
fn a_sparse_tenant_is_counted_by_windows() {
    let mut harnesses = [Harness::plain(), Harness::plain()];
    for harness in &mut harnesses {
        harness.ask_of(1, 9, 100.0);
        harness.count(harness.calls[0].0, Outcome::Ok, 9.0);
        assert_eq!((harness.calls[0].1, harness.finals(1)), (1.0, 1));
        harness.wait(2005.0);
        harness.ask_of(2, 9, 100.0);
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
        harness.ask_of(id, 1000 + id, 100.0);
        if harness.calls.len() > before {
            let name = harness.calls[before].0;
            harness.now += 30.0;
            harness.tell(&Event::CounterReplied {
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
        (10..60).all(|id| harness.sent(id) == 1 || harness.finals(id) == 0),
        "one request each is let in"
    );
}

#[test]
fn without_a_counter_none_is_called() {
    let s = Settings {
        has_counter: false,
        ..settings(Semantics::Idempotent, RepeatGroup::All)
    };
    let mut harness = Harness::with(&s, &[]);
    (0..20).for_each(|id| harness.ask(id, 9));
    harness.wait(2000.0);
    assert_eq!(
        (harness.calls.len(), harness.shed.len()),
        (0, 20),
        "what is given up owes nothing"
    );
}
