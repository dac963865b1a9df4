//! Short nights in CI; the long ones are played by `cargo run --release --example overnight`.

#[path = "../examples/nights/mod.rs"]
mod nights;

use nights::{Kind, Night, AGREED};

/// Danger: a node misses a change overnight, and by morning a transfer has gone where it no longer belongs.
#[test]
fn nothing_goes_astray_overnight_and_by_morning_all_agree() {
    for seed in 1..=3 {
        let mut night = Night::new(70, seed, Kind::Built);
        let agreed = night.pass(0.5, 40);
        assert_eq!(night.astray, 0, "seed {seed}");
        assert!(
            agreed.is_some_and(|ms| ms <= AGREED),
            "seed {seed}: {agreed:?}"
        );
        // It must not keep so by holding everything back.
        assert!(
            night.held * 2 < night.asked,
            "seed {seed}: {} of {} held",
            night.held,
            night.asked
        );
    }
}

/// Whoever trusts the last push is found by the same nights.
#[test]
fn a_node_that_trusts_the_last_push_is_found() {
    let mut night = Night::new(70, 1, Kind::TrustsPushes);
    night.pass(0.5, 40);
    assert!(night.astray > 0);
}
