//! Which requests ask the shared counter when it is short of calls.

use crate::harness::Harness;
use aspendrum_core::api::{Event, Outcome};

// Calls that are out together fail together: one stall of four calls cut the share by four fifths
// to the fourth, and a counter that was well again got next to nothing for tens of seconds.
#[test]
fn a_stall_cuts_the_sampling_rate_once() {
    let mut harness = Harness::plain();
    (0..4).for_each(|id| harness.ask(id, 100 + id));
    harness.wait(30.0);
    for id in 0..4 {
        harness.tell(&Event::CounterReplied {
            name: 100 + id,
            outcome: Outcome::TimedOut,
            total: 0.0,
            rtt: 30.0,
        });
    }
    let before = harness.calls.len();
    (0..200).for_each(|id| harness.ask(1000 + id, 1000 + id));
    let asked = harness.calls.len() - before;
    assert!((140..190).contains(&asked), "{asked} of 200 ask");
}

// With a counter that cannot answer all, a third of what the local count turned away had half its
// store free: those ask first, and whoever has room here needs no word of others.
#[test]
fn requests_without_local_room_ask_before_the_others() {
    let mut harness = Harness::plain();
    (0..5).for_each(|_| harness.call_of(104, Outcome::TimedOut));
    harness.wait(1005.0);
    harness.count(104, Outcome::Ok, 1.0);
    // Two tenants have spent their share here, many others have not.
    let mut asked = [0, 0];
    for round in 0..40 {
        harness.now += 5.0;
        for (kind, tenant) in [(0, 300 + round), (1, 200)] {
            let calls = harness.calls.len();
            harness.ask(10_000 + 10 * round + kind, tenant);
            asked[kind as usize] += harness.calls.len() - calls;
        }
    }
    assert!(asked[1] > 2 * asked[0], "{asked:?}");
}

/// After a failed call the counter is not asked for what surely has no room, and little for the
/// rest.
#[test]
fn a_strained_counter_gets_few_calls() {
    let mut harness = Harness::plain();
    harness.ask_at(1, 9, 1.0);
    harness.ask_at(4, 9, 40.0);
    harness.ask(2, 10);
    harness.count(10, Outcome::Rejected, 0.0);
    let calls = harness.calls.len();
    harness.ask(3, 9);
    assert_eq!((harness.calls.len(), harness.finals(3)), (calls, 1));
    for id in 200..400 {
        let calls = harness.calls.len();
        harness.ask(id, id);
        if harness.calls.len() > calls {
            harness.now += 30.0;
            harness.tell(&Event::CounterReplied {
                name: id,
                outcome: Outcome::Ok,
                total: 1.0,
                rtt: 29.0,
            });
        }
    }
    let calls = harness.calls.len();
    for id in 0..50 {
        harness.ask(100 + id, 100 + id);
    }
    assert!(
        harness.calls.len() <= calls + 15,
        "{} calls",
        harness.calls.len() - calls
    );
    assert!(
        (100..150).filter(|id| harness.finals(*id) == 0).count() > 40,
        "the rest goes by the local count"
    );
}

/// A sparse tenant's first request of a window at this instance knows nothing of the others' use:
/// with hundreds of instances, each one's free request let such a tenant far beyond its quota.
/// Where few may ask, it asks first.
#[test]
fn a_sparse_tenants_first_request_asks_first_when_few_may_ask() {
    let mut harness = Harness::plain();
    // Late answers cut the sampling rate.
    for id in 0..12 {
        harness.now += 30.0;
        harness.ask_of(id, 50 + id, 2.0);
        harness.tell(&Event::CounterReplied {
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
        harness.ask_of(1000 + n, tenant, instances);
        let asked = harness.calls.len() > calls;
        *(if instances > 2.0 {
            &mut sparse
        } else {
            &mut plain
        }) += u32::from(asked);
    }
    assert!(sparse >= 3 * plain.max(1), "sparse {sparse}, plain {plain}");
}
