//! A short soak with servers that answer long requests before they have read them. It has a program of its own: cargo runs
//! the programs one after another, and more runs at a time would compete for processors.

mod common;

use aspendrum_testbed::system::soak::SoakKind;
use common::play_in_two_threads;

/// Guards against requests that run twice, are refused though they ran, or get no answer, when servers answer before they
/// have read a long body.
#[test]
fn early_answers_to_long_bodies_break_no_rule() {
    play_in_two_threads(SoakKind::LongBodies, [1..=1, 2..=2]);
}
