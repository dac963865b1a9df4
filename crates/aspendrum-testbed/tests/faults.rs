//! Fleets of real processes with faults between them. Figures that today's program keeps stand as bounds with
//! the issue that is to tighten them; what a bound allows beyond the figure is its scatter over seeds.

use aspendrum_checker::limiter::{QueryOutcome, Recovery};
use aspendrum_testbed::library;
use aspendrum_testbed::program::{ConfigSource, Program};
use aspendrum_testbed::run::{self, Outcome};
use aspendrum_testbed::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Two fleets at a time: more would wait for each other's processors.
static LANES: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

/// The limiter as this checkout has it, built once.
fn limiter() -> Program {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    let program = PROGRAM.get_or_init(|| {
        let rig = PathBuf::from(env!("CARGO_BIN_EXE_aspendrum-testbed"));
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args([
            "build",
            "--locked",
            "--package",
            "aspendrum",
            "--bin",
            "aspendrum",
        ]);
        if rig.parent().unwrap().ends_with("release") {
            cargo.arg("--release");
        }
        let built = cargo
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stderr(Stdio::null())
            .status()
            .unwrap();
        assert!(built.success());
        rig.with_file_name("aspendrum")
    });
    Program::limiter(Some(program.clone())).unwrap()
}

fn play_with(s: &Scenario, start: &Program) -> Outcome {
    let lane = LANES.iter().find_map(|l| l.try_lock().ok());
    let _lane = lane.unwrap_or_else(|| LANES[0].lock().unwrap_or_else(|p| p.into_inner()));
    let folder = tempfile::tempdir().unwrap();
    run::play(s, start, folder.path(), &|_| {}).unwrap()
}

fn play(text: &str) -> Outcome {
    let s = Scenario::read(text).unwrap();
    let o = play_with(&s, &limiter());
    let broken = o.broken(&s);
    assert!(
        broken.is_empty(),
        "{}\n{}",
        broken.join("\n"),
        aspendrum_testbed::report::table(&s, &o)
    );
    // Whatever the faults did, the fleet was at work.
    assert!(o.verdict.count(QueryOutcome::Answered) >= 5);
    o
}

/// One customer (burst 6, 2 units a second) that asks for twenty times its quota, through all of `limiters`.
fn one_customer(limiters: usize, seconds: f64, faults: &str, bounds: &str) -> String {
    format!(
        "name = 't'\nabout = 't'\nseconds = {seconds}\nlimiters = {{ count = {limiters} }}\n\
         servers = {{ count = 4, ramp_s = 2.0 }}\nplans = [{{ name = 'team', rate = 2.0, burst = 6.0 }}]\n\
         customers = [{{ plan = 'team', queries_per_s = 40.0 }}]\n{faults}\n[bounds]\n{bounds}\n"
    )
}

const SILENT: &str = "[[faults]]\nat_s = 0.0\nkind = 'counter'\nsilent = true\n";

/// Each side's keeper went by the whole quota: 2.1 to 2.5 of it. From the fleet's start on purses hold what the
/// rate has brought, and no more (docs/shared-state.md).
#[test]
fn halves_that_do_not_hear_each_other_stay_within_the_quota() {
    let faults = format!(
        "{SILENT}[[faults]]\nat_s = 0.0\nkind = 'link'\npath = 'limiters'\nof = '0%-50%'\nto = '50%-100%'\ncut = true\n"
    );
    let o = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    assert!(o.traffic.datagrams.lost > 0, "nothing was cut");
}

/// A tenth asks its keeper and is not heard; what it hears it answers, and what it is given it keeps.
#[test]
fn a_tenth_that_is_not_heard_stays_within_the_quota_with_the_rest() {
    let faults = format!(
        "{SILENT}[[faults]]\nat_s = 0.0\nkind = 'link'\npath = 'limiters'\nof = '0%-10%'\nto = '10%-100%'\nway = 'there'\n\
         cut = true\n"
    );
    let o = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    assert!(o.traffic.datagrams.lost > 0, "nothing was cut");
}

