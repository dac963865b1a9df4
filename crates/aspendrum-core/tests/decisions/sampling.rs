//! Sampling of the requests that call an overloaded shared counter.

use crate::harness::Harness;
use aspendrum_core::api::{Event, Outcome};

// Concurrent calls fail together. When each failure decreased the rate, a single stall of four
// calls multiplied it by 0.8 four times, and the recovered counter got few calls for tens of
// seconds.
#[test]
fn a_stall_cuts_the_sampling_rate_once() {
    let mut harness = Harness::plain();
    (0..4).for_each(|id| harness.request(id, 100 + id));
    harness.wait(30.0);
    for id in 0..4 {
        harness.handle(&Event::CounterReplied {
            name: 100 + id,
            outcome: Outcome::TimedOut,
            total: 0.0,
            rtt: 30.0,
        });
    }
    let before = harness.calls.len();
    (0..200).for_each(|id| harness.request(1000 + id, 1000 + id));
    let sampled = harness.calls.len() - before;
    assert!(
        (140..190).contains(&sampled),
        "{sampled} of 200 call the counter"
    );
}

// With an overloaded counter, a third of the requests that the local count rejected still had half
// of their quota free. Such requests are sampled first; those with local room need the counter
// less.
#[test]
fn requests_without_local_room_are_sampled_before_others() {
    let mut harness = Harness::plain();
    (0..5).for_each(|_| harness.end_counter_call(104, Outcome::TimedOut));
    harness.wait(1005.0);
    harness.counter_reply(104, Outcome::Ok, 1.0);
    // One tenant has used up its local share, many others have not.
    let mut sampled = [0, 0];
    for round in 0..40 {
        harness.now += 5.0;
        for (kind, tenant) in [(0, 300 + round), (1, 200)] {
            let calls = harness.calls.len();
            harness.request(10_000 + 10 * round + kind, tenant);
            sampled[kind as usize] += harness.calls.len() - calls;
        }
    }
    assert!(sampled[1] > 2 * sampled[0], "{sampled:?}");
}

/// After a failed call, requests that are known to have no room do not call the counter, and only
/// some of the others do.
#[test]
fn a_degraded_counter_gets_few_calls() {
    let mut harness = Harness::plain();
    harness.request_with_total(1, 9, 1.0);
    harness.request_with_total(4, 9, 40.0);
    harness.request(2, 10);
    harness.counter_reply(10, Outcome::Rejected, 0.0);
    let calls = harness.calls.len();
    harness.request(3, 9);
    assert_eq!((harness.calls.len(), harness.local_replies(3)), (calls, 1));
    for id in 200..400 {
        let calls = harness.calls.len();
        harness.request(id, id);
        if harness.calls.len() > calls {
            harness.now += 30.0;
            harness.handle(&Event::CounterReplied {
                name: id,
                outcome: Outcome::Ok,
                total: 1.0,
                rtt: 29.0,
            });
        }
    }
    let calls = harness.calls.len();
    for id in 0..50 {
        harness.request(100 + id, 100 + id);
    }
    assert!(
        harness.calls.len() <= calls + 15,
        "{} calls",
        harness.calls.len() - calls
    );
    assert!(
        (100..150)
            .filter(|id| harness.local_replies(*id) == 0)
            .count()
            > 40,
        "the others are decided by the local count"
    );
}

/// An instance does not know the other instances' usage of a sparse tenant before its first counter
/// call in a window. With hundreds of instances, one locally admitted request each exceeded such a
/// tenant's quota by far. Therefore these requests are sampled first when the sampling rate is low.
#[test]
fn a_sparse_tenants_first_request_is_sampled_first_at_a_low_rate() {
    let mut harness = Harness::plain();
    // Late replies decrease the sampling rate.
    for id in 0..12 {
        harness.now += 30.0;
        harness.request_of(id, 50 + id, 2.0);
        harness.handle(&Event::CounterReplied {
            name: 50 + id,
            outcome: Outcome::Ok,
            total: 1.0,
            rtt: 25.0,
        });
    }
    let (mut sparse, mut plain) = (0, 0);
    for n in 0..400u64 {
        let (tenant, instances) = if n % 2 == 0 {
            (10_000 + n, 8.0)
        } else {
            (20_000 + n, 2.0)
        };
        let calls = harness.calls.len();
        harness.now += 1.0;
        harness.request_of(1000 + n, tenant, instances);
        let sampled = harness.calls.len() > calls;
        *(if instances > 2.0 {
            &mut sparse
        } else {
            &mut plain
        }) += u32::from(sampled);
    }
    assert!(sparse >= 3 * plain.max(1), "sparse {sparse}, plain {plain}");
}
