//! The shared counter's circuit breaker, and the replay of grants made while it was open.

use crate::harness::Harness;
use aspendrum_core::api::{Event, Outcome};
use test_case::test_case;

#[test_case(&[Outcome::Rejected], false ; "one failure")]
#[test_case(&[Outcome::Rejected; 4], false ; "four in a row")]
#[test_case(&[Outcome::Rejected, Outcome::TimedOut, Outcome::Ok, Outcome::Rejected, Outcome::Rejected, Outcome::Rejected], false ; "an answer between")]
#[test_case(&[Outcome::Rejected, Outcome::TimedOut, Outcome::ConnectFailed, Outcome::Rejected, Outcome::Rejected], true ; "five in a row")]
fn the_breaker_opens_on_five_failures(outcomes: &[Outcome], open: bool) {
    let mut harness = Harness::plain();
    outcomes
        .iter()
        .for_each(|outcome| harness.end_counter_call(104, *outcome));
    let calls = harness.calls.len();
    harness.wait(1000.0);
    // With a degraded counter some requests call it; with an open breaker only probes do.
    (0..60).for_each(|id| harness.request(90 + id, 90 + id));
    assert_eq!(harness.calls[calls..].iter().all(|c| c.1 == 0.0), open);
}

fn open(harness: &mut Harness) {
    (0..5).for_each(|_| harness.end_counter_call(104, Outcome::ConnectFailed));
    harness.calls.clear();
}

#[test]
fn an_open_breaker_grants_the_even_share_and_replays_it_once_as_a_sum() {
    let mut harness = Harness::plain();
    open(&mut harness);
    for id in 10..15 {
        harness.request(id, 9);
    }
    let granted = (10..15)
        .filter(|id| harness.local_replies(*id) == 0)
        .count();
    assert_eq!(granted, 2, "burst 4 over 2 instances");
    harness.wait(1005.0);
    assert_eq!(harness.calls, [(104, 0.0)]);
    harness.counter_reply(104, Outcome::Ok, 0.0);
    harness.wait(1000.0);
    let replays: Vec<_> = harness.calls.iter().filter(|c| c.0 == 9).collect();
    assert_eq!(replays, [&(9, 2.0)]);
}

#[test]
fn grants_older_than_the_window_are_not_replayed() {
    let mut harness = Harness::plain();
    open(&mut harness);
    harness.request(10, 9);
    harness.wait(2500.0);
    harness.counter_reply(104, Outcome::Ok, 0.0);
    assert!(
        harness.calls.iter().all(|c| c.0 != 9),
        "{:?}",
        harness.calls
    );
}

// Replays sent all at once could overload a small counter, so that they fail and the breaker never
// closes.
#[test]
fn replays_are_included_in_the_next_calls() {
    let mut harness = Harness::plain();
    open(&mut harness);
    for id in 0..30 {
        harness.request(200 + id, 300 + id);
    }
    harness.wait(1005.0);
    harness.counter_reply(104, Outcome::Ok, 0.0);
    assert_eq!(harness.calls.len(), 1, "the probe alone");
    for id in 0..30 {
        harness.request(400 + id, 300 + id);
    }
    // The breaker is closed, so the replay is included in the tenant's next call.
    assert!(
        harness.calls[1..].iter().any(|c| c.1 == 2.0),
        "{:?}",
        harness.calls
    );
}

// An unreadable reply closes the connection, so all calls in flight on it fail together. They count
// as one failure.
#[test]
fn calls_that_fail_together_do_not_open_the_breaker() {
    let mut harness = Harness::plain();
    (0..8).for_each(|id| harness.request(id, 100 + id));
    harness.now += 10.0;
    for id in 0..8 {
        harness.handle(&Event::CounterReplied {
            name: 100 + id,
            outcome: Outcome::TimedOut,
            total: 0.0,
            rtt: 10.0,
        });
    }
    let calls = harness.calls.len();
    (0..20).for_each(|id| harness.request(1000 + id, 1000 + id));
    assert!(harness.calls.len() > calls, "closed");
}
