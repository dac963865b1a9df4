//! The rules DENIED and CONFIG for refusals of valid requests. Each breach is found, and there are no false positives.

mod common;

use aspendrum_checker::system::{
    check, Attempt, AttemptOutcome, ConfigVersion, ControlCall, OperatorCall, ProxyFault,
    ProxyRestart, Record, RouteRule, TenantRule,
};

/// The index of the route that the second version adds.
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
            has_valid_credential: true,
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

/// A run in which a route is added at 10 s.
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

fn broken_rules(record: &Record) -> Vec<&'static str> {
    check(record).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn an_added_route_may_be_unknown_until_the_apply_bound() {
    let early = [9000.0, 9990.0, 12_900.0].map(|at| attempt(at as u64, ADDED, at, 404));
    assert!(broken_rules(&record(early.to_vec())).is_empty());
    let late = record(vec![attempt(1, ADDED, 13_100.0, 404)]);
    assert_eq!(broken_rules(&late), ["CONFIG"]);
    let unavailable = record(vec![attempt(1, ADDED, 13_100.0, 503)]);
    assert!(broken_rules(&unavailable).is_empty());
}

#[test]
fn a_disconnected_proxy_may_refuse_only_routes_that_some_version_lacks() {
    let mut disconnected = record((0..20).map(|n| attempt(n, ADDED, 20_000.0, 404)).collect());
    let (proxy, from, to) = (Some(0), 18_000.0, 21_000.0);
    disconnected.faults = vec![ProxyFault { proxy, from, to }];
    assert!(broken_rules(&disconnected).is_empty());
    disconnected.attempts = (0..11).map(|n| attempt(n, 0, 20_000.0, 404)).collect();
    assert_eq!(broken_rules(&disconnected), ["DENIED"]);
    disconnected.attempts.pop();
    assert!(broken_rules(&disconnected).is_empty());
}

#[test]
fn few_valid_requests_may_be_refused() {
    let refused = |count| record((0..count).map(|n| attempt(n, 0, 20_000.0, 431)).collect());
    assert!(broken_rules(&refused(5)).is_empty());
    assert_eq!(broken_rules(&refused(6)), ["DENIED"]);
    let mut among_many = refused(6);
    let served = (100..700).map(|n| attempt(n, 0, 20_000.0, 200));
    among_many.attempts.extend(served);
    assert!(
        broken_rules(&among_many).is_empty(),
        "one more refusal is allowed per 500 attempts"
    );
}

#[test]
fn a_proxy_does_not_revert_to_an_older_version() {
    // Runs before the version must be in force, so that no other rule is broken.
    let reverted = |sent_at| {
        record(vec![
            attempt(1, ADDED, 10_100.0, 200),
            attempt(2, ADDED, sent_at, 404),
        ])
    };
    assert_eq!(broken_rules(&reverted(10_400.0)), ["CONFIG"]);
    assert!(
        broken_rules(&reverted(10_200.0)).is_empty(),
        "within the grace period"
    );
    let mut restarted = reverted(10_400.0);
    restarted.restarts = vec![ProxyRestart {
        proxy: 0,
        at: 10_300.0,
    }];
    assert!(broken_rules(&restarted).is_empty());
    let mut other_proxy = reverted(10_400.0);
    other_proxy.attempts[1].proxy = 1;
    assert!(broken_rules(&other_proxy).is_empty());
    let mut removed = reverted(10_400.0);
    removed.versions.push(version(3, 10_350.0, 1));
    removed.final_version = Some(3);
    assert!(
        broken_rules(&removed).is_empty(),
        "a later version removes the route"
    );
}

#[test]
fn an_invalid_text_is_never_acknowledged() {
    let with_status = |status| {
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
    assert!(
        broken_rules(&with_status(Some(400))).is_empty()
            && broken_rules(&with_status(None)).is_empty()
    );
    assert_eq!(broken_rules(&with_status(Some(200))), ["CONFIG"]);
}
