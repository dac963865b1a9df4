//! The rules about refusals of proper requests: DENIED and CONFIG, each found where it is broken, and nowhere else.

mod common;

use aspendrum_checker::system::{
    check, Attempt, AttemptOutcome, ConfigVersion, ControlCall, OperatorCall, ProxyFault,
    ProxyRestart, Record, RouteRule, TenantRule,
};

/// The route that the second version adds.
const ADDED: usize = 1;

fn version(number: u32, acknowledged_at: f64, routes: usize) -> ConfigVersion {
    let rule = RouteRule {
        service: "quotes".into(),
        is_once_only: false,
    };
    ConfigVersion {
        number,
        sent_at: acknowledged_at - 50.0,
        acknowledged_at: Some(acknowledged_at),
        text: format!("{number}").into(),
        routes: vec![rule; routes],
        tenants: vec![TenantRule {
            name: "ann".into(),
            has_key: true,
        }],
    }
}

fn attempt(id: u64, route: usize, sent_at: f64, status: u16) -> Attempt {
    let outcome = match status {
        200 => AttemptOutcome::Answered,
        408 | 421 | 429 | 503 => AttemptOutcome::NotRun(status),
        _ => AttemptOutcome::OtherStatus(status),
    };
    Attempt {
        id,
        request: id,
        route,
        tenant: 0,
        proxy: 0,
        sent_at,
        ended_at: sent_at + 10.0,
        outcome,
    }
}

/// A route is added at 10 s.
fn record(attempts: Vec<Attempt>) -> Record {
    Record {
        from: 0.0,
        to: 60_000.0,
        bounds: common::BOUNDS,
        attempts,
        executions: Vec::new(),
        versions: vec![version(1, 100.0, 1), version(2, 10_000.0, 2)],
        evacuations: Vec::new(),
        calls: Vec::new(),
        faults: Vec::new(),
        restarts: Vec::new(),
        final_version: Some(2),
    }
}

fn rules(record: &Record) -> Vec<&'static str> {
    check(record).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_route_may_be_unknown_until_it_must_be_in_force() {
    let early = [9000.0, 9990.0, 12_900.0].map(|at| attempt(at as u64, ADDED, at, 404));
    assert!(rules(&record(early.to_vec())).is_empty());
    let late = record(vec![attempt(1, ADDED, 13_100.0, 404)]);
    assert_eq!(rules(&late), ["CONFIG"]);
    let elsewhere = record(vec![attempt(1, ADDED, 13_100.0, 503)]);
    assert!(rules(&elsewhere).is_empty());
}

#[test]
fn a_proxy_that_is_cut_off_is_bound_only_by_what_always_held() {
    let mut cut_off = record((0..20).map(|n| attempt(n, ADDED, 20_000.0, 404)).collect());
    let (proxy, from, to) = (Some(0), 18_000.0, 21_000.0);
    cut_off.faults = vec![ProxyFault { proxy, from, to }];
    assert!(rules(&cut_off).is_empty());
    cut_off.attempts = (0..11).map(|n| attempt(n, 0, 20_000.0, 404)).collect();
    assert_eq!(rules(&cut_off), ["DENIED"]);
    cut_off.attempts.pop();
    assert!(rules(&cut_off).is_empty());
}

#[test]
fn few_proper_requests_may_be_refused() {
    let refused = |count| record((0..count).map(|n| attempt(n, 0, 20_000.0, 431)).collect());
    assert!(rules(&refused(5)).is_empty());
    assert_eq!(rules(&refused(6)), ["DENIED"]);
    let mut among_many = refused(6);
    let served = (100..700).map(|n| attempt(n, 0, 20_000.0, 200));
    among_many.attempts.extend(served);
    assert!(rules(&among_many).is_empty(), "one more for each 500");
}

#[test]
fn a_proxy_does_not_go_back() {
    // Before it must be in force, so that nothing else is broken.
    let gone_back = |sent_at| {
        record(vec![
            attempt(1, ADDED, 10_100.0, 200),
            attempt(2, ADDED, sent_at, 404),
        ])
    };
    assert_eq!(rules(&gone_back(10_400.0)), ["CONFIG"]);
    assert!(rules(&gone_back(10_200.0)).is_empty(), "for a moment");
    let mut restarted = gone_back(10_400.0);
    restarted.restarts = vec![ProxyRestart {
        proxy: 0,
        at: 10_300.0,
    }];
    assert!(rules(&restarted).is_empty());
    let mut of_another = gone_back(10_400.0);
    of_another.attempts[1].proxy = 1;
    assert!(rules(&of_another).is_empty());
    let mut taken_back = gone_back(10_400.0);
    taken_back.versions.push(version(3, 10_350.0, 1));
    taken_back.final_version = Some(3);
    assert!(rules(&taken_back).is_empty(), "a later version lacks it");
}

#[test]
fn an_invalid_text_is_never_acknowledged() {
    let answered = |status| {
        let mut record = record(Vec::new());
        record.calls.push(ControlCall {
            control_node: 0,
            sent_at: 20_000.0,
            ended_at: 20_010.0,
            call: OperatorCall::SetInvalid {
                number: 9,
                text: "{}".into(),
            },
            status,
        });
        record
    };
    assert!(rules(&answered(Some(400))).is_empty() && rules(&answered(None)).is_empty());
    assert_eq!(rules(&answered(Some(200))), ["CONFIG"]);
}
