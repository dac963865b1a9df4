//! The rules for the whole system. Each breach is found, and there are no false positives.

mod common;

use aspendrum_checker::system::{
    check, Attempt, AttemptOutcome, ConfigVersion, Evacuation, Execution, ProxyFault, Quota,
    Record, RouteRule, RuleBounds, ServedCount, TenantRule,
};

const BOUNDS: RuleBounds = RuleBounds {
    revoke: Some(5000.0),
    ..common::BOUNDS
};

fn version(
    number: u32,
    sent: f64,
    acked: Option<f64>,
    service: &str,
    has_valid_credential: bool,
) -> ConfigVersion {
    ConfigVersion {
        number,
        sent_at: sent,
        acknowledged_at: acked,
        text: format!("{number}").into(),
        routes: vec![
            RouteRule {
                service: "quotes".into(),
                is_once_only: false,
            },
            RouteRule {
                service: service.into(),
                is_once_only: true,
            },
        ],
        tenants: vec![TenantRule {
            name: "ann".into(),
            has_valid_credential,
        }],
    }
}

fn attempt(id: u64, sent: f64, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        id,
        request: id,
        route: 1,
        tenant: 0,
        proxy: 0,
        sent_at: sent,
        ended_at: sent + 50.0,
        outcome,
    }
}

fn execution(id: u64, at: f64, service: &str) -> Execution {
    let (uid, zone, tenant) = ("i-1".into(), "zone-0".into(), Some("ann".into()));
    Execution {
        id,
        server_uid: uid,
        service: service.into(),
        zone,
        tenant,
        arrived_at: at,
        started_at: at,
        ended_at: at + 25.0,
        would_end_at: at + 25.0,
        aborts_on_close: true,
    }
}

/// A route moves at 1 s, acknowledged at 1.1 s. One request runs before the move and one long after it, both at the
/// right service.
fn valid_record() -> Record {
    Record {
        from: 0.0,
        to: 20_000.0,
        bounds: BOUNDS,
        attempts: vec![
            attempt(1, 500.0, AttemptOutcome::Answered),
            attempt(2, 9000.0, AttemptOutcome::Answered),
        ],
        executions: vec![
            execution(1, 510.0, "payouts"),
            execution(2, 9010.0, "ledger"),
        ],
        versions: vec![
            version(1, 0.0, Some(10.0), "payouts", true),
            version(4, 1000.0, Some(1100.0), "ledger", true),
        ],
        evacuations: Vec::new(),
        calls: Vec::new(),
        faults: Vec::new(),
        restarts: Vec::new(),
        final_version: Some(4),
    }
}

fn broken_rules(record: &Record) -> Vec<&'static str> {
    check(record).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_valid_run_has_no_breach() {
    let verdict = check(&valid_record());
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    let two = ServedCount {
        requests: 2,
        served: 2,
    };
    assert_eq!((verdict.all, verdict.once_only), (two, two));
}

#[test]
fn each_breach_is_found() {
    type Change = fn(&mut Record);
    let changes: [(&str, Change); 12] = [
        ("TWICE", |r| {
            r.executions.push(execution(1, 520.0, "payouts"))
        }),
        ("REFUSED", |r| {
            r.attempts[0].outcome = AttemptOutcome::NotRun(503)
        }),
        ("MIXED", |r| r.attempts[0].outcome = AttemptOutcome::Foreign),
        ("UNASKED", |r| {
            r.executions.push(execution(9, 600.0, "payouts"))
        }),
        ("UNASKED", |r| r.executions[0].tenant = Some("bob".into())),
        ("ROUTE", |r| r.executions[0].service = "ledger".into()),
        ("CONFIG", |r| r.executions[1].service = "payouts".into()),
        ("CONFIG", |r| {
            r.versions
                .push(version(7, 1500.0, Some(1600.0), "ledger", false));
            r.final_version = Some(7);
        }),
        ("CONFIG", |r| r.final_version = Some(1)),
        ("EVAC", |r| {
            let (zone, acked) = ("zone-0".into(), Some(3000.0));
            r.evacuations.push(Evacuation {
                zone,
                is_evacuated: true,
                sent_at: 2990.0,
                acknowledged_at: acked,
                ended_at: 3000.0,
            });
        }),
        ("LOST", |r| r.attempts[0].outcome = AttemptOutcome::Lost),
        ("QUOTA", |r| {
            r.bounds.quota = Quota {
                rate: 1.0,
                burst: 1.0,
            };
            for id in 10..20 {
                r.attempts
                    .push(attempt(id, 9000.0, AttemptOutcome::Answered));
                r.executions.push(execution(id, 9020.0, "ledger"));
            }
        }),
    ];
    for (rule, change) in changes {
        let mut record = valid_record();
        change(&mut record);
        let found = broken_rules(&record);
        assert!(
            found.contains(&rule) && found.iter().all(|f| *f == rule),
            "{rule}: {found:?}"
        );
    }
}

/// Disconnected proxies are exempt from deadlines, but not from the removal of credentials. During a change both
/// versions are valid.
#[test]
fn disconnected_proxies_and_changes_in_progress_are_no_breach() {
    let mut record = valid_record();
    record.executions[1].service = "payouts".into();
    record.faults.push(ProxyFault {
        proxy: Some(0),
        from: 2000.0,
        to: 8000.0,
    });
    assert_eq!(
        broken_rules(&record),
        ["CONFIG"],
        "once-only requests, connected or not"
    );
    record.faults[0].proxy = None;
    assert!(broken_rules(&record).is_empty());
    for v in &mut record.versions {
        v.routes[1].is_once_only = false;
    }
    record.faults[0].proxy = Some(0);
    assert!(broken_rules(&record).is_empty());
    record.faults[0].proxy = Some(1);
    assert_eq!(broken_rules(&record), ["CONFIG"]);
    // The removal of a credential applies regardless of faults.
    let mut record = valid_record();
    record
        .versions
        .push(version(7, 1500.0, Some(1600.0), "ledger", false));
    record.final_version = Some(7);
    record.faults.push(ProxyFault {
        proxy: None,
        from: 0.0,
        to: 20_000.0,
    });
    assert_eq!(broken_rules(&record), ["CONFIG"]);
    assert_eq!(
        check(&record).all.requests,
        1,
        "requests without a valid credential are not counted"
    );
    // Within `apply` after its acknowledgement the older version may still be in force.
    let mut record = valid_record();
    (record.attempts[1].sent_at, record.executions[1].started_at) = (4000.0, 4010.0);
    record.executions[1].service = "payouts".into();
    assert!(broken_rules(&record).is_empty());
}
