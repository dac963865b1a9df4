//! What operators are told and read back: each way to be wrong is found, and nothing is found where all is well.

mod common;

use aspendrum_checker::system::{
    check, known_zone_states, Attempt, AttemptOutcome, ConfigText, ConfigVersion, ControlCall,
    Evacuation, Execution, OperatorCall, ProxyFault, Record, RouteRule, TenantRule, KEPT_VERSIONS,
};

use common::BOUNDS;
use std::sync::Arc;

fn call(at: f64, asked: OperatorCall, status: Option<u16>) -> ControlCall {
    ControlCall {
        control_node: 0,
        sent_at: at,
        ended_at: at + 10.0,
        call: asked,
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

/// Two texts race under 6, B wins; the loser is told so, and all orders come again.
fn sound() -> Vec<ControlCall> {
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

fn found(calls: Vec<ControlCall>) -> Vec<String> {
    let breaches = check(&record(calls)).breaches;
    assert!(breaches.iter().all(|b| b.rule == "CONFIG"), "{breaches:?}");
    breaches.into_iter().map(|b| b.description).collect()
}

#[test]
fn orders_that_keep_to_one_text_a_number_break_nothing() {
    assert_eq!(found(sound()), [""; 0]);
}

#[test]
fn each_wrong_answer_is_found() {
    let more: [(&str, Vec<ControlCall>); 13] = [
        (
            "two texts under 00000006 are both acknowledged",
            vec![set(650.0, 6, "e", 200)],
        ),
        (
            "00000003 is acknowledged by core 0 and refused with 409",
            vec![set(650.0, 3, "a", 409)],
        ),
        (
            "00000003 is acknowledged by core 0 and refused with 404",
            vec![set(650.0, 3, "a", 404)],
        ),
        (
            "00000006 is acknowledged by core 0 and refused with 409",
            vec![set(650.0, 6, "c", 200)],
        ),
        (
            "0000000c is refused with 400, and nothing else may be under it",
            vec![set(750.0, 12, "f", 400)],
        ),
        (
            "0000000c is refused with 409, and nothing else may be under it",
            vec![set(750.0, 12, "f", 409), set(750.0, 12, "g", 409)],
        ),
        (
            "00000006 is in force by core 0, and was refused with 409",
            vec![show(450.0, 6, "c")],
        ),
        (
            "core 0 shows a text under 00000009 that nobody sent",
            vec![show(750.0, 9, "e")],
        ),
        (
            "core 0 shows a text under 0000000c that nobody sent",
            vec![show(750.0, 12, "f")],
        ),
        (
            "core 0 shows another text under 00000006",
            vec![lost(200.0, 6, "e"), show(450.0, 6, "e")],
        ),
        (
            "core 0 shows 00000006, and 00000009 was told before",
            vec![show(750.0, 6, "b")],
        ),
        // Nobody was told of 12, but it was shown.
        (
            "core 0 shows 00000009, and 0000000c was told before",
            vec![
                lost(710.0, 12, "f"),
                show(750.0, 12, "f"),
                show(770.0, 9, "d"),
            ],
        ),
        (
            "core 0 shows what cannot be read",
            vec![call(750.0, OperatorCall::Show(None), Some(200))],
        ),
    ];
    for (what, more) in more {
        let mut calls = sound();
        calls.extend(more);
        let found = found(calls);
        assert!(
            found.iter().any(|f| f.starts_with(what)),
            "{what}: {found:?}"
        );
    }
}

/// Calls that overlap may be answered either way, and an answer that asks for a retry refuses nothing.
#[test]
fn answers_that_cross_and_answers_that_ask_for_a_retry_are_no_breach() {
    let mut calls = sound();
    // Begun before 9 was acknowledged, answered after it.
    calls.push(ControlCall {
        sent_at: 505.0,
        ended_at: 900.0,
        ..show(505.0, 6, "b")
    });
    calls.extend([408, 429, 500, 503].map(|status| set(640.0, 3, "a", status)));
    assert_eq!(found(calls), [""; 0]);
}

/// Control need not know the texts of older numbers: two answers 200 are no breach there, a refusal still is.
#[test]
fn below_the_newest_hundred_numbers_texts_may_be_forgotten_but_not_refused() {
    let later = |n: u32| set(1000.0 + f64::from(n), 100 + n, "later", 200);
    let mut calls = sound();
    calls.extend((0..KEPT_VERSIONS as u32 - 2).map(later));
    calls.push(set(5000.0, 6, "e", 200));
    assert!(
        found(calls.clone())[0].starts_with("two texts under 00000006"),
        "one of the newest hundred"
    );
    calls.pop();
    calls.push(later(KEPT_VERSIONS as u32));
    calls.push(set(5000.0, 6, "e", 200));
    assert_eq!(found(calls.clone()), [""; 0]);
    calls.push(set(5100.0, 3, "a", 409));
    assert!(found(calls)[0].contains("refused with 409"));
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
fn the_state_of_a_zone_is_known_from_an_answer_to_the_next_call() {
    let calm = [
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
        spans(&calm),
        [(true, 1010.0, 9000.0), (false, 9010.0, f64::INFINITY)]
    );
    // Both under way at once: either may be in force.
    let crossed = [
        order(true, 1000.0, Some(1500.0), 1500.0),
        order(false, 1200.0, Some(1400.0), 1400.0),
    ];
    assert_eq!(spans(&crossed), []);
    // An order that was given up counts for nothing once another was asked for and acknowledged.
    let given_up = [
        order(false, 1000.0, None, 4000.0),
        order(true, 5000.0, Some(5010.0), 5010.0),
    ];
    assert_eq!(spans(&given_up), [(true, 5010.0, f64::INFINITY)]);
    // Another zone's orders are nobody's concern.
    let other = Evacuation {
        zone: "zone-0".into(),
        ..order(false, 1005.0, Some(1006.0), 1006.0)
    };
    assert_eq!(
        spans(&[calm[0].clone(), other])[0],
        (true, 1010.0, f64::INFINITY)
    );
}

/// A request each 50 ms to either zone, and none to `zone-1` in those times.
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
            drops_on_close: true,
        }
    };
    let there = |r: &Execution| {
        r.zone == "zone-0"
            || !without
                .iter()
                .any(|w| (w.0..w.1).contains(&(r.started_at as u64)))
    };
    (0..1200).map(run).filter(there).collect()
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
            has_key: true,
        }],
        ..version
    }];
    record.final_version = Some(3);
    record.executions = served(without);
    let one = |id: u64, at: f64| Attempt {
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
        .map(|r| one(r.id, r.started_at))
        .collect();
    record.evacuations = orders;
    record
}

