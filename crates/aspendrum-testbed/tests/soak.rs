//! A short soak of the whole system as processes, with several concurrent faults generated from seeds. Run
//! `aspendrum-testbed soak` for more seeds.

mod common;

use aspendrum_testbed::system::soak::{draw, draw_long_bodies, draw_storm, SoakKind};
use common::{play_in_two_threads, SIZE};

#[test]
fn generated_faults_break_no_rule() {
    play_in_two_threads(SoakKind::Faults, [1..=2, 3..=4]);
}

/// Guards against failures of configuration storms on throttled processes: changes that take effect too late or are reverted,
/// valid requests that are rejected by outdated tables, and requests that end without a response.
#[test]
fn generated_configuration_storms_break_no_rule() {
    play_in_two_threads(SoakKind::Storms, [1..=1, 2..=2]);
}

#[test]
fn the_same_seed_generates_the_same_valid_steps() {
    for draw in [draw, draw_storm, draw_long_bodies] {
        let text = |seed| format!("{:?}", draw(seed, SIZE));
        assert_eq!(text(7), text(7));
        assert_ne!(text(7), text(8));
        for seed in 1..200 {
            let scenario = draw(seed, SIZE);
            for step in &scenario.steps {
                assert!(
                    scenario.targets(&step.of).is_ok() && scenario.targets(&step.from).is_ok(),
                    "{step:?}"
                );
                assert!(
                    step.at_s + step.for_s.unwrap_or_default() < scenario.seconds,
                    "{step:?}"
                );
            }
        }
    }
}
