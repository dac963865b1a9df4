//! The amounts that one limiter sends to another. Only their number of steps crosses the wire (the datagram itself is
//! the core's): limiters of different versions must agree on how many billionths of a unit a step stands for.

use aspendrum_token_bucket::{Gift, Purse, Terms, UNIT};

fn terms() -> Terms {
    Terms {
        rate: UNIT / 500,
        burst: 6 * UNIT,
        ways: 3,
        own: 1,
        even: 1,
        whole: 3,
        largest: UNIT,
    }
}

#[test]
fn a_unit_is_a_billion_parts() {
    assert_eq!(UNIT, 1_000_000_000);
    assert_eq!(terms().window(), 3_000);
    assert_eq!(terms().most_in_hand(2), 21 * UNIT);
}

#[test]
fn the_steps_that_are_sent_are_those_of_today() {
    let sent = |waited: u64| {
        let mut purse = Purse::empty(10_000, 10_000);
        let steps = purse.give(&terms(), 10_000 + waited);
        (steps, purse.held())
    };
    let expected = [
        (0, 0),
        (7, 25_788),
        (728, 15_354),
        (21_845, 2_870),
        (21_845, 2_870),
    ];
    assert_eq!([0, 1, 100, 3_000, 60_000].map(sent), expected);
}

#[test]
fn the_steps_that_are_received_count_as_today() {
    let received = |steps: u16| {
        let mut purse = Purse::empty(10_000, 10_000);
        let taken = purse.take(&terms(), 2, Gift { steps, at: 10_100 }, 10_101);
        (taken, purse.held())
    };
    let expected = [
        (true, 67_333_333),
        (true, 67_424_887),
        (true, 2_067_330_463),
        (true, 4 * UNIT),
    ];
    assert_eq!([0, 1, 21_845, u16::MAX].map(received), expected);
}
