//! Editions and verdicts: whatever a request's way depends on shows, and nothing else does.

use aspendrum_model::config::Config;
use aspendrum_model::message::{Revision, StateDigest};
use aspendrum_reconcile::*;

const TEXT: &str = r#"{"gen":"00000004","caps":{"hdr-bytes":16384,"body-bytes":1024,"hdr-ms":3000,"idle-ms":15000},
"tenants":[{"name":"ann","keys":["k1","k2"],"prio":0,"rate-s":61,"burst":61,"homes":[]},{"name":"bob","keys":["k3"]}],
"ports":[{"vhost":"a.example","rules":[
{"name":"r1","type":"idem","goal-ms":500,"prio":2,"match":{"pfx":"/read/"},"action":{"split":[{"svc":"s","wt":90},{"svc":"t","wt":10}],"limit-ms":2000,"tries":2}},
{"name":"r2","type":"mutating","goal-ms":500,"prio":1,"match":{"pfx":"/send/"},"action":{"svc":"s","limit-ms":2000,"tries":2,"homes":["x"]}}]}],
"pools":[{"name":"s","check":"/healthz","max-conns":130,"warmup-s":3.0,"warm-rate-s":7.1},{"name":"t","check":"/healthz"}]}"#;

fn of(text: &str) -> StateDigest {
    edition(
        Some(&Config::read(text.as_bytes()).unwrap()),
        3,
        &["poa-a".to_string()],
    )
}

#[test]
fn whatever_a_requests_way_depends_on_shows_in_its_section() {
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
        let differ = Section::differing(&of(TEXT), &of(&TEXT.replace(from, to)));
        assert_eq!(differ, [section], "{from} -> {to}");
    }
    let emptied = edition(Some(&Config::read(TEXT.as_bytes()).unwrap()), 3, &[]);
    assert_eq!(
        Section::differing(&of(TEXT), &emptied),
        [Section::Evacuations]
    );
}

#[test]
fn order_and_spacing_do_not_show() {
    let other = TEXT
        .replace(r#"["k1","k2"]"#, r#"[ "k2", "k1" ]"#)
        .replace("\n", " \n ");
    let swapped = other.replace(
        r#"{"name":"bob","keys":["k3"]}"#,
        r#"{"keys":["k3"],"name":"bob"}"#,
    );
    assert_eq!(of(TEXT), of(&swapped));
}

/// Danger: a table that changed under its proxy (a bug, a torn push) goes unnoticed as long as the text is right.
#[test]
fn a_table_that_changed_under_its_proxy_shows() {
    let mut config = Config::read(TEXT.as_bytes()).unwrap();
    config.routes[1].services[0].service = "t".into();
    let corrupt = edition(Some(&config), 3, &["poa-a".to_string()]);
    assert_eq!(Section::differing(&of(TEXT), &corrupt), [Section::Routes]);
}

const BOUNDS: Bounds = Bounds {
    lasts: 2000.0,
    stretched: 10_000.0,
};

fn at(config: u32, digest: u64) -> StateDigest {
    StateDigest {
        revision: Revision {
            config,
            evacuation: 1,
        },
        digests: [digest, 0, 0, 0],
    }
}

fn word(config: u32, digest: u64, as_of: f64) -> Word {
    Word {
        decided: at(config, digest),
        as_of,
    }
}

#[test]
fn a_verdict_follows_the_word_and_ends_by_itself() {
    let of = |applied: StateDigest, word: Option<Word>| {
        Verdict::of(&applied, word.as_ref(), false, &BOUNDS)
    };
    let current = of(at(4, 9), Some(word(4, 9, 1000.0)));
    assert_eq!(
        [current.at(1000.0), current.at(2999.0)],
        [Standing::Current; 2]
    );
    assert_eq!(current.at(3000.0), Standing::Alone, "nobody had to tell it");
    assert_eq!(
        of(at(4, 9), Some(word(7, 9, 1000.0))).at(1500.0),
        Standing::Behind
    );
    assert_eq!(
        of(at(4, 8), Some(word(4, 9, 1000.0))).at(1500.0),
        Standing::Differs
    );
    // The word is older than what was applied since: what is told is decided.
    assert_eq!(
        of(at(7, 8), Some(word(4, 9, 1000.0))).at(1500.0),
        Standing::Current
    );
    let emptied = StateDigest {
        revision: Revision {
            config: 4,
            evacuation: 2,
        },
        digests: [9, 0, 0, 5],
    };
    let decided = Word {
        decided: emptied,
        as_of: 1000.0,
    };
    assert_eq!(of(at(4, 9), Some(decided)).at(1500.0), Standing::Behind);
    assert_eq!(of(at(4, 9), None).at(0.0), Standing::Alone);
}

#[test]
fn once_only_requests_run_under_current_alone() {
    for (standing, runs) in [
        (Standing::Current, true),
        (Standing::Behind, false),
        (Standing::Differs, false),
        (Standing::Alone, false),
    ] {
        assert_eq!(
            Verdict {
                standing,
                until: 10.0
            }
            .runs_once_only(5.0),
            runs
        );
        assert!(!Verdict {
            standing,
            until: 10.0
        }
        .runs_once_only(10.0));
    }
}

/// A deserted fleet goes on for the stretch that the terms give, and no longer.
#[test]
fn a_fleet_without_control_goes_on_for_the_stretch() {
    let bounds = Bounds::of(3000.0, 8000.0);
    let word = word(4, 9, 0.0);
    let held = Verdict::of(&at(4, 9), Some(&word), false, &bounds);
    let stretched = Verdict::of(&at(4, 9), Some(&word), true, &bounds);
    assert!(held.until < 3000.0 && stretched.until < 11_000.0);
    assert!(!held.runs_once_only(3000.0) && stretched.runs_once_only(3000.0));
    assert!(!stretched.runs_once_only(11_000.0));
}

/// Danger: a node stays as it is until somebody wakes up; or it is told the same again for ever.
#[test]
fn repair_goes_on_step_by_step_and_tells_once() {
    let mut mending = Mending::default();
    let differing = [Section::Routes];
    let mut steps = Vec::new();
    for n in 0..60 {
        steps.extend(mending.look(f64::from(n) * 100.0, Standing::Differs, &differing));
    }
    let [first, second, third, rest @ ..] = &steps[..] else {
        panic!("{steps:?}")
    };
    assert_eq!(
        [first, second, third],
        [
            &Step::Sections(differing.to_vec()),
            &Step::Snapshot,
            &Step::Anew
        ]
    );
    assert_eq!(
        rest.iter().filter(|s| **s == Step::Tell).count(),
        1,
        "{steps:?}"
    );
    assert!(rest.len() < 10, "bounded: {steps:?}");
    // News that are on their way are no difference, and whoever is alone has nobody to be told by.
    let mut mending = Mending::default();
    for n in 0..50 {
        let standing = if n % 5 == 4 {
            Standing::Current
        } else {
            Standing::Behind
        };
        assert_eq!(mending.look(f64::from(n) * 100.0, standing, &[]), None);
        assert_eq!(
            Mending::default().look(f64::from(n) * 100.0, Standing::Alone, &differing),
            None
        );
    }
    assert_eq!(mending.repairs, 0);
    mending.look(6000.0, Standing::Behind, &differing);
    assert_eq!(
        mending.look(6700.0, Standing::Behind, &differing),
        Some(Step::Sections(differing.to_vec()))
    );
    mending.look(6800.0, Standing::Current, &[]);
    assert_eq!(
        (mending.repairs, mending.mended, mending.since()),
        (1, Some(6800.0), None)
    );
}
