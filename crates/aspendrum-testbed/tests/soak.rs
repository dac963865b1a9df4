//! A short soak: drawn troubles, several at a time, over the whole system as processes. More seeds by hand:
//! `aspendrum-testbed soak`.

use aspendrum_testbed::system::soak::{draw, soak, Size};

const SIZE: Size = Size {
    cores: 3,
    edges: 5,
    seconds: 14.0,
};

/// Two side by side: more would wait for each other's processors.
#[test]
fn drawn_troubles_break_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let play = |seeds: std::ops::RangeInclusive<u64>| {
        let folder = folder.path().join(format!("{}", seeds.start()));
        move || {
            seeds
                .map(|seed| soak(seed, SIZE, &folder.join(format!("{seed}"))))
                .collect::<Vec<_>>()
        }
    };
    let lanes = [
        std::thread::spawn(play(1..=2)),
        std::thread::spawn(play(3..=4)),
    ];
    let played: Vec<(String, bool)> = lanes
        .into_iter()
        .flat_map(|lane| lane.join().unwrap())
        .collect();
    played.iter().for_each(|(line, _)| println!("{line}"));
    assert!(played.iter().all(|(_, kept)| *kept), "{played:#?}");
}

#[test]
fn the_same_seed_draws_the_same_troubles() {
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
