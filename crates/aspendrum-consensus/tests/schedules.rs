//! Replicas under schedules drawn by quickcheck. What was acknowledged is never gone, one number has one text, and what
//! was taken is not refused, whoever fails, loses a disk, is replaced for good or is told to end, and between which two
//! steps. Each variant without one of the mechanisms is found by the same schedules.

mod common;

use common::{drawn, play, Step, Variant};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[test]
fn what_was_acknowledged_is_never_gone() {
    let holds: fn(Vec<Step>) -> bool = |steps| play(Variant::Sound, &steps);
    QuickCheck::new().rng(drawn(140)).quickcheck(holds);
}

/// `seed`: one whose draws find it soon; most find it within a thousand.
fn found(variant: Variant, seed: u64) -> bool {
    let mut g = Gen::from_size_and_seed(160, seed);
    (0..2000).any(|_| !play(variant, &Vec::<Step>::arbitrary(&mut g)))
}

/// The schedules find a machine that speaks before its disk is synced: else they would prove nothing.
#[test]
fn a_machine_that_speaks_before_its_sync_is_found() {
    assert!(found(Variant::LateSync, 4));
}

/// Danger: a majority of the new voters holds nothing of what the old ones acknowledged.
#[test]
fn a_voter_that_answers_before_it_has_learned_is_found() {
    assert!(found(Variant::EagerJoin, 1));
}