/// Stalled limiters answer late what they held, nobody answers for them twice, and each spends only what it holds
/// when it goes on.
#[test]
fn a_quarter_stopped_for_three_seconds_goes_on_within_the_quota() {
    let faults =
        format!("{SILENT}[[faults]]\nat_s = 3.0\nfor_s = 3.0\nkind = 'stall'\nof = '0%-25%'\n");
    play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
}

/// Halves that change every 2 s, so that each limiter hears each other one in turn.
#[test]
fn halves_that_change_every_two_seconds_stay_within_the_quota() {
    let cut = |at: f64, of: &str, to: &str| {
        format!(
            "[[faults]]\nat_s = {at}\nfor_s = 2.0\nevery_s = 6.0\nkind = 'link'\npath = 'limiters'\ncut = true\n\
             of = '{of}'\nto = '{to}'\n"
        )
    };
    let faults = [
        SILENT.to_string(),
        cut(0.0, "0%-50%", "50%-100%"),
        cut(2.0, "25%-75%", "0%-25%,75%-100%"),
        cut(4.0, "0%-25%,50%-75%", "25%-50%,75%-100%"),
    ];
    play(&one_customer(
        20,
        12.0,
        &faults.concat(),
        "over_quota = 1.0\nunder_quota = 0.4",
    ));
}

/// Healed links: what the fleet grants is back at 0.9 of what it granted whole, within a burst's refill or two.
#[test]
fn a_healed_fleet_is_in_use_again() {
    let faults = format!(
        "{SILENT}[[faults]]\nat_s = 5.0\nfor_s = 4.0\nkind = 'link'\npath = 'limiters'\nof = '0%-25%'\n\
         to = '25%-100%'\ncut = true\n"
    );
    play(&one_customer(
        20,
        18.0,
        &faults,
        "over_quota = 1.0\nrecovery_s = 6.0",
    ));
}

/// What an emptied counter forgot is granted again: a quota at once each time, beside what was granted
/// before.
#[test]
fn an_emptied_counter_costs_a_burst_each_time() {
    let faults = "[[faults]]\nat_s = 3.0\nevery_s = 3.0\nkind = 'counter'\nemptied = true\n";
    let o = play(&one_customer(
        20,
        10.0,
        faults,
        "over_quota = 1.7\nunder_quota = 0.7",
    ));
    assert!(o.traffic.counter.calls > 0, "the counter decided nothing");
}

/// Limiters that start again while discovery says nothing go by the list they held; a server that is gone
/// costs tries, never an answer.
#[test]
fn a_restart_without_discovery_serves_from_the_list_held_before() {
    let faults = "[[faults]]\nat_s = 1.0\nfor_s = 8.0\nkind = 'discovery'\nsilent = true\n\
                  [[faults]]\nat_s = 2.0\nfor_s = 0.2\nkind = 'kill'\nof = '0%-50%'\n\
                  [[faults]]\nat_s = 3.0\nfor_s = 3.0\nkind = 'server'\nof = '0'\ngone = true\n";
    let o = play(&one_customer(
        8,
        9.0,
        faults,
        "over_quota = 2.0\nunder_quota = 0.7\nforwards_per_query = 1.5",
    ));
    assert!(
        o.record
            .exempt_periods
            .iter()
            .filter(|e| e.to.is_finite())
            .count()
            >= 4,
        "four limiters were back"
    );
}

/// A power loss: all limiters start again from nothing, and a start hands nothing out. Issues 29 and 30 are to have
/// them trust what they knew.
#[test]
fn a_fleet_killed_at_once_is_back_within_the_quota() {
    let faults =
        format!("{SILENT}[[faults]]\nat_s = 4.0\nfor_s = 0.3\nkind = 'kill'\nof = 'all'\n");
    let o = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    let Recovery {
        fault: trouble,
        time: after,
    } = &o.verdict.recoveries[0];
    assert!(
        after.is_some(),
        "in use again before the end, {:.1} s after {}",
        6.0,
        trouble.name
    );
}

