//! Tests of fleets of real processes under faults. A bound that an open issue is to tighten names the issue.

use aspendrum_checker::limiter::{QueryOutcome, Recovery};
use aspendrum_testbed::library;
use aspendrum_testbed::program::{ConfigSource, Program};
use aspendrum_testbed::run::{self, Outcome};
use aspendrum_testbed::scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Limits [`play_with`] to two fleets at a time; more would compete for CPU time.
static FLEET_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];

/// Returns the limiter of this checkout, built once.
fn limiter() -> Program {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    let program = PROGRAM.get_or_init(|| {
        let testbed = PathBuf::from(env!("CARGO_BIN_EXE_aspendrum-testbed"));
        let mut cargo = Command::new(env!("CARGO"));
        cargo.args([
            "build",
            "--locked",
            "--package",
            "aspendrum",
            "--bin",
            "aspendrum",
        ]);
        if testbed.parent().unwrap().ends_with("release") {
            cargo.arg("--release");
        }
        let built = cargo
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stderr(Stdio::null())
            .status()
            .unwrap();
        assert!(built.success());
        testbed.with_file_name("aspendrum")
    });
    Program::limiter(Some(program.clone())).unwrap()
}

fn play_with(scenario: &Scenario, program: &Program) -> Outcome {
    let slot = FLEET_SLOTS.iter().find_map(|slot| slot.try_lock().ok());
    let _slot = slot.unwrap_or_else(|| {
        FLEET_SLOTS[0]
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    });
    let folder = tempfile::tempdir().unwrap();
    run::play(scenario, program, folder.path(), &|_| {}).unwrap()
}

fn play(text: &str) -> Outcome {
    let scenario = Scenario::read(text).unwrap();
    let outcome = play_with(&scenario, &limiter());
    let violations = outcome.violations(&scenario);
    assert!(
        violations.is_empty(),
        "{}\n{}",
        violations.join("\n"),
        aspendrum_testbed::report::table(&scenario, &outcome)
    );
    // Regardless of the faults, the fleet must have served queries.
    assert!(outcome.verdict.count(QueryOutcome::Answered) >= 5);
    outcome
}

/// A scenario with one customer (burst 6, 2 units per second) that requests 20 times its quota, over all limiters.
fn one_customer(limiters: usize, seconds: f64, faults: &str, bounds: &str) -> String {
    format!(
        "name = 't'\nabout = 't'\nseconds = {seconds}\nlimiters = {{ count = {limiters} }}\n\
         servers = {{ count = 4, ramp_s = 2.0 }}\nplans = [{{ name = 'team', rate = 2.0, burst = 6.0 }}]\n\
         customers = [{{ plan = 'team', queries_per_s = 40.0 }}]\n{faults}\n[bounds]\n{bounds}\n"
    )
}

const SILENT: &str = "[[faults]]\nat_s = 0.0\nkind = 'counter'\nsilent = true\n";

/// Guards against the quota owners on both sides of a partition each granting the whole quota, which let 2.1 to 2.5 times
/// the quota pass. Limiters may only spend what the rate has accrued since the start of the fleet (docs/shared-state.md).
#[test]
fn partitioned_halves_stay_within_the_quota() {
    let faults = format!(
        "{SILENT}[[faults]]\nat_s = 0.0\nkind = 'link'\npath = 'limiters'\nof = '0%-50%'\nto = '50%-100%'\ncut = true\n"
    );
    let outcome = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    assert!(outcome.traffic.datagrams.lost > 0, "nothing was cut");
}

/// A tenth of the fleet receives from the others, but cannot send to them: its requests to the quota owner are lost, while
/// it still receives requests and grants.
#[test]
fn a_fleet_with_a_tenth_cut_one_way_stays_within_the_quota() {
    let faults = format!(
        "{SILENT}[[faults]]\nat_s = 0.0\nkind = 'link'\npath = 'limiters'\nof = '0%-10%'\nto = '10%-100%'\nway = 'there'\n\
         cut = true\n"
    );
    let outcome = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    assert!(outcome.traffic.datagrams.lost > 0, "nothing was cut");
}

