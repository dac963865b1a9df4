//! A running proxy never reverts to an older state.

mod common;

use aspendrum_model::compression::compress;
use aspendrum_model::message::StateSection;
use aspendrum_reconcile::MajorityReport;
use common::{test_proxy, CONFIG, OK_RESPONSE, OK_RESPONSE_T2, SEND};

fn evacuated(revision: u64, zones: &[&str]) -> StateSection {
    let zones = zones.iter().map(ToString::to_string).collect();
    StateSection::EvacuatedZones { revision, zones }
}

/// Guards against reverting an evacuation: a restarted agent holds no state and may first get a neighbour's snapshot
/// that is older than the state it had sent to its proxy.
#[test]
fn an_older_evacuation_command_is_ignored() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let dispatcher = &proxy.state.dispatcher;
    dispatcher.apply(evacuated(4, &["poa-b"]));
    let applied = dispatcher.applied();
    dispatcher.apply(evacuated(3, &[]));
    assert_eq!(dispatcher.applied(), applied);
    dispatcher.apply(evacuated(5, &[]));
    assert_eq!(dispatcher.applied().revision.evacuation, 5);
    // A rebuild accepts any revision.
    dispatcher.rebuild_tables();
    dispatcher.apply(evacuated(3, &["poa-b"]));
    assert_eq!(dispatcher.applied().revision.evacuation, 3);
}

/// Guards against a proxy that takes the lowest version for "no configuration": it would serve nothing under it.
#[test]
fn the_lowest_version_is_served_and_replaced_like_any_other() {
    let proxy = test_proxy(1, |_| Some(OK_RESPONSE));
    let dispatcher = &proxy.state.dispatcher;
    let apply = |version: u32| {
        let text = CONFIG.replace("00000001", &format!("{version:08x}"));
        dispatcher.apply(StateSection::config(version, compress(text.as_bytes())));
        proxy.state.update_applied_digest();
        dispatcher.applied().revision.config
    };
    let report_as_decided = || {
        let decided = dispatcher.applied();
        let report = MajorityReport {
            decided,
            as_of: 0.0,
        };
        let consistency = &proxy.state.consistency;
        consistency.record_report(1.0, Some(report), false);
    };
    assert_eq!(apply(0), Some(1), "an older version is ignored");
    dispatcher.rebuild_tables();
    assert_eq!(apply(0), Some(0));
    report_as_decided();
    assert_eq!(proxy.request(SEND), OK_RESPONSE_T2);
    assert_eq!(apply(u32::MAX), Some(u32::MAX));
    report_as_decided();
    assert_eq!(proxy.request(SEND), OK_RESPONSE_T2);
    assert_eq!(apply(0), Some(u32::MAX));
}

/// The routes of each configuration in the test below.
const ROUTES: usize = 1000;
/// The number of configurations after which the numbers of the engine's groups have run out.
const CONFIGURATIONS: usize = 66;

/// Returns a configuration whose routes have time-outs of their own, all idempotent, and a once-only route.
fn config_with_timeouts(version: usize, once_only_timeout_ms: usize) -> StateSection {
    let rule = |route: usize| {
        let timeout_ms = 2000 + version * ROUTES + route;
        format!(
            r#"{{"name":"f{route}","type":"idem","goal-ms":800,"match":{{"pfx":"/f{route}/"}},"action":{{"svc":"s1","limit-ms":{timeout_ms},"tries":3}}}},"#
        )
    };
    let rules: String = (0..ROUTES).map(rule).collect();
    let text = CONFIG
        .replace("00000001", &format!("{version:08x}"))
        .replace(r#""rules":["#, &format!(r#""rules":[{rules}"#))
        .replace(
            r#"/send/"},"action":{"svc":"s1","limit-ms":2000"#,
            &format!(r#"/send/"}},"action":{{"svc":"s1","limit-ms":{once_only_timeout_ms}"#),
        );
    StateSection::config(version as u32, compress(text.as_bytes()))
}

/// Guards against a once-only request that is retried: the number of its route's group wrapped around to that of an
/// idempotent route, after many changes of time-outs.
#[test]
fn a_once_only_request_runs_once_when_the_numbers_of_groups_have_run_out() {
    let proxy = test_proxy(2, |_| None);
    let dispatcher = &proxy.state.dispatcher;
    for version in 2..=CONFIGURATIONS + 1 {
        dispatcher.apply(config_with_timeouts(version, 2000));
    }
    dispatcher.apply(config_with_timeouts(CONFIGURATIONS + 2, 2001));
    proxy.state.update_applied_digest();
    let consistency = &proxy.state.consistency;
    let report = MajorityReport {
        decided: dispatcher.applied(),
        as_of: 0.0,
    };
    consistency.record_report(1.0, Some(report), false);
    let response = proxy.request(SEND);
    assert!(response.starts_with("HTTP/1.1 502 "), "{response}");
    assert_eq!(proxy.run_counts.lock().unwrap()["t2"], 1);
}
