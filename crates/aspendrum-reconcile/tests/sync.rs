//! Digests, assessments and repair: the digests cover everything that affects routing and nothing else, and a diverged
//! node is repaired in escalating steps.

use aspendrum_model::config::Config;
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::{
    state_digest, MajorityReport, Millis, Repair, RepairStep, ReportValidity, Section,
    SyncAssessment, SyncStatus,
};

const TEXT: &str = r#"{"gen":"00000004","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000},
"tenants":[{"name":"ann","keys":["k1","k2"],"prio":0,"rate-s":61,"burst":61,"homes":[]},{"name":"bob","keys":["k3"]}],
"ports":[{"vhost":"a.example","rules":[
{"name":"r1","type":"idem","goal-ms":500,"prio":2,"match":{"pfx":"/read/"},"action":{"split":[{"svc":"s","wt":90},{"svc":"t","wt":10}],"limit-ms":2000,"tries":2}},
{"name":"r2","type":"mutating","goal-ms":500,"prio":1,"match":{"pfx":"/send/"},"action":{"svc":"s","limit-ms":2000,"tries":2,"homes":["x"]}}]}],
"pools":[{"name":"s","check":"/healthz","max-conns":130,"warmup-s":3.0,"warm-rate-s":7.1},{"name":"t","check":"/healthz"}]}"#;

const EVACUATION: u64 = 3;

fn digest_of(text: &str) -> StateDigest {
    let config = Config::read(text.as_bytes()).unwrap();
    state_digest(Some(&config), EVACUATION, &["poa-a".to_string()])
}

