//! Flow control for updates: the updates that a receiver is sent while it acknowledges, is slow or does not respond,
//! and the decided state that is reported to it.

use aspendrum_model::message::{Revision, StateDigest, StateSection};
use aspendrum_reconcile::{MajorityReport, UpdateStream};

fn config(version: u32) -> StateSection {
    StateSection::config(version, version.to_le_bytes().to_vec())
}

fn evacuated(revision: u64) -> StateSection {
    let zones = Vec::new();
    StateSection::EvacuatedZones { revision, zones }
}

fn report(version: u32, as_of: f64) -> MajorityReport {
    let revision = Revision {
        config: Some(version),
        evacuation: 0,
    };
    let decided = StateDigest {
        revision,
        ..StateDigest::default()
    };
    MajorityReport { decided, as_of }
}

/// Guards against queueing every change of a burst for a slow receiver.
#[test]
fn at_most_one_update_of_a_kind_is_unacknowledged_and_the_newest_follows() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    assert_eq!(updates.offer(0.0, &evacuated(1)), Some(2), "another kind");
    for version in 2..100 {
        assert_eq!(updates.offer(1.0, &config(version)), None);
    }
    assert!(updates.has_pending() && !updates.is_applied());
    updates.acknowledge(1);
    assert_eq!(updates.offer(2.0, &config(99)), Some(3));
    assert!(!updates.has_pending() && !updates.is_applied());
    updates.acknowledge(3);
    assert!(updates.is_applied());
    assert_eq!(
        updates.offer(3.0, &config(99)),
        None,
        "the receiver already has it"
    );
    assert!(updates.is_applied());
    assert_eq!((updates.last_number(), updates.acknowledged()), (3, 3));
}

/// Guards against applying a waiting change after it has been reverted.
#[test]
fn a_waiting_section_is_dropped_if_the_receiver_has_the_newest() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &evacuated(1)), Some(1));
    assert_eq!(updates.offer(1.0, &evacuated(2)), None);
    assert_eq!(updates.offer(2.0, &evacuated(1)), None);
    assert!(!updates.has_pending());
    updates.acknowledge(1);
    assert!(updates.is_applied());
}

/// Guards against a receiver that keeps an old configuration because its acknowledgement was lost.
#[test]
fn an_unacknowledged_update_does_not_block_the_newest_after_the_timeout() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    assert_eq!(updates.offer(999.0, &config(2)), None);
    assert!(!updates.is_stalled(999.0) && updates.is_stalled(1000.0));
    assert_eq!(updates.offer(1000.0, &config(3)), Some(2));
    assert_eq!(updates.offer(1500.0, &config(4)), None);
}

/// Guards against acknowledgements of numbers that have not been sent yet.
#[test]
fn only_sent_updates_can_be_acknowledged() {
    let mut updates = UpdateStream::default();
    assert_eq!(updates.offer(0.0, &config(1)), Some(1));
    updates.acknowledge(70);
    assert_eq!(updates.offer(1.0, &config(2)), Some(2));
    assert!(!updates.is_applied());
    assert_eq!(
        updates.resend(1.0, &config(2)),
        3,
        "resent although it is unacknowledged"
    );
}

/// Guards against reporting a state whose updates still wait, which the receiver would treat as lost, and against
/// reporting an old state as the newest, which the receiver would rely on for too long.
#[test]
fn the_report_matches_the_sent_state_and_the_time_of_its_confirmation() {
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
    // Sections of other kinds are not part of the decided state.
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
