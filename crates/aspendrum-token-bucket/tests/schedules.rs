//! Random schedules of forty limiters on the purse itself: links that lose, double, delay and reorder,
//! crashes, stalls and clocks that differ. What was granted in any time is at most the rate times it and what
//! purses may hold.

use aspendrum_token_bucket::purse::{CLOCK_ERROR, LATEST};
use aspendrum_token_bucket::{Gift, Grains, Ms, Purse, Terms, UNIT};
use proptest::prelude::*;

const LIMITERS: usize = 40;
const RATE: Grains = 2 * UNIT / 1000;
const BURST: Grains = 6 * UNIT;
const BEGUN: Ms = 1_000_000;

/// The first limiter keeps the count; sixty parts in a hundred are its own.
fn terms(me: usize) -> Terms {
    let (ways, even) = (LIMITERS as u64, 40);
    let whole = 100 * ways;
    let own = if me == 0 {
        whole - even * ways + even
    } else {
        even
    };
    Terms {
        rate: RATE,
        burst: BURST,
        ways,
        own,
        even,
        whole,
        largest: 2 * UNIT,
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// A limiter has a query, asks that keeper with all it has, and spends alone if `alone`.
    Ask {
        me: usize,
        keeper: usize,
        alone: bool,
        late: Ms,
        copies: u8,
    },
    /// A keeper grants another's query, or spends for its own.
    Spend(usize),
    Crash(usize),
    /// Hears nothing and does nothing for so long.
    Stall(usize, Ms),
}

fn event() -> impl Strategy<Value = (Ms, Event)> {
    let ask = (0..LIMITERS, 0..3usize, any::<bool>(), 0..3 * LATEST, 0..3u8).prop_map(
        |(me, keeper, alone, late, copies)| Event::Ask {
            me,
            keeper,
            alone,
            late,
            copies,
        },
    );
    let kinds = prop_oneof![
        20 => ask,
        10 => (0..LIMITERS).prop_map(Event::Spend),
        1 => (0..LIMITERS).prop_map(Event::Crash),
        1 => (0..LIMITERS, 0..5 * LATEST).prop_map(|(me, long)| Event::Stall(me, long)),
    ];
    (0..200u64, kinds)
}

struct Limiter {
    purse: Purse,
    stalled_until: Ms,
    stamp: Ms,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_grants_more_than_the_bound(
        events in proptest::collection::vec(event(), 100..600),
        errors in proptest::collection::vec(0..CLOCK_ERROR / 2, LIMITERS),
    ) {
        let clock = |me: usize, now: Ms| now + errors[me];
        let start = |me: usize, now: Ms| Limiter {
            purse: Purse::empty(clock(me, now), clock(me, now)),
            stalled_until: 0,
            stamp: 0,
        };
        let mut limiters: Vec<Limiter> = (0..LIMITERS).map(|me| start(me, BEGUN)).collect();
        let (mut now, mut granted) = (BEGUN, Vec::<(Ms, Grains)>::new());
        let mut mail: Vec<(Ms, usize, usize, Gift)> = Vec::new();
        for (gap, event) in events {
            now += gap;
            mail.sort_by_key(|m| m.0);
            let due = mail.partition_point(|m| m.0 <= now);
            for (_, from, to, gift) in mail.drain(..due) {
                let l = &mut limiters[to];
                // What comes to one that stands still waits with its machine.
                let at = now.max(l.stalled_until);
                l.purse.take(&terms(to), from as u16, gift, clock(to, at));
            }
            let mut spend = |l: &mut Limiter, me: usize| {
                if now >= l.stalled_until && l.purse.may(&terms(me), me as u64, UNIT, clock(me, now)) {
                    l.purse.spend(&terms(me), UNIT, clock(me, now));
                    granted.push((now, UNIT));
                }
            };
            match event {
                Event::Ask { me, keeper, alone, late, copies } => {
                    let l = &mut limiters[me];
                    if alone || me == keeper {
                        spend(l, me);
                    } else if now >= l.stalled_until {
                        let steps = l.purse.give(&terms(me), clock(me, now));
                        l.stamp = (l.stamp + 1).max(clock(me, now));
                        let gift = Gift { steps, at: l.stamp };
                        mail.extend((0..copies).map(|n| (now + late + Ms::from(n), me, keeper, gift)));
                    }
                }
                Event::Spend(me) => spend(&mut limiters[me], me),
                Event::Crash(me) => limiters[me] = start(me, now),
                Event::Stall(me, long) => limiters[me].stalled_until = now + long,
            }
        }
        // Clocks that run ahead at the start bring nothing; one that jumps brings what its error is worth.
        let slack = RATE * CLOCK_ERROR;
        let whole: Grains = granted.iter().map(|g| g.1).sum();
        prop_assert!(whole <= RATE * (now - BEGUN) + slack, "{whole} in {} ms", now - BEGUN);
        for (n, (from, _)) in granted.iter().enumerate() {
            let mut sum = 0;
            for (at, units) in &granted[n..] {
                sum += units;
                prop_assert!(sum <= RATE * (at - from) + terms(0).most_in_hand(3) + slack);
            }
        }
    }
}
