//! Final answers and retries.

use crate::common::settings;
use crate::harness::Harness;
use aspendrum_core::api::{Action, Event, LoadReport, Outcome, RepeatGroup, Semantics};
use test_case::test_case;

#[test_case(Semantics::Idempotent, Outcome::Error, 2, 1, 0 ; "idempotent error")]
#[test_case(Semantics::Idempotent, Outcome::TimedOut, 2, 1, 0 ; "idempotent timed out")]
#[test_case(Semantics::Idempotent, Outcome::Cancelled, 2, 1, 0 ; "idempotent cancelled")]
#[test_case(Semantics::NonIdempotent, Outcome::Ok, 1, 0, 0 ; "non-idempotent ok")]
#[test_case(Semantics::NonIdempotent, Outcome::Error, 1, 0, 1 ; "non-idempotent error")]
#[test_case(Semantics::NonIdempotent, Outcome::Rejected, 2, 1, 0 ; "non-idempotent rejected")]
#[test_case(Semantics::NonIdempotent, Outcome::TimedOut, 1, 0, 1 ; "non-idempotent timed out")]
#[test_case(Semantics::NonIdempotent, Outcome::ConnectFailed, 2, 1, 0 ; "non-idempotent connect failed")]
#[test_case(Semantics::NonIdempotent, Outcome::Reset, 1, 0, 1 ; "non-idempotent reset")]
#[test_case(Semantics::NonIdempotent, Outcome::Cancelled, 1, 0, 1 ; "non-idempotent cancelled")]
#[test_case(Semantics::NonIdempotent, Outcome::NotSent, 2, 1, 0 ; "non-idempotent not sent")]
#[test_case(Semantics::Deduplicated, Outcome::Error, 2, 0, 1 ; "deduplicated error stays in its cell")]
#[test_case(Semantics::Deduplicated, Outcome::Reset, 2, 0, 1 ; "deduplicated reset stays in its cell")]
#[test_case(Semantics::Deduplicated, Outcome::TimedOut, 2, 0, 1 ; "deduplicated timed out stays in its cell")]
#[test_case(Semantics::Deduplicated, Outcome::Cancelled, 2, 0, 1 ; "deduplicated cancelled stays in its cell")]
#[test_case(Semantics::Deduplicated, Outcome::Rejected, 2, 1, 0 ; "deduplicated rejected")]
#[test_case(Semantics::Deduplicated, Outcome::ConnectFailed, 2, 1, 0 ; "deduplicated connect failed")]
#[test_case(Semantics::Deduplicated, Outcome::NotSent, 2, 1, 0 ; "deduplicated not sent")]
fn a_request_is_retried_only_if_safe(
    semantics: Semantics,
    outcome: Outcome,
    least: usize,
    shed: usize,
    dropped: usize,
) {
    let mut harness = Harness::new(semantics, RepeatGroup::Cell);
    harness.request_with_total(1, 9, 1.0);
    let mut n = 0;
    while harness.sent(1) > usize::from(n) && n < 8 {
        harness.end(1, n, outcome);
        harness.wait(5.0);
        n += 1;
    }
    harness.wait(3000.0);
    assert!(
        harness.sent(1) >= least && harness.sent(1) <= if least == 1 { 1 } else { 4 },
        "{:?}",
        harness.forwards
    );
    if outcome != Outcome::Ok {
        assert_eq!((harness.shed.len(), harness.dropped.len()), (shed, dropped));
    }
    let never = matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
    );
    if semantics == Semantics::Deduplicated && !never {
        assert!(
            harness
                .forwards
                .iter()
                .all(|f| f.1 % 2 == harness.forwards[0].1 % 2),
            "{:?}",
            harness.forwards
        );
    }
}

#[test]
fn a_deduplicated_request_is_not_sent_again_after_its_window() {
    let mut harness = Harness::new(Semantics::Deduplicated, RepeatGroup::All);
    harness.request_with_total(1, 9, 1.0);
    harness.wait(600.0);
    harness.end(1, 0, Outcome::Reset);
    harness.wait(3000.0);
    assert_eq!((harness.sent(1), harness.local_replies(1)), (1, 1));
}

#[test]
fn late_and_duplicate_events_change_nothing() {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, 1.0);
    harness.end(1, 0, Outcome::Ok);
    let seen = (
        harness.forwards.len(),
        harness.shed.len(),
        harness.dropped.len(),
    );
    harness.end(1, 0, Outcome::Error);
    harness.handle(&Event::ClientDisconnected { id: 1 });
    harness.counter_reply(9, Outcome::Ok, 7.0);
    harness.counter_reply(777, Outcome::Ok, 7.0);
    harness.handle(&Event::ProbeEnded {
        server: 99,
        outcome: Outcome::Ok,
        rtt: 1.0,
        load: LoadReport::default(),
    });
    assert_eq!(
        (
            harness.forwards.len(),
            harness.shed.len(),
            harness.dropped.len()
        ),
        seen
    );
}

#[test]
fn a_request_whose_client_disconnected_is_neither_answered_nor_forwarded() {
    let mut harness = Harness::plain();
    harness.request(1, 9);
    harness.handle(&Event::ClientDisconnected { id: 1 });
    harness.counter_reply(9, Outcome::Ok, 1.0);
    harness.wait(3000.0);
    assert_eq!((harness.sent(1), harness.local_replies(1)), (0, 0));
}

#[test]
fn each_request_queued_without_servers_is_shed_once_in_time() {
    let mut harness = Harness::with(&settings(Semantics::NonIdempotent, RepeatGroup::All), &[]);
    for id in 0..50 {
        harness.request_with_total(id, 1000 + id, 1.0);
    }
    harness.wait(1000.0);
    assert!((0..50).all(|id| harness.local_replies(id) == 1) && harness.dropped.is_empty());
}

#[test]
fn a_request_rejected_by_one_server_goes_to_another() {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, 1.0);
    let first = harness.forwards[0].1;
    harness.end(1, 0, Outcome::Rejected);
    harness.end(1, 1, Outcome::Ok);
    for id in 2..5 {
        harness.wait(500.0);
        harness.request_with_total(id, 9, id as f32);
        harness.end(id, 0, Outcome::Ok);
    }
    assert!(
        harness.forwards.len() == 5 && harness.forwards[1..].iter().all(|f| f.1 != first),
        "{:?}",
        harness.forwards
    );
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::plain();
        for id in 0..200 {
            harness.request(id, 1000 + id * 7 % 13);
            harness.counter_reply(
                1000 + id * 7 % 13,
                if id % 9 == 0 {
                    Outcome::TimedOut
                } else {
                    Outcome::Ok
                },
                1.0,
            );
            harness.end(
                id,
                0,
                if id % 5 == 0 {
                    Outcome::Reset
                } else {
                    Outcome::Ok
                },
            );
            harness.wait(20.0);
        }
        harness.actions
    };
    assert_eq!(run(), run());
}

/// A retry after the request's latency target would be useless, so no retry delay is sent then.
#[test_case(4.2, 100 ; "soon enough")]
#[test_case(4.9, 0 ; "too late to be of use")]
fn retry_after_is_only_sent_if_a_retry_can_meet_the_target(total: f32, advice: u64) {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, total);
    let has_advice = |a: &Action| matches!(*a, Action::Shed { retry_after, .. } if retry_after.round() as u64 == advice);
    assert!(
        harness.actions.iter().any(has_advice),
        "{:?}",
        harness.actions
    );
}