#[test]
fn each_routing_change_affects_the_digest_of_its_section() {
    let changes = [
        ("a.example", "b.example", Section::Routes),
        ("/send/", "/sent/", Section::Routes),
        (r#""mutating""#, r#""idem""#, Section::Routes),
        (r#""wt":90"#, r#""wt":80"#, Section::Routes),
        (
            r#"{"svc":"s","limit-ms":2000"#,
            r#"{"svc":"t","limit-ms":2000"#,
            Section::Routes,
        ),
        (r#""homes":["x"]"#, r#""homes":["y"]"#, Section::Routes),
        (
            r#""limit-ms":2000,"tries":2,"homes""#,
            r#""limit-ms":1500,"tries":2,"homes""#,
            Section::Routes,
        ),
        (
            r#""warm-rate-s":7.1"#,
            r#""warm-rate-s":7.2"#,
            Section::Services,
        ),
        (r#"["k1","k2"]"#, r#"["k1"]"#, Section::Tenants),
        (r#"["k1","k2"]"#, r#"["k1","k2x"]"#, Section::Tenants),
        (r#""rate-s":61"#, r#""rate-s":60"#, Section::Tenants),
    ];
    for (from, to, section) in changes {
        assert!(TEXT.contains(from), "{from}");
        let differing = Section::differing(&digest_of(TEXT), &digest_of(&TEXT.replace(from, to)));
        assert_eq!(differing, [section], "{from} -> {to}");
    }
    let config = Config::read(TEXT.as_bytes()).unwrap();
    let nothing_evacuated = state_digest(Some(&config), EVACUATION, &[]);
    assert_eq!(
        Section::differing(&digest_of(TEXT), &nothing_evacuated),
        [Section::Evacuations]
    );
}

#[test]
fn order_and_spacing_do_not_affect_the_digests() {
    let spaced = TEXT
        .replace(r#"["k1","k2"]"#, r#"[ "k2", "k1" ]"#)
        .replace("\n", " \n ");
    let reordered = spaced.replace(
        r#"{"name":"bob","keys":["k3"]}"#,
        r#"{"keys":["k3"],"name":"bob"}"#,
    );
    assert_eq!(digest_of(TEXT), digest_of(&reordered));
}

/// Guards against undetected changes of a proxy's table without an update, for example by a bug, while the received
/// configuration text is correct.
#[test]
fn a_table_change_without_an_update_affects_the_digests() {
    let mut config = Config::read(TEXT.as_bytes()).unwrap();
    config.routes[1].services[0].service = "t".into();
    let corrupt = state_digest(Some(&config), EVACUATION, &["poa-a".to_string()]);
    assert_eq!(
        Section::differing(&digest_of(TEXT), &corrupt),
        [Section::Routes]
    );
}

const VALIDITY: ReportValidity = ReportValidity {
    normal: 2000.0,
    extended: 10_000.0,
};

fn digest_at(config: u32, routes: u64) -> StateDigest {
    StateDigest {
        revision: Revision {
            config: Some(config),
            evacuation: 1,
        },
        digests: [routes, 0, 0, 0],
    }
}

fn report(config: u32, routes: u64, as_of: Millis) -> MajorityReport {
    MajorityReport {
        decided: digest_at(config, routes),
        as_of,
    }
}

#[test]
fn an_assessment_follows_the_report_and_expires() {
    let assess = |applied: StateDigest, report: Option<MajorityReport>| {
        SyncAssessment::new(&applied, report.as_ref(), false, &VALIDITY)
    };
    let status = |applied, report| assess(applied, Some(report)).status_at(1500.0);
    let current = assess(digest_at(4, 9), Some(report(4, 9, 1000.0)));
    assert_eq!(
        [current.status_at(1000.0), current.status_at(2999.0)],
        [SyncStatus::Current; 2]
    );
    assert_eq!(
        current.status_at(3000.0),
        SyncStatus::Isolated,
        "expires without a message"
    );
    assert_eq!(
        status(digest_at(4, 9), report(7, 9, 1000.0)),
        SyncStatus::Behind
    );
    assert_eq!(
        status(digest_at(4, 8), report(4, 9, 1000.0)),
        SyncStatus::Diverged
    );
    // A node that has applied a newer state than its report is current, because only decided state is sent to nodes.
    assert_eq!(
        status(digest_at(7, 8), report(4, 9, 1000.0)),
        SyncStatus::Current
    );
    let evacuated = StateDigest {
        revision: Revision {
            config: Some(4),
            evacuation: 2,
        },
        digests: [9, 0, 0, 5],
    };
    let decided = MajorityReport {
        decided: evacuated,
        as_of: 1000.0,
    };
    assert_eq!(status(digest_at(4, 9), decided), SyncStatus::Behind);
    assert_eq!(
        assess(digest_at(4, 9), None).status_at(0.0),
        SyncStatus::Isolated
    );
}

/// Guards against a node without a configuration that counts as current, or as diverged, once version 0 is decided.
#[test]
fn a_node_without_a_configuration_is_behind_the_lowest_version() {
    let none = StateDigest::default();
    let lowest = digest_at(0, 9);
    let report = |decided| MajorityReport {
        decided,
        as_of: 1000.0,
    };
    let status = |applied, decided| {
        SyncAssessment::new(&applied, Some(&report(decided)), false, &VALIDITY).status
    };
    assert_eq!(status(none, lowest), SyncStatus::Behind);
    assert_eq!(status(lowest, none), SyncStatus::Current);
    assert_eq!(status(lowest, lowest), SyncStatus::Current);
    assert_eq!(status(lowest, digest_at(1, 9)), SyncStatus::Behind);
    assert_eq!(status(digest_at(u32::MAX, 9), lowest), SyncStatus::Current);
}

#[test]
fn non_idempotent_requests_run_only_on_a_current_node() {
    for (status, is_allowed) in [
        (SyncStatus::Current, true),
        (SyncStatus::Behind, false),
        (SyncStatus::Diverged, false),
        (SyncStatus::Isolated, false),
    ] {
        let assessment = SyncAssessment {
            status,
            valid_until: 10.0,
        };
        assert_eq!(assessment.allows_non_idempotent(5.0), is_allowed);
        assert!(!assessment.allows_non_idempotent(10.0));
    }
}

/// While most of the fleet has no connection to control, reports are valid for an additional `stretch-ms`.
#[test]
fn a_fleet_without_control_continues_for_the_extended_time() {
    let validity = ReportValidity::from_limits(3000.0, 8000.0);
    let report = report(4, 9, 0.0);
    let normal = SyncAssessment::new(&digest_at(4, 9), Some(&report), false, &validity);
    let extended = SyncAssessment::new(&digest_at(4, 9), Some(&report), true, &validity);
    assert!(normal.valid_until < 3000.0 && extended.valid_until < 11_000.0);
    assert!(!normal.allows_non_idempotent(3000.0) && extended.allows_non_idempotent(3000.0));
    assert!(!extended.allows_non_idempotent(11_000.0));
}

/// Guards against a diverged node that is not repaired, or to which the same state is resent indefinitely.
#[test]
fn repair_escalates_and_alerts_once() {
    let mut repair = Repair::default();
    let differing = [Section::Routes];
    let mut steps = Vec::new();
    for tick in 0..60 {
        steps.extend(repair.next_step(f64::from(tick) * 100.0, SyncStatus::Diverged, &differing));
    }
    let [first, second, third, rest @ ..] = &steps[..] else {
        panic!("{steps:?}")
    };
    assert_eq!(first, &RepairStep::ResendSections(differing.to_vec()));
    assert_eq!(
        [second, third],
        [&RepairStep::SendSnapshot, &RepairStep::Resync]
    );
    assert_eq!(
        rest.iter()
            .filter(|step| **step == RepairStep::Alert)
            .count(),
        1,
        "{steps:?}"
    );
    assert!(rest.len() < 10, "the number of steps is bounded: {steps:?}");
}

#[test]
fn updates_in_flight_and_isolated_nodes_are_not_repaired() {
    let mut repair = Repair::default();
    let differing = [Section::Routes];
    for tick in 0..50 {
        let now = f64::from(tick) * 100.0;
        let status = if tick % 5 == 4 {
            SyncStatus::Current
        } else {
            SyncStatus::Behind
        };
        assert_eq!(repair.next_step(now, status, &[]), None);
        assert_eq!(
            Repair::default().next_step(now, SyncStatus::Isolated, &differing),
            None
        );
    }
    assert_eq!(repair.ended, 0);
    repair.next_step(6000.0, SyncStatus::Behind, &differing);
    let step = repair.next_step(6700.0, SyncStatus::Behind, &differing);
    assert_eq!(step, Some(RepairStep::ResendSections(differing.to_vec())));
    repair.next_step(6800.0, SyncStatus::Current, &[]);
    assert_eq!((repair.ended, repair.last_ended), (1, Some(6800.0)));
    assert_eq!(repair.out_of_sync_since(), None);
}
