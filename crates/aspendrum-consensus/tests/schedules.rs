//! Replicas under schedules drawn by quickcheck. What was acknowledged is never lost, each version has one text, and
//! what was acknowledged is not refused later, whichever nodes fail, lose their disks, are replaced for good or shut
//! down, between whichever two steps. The same schedules find each variant that lacks one of the mechanisms.

mod common;

use common::schedule::{generator, run, Step};
use common::Variant;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[test]
fn what_was_acknowledged_is_never_lost() {
    let holds: fn(Vec<Step>) -> bool = |steps| run(Variant::Sound, &steps);
    QuickCheck::new().rng(generator(140)).quickcheck(holds);
}

/// Whether the schedules find a fault. `seed`: one whose schedules find it soon; most find it within a thousand.
fn find_fault(variant: Variant, seed: u64) -> bool {
    let mut g = Gen::from_size_and_seed(160, seed);
    (0..2000).any(|_| !run(variant, &Vec::<Step>::arbitrary(&mut g)))
}

/// If the schedules did not find this, they would prove nothing.
#[test]
fn a_node_that_speaks_before_its_sync_is_found() {
    assert!(find_fault(Variant::LateSync, 4));
}

/// Danger: a majority of the new voters holds nothing of what the former ones acknowledged.
#[test]
fn a_voter_that_answers_before_the_state_transfer_is_found() {
    assert!(find_fault(Variant::EagerJoin, 1));
}
