//! Draining, failing and overloaded servers.

use crate::harness::{server_entry, Harness};
use aspendrum_core::api::{Event, Health, ListKind, LoadReport, Millis, Outcome};
use test_case::test_case;

#[test_case(Health::Draining ; "draining")]
#[test_case(Health::Removed ; "gone")]
fn nothing_new_goes_to_a_draining_server(health: Health) {
    let mut harness = Harness::plain();
    let entries = [
        server_entry(1, health, 1, 0.0),
        server_entry(2, health, 0, 0.0),
    ];
    harness.handle(&Event::ServerList {
        list: ListKind::Delta,
        version: 2,
        entries: &entries,
    });
    for id in 0..20 {
        harness.request_with_total(id, 50 + id, 1.0);
    }
    assert!(
        !harness.forwards.is_empty() && harness.forwards.iter().all(|f| f.1 > 2),
        "{:?}",
        harness.forwards
    );
}

#[test]
fn a_full_list_removes_what_it_does_not_name() {
    let mut harness = Harness::plain();
    let entries = [server_entry(3, Health::Ready, 1, 0.0)];
    harness.handle(&Event::ServerList {
        list: ListKind::Full,
        version: 2,
        entries: &entries,
    });
    for id in 0..5 {
        harness.request_with_total(id, 50 + id, 1.0);
    }
    assert!(harness.forwards.iter().all(|f| f.1 == 3) && !harness.forwards.is_empty());
}

#[test_case(Outcome::Error ; "errors answered fast")]
#[test_case(Outcome::ConnectFailed ; "refused connections")]
#[test_case(Outcome::Reset ; "resets")]
fn a_failing_server_is_ejected_and_comes_back_after_probes(outcome: Outcome) {
    let mut harness = Harness::plain();
    let mut first = 0;
    let mut request = |harness: &mut Harness, rounds: u64| {
        for _ in 0..rounds {
            first += 8;
            for id in first..first + 8 {
                harness.request_with_total(id, 1000 + id, 1.0);
            }
            for id in first..first + 8 {
                let mut forward = 0;
                while harness.sent(id) > forward {
                    let server = harness
                        .forwards
                        .iter()
                        .filter(|f| f.0 == id)
                        .nth(forward)
                        .map_or(0, |f| f.1);
                    harness.end(
                        id,
                        forward as u8,
                        if server == 1 { outcome } else { Outcome::Ok },
                    );
                    forward += 1;
                }
            }
            harness.wait(5.0);
        }
    };
    request(&mut harness, 60);
    let before = harness.forwards.iter().filter(|f| f.1 == 1).count();
    assert!((3..=8).contains(&before), "{before}");
    assert!(harness.probes.contains(&1));
    for _ in 0..8 {
        harness.handle(&Event::ProbeEnded {
            server: 1,
            outcome: Outcome::Ok,
            rtt: 1.0,
            load: LoadReport::default(),
        });
        harness.wait(250.0);
    }
    request(&mut harness, 60);
    let after = harness.forwards.iter().filter(|f| f.1 == 1).count();
    assert!(
        after > before && after <= before + 2,
        "one request at a time on probation: {before} {after}"
    );
}

/// Response times close to the latency target lower the concurrency limits, and short ones raise
/// them again.
#[test]
fn an_overload_shrinks_the_limits_until_it_is_over() {
    let mut harness = Harness::plain();
    let mut id = 0;
    let mut fill = |harness: &mut Harness, rounds: u64, rtt: Millis| {
        let mut out = 0;
        for _ in 0..rounds {
            let first = id;
            for _ in 0..40 {
                id += 1;
                harness.request_with_total(id, 1000 + id, 1.0);
            }
            let sent: Vec<_> = harness
                .forwards
                .iter()
                .filter(|f| f.0 > first)
                .copied()
                .collect();
            out = sent.len();
            for (id, server) in sent {
                let load = LoadReport::default();
                let (attempt, outcome, over, used, actual) = (0, Outcome::Ok, true, 0, 0);
                let ended = Event::AttemptEnded {
                    id,
                    attempt,
                    server,
                    outcome,
                    rtt,
                    is_final: over,
                    metered_usage: used,
                    actual_units: actual,
                    load,
                };
                harness.handle(&ended);
            }
            harness.wait(1000.0);
            for f in harness.forwards.clone().iter().filter(|f| f.0 > first) {
                harness.end(f.0, 0, Outcome::Ok);
            }
        }
        out
    };
    let (start, overloaded, after) = (
        fill(&mut harness, 1, 100.0),
        fill(&mut harness, 40, 900.0),
        fill(&mut harness, 200, 50.0),
    );
    assert!(
        overloaded < start && after > overloaded,
        "{start} {overloaded} {after}"
    );
}
