//! Slow start of servers.

use crate::common::settings;
use crate::harness::{server_entry, Harness};
use aspendrum_core::api::{
    Event, Health, ListKind, LoadReportChannel, Outcome, RepeatGroup, Semantics, ServerEntry,
    Settings,
};
use test_case::test_case;

/// Fast responses of any kind must not attract more load to a starting server.
#[test_case(Outcome::Ok ; "fast responses")]
#[test_case(Outcome::Rejected ; "fast rejections")]
fn a_starting_server_gets_its_share_of_the_budget(outcome: Outcome) {
    let entries = [
        server_entry(1, Health::Ready, 0, 0.0),
        server_entry(2, Health::Ready, 0, 900.0),
    ];
    let mut harness = Harness::with(&settings(Semantics::Idempotent, RepeatGroup::All), &entries);
    for id in 0..300 {
        harness.request_with_total(id, 1000 + id, 1.0);
        harness.wait(10.0);
        while let Some(&(q, server)) = harness.forwards.last().filter(|f| f.0 == id) {
            let n = harness.sent(q) - 1;
            harness.end(q, n as u8, if server == 2 { outcome } else { Outcome::Ok });
            if harness.sent(q) == n + 1 {
                break;
            }
        }
    }
    let cold = harness.forwards.iter().filter(|f| f.1 == 2).count() as f64;
    let warm = harness.forwards.iter().filter(|f| f.1 == 1).count() as f64;
    assert!(
        cold >= 1.0 && cold <= 3.0 * 0.5 * warm,
        "{cold} against {warm}"
    );
}

/// Returns how many of 600 requests are sent to starting servers in the 3 s after their start, when
/// `instances` share the load of `warm` warm servers and `fresh` more servers start.
fn sent_to_starting_servers(instances: u32, warm: u32, fresh: u32) -> f64 {
    let servers: Vec<ServerEntry> = (1..=warm)
        .map(|id| server_entry(id, Health::Ready, 0, 0.0))
        .collect();
    let s = |me| Settings {
        instance: me,
        instances,
        ..settings(Semantics::Idempotent, RepeatGroup::All)
    };
    let mut harnesses: Vec<Harness> = (0..instances)
        .map(|me| Harness::with(&s(me), &servers))
        .collect();
    let new: Vec<ServerEntry> = (0..fresh)
        .map(|id| server_entry(9 + id, Health::Ready, 0, 6000.0))
        .collect();
    let mut cold = 0.0;
    for step in 0..1600u32 {
        for harness in &mut harnesses {
            harness.wait(5.0);
            if step == 1000 {
                harness.handle(&Event::ServerList {
                    list: ListKind::Delta,
                    version: 2,
                    entries: &new,
                });
            }
        }
        let (harness, id) = (&mut harnesses[(step % instances) as usize], u64::from(step));
        harness.request_with_total(id, 1000 + id, 1.0);
        let last = harness.forwards.last().filter(|f| f.0 == id && f.1 >= 9);
        cold += f64::from(u8::from(last.is_some()));
        harness.end(id, 0, Outcome::Ok);
    }
    cold
}

/// Invariant 4: regardless of the number of instances that share the load, a starting server gets
/// at most its slow start budget.
#[test_case(1 ; "one")]
#[test_case(3 ; "three")]
#[test_case(100 ; "a hundred")]
#[test_case(500 ; "five hundred")]
fn all_instances_together_keep_the_slow_start_budget(instances: u32) {
    let cold = sent_to_starting_servers(instances, 3, 1);
    let budget = 3.0 * (0.2 + 0.8 * 0.3) * 600.0 / 4.0;
    assert!(
        (cold >= 1.0 || instances > 10) && cold <= budget,
        "{cold} of {budget}"
    );
}

/// Each of a hundred instances gets a slow start token only once in many seconds. When the
/// instances preferred idle warm servers with a decayed response time, and counted starting servers
/// with their full capacity, six starting servers got almost no requests while four warm ones were
/// overloaded. Starting servers must get most of their available capacity, and no more.
#[test]
fn starting_servers_get_their_share_from_a_hundred_instances() {
    let cold = sent_to_starting_servers(100, 4, 6);
    // Six servers with a capacity of 0.2 at first and 0.44 after 3 s, and four with full capacity.
    let (first, last) = (1.2 / 5.2, 2.64 / 6.64);
    let part = 600.0 * (first + last) / 2.0;
    assert!(cold >= 0.6 * part && cold <= 1.2 * part, "{cold} of {part}");
}

/// Each probe costs a price. In a fleet of hundreds, each instance directs only a small fraction of
/// the load, so probing starting servers for load reports costs more than it improves.
#[test_case(4, true ; "a few instances probe")]
#[test_case(300, false ; "hundreds do not")]
fn starting_servers_are_probed_for_reports_only_by_a_small_fleet(instances: u32, probed: bool) {
    let s = Settings {
        instances,
        load_reports: LoadReportChannel::Probes,
        ..settings(Semantics::Idempotent, RepeatGroup::All)
    };
    let entries = [
        server_entry(1, Health::Ready, 0, 0.0),
        server_entry(2, Health::Ready, 0, 900.0),
    ];
    let mut harness = Harness::with(&s, &entries);
    harness.wait(20_000.0);
    assert_eq!(harness.probes.contains(&2), probed, "{:?}", harness.probes);
}