/// Keyed and mutating queries through servers that reset connections in mid-answer, and links that lose,
/// delay, reorder and repeat: one answer each, nothing runs twice.
#[test]
fn nothing_runs_twice_over_bad_links_and_resetting_servers() {
    let text = "
name = 't'
about = 't'
seconds = 8.0
limiters = { count = 5 }
servers = { count = 4, ramp_s = 2.0 }
groups = [
    { name = 'look', repeats = 'repeatable', work_ms = 5.0, slo_s = 0.4, limit_s = 1.5 },
    { name = 'book', repeats = 'keyed', work_ms = 5.0, slo_s = 0.4, limit_s = 1.5 },
    { name = 'pay', repeats = 'mutating', work_ms = 5.0, slo_s = 0.4, limit_s = 1.5 },
]
plans = [{ name = 'large', rate = 60.0, burst = 60.0, ceiling_rate = 90.0, ceiling_burst = 90.0 }]
customers = [{ count = 3, plan = 'large', queries_per_s = 25.0 }]

[[faults]]
at_s = 1.0
for_s = 5.0
kind = 'server'
of = '0-1'
resetting = 0.3
failing = 0.2

[[faults]]
at_s = 2.0
for_s = 4.0
kind = 'link'
path = 'servers'
of = 'all'
delay_ms = 5.0
jitter_ms = 20.0

[[faults]]
at_s = 3.0
every_s = 1.0
kind = 'link'
path = 'servers'
of = '0-2'
to = '3'
reset = true

[[faults]]
at_s = 2.0
for_s = 4.0
kind = 'link'
path = 'limiters'
of = 'all'
to = 'all'
lose = 0.2
twice = 0.2
reorder = 0.2
";
    let o = play(text);
    assert!(
        o.verdict.forwards_per_query > 1.01,
        "something was sent on again: {}",
        o.verdict.forwards_per_query
    );
    assert!(
        o.verdict.count(QueryOutcome::Dropped) > 0,
        "mutating queries whose connection was reset are not sent again"
    );
}

/// The judge finds what it is there for, on real processes: a fleet that lets all in passes quota and
/// ceiling.
#[test]
fn a_fleet_that_lets_all_in_is_caught() {
    let text = one_customer(5, 4.0, "", "over_quota = 3.0\npeak_over_burst = 3.0");
    let text = text.replace(
        "burst = 6.0 }",
        "burst = 6.0, ceiling_rate = 3.0, ceiling_burst = 9.0 }",
    );
    let s = Scenario::read(&text).unwrap();
    let o = play_with(
        &s,
        &Program::pass_through(env!("CARGO_BIN_EXE_aspendrum-testbed").into()),
    );
    let broken = o.broken(&s).join("\n");
    for what in [
        "rule 5",
        "granted over quota",
        "the worst window over burst",
    ] {
        assert!(broken.contains(what), "{what} is not in:\n{broken}");
    }
    assert!(o.failures.is_empty(), "{:?}", o.failures);
}

/// A limiter that ends unasked is a failed run, and so is one that does not start.
#[test]
fn a_limiter_that_ends_unasked_fails_the_run() {
    let s = Scenario::read(&one_customer(2, 3.0, "", "")).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let nobody = Program {
        executable: "/bin/false".into(),
        arguments: vec![],
        config_source: ConfigSource::Argument,
    };
    let error = run::play(&s, &nobody, folder.path(), &|_| {}).err();
    let text = error.unwrap().to_string();
    assert!(text.contains("ended at its start"), "{text}");
    // Ends by itself a second after its start, whatever it is asked.
    let serve = limiter();
    let script = format!(
        "exec timeout -s KILL 1.5 {} serve \"$@\"",
        serve.executable.display()
    );
    let short = Program {
        executable: "/bin/sh".into(),
        arguments: vec!["-c".into(), script, "x".into()],
        config_source: ConfigSource::Argument,
    };
    let o = run::play(&s, &short, folder.path(), &|_| {}).unwrap();
    assert!(
        o.failures
            .iter()
            .any(|f| f.to_string().contains("ended unasked")),
        "{:?}",
        o.failures
    );
}

