//! Flow control of updates: what a receiver is sent when it acknowledges, is slow, or falls silent, and what it is told
//! of the decided state meanwhile.

use aspendrum_model::message::{Revision, StateDigest, StateSection};
use aspendrum_reconcile::{MajorityReport, UpdateStream};

fn config(version: u32) -> StateSection {
    StateSection::config(version, version.to_le_bytes().to_vec())
}

fn evacuated(revision: u64) -> StateSection {
    let zones = Vec::new();
    StateSection::Evacuated { revision, zones }
}

fn report(version: u32, as_of: f64) -> MajorityReport {
    let revision = Revision {
        config: version,
        evacuation: 0,
    };
    let decided = StateDigest {
        revision,
        ..StateDigest::default()
    };
    MajorityReport { decided, as_of }
}

/// Danger: each change of a storm is pushed whole, and the queue of a receiver that is slow fills up.
#[test]
fn one_update_of_a_kind_is_unacknowledged_and_the_newest_follows_it() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    assert_eq!(updates.offer(0.0, &evacuated(1)), Some(2), "another kind");
    for version in 2..100 {
        assert_eq!(updates.offer(1.0, &config(version)), None);
    }
    assert!(updates.is_waiting() && !updates.is_applied());
    updates.acknowledge(1);
    assert_eq!(updates.offer(2.0, &config(99)), Some(3));
    assert!(!updates.is_waiting() && !updates.is_applied());
    updates.acknowledge(3);
    assert!(updates.is_applied());
    assert_eq!(updates.offer(3.0, &config(99)), None, "it has that");
    assert!(updates.is_applied());
    assert_eq!((updates.last_number(), updates.acknowledged()), (3, 3));
}

/// Danger: a change that is taken back while it waits comes into force after it was.
#[test]
fn what_waits_is_forgotten_once_the_receiver_has_the_newest() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &evacuated(1)), Some(1));
    assert_eq!(updates.offer(1.0, &evacuated(2)), None);
    assert_eq!(updates.offer(2.0, &evacuated(1)), None);
    assert!(!updates.is_waiting());
    updates.acknowledge(1);
    assert!(updates.is_applied());
}

/// Danger: a receiver whose acknowledgement never comes stays with an old configuration for ever.
#[test]
fn an_update_that_stays_unacknowledged_does_not_hold_up_the_newest() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    assert_eq!(updates.offer(999.0, &config(2)), None);
    assert!(!updates.is_stalled(999.0) && updates.is_stalled(1000.0));
    assert_eq!(updates.offer(1000.0, &config(3)), Some(2));
    assert_eq!(updates.offer(1500.0, &config(4)), None);
}

/// Danger: a number that was never sent counts as an acknowledgement of what is sent later.
#[test]
fn only_what_was_sent_can_be_acknowledged() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    updates.acknowledge(70);
    assert_eq!(updates.offer(1.0, &config(2)), Some(2));
    assert!(!updates.is_applied());
    assert_eq!(updates.resend(1.0, &config(2)), 3, "whatever was sent");
}

/// Danger: a receiver is told of a state whose updates still wait, takes them for lost, and connects again; or it is told
/// that an old state is the newest, and relies on that for longer than it may.
#[test]
fn a_receiver_is_told_of_the_state_that_it_was_sent_and_as_of_when_that_was_the_newest() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    updates.record_offered(report(1, 0.0));
    assert_eq!(updates.report(report(1, 50.0)), report(1, 50.0));
    assert_eq!(updates.offer(60.0, &config(2)), None);
    updates.record_offered(report(2, 60.0));
    assert_eq!(updates.report(report(2, 90.0)), report(1, 50.0));
    updates.acknowledge(1);
    assert_eq!(updates.offer(100.0, &config(2)), Some(2));
    updates.record_offered(report(2, 90.0));
    assert_eq!(updates.report(report(2, 120.0)), report(2, 120.0));
    // Other kinds of sections are not part of the decided state.
    let proxies = |n| StateSection::Proxies(vec![proxy(n)]);
    assert_eq!(updates.offer(130.0, &proxies(1)), Some(3));
    assert_eq!(updates.offer(140.0, &proxies(2)), None);
    updates.record_offered(report(2, 140.0));
    assert_eq!(updates.report(report(2, 150.0)), report(2, 150.0));
}

fn proxy(number: u8) -> aspendrum_model::message::ProxyEndpoint {
    aspendrum_model::message::ProxyEndpoint {
        addr: std::net::SocketAddrV4::new([10, 0, 0, number].into(), 80),
        zone: "a".into(),
        readiness: aspendrum_model::message::Readiness::Ready,
        is_current: true,
    }
}
