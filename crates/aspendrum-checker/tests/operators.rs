//! The rules CONFIG, for the responses that operators receive, and EVAC: every wrong response is found, and correct
//! ones are no breach.

mod common;

use aspendrum_checker::system::{
    check, known_zone_states, Attempt, AttemptOutcome, ConfigText, ConfigVersion, ControlCall,
    Evacuation, Execution, OperatorCall, ProxyFault, Record, RouteRule, TenantRule, KEPT_VERSIONS,
};

use common::BOUNDS;
use std::sync::Arc;

fn call(at: f64, call: OperatorCall, status: Option<u16>) -> ControlCall {
    ControlCall {
        control_node: 0,
        sent_at: at,
        ended_at: at + 10.0,
        call,
        status,
    }
}

fn set(at: f64, number: u32, text: &str, status: u16) -> ControlCall {
    call(
        at,
        OperatorCall::Set {
            number,
            text: text.into(),
        },
        Some(status),
    )
}

fn lost(at: f64, number: u32, text: &str) -> ControlCall {
    call(
        at,
        OperatorCall::Set {
            number,
            text: text.into(),
        },
        None,
    )
}

fn show(at: f64, number: u32, text: &str) -> ControlCall {
    call(
        at,
        OperatorCall::Show(Some(ConfigText {
            number,
            text: text.into(),
        })),
        Some(200),
    )
}

fn record(calls: Vec<ControlCall>) -> Record {
    Record {
        from: 0.0,
        to: 30_000.0,
        bounds: BOUNDS,
        attempts: Vec::new(),
        executions: Vec::new(),
        versions: Vec::new(),
        evacuations: Vec::new(),
        calls,
        faults: Vec::new(),
        restarts: Vec::new(),
        final_version: None,
    }
}

/// Two texts are sent under number 6 and "b" wins. The operator of "c" gets a refusal, and all calls are repeated.
fn valid_calls() -> Vec<ControlCall> {
    vec![
        set(100.0, 3, "a", 200),
        lost(200.0, 6, "b"),
        lost(200.0, 6, "c"),
        set(300.0, 6, "c", 503),
        set(310.0, 6, "b", 200),
        show(330.0, 6, "b"),
        set(400.0, 6, "c", 409),
        set(500.0, 9, "d", 200),
        set(600.0, 6, "b", 200),
        set(610.0, 6, "c", 409),
        set(620.0, 3, "a", 200),
        show(700.0, 9, "d"),
        call(800.0, OperatorCall::Show(None), Some(503)),
        call(900.0, OperatorCall::Show(None), None),
    ]
}

fn config_breaches(calls: Vec<ControlCall>) -> Vec<String> {
    let breaches = check(&record(calls)).breaches;
    assert!(breaches.iter().all(|b| b.rule == "CONFIG"), "{breaches:?}");
    breaches.into_iter().map(|b| b.description).collect()
}

#[test]
fn calls_with_one_text_per_number_are_no_breach() {
    assert_eq!(config_breaches(valid_calls()), [""; 0]);
}

#[test]
fn each_wrong_response_is_found() {
    let cases: [(&str, Vec<ControlCall>); 13] = [
        (
            "two texts under 00000006 are both acknowledged",
            vec![set(650.0, 6, "e", 200)],
        ),
        (
            "00000003 is acknowledged by control node 0 and refused with 409",
            vec![set(650.0, 3, "a", 409)],
        ),
        (
            "00000003 is acknowledged by control node 0 and refused with 404",
            vec![set(650.0, 3, "a", 404)],
        ),
        (
            "00000006 is acknowledged by control node 0 and refused with 409",
            vec![set(650.0, 6, "c", 200)],
        ),
        (
            "0000000c is refused with 400, but no other text can be under it",
            vec![set(750.0, 12, "f", 400)],
        ),
        (
            "0000000c is refused with 409, but no other text can be under it",
            vec![set(750.0, 12, "f", 409), set(750.0, 12, "g", 409)],
        ),
        (
            "00000006 is in force by control node 0, but was refused with 409",
            vec![show(450.0, 6, "c")],
        ),
        (
            "control node 0 returned a text under 00000009 that was never sent",
            vec![show(750.0, 9, "e")],
        ),
        (
            "control node 0 returned a text under 0000000c that was never sent",
            vec![show(750.0, 12, "f")],
        ),
        (
            "control node 0 returned a different text under 00000006",
            vec![lost(200.0, 6, "e"), show(450.0, 6, "e")],
        ),
        (
            "control node 0 returned 00000006, but 00000009 was known before",
            vec![show(750.0, 6, "b")],
        ),
        // Number 12 was not acknowledged, but an operator has read it.
        (
            "control node 0 returned 00000009, but 0000000c was known before",
            vec![
                lost(710.0, 12, "f"),
                show(750.0, 12, "f"),
                show(770.0, 9, "d"),
            ],
        ),
        (
            "control node 0 returned an unreadable configuration",
            vec![call(750.0, OperatorCall::Show(None), Some(200))],
        ),
    ];
    for (description, extra) in cases {
        let mut calls = valid_calls();
        calls.extend(extra);
        let found = config_breaches(calls);
        assert!(
            found.iter().any(|f| f.starts_with(description)),
            "{description}: {found:?}"
        );
    }
}