/// Danger: an old order that waited in a suspended machine's socket comes into force after a newer one.
#[test]
fn a_zone_is_served_as_the_last_acknowledged_order_says() {
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
    // Begun again after it was finished, and nobody asked for that.
    let found = rules(&evacuated(orders(), &[(5000, 10_000), (20_000, 30_000)]));
    assert!(
        found.len() == 1 && found[0].0 == "EVAC" && found[0].1.contains("got nothing"),
        "{found:?}"
    );
    // Finished, and nobody asked for that.
    let found = rules(&evacuated(vec![orders().remove(0)], &[(5000, 8000)]));
    assert!(
        found.len() > 1 && found.iter().all(|f| f.0 == "EVAC"),
        "{found:?}"
    );
    // Asked for again meanwhile, or all were in trouble.
    let mut asked = orders();
    asked.push(order(true, 20_000.0, None, 20_500.0));
    assert_eq!(
        rules(&evacuated(asked, &[(5000, 10_000), (20_000, 30_000)])),
        []
    );
    let mut troubled = evacuated(orders(), &[(5000, 10_000), (20_000, 30_000)]);
    troubled.faults.push(ProxyFault {
        proxy: None,
        from: 19_000.0,
        to: 26_500.0,
    });
    assert_eq!(rules(&troubled), []);
}

/// What a server runs is compared with the texts that may be in force: the loser of a race is not.
#[test]
fn a_refused_text_allows_nothing() {
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
            has_key: true,
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
