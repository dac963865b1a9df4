//! Runs replicas under random schedules. Acknowledged commands are never lost, each version has a single text, and
//! acknowledged commands are not rejected later, while nodes crash, lose their disks, are permanently replaced or shut
//! down between any two steps. The same schedules detect faulty variants of the protocol.

mod common;

use common::schedule::{generator, run, Step};
use common::Variant;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[test]
fn acknowledged_commands_are_never_lost() {
    let holds: fn(Vec<Step>) -> bool = |steps| run(Variant::Correct, &steps);
    QuickCheck::new().rng(generator(140)).quickcheck(holds);
}

/// Whether random schedules detect a fault. `seed` is one that detects it early; most seeds need up to a thousand
/// schedules.
fn find_fault(variant: Variant, seed: u64) -> bool {
    let mut g = Gen::from_size_and_seed(160, seed);
    (0..2000).any(|_| !run(variant, &Vec::<Step>::arbitrary(&mut g)))
}

/// Verifies that the schedules can detect a node that sends messages before it has synced its state.
#[test]
fn schedules_detect_messages_before_the_sync() {
    assert!(find_fault(Variant::DelayedSync, 4));
}

/// Guards against a majority of new voters that lacks the state acknowledged by the previous voters.
#[test]
fn schedules_detect_answers_before_the_state_transfer() {
    assert!(find_fault(Variant::JoinsBeforeTransfer, 1));
}
