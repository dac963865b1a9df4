//! The rate limit on publishing committed states, and the time since which a proxy is outdated.

use aspendrum_consensus::ReplicatedState;
use aspendrum_control::decided::DecidedState;
use aspendrum_model::compression::compress;
use aspendrum_model::message::Revision;

const APPLY_DEADLINE: f64 = 3000.0;
/// The publish interval: a tenth of the apply deadline.
const INTERVAL: f64 = 300.0;

fn committed(version: u32) -> ReplicatedState {
    let text = format!(
        r#"{{"gen":"{version:08x}","caps":{{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000}},
"ports":[{{"vhost":"a.example","rules":[{{"name":"r","type":"idem","goal-ms":500,"match":{{"pfx":"/a/"}},
"action":{{"svc":"s","limit-ms":2000,"tries":2}}}}]}}],"pools":[{{"name":"s","check":"/healthz"}}]}}"#
    );
    ReplicatedState::of_config(version, compress(text.as_bytes()))
}

fn revision(config: u32) -> Revision {
    Revision {
        config: Some(config),
        evacuation: 0,
    }
}

/// Without the rate limit, 300 changes in 15 s would be 300 configurations to parse for each agent and each proxy.
#[test]
fn the_first_change_is_published_immediately_and_a_burst_once_per_interval() {
    let mut decided = DecidedState::new(APPLY_DEADLINE);
    let mut published = Vec::new();
    for (number, version) in (1..=20).enumerate() {
        let now = 1000.0 + 100.0 * number as f64;
        if decided.publish_if_due(now, &committed(version), Some(now)) {
            published.push((now, version));
        }
    }
    let expected = (0..7).map(|n| (1000.0 + INTERVAL * f64::from(n), 1 + 3 * n as u32));
    assert_eq!(published, expected.collect::<Vec<_>>());
    // The last change is published without a further one.
    assert!(decided.publish_if_due(3100.0, &committed(20), None));
    assert_eq!(decided.digest().revision, revision(20));
}

/// The report must not claim that a majority held nothing newer than the published state while a newer state is already
/// committed and not yet published.
#[test]
fn an_unpublished_state_is_not_covered_by_the_report() {
    let mut decided = DecidedState::new(APPLY_DEADLINE);
    assert!(decided.report().is_none(), "no majority was read");
    assert!(decided.publish_if_due(0.0, &committed(1), Some(0.0)));
    assert!(!decided.publish_if_due(50.0, &committed(1), Some(45.0)));
    assert!(!decided.publish_if_due(100.0, &committed(2), Some(95.0)));
    let report = decided.report().unwrap();
    assert_eq!((report.decided.revision, report.as_of), (revision(1), 45.0));
    assert!(decided.publish_if_due(300.0, &committed(2), Some(290.0)));
    let report = decided.report().unwrap();
    assert_eq!(
        (report.decided.revision, report.as_of),
        (revision(2), 290.0)
    );
}

/// A change of an evacuation must not wait for the publish interval of configuration changes.
#[test]
fn an_evacuation_is_published_immediately() {
    let mut decided = DecidedState::new(APPLY_DEADLINE);
    assert!(decided.publish_if_due(0.0, &committed(1), Some(0.0)));
    let mut evacuated = committed(1);
    evacuated
        .evacuations
        .entry("zone-1".into())
        .or_default()
        .revision = 1;
    assert!(decided.publish_if_due(1.0, &evacuated, Some(0.0)));
    assert_eq!(decided.state().evacuated_zones().zones, ["zone-1"]);
}

/// During a burst every proxy is missing the latest change at each heartbeat. Only the age of the oldest missing change
/// may count, or all proxies would count as outdated.
#[test]
fn a_proxy_is_outdated_since_the_oldest_publication_that_it_is_missing() {
    let mut decided = DecidedState::new(APPLY_DEADLINE);
    for version in 1..=8 {
        let now = INTERVAL * f64::from(version);
        assert!(decided.publish_if_due(now, &committed(version), Some(now)));
    }
    assert_eq!(decided.outdated_since(&revision(8)), None);
    assert_eq!(decided.outdated_since(&revision(7)), Some(8.0 * INTERVAL));
    assert_eq!(decided.outdated_since(&revision(4)), Some(5.0 * INTERVAL));
}
