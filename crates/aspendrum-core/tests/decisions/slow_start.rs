//! Servers that have just started.

use crate::common::settings;
use crate::harness::{member, Harness};
use aspendrum_core::api::{
    Event, Health, ListKind, LoadReportChannel, Outcome, RepeatGroup, Semantics, ServerEntry,
    Settings,
};
use test_case::test_case;

/// Instant responses of any kind must not pull work to a server that has just started.
#[test_case(Outcome::Ok ; "quick answers")]
#[test_case(Outcome::Rejected ; "quick refusals")]
fn a_starting_server_gets_its_share_of_the_budget(outcome: Outcome) {
    let entries = [
        member(1, Health::Ready, 0, 0.0),
        member(2, Health::Ready, 0, 900.0),
    ];
    let mut harness = Harness::with(&settings(Semantics::Idempotent, RepeatGroup::All), &entries);
    for id in 0..300 {
        harness.ask_at(id, 1000 + id, 1.0);
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

/// Requests sent to starting servers in the 3 s after their start, out of 600, when `instances`
/// share the load of `warm` warm servers and `fresh` more start.
fn sent_to_starting_servers(instances: u32, warm: u32, fresh: u32) -> f64 {
    let servers: Vec<ServerEntry> = (1..=warm)
        .map(|id| member(id, Health::Ready, 0, 0.0))
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
        .map(|id| member(9 + id, Health::Ready, 0, 6000.0))
        .collect();
    let mut cold = 0.0;
    for step in 0..1600u32 {
        for harness in &mut harnesses {
            harness.wait(5.0);
            if step == 1000 {
                harness.tell(&Event::ServerList {
                    list: ListKind::Delta,
                    version: 2,
                    entries: &new,
                });
            }
        }
        let (harness, id) = (&mut harnesses[(step % instances) as usize], u64::from(step));
        harness.ask_at(id, 1000 + id, 1.0);
        let last = harness.forwards.last().filter(|f| f.0 == id && f.1 >= 9);
        cold += f64::from(u8::from(last.is_some()));
        harness.end(id, 0, Outcome::Ok);
    }
    cold
}

/// Rule 4: however many instances share the same load, a starting server gets a few times its share
/// at most.
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

/// A starting server's turn comes to one of a hundred instances once in many seconds. Passed over
/// for warm servers that look quick because nobody asked them lately, and counted as a whole
/// server, six fresh ones beside four got next to nothing while the four were overloaded. Each is
/// to get most of what it can do, and no more than that.
#[test]
fn starting_servers_get_their_share_from_a_hundred_instances() {
    let cold = sent_to_starting_servers(100, 4, 6);
    // Six that can do a fifth at first and 0.44 after 3 s, beside four whole ones.
    let (first, last) = (1.2 / 5.2, 2.64 / 6.64);
    let part = 600.0 * (first + last) / 2.0;
    assert!(cold >= 0.6 * part && cold <= 1.2 * part, "{cold} of {part}");
}

/// Probes are paid for by the whole fleet: hundreds of instances that each ask a starting server
/// for its load report, of which each steers a few hundredths of the load, cost more than they
/// tell.
#[test_case(4, true ; "a few instances ask")]
#[test_case(300, false ; "hundreds do not")]
fn starting_servers_are_probed_for_reports_only_by_a_small_fleet(instances: u32, probed: bool) {
    let s = Settings {
        instances,
        load_reports: LoadReportChannel::Probes,
        ..settings(Semantics::Idempotent, RepeatGroup::All)
    };
    let entries = [
        member(1, Health::Ready, 0, 0.0),
        member(2, Health::Ready, 0, 900.0),
    ];
    let mut harness = Harness::with(&s, &entries);
    harness.wait(20_000.0);
    assert_eq!(harness.probes.contains(&2), probed, "{:?}", harness.probes);
}
