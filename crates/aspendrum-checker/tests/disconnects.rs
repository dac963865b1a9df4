//! The rule GONE: it is broken if work for disconnected clients continues, and only then.

mod common;

use aspendrum_checker::system::{
    check, count_disconnects, Attempt, AttemptOutcome, ConfigVersion, DisconnectCounts, Execution,
    ProxyFault, Record, RouteRule, TenantRule,
};

use common::BOUNDS;
use std::collections::HashMap;

const QUOTES: usize = 0;
const PAYOUTS: usize = 1;

/// Ten clients send a request on `route` every second from 10 s on, and disconnect 100 ms after sending. Each request
/// runs from `started` to `ended` after it was sent, and would have run until `would_end`.
fn disconnected(route: usize, started: f64, ended: f64, would_end: f64) -> Record {
    let service = ["quotes", "payouts"][route];
    let version = ConfigVersion {
        number: 1,
        acknowledged_at: Some(10.0),
        text: "1".into(),
        routes: vec![
            RouteRule {
                service: "quotes".into(),
                is_once_only: false,
            },
            RouteRule {
                service: "payouts".into(),
                is_once_only: true,
            },
        ],
        tenants: vec![TenantRule {
            name: "ann".into(),
            has_valid_credential: true,
        }],
        ..ConfigVersion::default()
    };
    let sent = |id: u64| 10_000.0 + 1000.0 * id as f64;
    let outcome = AttemptOutcome::ClientDisconnected;
    let attempt = |id| Attempt {
        id,
        request: id,
        route,
        tenant: 0,
        proxy: 0,
        sent_at: sent(id),
        ended_at: sent(id) + 100.0,
        outcome,
    };
    let execution = |id| Execution {
        id,
        server_uid: "i-1".into(),
        service: service.into(),
        zone: "zone-0".into(),
        tenant: None,
        arrived_at: sent(id) + started,
        started_at: sent(id) + started,
        ended_at: sent(id) + ended,
        would_end_at: sent(id) + would_end,
        aborts_on_close: true,
    };
    Record {
        from: 0.0,
        to: 30_000.0,
        bounds: BOUNDS,
        attempts: (0..10).map(attempt).collect(),
        executions: (0..10).map(execution).collect(),
        versions: vec![version],
        evacuations: Vec::new(),
        calls: Vec::new(),
        faults: Vec::new(),
        restarts: Vec::new(),
        final_version: Some(1),
    }
}

fn breaches(record: &Record) -> Vec<String> {
    check(record)
        .breaches
        .iter()
        .map(|b| format!("{} {}", b.rule, b.description))
        .collect()
}

fn count(record: &Record) -> DisconnectCounts {
    let attempts: HashMap<u64, &Attempt> = record.attempts.iter().map(|a| (a.id, a)).collect();
    count_disconnects(record, &attempts)
}

#[test]
fn aborted_and_short_executions_are_no_breach() {
    for record in [
        disconnected(QUOTES, 5.0, 400.0, 2000.0),
        disconnected(QUOTES, 5.0, 590.0, 590.0),
        // Once-only executions are not aborted.
        disconnected(PAYOUTS, 5.0, 2000.0, 2000.0),
    ] {
        assert_eq!(breaches(&record), [""; 0]);
    }
}

#[test]
fn executions_that_continue_are_a_breach() {
    let mut record = disconnected(QUOTES, 5.0, 2000.0, 2000.0);
    assert_eq!(
        breaches(&record),
        ["GONE 10 of 10 executions were not aborted after their clients disconnected"]
    );
    assert_eq!(
        count(&record),
        DisconnectCounts {
            disconnected: 10,
            sent_late: 0,
            abortable: 10,
            not_aborted: 10
        }
    );
    record
        .executions
        .iter_mut()
        .skip(2)
        .for_each(|r| r.ended_at = r.started_at + 300.0);
    assert_eq!(
        breaches(&record),
        [""; 0],
        "two of ten are less than a quarter"
    );
    record.executions[2].ended_at = record.executions[2].would_end_at;
    assert_eq!(breaches(&record).len(), 1);
}

#[test]
fn requests_sent_late_are_a_breach_idempotent_or_not() {
    for route in [QUOTES, PAYOUTS] {
        let mut record = disconnected(route, 700.0, 750.0, 750.0);
        assert_eq!(
            breaches(&record),
            ["GONE 10 requests reached a server more than 500 ms after their clients disconnected"]
        );
        // A request that waits in a server's queue has reached the server.
        record
            .executions
            .iter_mut()
            .skip(3)
            .for_each(|r| r.arrived_at -= 690.0);
        assert_eq!(breaches(&record), [""; 0], "three are allowed");
    }
}

#[test]
fn connected_clients_and_faulty_proxies_are_not_counted() {
    let mut record = disconnected(QUOTES, 5.0, 2000.0, 2000.0);
    record.faults = vec![ProxyFault {
        proxy: Some(0),
        from: 0.0,
        to: 30_000.0,
    }];
    assert_eq!(count(&record), DisconnectCounts::default());
    record.faults.clear();
    record
        .executions
        .iter_mut()
        .for_each(|r| r.aborts_on_close = false);
    assert_eq!(
        breaches(&record),
        [""; 0],
        "the server does not abort on a closed connection"
    );
    record
        .attempts
        .iter_mut()
        .for_each(|a| a.outcome = AttemptOutcome::Silent);
    assert_eq!(count(&record), DisconnectCounts::default());
}
