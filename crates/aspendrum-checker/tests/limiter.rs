//! The five rules for limiters. Each test changes one thing in a valid record: the breach must be found, and a valid or
//! exempt record has none.

use aspendrum_checker::limiter::quota::{self, Grant};
use aspendrum_checker::limiter::{
    check, Customer, DiscoveryUpdate, ExemptPeriod, FaultPeriod, Forward, ForwardOutcome, Group,
    Query, QueryOutcome, Record, RetrySafety, Server, ServerIncarnation, Verdict,
};
use aspendrum_checker::Millis;

const REPEATABLE: usize = 0;
const KEYED: usize = 1;
const MUTATING: usize = 2;

/// 100 queries in ten seconds, each answered 5 ms later by one of two servers. The quota is 20 per second with a burst
/// of 5, and the hard limit 30 per second with a burst of 10.
fn valid_record() -> Record {
    let group = |name: &str, retry_safety| Group {
        name: name.into(),
        retry_safety,
        mean_work: 100.0,
    };
    let customer = Customer {
        name: "c".into(),
        rate: 0.02,
        burst: 5.0,
        limit_rate: 0.03,
        limit_burst: 10.0,
        demand_rate: 0.01,
    };
    let mut record = Record {
        groups: vec![
            group("look", RetrySafety::Idempotent),
            group("book", RetrySafety::Deduplicated),
            group("pay", RetrySafety::NonIdempotent),
        ],
        customers: vec![customer],
        servers: vec![
            Server {
                cores: 2.0,
                slow_start_capacity: 0.2,
                slow_start: 4000.0
            };
            2
        ],
        incarnations: (0..2)
            .map(|server| ServerIncarnation {
                server,
                from: 0.0,
                is_cold_start: false,
                collapsed_at: None,
            })
            .collect(),
        to: 10_000.0,
        ..Record::default()
    };
    for id in 0..100 {
        let at = id as f64 * 100.0;
        record.queries.push(query(id, at, (id % 3) as usize));
        record
            .forwards
            .push(forward(id, at + 1.0, (id % 2) as usize));
    }
    record
}

fn query(id: u64, at: Millis, group: usize) -> Query {
    Query {
        id,
        customer: 0,
        group,
        limiter: 0,
        units: 1.0,
        sent_at: at,
        deadline: at + 1000.0,
        ended_at: at + 5.0,
        outcome: QueryOutcome::Answered,
    }
}

fn forward(id: u64, at: Millis, server: usize) -> Forward {
    Forward {
        id,
        server,
        first_byte_at: at,
        last_byte_at: at,
        outcome: ForwardOutcome::Ran,
        has_two_lengths: false,
    }
}

