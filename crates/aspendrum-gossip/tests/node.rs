//! What agents lend each other, under schedules: delays, losses, restarts of clocks, hops.

use aspendrum_gossip::{Act, Circle, Word};
use aspendrum_model::message::{Revision, StateDigest};
use std::net::Ipv4Addr;

const ME: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const NEAR: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const OLD: StateDigest = StateDigest {
    revision: Revision {
        config: 4,
        evacuation: 1,
    },
    digests: [4, 0, 0, 0],
};
const NEW: StateDigest = StateDigest {
    revision: Revision {
        config: 7,
        evacuation: 1,
    },
    digests: [7, 0, 0, 0],
};

fn circle() -> Circle {
    let mut circle = Circle::new(ME, 1);
    circle.meet(&[NEAR]);
    circle
}

fn asks(acts: &[Act]) -> usize {
    acts.iter()
        .filter(|a| {
            matches!(
                a,
                Act::Say {
                    word: Word::Ask { .. },
                    ..
                }
            )
        })
        .count()
}

#[test]
fn nobody_is_asked_while_a_majority_is_heard_of() {
    let mut circle = circle();
    assert_eq!(asks(&circle.beat(0.0, false)), 0);
    // The shuffle gave the only neighbour up until it answers; control's list names it again.
    circle.meet(&[NEAR]);
    assert_eq!(asks(&circle.beat(300.0, true)), 1);
    assert_eq!(asks(&circle.beat(400.0, true)), 0, "not again at once");
}

/// Danger: a licence that grows younger on its way: each hop counts from when it heard, and a key that was taken
/// away works for ever between two machines that tell each other.
#[test]
fn a_word_grows_older_with_each_hop_however_long_it_travels() {
    let (mut first, mut second) = (circle(), circle());
    // The first knows of a majority's word of its moment 1,000; it is asked at its 1,400.
    let lent = first.hear(1400.0, ME, Word::Ask { stamp: 50 }, &NEW, Some(1000.0));
    let [Act::Say {
        word:
            Word::Lent {
                stamp: 50,
                age: 400,
                of: NEW,
            },
        ..
    }] = lent[..]
    else {
        panic!("{lent:?}")
    };
    // The second asked at its own 50; the answer takes 700 ms: still counted from 50.
    let taken = second.hear(
        750.0,
        NEAR,
        Word::Lent {
            stamp: 50,
            age: 400,
            of: NEW,
        },
        &NEW,
        None,
    );
    assert_eq!(taken, [Act::AsOf(-350.0)]);
    // Two that lend each other back and forth for a minute end no younger than they began.
    let mut held = [0.0, -350.0];
    for n in 0..400 {
        let (now, from, to) = (
            800.0 + f64::from(n) * 300.0,
            n as usize % 2,
            (n as usize + 1) % 2,
        );
        let lent = first.hear(
            now,
            ME,
            Word::Ask { stamp: now as u64 },
            &NEW,
            Some(held[from]),
        );
        let [Act::Say { ref word, .. }] = lent[..] else {
            panic!("{lent:?}")
        };
        if let [Act::AsOf(at)] =
            second.hear(now + 5.0, NEAR, word.clone(), &NEW, Some(held[to]))[..]
        {
            held[to] = held[to].max(at);
        }
        assert!(held.iter().all(|at| *at <= 0.0), "{held:?}");
    }
}

/// Danger: whoever holds less takes the word for its own, and is licensed for what was taken away.
#[test]
fn whoever_holds_less_fetches_before_it_believes() {
    let mut circle = circle();
    let lent = |stamp| Word::Lent {
        stamp,
        age: 100,
        of: NEW,
    };
    assert_eq!(
        circle.hear(1000.0, NEAR, lent(900), &OLD, None),
        [Act::Fetch(NEAR)]
    );
    assert_eq!(
        circle.hear(1100.0, NEAR, lent(900), &OLD, None),
        [],
        "the snapshot is on its way"
    );
    assert_eq!(
        circle.hear(1200.0, NEAR, lent(1150), &NEW, None),
        [Act::AsOf(1050.0)]
    );
    // Evacuations count as configurations do.
    let emptied = Word::Lent {
        stamp: 1900,
        age: 0,
        of: StateDigest {
            revision: Revision {
                evacuation: 2,
                ..NEW.revision
            },
            ..NEW
        },
    };
    assert_eq!(
        circle.hear(2000.0, NEAR, emptied, &NEW, None),
        [Act::Fetch(NEAR)]
    );
}

/// Danger: an answer to a question of an earlier life promises a moment that has not come yet.
#[test]
fn an_answer_to_an_earlier_life_is_not_believed() {
    let late = Word::Lent {
        stamp: 90_000,
        age: 0,
        of: OLD,
    };
    assert_eq!(circle().hear(500.0, NEAR, late, &OLD, None), []);
}

/// Danger: two texts under one number; each lends the other a licence for what was not decided.
#[test]
fn another_text_under_the_same_number_is_not_lent_on() {
    let other = Word::Lent {
        stamp: 900,
        age: 10,
        of: StateDigest {
            digests: [8, 0, 0, 0],
            ..NEW
        },
    };
    assert_eq!(circle().hear(1000.0, NEAR, other, &NEW, None), []);
}

/// Danger: a few machines that are cut off together take themselves for the fleet, and go on.
#[test]
fn a_fleet_is_deserted_only_where_half_of_those_asked_say_so() {
    let others: Vec<Ipv4Addr> = (2..10).map(|n| Ipv4Addr::new(10, 0, 0, n)).collect();
    for (answering, deserted) in [(8, true), (4, true), (1, false), (0, false)] {
        let mut circle = Circle::new(ME, 3);
        for n in 0..40 {
            let now = 1000.0 + f64::from(n) * 300.0;
            circle.meet(&others);
            for act in circle.beat(now, true) {
                let Act::Say {
                    to,
                    word: Word::Ask { stamp },
                } = act
                else {
                    continue;
                };
                if to.octets()[3] < 2 + answering {
                    assert_eq!(
                        circle.hear(now + 1.0, to, Word::Alone { stamp }, &OLD, None),
                        []
                    );
                }
            }
        }
        assert_eq!(
            circle.deserted(12_800.0),
            deserted,
            "{answering} of 8 answer"
        );
        assert!(!circle.deserted(20_000.0), "nobody was asked of late");
    }
    let alone = circle().hear(500.0, NEAR, Word::Ask { stamp: 1 }, &OLD, None);
    assert_eq!(
        alone,
        [Act::Say {
            to: NEAR,
            word: Word::Alone { stamp: 1 }
        }]
    );
}