/// Whatever the rig started ends with it, even when it is killed and can do nothing more.
#[test]
fn a_killed_rig_leaves_no_limiter_behind() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("t.toml");
    std::fs::write(&file, one_customer(3, 60.0, "", "")).unwrap();
    let mut rig = Command::new(env!("CARGO_BIN_EXE_aspendrum-testbed"))
        .args([
            "--limiter".as_ref(),
            limiter().executable.as_os_str(),
            "run".as_ref(),
            file.as_os_str(),
        ])
        .args(["--out".as_ref(), folder.path().as_os_str()])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait(|| of_folder(folder.path()) == 3, "three limiters run");
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait(|| of_folder(folder.path()) == 0, "none runs");
}

/// Limiters whose configuration stands in that folder.
fn of_folder(folder: &Path) -> usize {
    let folder = format!("--config\0{}/", folder.display());
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = processes.filter_map(|p| std::fs::read_to_string(p.path().join("cmdline")).ok());
    lines.filter(|line| line.contains(&folder)).count()
}

fn wait(what: impl Fn() -> bool, name: &str) {
    let begun = Instant::now();
    while !what() {
        assert!(
            begun.elapsed() < Duration::from_secs(30),
            "{name}: not so after 30 s"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn every_scenario_of_the_library_is_well_formed_at_every_size() {
    for (name, text) in library::ALL {
        assert_eq!(Scenario::read(text).unwrap().name, *name);
        for count in ["5", "20", "40"] {
            Scenario::with_value(text, "limiters.count", count).unwrap();
        }
    }
    Scenario::read(library::DEMO).unwrap();
}

#[test]
fn a_faulty_key_is_named_with_its_place() {
    let cases = [
        ("seconds = 9.0", "seconds = -1.0", "seconds"),
        ("seconds = 9.0", "secs = 9.0", "secs"),
        ("count = 4", "count = 0", "limiters.count"),
        ("plan = 'team'", "plan = 'tem'", "customers.0.plan"),
        ("silent = true", "silnt = true", "silnt"),
        ("kind = 'counter'", "kind = 'counters'", "counters"),
        ("burst = 6.0", "burst = -6.0", "plans.0.burst"),
        (
            "[bounds]",
            "[[faults]]\nat_s = 1.0\nkind = 'kill'\nof = 'zone 7'\n[bounds]",
            "faults.1.of",
        ),
        (
            "[bounds]",
            "[[faults]]\nat_s = 1.0\nkind = 'kill'\nof = 'sundry'\n[bounds]",
            "sundry",
        ),
        ("[bounds]", "[bounds]\nover = 1.0", "over"),
    ];
    let sound = one_customer(4, 9.0, SILENT, "")
        .replace("seconds = 9", "seconds = 9.0")
        .replace("9.0.0", "9.0");
    Scenario::read(&sound).unwrap();
    for (from, to, key) in cases {
        assert!(sound.contains(from), "{from}");
        let refused = Scenario::read(&sound.replacen(from, to, 1)).err();
        let text = refused.unwrap().to_string();
        assert!(text.contains(key), "{to}: {text}");
    }
    for key in ["limiters.cuont", "plans.3.rate", "customers.0.plan.x"] {
        assert!(Scenario::with_value(&sound, key, "3").is_err(), "{key}");
    }
    assert_eq!(
        Scenario::with_value(&sound, "plans.0.rate", "4")
            .unwrap()
            .plans[0]
            .rate,
        4.0
    );
}
