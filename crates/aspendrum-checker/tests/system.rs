//! The judge of the whole system: each rule is found broken where it is, and nowhere else.

mod common;

use aspendrum_checker::orders::Evacuation;
use aspendrum_checker::system::*;

const BOUNDS: Bounds = Bounds {
    revoke: Some(5000.0),
    ..common::BOUNDS
};

fn version(number: u32, sent: f64, acked: Option<f64>, service: &str, keys: bool) -> Version {
    Version {
        number,
        sent,
        acked,
        text: format!("{number}").into(),
        routes: vec![("quotes".into(), false), (service.into(), true)],
        tenants: vec![("ann".into(), keys)],
    }
}

fn one(id: u64, sent: f64, end: End) -> Try {
    Try {
        id,
        wish: id,
        route: 1,
        tenant: 0,
        front: 0,
        sent,
        ended: sent + 50.0,
        end,
    }
}

fn ran(id: u64, at: f64, service: &str) -> Run {
    let (uid, zone, tenant) = ("i-1".into(), "zone-0".into(), Some("ann".into()));
    Run {
        id,
        uid,
        service: service.into(),
        zone,
        tenant,
        arrived: at,
        at,
        ended: at + 25.0,
        whole: at + 25.0,
        drops: true,
    }
}

/// A route moves at 1 s, acknowledged at 1.1 s; a query before and one long after, each where it belongs.
fn sound() -> Record {
    Record {
        from: 0.0,
        to: 20_000.0,
        bounds: BOUNDS,
        tries: vec![one(1, 500.0, End::Answered), one(2, 9000.0, End::Answered)],
        runs: vec![ran(1, 510.0, "payouts"), ran(2, 9010.0, "ledger")],
        versions: vec![
            version(1, 0.0, Some(10.0), "payouts", true),
            version(4, 1000.0, Some(1100.0), "ledger", true),
        ],
        evacuations: Vec::new(),
        calls: Vec::new(),
        troubles: Vec::new(),
        read_back: Some(4),
    }
}

fn rules(record: &Record) -> Vec<&'static str> {
    judge(record).breaches.iter().map(|b| b.rule).collect()
}

#[test]
fn a_sound_run_breaks_nothing() {
    let verdict = judge(&sound());
    assert!(verdict.breaches.is_empty(), "{:?}", verdict.breaches);
    assert_eq!(
        (verdict.wishes, verdict.served, verdict.once),
        (2, 2, (2, 2))
    );
}

#[test]
fn each_broken_rule_is_named() {
    type Harm = fn(&mut Record);
    let harms: [(&str, Harm); 12] = [
        ("TWICE", |r| r.runs.push(ran(1, 520.0, "payouts"))),
        ("REFUSED", |r| r.tries[0].end = End::Promise(503)),
        ("MIXED", |r| r.tries[0].end = End::Foreign),
        ("UNASKED", |r| r.runs.push(ran(9, 600.0, "payouts"))),
        ("UNASKED", |r| r.runs[0].tenant = Some("bob".into())),
        ("ROUTE", |r| r.runs[0].service = "ledger".into()),
        ("CONFIG", |r| r.runs[1].service = "payouts".into()),
        ("CONFIG", |r| {
            r.versions
                .push(version(7, 1500.0, Some(1600.0), "ledger", false));
            r.read_back = Some(7);
        }),
        ("CONFIG", |r| r.read_back = Some(1)),
        ("EVAC", |r| {
            let (zone, acked) = ("zone-0".into(), Some(3000.0));
            r.evacuations.push(Evacuation {
                zone,
                on: true,
                sent: 2990.0,
                acked,
                ended: 3000.0,
            });
        }),
        ("LOST", |r| r.tries[0].end = End::Lost),
        ("QUOTA", |r| {
            r.bounds.quota = (1.0, 1.0);
            for id in 10..20 {
                r.tries.push(one(id, 9000.0, End::Answered));
                r.runs.push(ran(id, 9020.0, "ledger"));
            }
        }),
    ];
    for (rule, harm) in harms {
        let mut record = sound();
        harm(&mut record);
        let found = rules(&record);
        assert!(
            found.contains(&rule) && found.iter().all(|f| *f == rule),
            "{rule}: {found:?}"
        );
    }
}

/// A machine out of touch is bound by no time, but by what was taken away; a crossing change allows both.
#[test]
fn what_is_out_of_touch_or_crosses_a_change_is_not_blamed() {
    let mut record = sound();
    record.runs[1].service = "payouts".into();
    record.troubles.push(Trouble {
        front: Some(0),
        from: 2000.0,
        to: 8000.0,
    });
    assert_eq!(rules(&record), ["CONFIG"], "once-only: in touch or not");
    record.troubles[0].front = None;
    assert!(rules(&record).is_empty());
    for v in &mut record.versions {
        v.routes[1].1 = false;
    }
    record.troubles[0].front = Some(0);
    assert!(rules(&record).is_empty());
    record.troubles[0].front = Some(1);
    assert_eq!(rules(&record), ["CONFIG"]);
    // A key that was taken away binds all the same.
    let mut record = sound();
    record
        .versions
        .push(version(7, 1500.0, Some(1600.0), "ledger", false));
    record.read_back = Some(7);
    record.troubles.push(Trouble {
        front: None,
        from: 0.0,
        to: 20_000.0,
    });
    assert_eq!(rules(&record), ["CONFIG"]);
    assert_eq!(judge(&record).wishes, 1, "nothing is owed without a key");
    // Within `apply` of its acknowledgement the older version may still be in force.
    let mut record = sound();
    (record.tries[1].sent, record.runs[1].at) = (4000.0, 4010.0);
    record.runs[1].service = "payouts".into();
    assert!(rules(&record).is_empty());
}
