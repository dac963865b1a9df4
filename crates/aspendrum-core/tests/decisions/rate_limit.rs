//! Rate limits under failures.

use crate::common::settings;
use crate::harness::{server_entry, Harness};
use aspendrum_core::api::{
    Health, Outcome, PlanSettings, RepeatGroup, Semantics, ServerEntry, Settings,
};
use test_case::test_case;

fn rate_limit() -> Settings {
    let mut s = settings(Semantics::Idempotent, RepeatGroup::All);
    s.plans[0] = PlanSettings {
        rate_limit: 4.0,
        rate_limit_burst: 8.0,
        overage_value: 0.5,
        overage_cost: 0.0,
        ..s.plans[0].clone()
    };
    s
}

/// All instances together stay below the rate limit, regardless of the counter's state and the
/// number of instances, and grant at least a part of it.
#[test_case(2, true ; "counter up, demand far beyond")]
#[test_case(2, false ; "counter down from the start")]
#[test_case(100, true ; "a hundred instances")]
#[test_case(100, false ; "a hundred instances without a counter")]
fn the_rate_limit_holds_right_after_a_restart(instances: usize, counter: bool) {
    let servers: Vec<ServerEntry> = (1..40)
        .map(|id| server_entry(id, Health::Ready, 0, 0.0))
        .collect();
    let mut s = rate_limit();
    let many = instances as f64 / 2.0;
    (s.plans[0].rate_limit_burst, s.plans[0].rate_limit) = (8.0 * many, 4.0 * many);
    let mut harnesses: Vec<Harness> = (0..instances)
        .map(|_| Harness::with(&s, &servers))
        .collect();
    let mut total = 0.0;
    for step in 0..400u64 {
        for (n, harness) in harnesses.iter_mut().enumerate() {
            let (id, before) = (step * 200 + n as u64, harness.calls.len());
            harness.request_of(id, 9, instances as f32);
            for i in before..harness.calls.len() {
                total += harness.calls[i].1;
                let outcome = if counter {
                    Outcome::Ok
                } else {
                    Outcome::Rejected
                };
                harness.counter_reply(harness.calls[i].0, outcome, total);
            }
            if harness.sent(id) > 0 {
                harness.end(id, 0, Outcome::Ok);
            }
            harness.wait(5.0);
        }
        let sent = harnesses.iter().map(|r| r.forwards.len()).sum::<usize>() as f64;
        assert!(
            sent <= many * (8.0 + 4.0 * (step as f64 + 1.0) * 0.005),
            "{sent} at step {step}"
        );
    }
    assert!(harnesses.iter().map(|r| r.forwards.len()).sum::<usize>() >= 2);
}