/// Paused limiters answer their pending queries late, no query is answered twice, and a resumed limiter spends only the
/// quota that it holds.
#[test]
fn a_quarter_paused_for_three_seconds_stays_within_the_quota() {
    let faults =
        format!("{SILENT}[[faults]]\nat_s = 3.0\nfor_s = 3.0\nkind = 'stall'\nof = '0%-25%'\n");
    play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
}

/// The halves of the partition change every 2 s, so that each limiter communicates with each other one at some time.
#[test]
fn a_partition_that_changes_every_two_seconds_stays_within_the_quota() {
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

/// After a partition heals, the fleet must grant 0.9 of what it granted before, within one or two refill times of the
/// burst.
#[test]
fn a_healed_fleet_recovers_its_grant_rate() {
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

/// A counter that loses its counts grants them again: up to one burst each time, in addition to what was granted before.
#[test]
fn a_cleared_counter_costs_a_burst_each_time() {
    let faults = "[[faults]]\nat_s = 3.0\nevery_s = 3.0\nkind = 'counter'\nemptied = true\n";
    let outcome = play(&one_customer(
        20,
        10.0,
        faults,
        "over_quota = 1.7\nunder_quota = 0.7",
    ));
    assert!(
        outcome.traffic.counter.calls > 0,
        "the counter decided nothing"
    );
}

/// Limiters that restart while discovery is silent use the last known server list. A crashed server on it costs retries,
/// but no responses.
#[test]
fn a_restart_without_discovery_uses_the_last_known_list() {
    let faults = "[[faults]]\nat_s = 1.0\nfor_s = 8.0\nkind = 'discovery'\nsilent = true\n\
                  [[faults]]\nat_s = 2.0\nfor_s = 0.2\nkind = 'kill'\nof = '0%-50%'\n\
                  [[faults]]\nat_s = 3.0\nfor_s = 3.0\nkind = 'server'\nof = '0'\ngone = true\n";
    let outcome = play(&one_customer(
        8,
        9.0,
        faults,
        "over_quota = 2.0\nunder_quota = 0.7\nforwards_per_query = 1.5",
    ));
    assert!(
        outcome
            .record
            .exempt_periods
            .iter()
            .filter(|e| e.to.is_finite())
            .count()
            >= 4,
        "four limiters were restarted"
    );
}

/// After a power loss all limiters restart without state, and a restart grants nothing. Issues 29 and 30 are to let them
/// reuse their earlier state.
#[test]
fn a_fleet_killed_at_once_recovers_within_the_quota() {
    let faults =
        format!("{SILENT}[[faults]]\nat_s = 4.0\nfor_s = 0.3\nkind = 'kill'\nof = 'all'\n");
    let outcome = play(&one_customer(
        20,
        10.0,
        &faults,
        "over_quota = 1.0\nunder_quota = 0.5",
    ));
    let Recovery { fault, time } = &outcome.verdict.recoveries[0];
    assert!(
        time.is_some(),
        "no recovery within {:.1} s after {}",
        6.0,
        fault.name
    );
}

/// Keyed and mutating queries pass through servers that reset connections in the middle of a response, and over links that
/// lose, delay, reorder and duplicate. Each query must get one response, and none may be executed twice.
#[test]
fn no_query_is_executed_twice_over_faulty_links_and_resetting_servers() {
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
    let outcome = play(text);
    assert!(
        outcome.verdict.forwards_per_query > 1.01,
        "no query was forwarded again: {}",
        outcome.verdict.forwards_per_query
    );
    assert!(
        outcome.verdict.count(QueryOutcome::Dropped) > 0,
        "mutating queries whose connection was reset must not be forwarded again"
    );
}

/// The checker must report a fleet of real processes that admits everything and so exceeds the quota and the hard limit.
#[test]
fn a_fleet_that_admits_everything_is_detected() {
    let text = one_customer(5, 4.0, "", "over_quota = 3.0\npeak_over_burst = 3.0");
    let text = text.replace(
        "burst = 6.0 }",
        "burst = 6.0, ceiling_rate = 3.0, ceiling_burst = 9.0 }",
    );
    let scenario = Scenario::read(&text).unwrap();
    let outcome = play_with(
        &scenario,
        &Program::pass_through(env!("CARGO_BIN_EXE_aspendrum-testbed").into()),
    );
    let violations = outcome.violations(&scenario).join("\n");
    for expected in [
        "rule 5",
        "granted over quota",
        "the worst window over burst",
    ] {
        assert!(
            violations.contains(expected),
            "{expected} is not in:\n{violations}"
        );
    }
    assert!(outcome.failures.is_empty(), "{:?}", outcome.failures);
}

/// A run fails if a limiter exits unexpectedly, or doesn't start.
#[test]
fn a_limiter_that_exits_unexpectedly_fails_the_run() {
    let scenario = Scenario::read(&one_customer(2, 3.0, "", "")).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let failing = Program {
        executable: "/bin/false".into(),
        arguments: vec![],
        config_source: ConfigSource::Argument,
    };
    let error = run::play(&scenario, &failing, folder.path(), &|_| {}).err();
    let text = error.unwrap().to_string();
    assert!(text.contains("exited during startup"), "{text}");
    // `timeout` kills the limiter 1.5 s after its start.
    let limiter = limiter();
    let script = format!(
        "exec timeout -s KILL 1.5 {} serve \"$@\"",
        limiter.executable.display()
    );
    let short_lived = Program {
        executable: "/bin/sh".into(),
        arguments: vec!["-c".into(), script, "x".into()],
        config_source: ConfigSource::Argument,
    };
    let outcome = run::play(&scenario, &short_lived, folder.path(), &|_| {}).unwrap();
    assert!(
        outcome
            .failures
            .iter()
            .any(|f| f.to_string().contains("exited unexpectedly")),
        "{:?}",
        outcome.failures
    );
}

/// The kernel must end all limiters when the testbed is killed and cannot clean up itself.
#[test]
fn a_killed_testbed_leaves_no_limiter_running() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("t.toml");
    std::fs::write(&file, one_customer(3, 60.0, "", "")).unwrap();
    let mut testbed = Command::new(env!("CARGO_BIN_EXE_aspendrum-testbed"))
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
    wait_until(|| count_limiters(folder.path()) == 3, "three limiters run");
    testbed.kill().unwrap();
    testbed.wait().unwrap();
    wait_until(|| count_limiters(folder.path()) == 0, "no limiter runs");
}

/// Counts the running limiters whose configuration is in a folder.
fn count_limiters(folder: &Path) -> usize {
    let folder = format!("--config\0{}/", folder.display());
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let lines = processes.filter_map(|p| std::fs::read_to_string(p.path().join("cmdline")).ok());
    lines.filter(|line| line.contains(&folder)).count()
}

fn wait_until(condition: impl Fn() -> bool, description: &str) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < Duration::from_secs(30),
            "timed out after 30 s: {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn every_built_in_scenario_is_valid_at_every_size() {
    for (name, text) in library::ALL {
        assert_eq!(Scenario::read(text).unwrap().name, *name);
        for count in ["5", "20", "40"] {
            Scenario::with_value(text, "limiters.count", count).unwrap();
        }
    }
    Scenario::read(library::DEMO).unwrap();
}

#[test]
fn an_invalid_key_is_named_with_its_path() {
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
    let valid = one_customer(4, 9.0, SILENT, "")
        .replace("seconds = 9", "seconds = 9.0")
        .replace("9.0.0", "9.0");
    Scenario::read(&valid).unwrap();
    for (from, to, key) in cases {
        assert!(valid.contains(from), "{from}");
        let refused = Scenario::read(&valid.replacen(from, to, 1)).err();
        let text = refused.unwrap().to_string();
        assert!(text.contains(key), "{to}: {text}");
    }
    for key in ["limiters.cuont", "plans.3.rate", "customers.0.plan.x"] {
        assert!(Scenario::with_value(&valid, key, "3").is_err(), "{key}");
    }
    assert_eq!(
        Scenario::with_value(&valid, "plans.0.rate", "4")
            .unwrap()
            .plans[0]
            .rate,
        4.0
    );
}