/// Overlapping calls may return either version, and a status that asks for a retry is no refusal.
#[test]
fn overlapping_calls_and_retry_statuses_are_no_breach() {
    let mut calls = valid_calls();
    // Sent before 9 was acknowledged, answered after it.
    calls.push(ControlCall {
        sent_at: 505.0,
        ended_at: 900.0,
        ..show(505.0, 6, "b")
    });
    calls.extend([408, 429, 500, 503].map(|status| set(640.0, 3, "a", status)));
    assert_eq!(config_breaches(calls), [""; 0]);
}

/// Control may forget the texts of older numbers. Two acknowledged texts are no breach there, but a wrong refusal still
/// is.
#[test]
fn texts_below_the_newest_hundred_numbers_may_be_forgotten_but_not_refused() {
    let later = |n: u32| set(1000.0 + f64::from(n), 100 + n, "later", 200);
    let mut calls = valid_calls();
    calls.extend((0..KEPT_VERSIONS as u32 - 2).map(later));
    calls.push(set(5000.0, 6, "e", 200));
    assert!(
        config_breaches(calls.clone())[0].starts_with("two texts under 00000006"),
        "one of the newest hundred"
    );
    calls.pop();
    calls.push(later(KEPT_VERSIONS as u32));
    calls.push(set(5000.0, 6, "e", 200));
    assert_eq!(config_breaches(calls.clone()), [""; 0]);
    calls.push(set(5100.0, 3, "a", 409));
    assert!(config_breaches(calls)[0].contains("refused with 409"));
}

fn order(on: bool, sent: f64, acked: Option<f64>, ended: f64) -> Evacuation {
    Evacuation {
        zone: "zone-1".into(),
        is_evacuated: on,
        sent_at: sent,
        acknowledged_at: acked,
        ended_at: ended,
    }
}

#[test]
fn zone_state_is_known_from_acknowledgement_to_the_next_order() {
    let separate = [
        order(true, 1000.0, Some(1010.0), 1010.0),
        order(false, 9000.0, Some(9010.0), 9010.0),
    ];
    let spans = |orders: &[Evacuation]| -> Vec<(bool, f64, f64)> {
        known_zone_states(orders)
            .into_iter()
            .map(|k| (k.is_evacuated, k.from, k.until))
            .collect()
    };
    assert_eq!(
        spans(&separate),
        [(true, 1010.0, 9000.0), (false, 9010.0, f64::INFINITY)]
    );
    // Both orders were in progress at the same time, so either may be in force.
    let overlapping = [
        order(true, 1000.0, Some(1500.0), 1500.0),
        order(false, 1200.0, Some(1400.0), 1400.0),
    ];
    assert_eq!(spans(&overlapping), []);
    // An order without a response has no effect once a later one was acknowledged.
    let unanswered = [
        order(false, 1000.0, None, 4000.0),
        order(true, 5000.0, Some(5010.0), 5010.0),
    ];
    assert_eq!(spans(&unanswered), [(true, 5010.0, f64::INFINITY)]);
    // Orders for another zone have no effect on this one.
    let other = Evacuation {
        zone: "zone-0".into(),
        ..order(false, 1005.0, Some(1006.0), 1006.0)
    };
    assert_eq!(
        spans(&[separate[0].clone(), other])[0],
        (true, 1010.0, f64::INFINITY)
    );
}

/// One execution per 50 ms in each zone, except in `zone-1` during the periods `without`.
fn served(without: &[(u64, u64)]) -> Vec<Execution> {
    let run = |n: u64| {
        let zone = if n.is_multiple_of(2) {
            "zone-0"
        } else {
            "zone-1"
        };
        let (uid, service) = ("i".into(), "quotes".into());
        let at = n as f64 * 25.0;
        Execution {
            id: n,
            server_uid: uid,
            service,
            zone: zone.into(),
            tenant: None,
            arrived_at: at,
            started_at: at,
            ended_at: at + 25.0,
            would_end_at: at + 25.0,
            aborts_on_close: true,
        }
    };
    let is_kept = |r: &Execution| {
        r.zone == "zone-0"
            || !without
                .iter()
                .any(|w| (w.0..w.1).contains(&(r.started_at as u64)))
    };
    (0..1200).map(run).filter(is_kept).collect()
}

