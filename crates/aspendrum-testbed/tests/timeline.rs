//! The transitions and the periods of a scenario's faults.

use aspendrum_testbed::scenario::Scenario;
use aspendrum_testbed::timeline::{fault_periods, transitions};

fn scenario(faults: &str) -> Scenario {
    let text = format!(
        "name = \"t\"\nabout = \"t\"\nseconds = 10.0\nlimiters = {{ count = 4 }}\n\
         servers = {{ count = 1 }}\nplans = [{{ name = \"p\", rate = 1.0, burst = 1.0 }}]\n\
         customers = [{{ plan = \"p\", queries_per_s = 1.0 }}]\n{faults}"
    );
    Scenario::read(&text).unwrap()
}

#[test]
fn a_fault_that_repeats_ends_before_it_begins_again() {
    let scenario = scenario(
        "[[faults]]\nat_s = 1.0\nfor_s = 4.0\nevery_s = 4.0\nkind = \"stall\"\nof = \"0\"\n",
    );
    let found: Vec<(f64, u32, bool)> = transitions(&scenario)
        .iter()
        .map(|t| (t.at, t.occurrence, t.begins))
        .collect();
    let expected = [
        (1000.0, 1, true),
        (5000.0, 1, false),
        (5000.0, 2, true),
        (9000.0, 2, false),
        (9000.0, 3, true),
    ];
    assert_eq!(
        found, expected,
        "the third occurrence lasts beyond the end of the run"
    );
    assert!(
        fault_periods(&scenario, 0.0).is_empty(),
        "no time remains for a recovery"
    );
}

#[test]
fn an_instant_fault_has_a_period_without_duration() {
    let scenario = scenario("[[faults]]\nat_s = 3.0\nkind = \"counter\"\nemptied = true\n");
    let all = fault_periods(&scenario, 500.0);
    assert_eq!((all.len(), all[0].from, all[0].to), (1, 3500.0, 3500.0));
}