/// Returns the numbers of the broken rules, without consecutive duplicates.
fn broken_rules(record: &Record) -> Vec<u8> {
    let mut rules: Vec<u8> = check(record).breaches.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

fn first_of(record: &Record, group: usize) -> usize {
    record
        .queries
        .iter()
        .position(|q| q.group == group)
        .unwrap()
}

#[test]
fn valid_record_has_no_breach_and_correct_measurements() {
    let record = valid_record();
    let Verdict {
        breaches,
        total_use: total,
        forwards_per_query,
        ..
    } = check(&record);
    assert_eq!(breaches, vec![]);
    assert_eq!(
        (
            total.granted,
            total.granted_within_quota,
            total.refused_within_quota()
        ),
        (100.0, 100.0, 0.0)
    );
    // 100 units of a quota with a burst of 5 and 20 per second for 10 s; never two at once.
    assert!((total.quota_utilization - 100.0 / 205.0).abs() < 1e-9);
    assert!((total.peak_burst_ratio - 0.2).abs() < 1e-9);
    assert_eq!(forwards_per_query, 1.0);
}

#[test]
fn rule_1_each_query_gets_its_own_response_in_time() {
    for outcome in [
        QueryOutcome::Lost,
        QueryOutcome::Silent,
        QueryOutcome::Foreign,
    ] {
        let mut record = valid_record();
        record.queries[7].outcome = outcome;
        assert_eq!(broken_rules(&record), [1], "{outcome:?}");
    }
    let mut record = valid_record();
    record.queries[7].ended_at = record.queries[7].deadline + 501.0;
    assert_eq!(broken_rules(&record), [1]);
}

#[test]
fn rule_1_exempts_a_limiter_that_could_not_answer() {
    let mut record = valid_record();
    (record.queries[7].outcome, record.queries[9].outcome) =
        (QueryOutcome::Lost, QueryOutcome::Lost);
    let at = record.queries[7].sent_at;
    record.exempt_periods.push(ExemptPeriod {
        limiter: 0,
        server: None,
        from: at + 2.0,
        to: at + 100.0,
    });
    let found = check(&record).breaches;
    assert_eq!(
        found.len(),
        1,
        "only the query of the killed limiter is exempt: {found:?}"
    );
    // A response that belongs to another query is never exempt.
    record.queries[7].outcome = QueryOutcome::Foreign;
    assert_eq!(check(&record).breaches.len(), 2);
}

#[test]
fn rule_2_nothing_runs_twice() {
    for (group, rules) in [(REPEATABLE, vec![]), (KEYED, vec![2]), (MUTATING, vec![2])] {
        let mut record = valid_record();
        let n = first_of(&record, group);
        let twice = forward(record.queries[n].id, record.queries[n].sent_at + 3.0, 1);
        record.forwards.push(twice);
        assert_eq!(broken_rules(&record), rules, "group {group} ran twice");
        // A query that was rejected, or dropped as a repeat, has not run.
        for outcome in [ForwardOutcome::Rejected, ForwardOutcome::Deduplicated] {
            record.forwards.last_mut().unwrap().outcome = outcome;
            assert_eq!(broken_rules(&record), [] as [u8; 0], "{outcome:?}");
        }
    }
    let mut record = valid_record();
    let n = first_of(&record, MUTATING);
    record.queries[n].outcome = QueryOutcome::Shed;
    assert_eq!(
        broken_rules(&record),
        [2],
        "shed although it had run, so that its client retries it"
    );
    let mut record = valid_record();
    record.forwards[3].has_two_lengths = true;
    assert_eq!(broken_rules(&record), [2]);
}

#[test]
fn rule_3_nothing_is_sent_to_a_draining_server() {
    let update = |record: &mut Record, limiter, at, in_service| {
        record.discovery_updates.push(DiscoveryUpdate {
            limiter,
            server: 1,
            at,
            in_service,
        })
    };
    let mut record = valid_record();
    update(&mut record, 0, 0.0, true);
    update(&mut record, 0, 5000.0, false);
    // The grace period starts at the first update, not at later lists that repeat it.
    update(&mut record, 0, 6900.0, false);
    assert_eq!(broken_rules(&record), [3]);
    let first = check(&record).breaches[0].at;
    assert!((7050.0..7400.0).contains(&first), "{first}");
    // The server is back in service, and only another limiter receives the next update.
    update(&mut record, 0, 7000.0, true);
    update(&mut record, 1, 7000.0, false);
    assert_eq!(broken_rules(&record), [] as [u8; 0]);
}

#[test]
fn rule_3_exempts_forwards_delayed_by_a_faulty_link() {
    let mut record = valid_record();
    record.discovery_updates.push(DiscoveryUpdate {
        limiter: 0,
        server: 1,
        at: 5000.0,
        in_service: false,
    });
    record.exempt_periods.push(ExemptPeriod {
        limiter: 0,
        server: Some(1),
        from: 5000.0,
        to: 9500.0,
    });
    assert_eq!(broken_rules(&record), [] as [u8; 0]);
    record.exempt_periods[0].server = Some(0);
    assert_eq!(broken_rules(&record), [3]);
}

#[test]
fn rule_4_a_server_in_slow_start_is_not_overloaded() {
    let mut record = valid_record();
    record.incarnations.push(ServerIncarnation {
        server: 1,
        from: 3000.0,
        is_cold_start: true,
        collapsed_at: None,
    });
    assert_eq!(
        broken_rules(&record),
        [] as [u8; 0],
        "five queries a second of 100 ms are a quarter of two cores"
    );
    // Starts at a fifth of the capacity: over 3 s the rule allows three times the mean of 1.0 core, 9 s of work.
    let queries: Vec<Query> = (0..95)
        .map(|n| query(1000 + n, 3000.0 + n as f64 * 10.0, REPEATABLE))
        .collect();
    for q in queries {
        record.forwards.push(Forward {
            outcome: ForwardOutcome::Rejected,
            ..forward(q.id, q.sent_at, 1)
        });
        record.queries.push(Query {
            outcome: QueryOutcome::Dropped,
            customer: 0,
            ..q
        });
    }
    let verdict = check(&record);
    assert!(
        verdict.breaches.iter().any(|b| b.rule == 4),
        "rejected queries count as sent"
    );
    assert!(
        verdict.max_slow_start_load > 1.0 && verdict.max_slow_start_load < 1.5,
        "{}",
        verdict.max_slow_start_load
    );
    let mut record = valid_record();
    record.incarnations.push(ServerIncarnation {
        server: 1,
        from: 3000.0,
        is_cold_start: true,
        collapsed_at: Some(3500.0),
    });
    assert_eq!(broken_rules(&record), [4]);
}

#[test]
fn rule_5_a_hard_limit_is_not_exceeded_in_any_window() {
    let burst = |n: u64| {
        let mut record = valid_record();
        for id in 0..n {
            record.queries.push(query(1000 + id, 5050.0, REPEATABLE));
            record.forwards.push(forward(1000 + id, 5051.0, 0));
        }
        record
    };
    // The burst of 10, a tenth more, and what the rate allows in 150 ms.
    assert_eq!(broken_rules(&burst(14)), [] as [u8; 0]);
    assert_eq!(broken_rules(&burst(18)), [5]);
    let mut record = burst(18);
    record.customers[0].limit_rate = 0.0;
    assert_eq!(
        broken_rules(&record),
        [] as [u8; 0],
        "no hard limit, no rule"
    );
}

#[test]
fn peak_shows_the_window_that_exceeds_the_burst_most() {
    // 30 units in 10 s are well within the quota of the whole period; 12 of them at once exceed the burst.
    let grants: quota::Grants = (0..30)
        .map(|n| Grant {
            at: if n < 12 { 1000.0 } else { n as f64 * 300.0 },
            units: 1.0,
        })
        .collect();
    assert_eq!(quota::peak(&grants, 0.02), 12.0);
    let even: quota::Grants = (0..30)
        .map(|n| Grant {
            at: n as f64 * 50.0,
            units: 1.0,
        })
        .collect();
    assert_eq!(quota::peak(&even, 0.02), 1.0);
}

#[test]
fn units_refused_with_room_are_those_that_one_bucket_would_have_granted() {
    let mut record = valid_record();
    for q in record.queries.iter_mut().take(40).skip(20) {
        q.outcome = QueryOutcome::Shed;
    }
    record.forwards.retain(|f| !(20..40).contains(&f.id));
    let total = check(&record).total_use;
    assert_eq!(
        (total.granted, total.refused, total.refused_within_quota()),
        (80.0, 20, 20.0)
    );
    // Of 60 simultaneous requests a bucket with a burst of 5 grants 5, so none of the 55 refused ones had tokens.
    let mut record = valid_record();
    record.queries.truncate(1);
    record.forwards.truncate(1);
    for id in 0..59 {
        let granted = id < 4;
        let outcome = if granted {
            QueryOutcome::Answered
        } else {
            QueryOutcome::Shed
        };
        record.queries.push(Query {
            outcome,
            ended_at: 20.0,
            ..query(100 + id, 2.0, REPEATABLE)
        });
        record
            .forwards
            .extend(granted.then(|| forward(100 + id, 2.0, 0)));
    }
    let total = check(&record).total_use;
    assert_eq!(
        (total.granted, total.refused, total.refused_within_quota()),
        (5.0, 55, 0.0)
    );
}

#[test]
fn recovery_is_counted_from_the_end_of_the_fault() {
    let mut record = valid_record();
    record
        .forwards
        .retain(|f| !(4000.0..6000.0).contains(&f.last_byte_at));
    record.faults.push(FaultPeriod {
        name: "t".into(),
        from: 4000.0,
        to: 5000.0,
    });
    let after = check(&record).recoveries[0].time.unwrap();
    assert!(
        (700.0..=1001.0).contains(&after),
        "use is back a second after the fault's end, not {after}"
    );
    record.forwards.retain(|f| f.last_byte_at < 4000.0);
    assert_eq!(
        check(&record).recoveries[0].time,
        None,
        "the quotas are never in use again"
    );
}