fn evacuated(orders: Vec<Evacuation>, without: &[(u64, u64)]) -> Record {
    let mut record = record(Vec::new());
    let version = ConfigVersion {
        number: 3,
        acknowledged_at: Some(1.0),
        routes: vec![RouteRule {
            service: "quotes".into(),
            is_once_only: false,
        }],
        ..ConfigVersion::default()
    };
    record.versions = vec![ConfigVersion {
        tenants: vec![TenantRule {
            name: "ann".into(),
            has_valid_credential: true,
        }],
        ..version
    }];
    record.final_version = Some(3);
    record.executions = served(without);
    let attempt = |id: u64, at: f64| Attempt {
        id,
        request: id,
        route: 0,
        tenant: 0,
        proxy: 0,
        sent_at: at,
        ended_at: at + 5.0,
        outcome: AttemptOutcome::Answered,
    };
    record.attempts = record
        .executions
        .iter()
        .map(|r| attempt(r.id, r.started_at))
        .collect();
    record.evacuations = orders;
    record
}

/// Guards against a stale order that waited in the socket of a suspended machine and comes into force after a newer
/// one.
#[test]
fn zone_follows_the_last_acknowledged_order() {
    let orders = || {
        vec![
            order(true, 1000.0, Some(1010.0), 1010.0),
            order(false, 9000.0, Some(9010.0), 9010.0),
        ]
    };
    let rules = |r: &Record| {
        check(r)
            .breaches
            .iter()
            .map(|b| (b.rule, b.description.clone()))
            .collect::<Vec<_>>()
    };
    assert_eq!(rules(&evacuated(orders(), &[(5000, 10_000)])), []);
    // The zone was evacuated again without an order.
    let found = rules(&evacuated(orders(), &[(5000, 10_000), (20_000, 30_000)]));
    assert!(
        found.len() == 1 && found[0].0 == "EVAC" && found[0].1.contains("received no request"),
        "{found:?}"
    );
    // The evacuation ended without an order.
    let found = rules(&evacuated(vec![orders().remove(0)], &[(5000, 8000)]));
    assert!(
        found.len() > 1 && found.iter().all(|f| f.0 == "EVAC"),
        "{found:?}"
    );
    // The evacuation was ordered again, or all proxies were faulty.
    let mut reordered = orders();
    reordered.push(order(true, 20_000.0, None, 20_500.0));
    assert_eq!(
        rules(&evacuated(reordered, &[(5000, 10_000), (20_000, 30_000)])),
        []
    );
    let mut faulty = evacuated(orders(), &[(5000, 10_000), (20_000, 30_000)]);
    faulty.faults.push(ProxyFault {
        proxy: None,
        from: 19_000.0,
        to: 26_500.0,
    });
    assert_eq!(rules(&faulty), []);
}

/// Executions are checked against the texts that may be in force, which excludes a text that lost to another one.
#[test]
fn a_refused_text_allows_no_execution() {
    let text = |service: &str| Arc::<str>::from(service);
    let version = |number, service: &str, acked| ConfigVersion {
        number,
        sent_at: 0.0,
        acknowledged_at: acked,
        text: text(service),
        routes: vec![RouteRule {
            service: service.into(),
            is_once_only: false,
        }],
        tenants: vec![TenantRule {
            name: "ann".into(),
            has_valid_credential: true,
        }],
    };
    let mut record = evacuated(Vec::new(), &[]);
    record.executions.truncate(1);
    record.attempts.truncate(1);
    record.versions = vec![version(3, "ledger", Some(20.0)), version(3, "quotes", None)];
    record.calls = vec![set(10.0, 3, "ledger", 200), set(10.0, 3, "quotes", 503)];
    assert_eq!(
        check(&record)
            .breaches
            .iter()
            .map(|b| b.rule)
            .collect::<Vec<_>>(),
        ["ROUTE"]
    );
    record.calls = vec![set(10.0, 3, "ledger", 503), set(10.0, 3, "quotes", 503)];
    record.versions[0].acknowledged_at = None;
    record.final_version = None;
    assert!(check(&record).breaches.is_empty());
    record.calls.push(set(30.0, 3, "quotes", 409));
    assert_eq!(
        check(&record)
            .breaches
            .iter()
            .map(|b| b.rule)
            .collect::<Vec<_>>(),
        ["ROUTE"]
    );
}
