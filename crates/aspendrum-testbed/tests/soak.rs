//! A short soak: drawn troubles, several at a time, over the whole system as processes. More seeds by hand:
//! `aspendrum-testbed soak`.

use aspendrum_testbed::system::soak::{draw, draw_storm, soak, Size, SoakKind};

const SIZE: Size = Size {
    cores: 3,
    edges: 5,
    seconds: 14.0,
};

#[test]
fn drawn_troubles_break_nothing() {
    play_in_two_lanes(SoakKind::Faults, [1..=2, 3..=4]);
}

/// Danger: storms of configurations on processes with little processor time: a change is not in force in time or goes back,
/// proper requests are refused by old tables, and requests end without an answer.
#[test]
fn drawn_configuration_storms_break_nothing() {
    play_in_two_lanes(SoakKind::Storms, [1..=1, 2..=2]);
}

/// Two side by side: more would wait for each other's processors.
fn play_in_two_lanes(kind: SoakKind, seeds: [std::ops::RangeInclusive<u64>; 2]) {
    let folder = tempfile::tempdir().unwrap();
    let play = |seeds: std::ops::RangeInclusive<u64>| {
        let folder = folder.path().join(format!("{}", seeds.start()));
        move || {
            seeds
                .map(|seed| soak(kind, seed, SIZE, &folder.join(format!("{seed}"))))
                .collect::<Vec<_>>()
        }
    };
    let lanes = seeds.map(|seeds| std::thread::spawn(play(seeds)));
    let played: Vec<(String, bool)> = lanes
        .into_iter()
        .flat_map(|lane| lane.join().unwrap())
        .collect();
    played.iter().for_each(|(line, _)| println!("{line}"));
    assert!(played.iter().all(|(_, kept)| *kept), "{played:#?}");
}

#[test]
fn the_same_seed_draws_the_same_troubles() {
    for draw in [draw, draw_storm] {
        let text = |seed| format!("{:?}", draw(seed, SIZE));
        assert_eq!(text(7), text(7));
        assert_ne!(text(7), text(8));
        for seed in 1..200 {
            let scenario = draw(seed, SIZE);
            for step in &scenario.steps {
                assert!(
                    scenario.who(&step.of).is_ok() && scenario.who(&step.from).is_ok(),
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
