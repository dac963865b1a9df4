//! Short soaks for the tests.

use aspendrum_testbed::system::soak::{soak, Size, SoakKind, SoakReport};

pub(crate) const SIZE: Size = Size {
    cores: 3,
    edges: 5,
    seconds: 14.0,
};

/// Plays two runs concurrently; more would compete for processors.
pub(crate) fn play_in_two_threads(kind: SoakKind, seeds: [std::ops::RangeInclusive<u64>; 2]) {
    let folder = tempfile::tempdir().unwrap();
    let play = |seeds: std::ops::RangeInclusive<u64>| {
        let folder = folder.path().join(format!("{}", seeds.start()));
        move || {
            seeds
                .map(|seed| soak(kind, seed, SIZE, &folder.join(format!("{seed}"))))
                .collect::<Vec<_>>()
        }
    };
    let threads = seeds.map(|seeds| std::thread::spawn(play(seeds)));
    let reports: Vec<SoakReport> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect();
    reports.iter().for_each(|report| println!("{report}"));
    assert!(reports.iter().all(SoakReport::has_passed), "{reports:#?}");
}
