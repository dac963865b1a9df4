//! Every order of events of a small fleet, on the purse itself: three limiters, two customers, gifts that get
//! lost, doubled and reordered, a crash and a start from nothing, a stall past every gift's worth. In each
//! state reached, what was granted and what may still be spent is at most what the rate has brought.

use aspendrum_token_bucket::purse::{CLOCK_ERROR, LATEST};
use aspendrum_token_bucket::{Gift, Grains, Ms, Purse, Terms};
use stateright::{Checker, HasDiscoveries, Model, Property};

const LIMITERS: usize = 3;
const CUSTOMERS: usize = 2;
/// Keepers of the two customers.
const KEEPER: [usize; CUSTOMERS] = [0, 1];
const STEP: Ms = 300;
const STEPS: u64 = 5;

/// Small whole numbers, so that states meet: 12 grains a millisecond, two thirds of them the keeper's.
const RATE: Grains = 12;

fn terms(me: usize, customer: usize) -> Terms {
    let own = if KEEPER[customer] == me { 4 } else { 1 };
    Terms {
        rate: RATE,
        burst: RATE * 2 * STEP,
        ways: LIMITERS as u64,
        own,
        even: 1,
        whole: 6,
        largest: STEP,
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Limiter {
    purses: Vec<Purse>,
    stalled: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mail {
    customer: usize,
    from: usize,
    gift: Gift,
    /// Copies of it that may still come.
    copies: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Ms,
    limiters: Vec<Limiter>,
    mail: Vec<Mail>,
    granted: [Grains; CUSTOMERS],
    gifts: [Ms; LIMITERS],
    crashes: u8,
    stalls: u8,
    doubles: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Time goes on.
    Tick,
    /// A limiter asks its keeper and gives all it has.
    Ask(usize, usize),
    /// One copy arrives, whatever was sent before it.
    Arrive(usize),
    Double(usize),
    Lose(usize),
    /// Spends all that it may, without anybody's word.
    Spend(usize, usize),
    /// Dies and starts from nothing.
    Crash(usize),
    Stall(usize),
    GoOn(usize),
}

/// What a broken purse does otherwise.
#[derive(Clone, Copy, PartialEq)]
enum Variant {
    Sound,
    /// Takes a gift whenever it comes.
    TakesTwice,
    /// Keeps what it gives.
    KeepsGifts,
    /// Starts with its part of the burst.
    StartsFull,
    /// Takes what was given before its own start.
    TakesAnothersLife,
}

struct Fleet(Variant);

/// Whether this gift would still be taken, so that it is part of what may be spent.
fn still_good(s: &State, m: &Mail) -> bool {
    let keeper = KEEPER[m.customer];
    let mut purse = s.limiters[keeper].purses[m.customer].clone();
    purse.take(&terms(keeper, m.customer), m.from as u16, m.gift, s.now)
}

fn start(variant: Variant, me: usize, now: Ms) -> Limiter {
    let begun = if variant == Variant::TakesAnothersLife {
        0
    } else {
        now
    };
    let mut purses = vec![Purse::empty(now, begun); CUSTOMERS];
    if variant == Variant::StartsFull {
        let full =
            |(c, purse): (usize, &mut Purse)| purse.put_back(&terms(me, c), RATE * STEP / 3, now);
        purses.iter_mut().enumerate().for_each(full);
    }
    Limiter {
        purses,
        stalled: false,
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let begun = 10 * LATEST;
        let limiters = (0..LIMITERS).map(|me| start(self.0, me, begun)).collect();
        let (mail, granted, gifts) = (Vec::new(), [0; CUSTOMERS], [0; LIMITERS]);
        vec![State {
            now: begun,
            limiters,
            mail,
            granted,
            gifts,
            crashes: 0,
            stalls: 0,
            doubles: 0,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.now < 10 * LATEST + STEP * STEPS {
            steps.push(Step::Tick);
        }
        for (me, limiter) in s.limiters.iter().enumerate() {
            if limiter.stalled {
                steps.push(Step::GoOn(me));
                continue;
            }
            for (customer, keeper) in KEEPER.iter().enumerate() {
                steps.push(Step::Spend(me, customer));
                if me != *keeper && s.mail.len() < 2 {
                    steps.push(Step::Ask(me, customer));
                }
            }
            if s.crashes < 1 {
                steps.push(Step::Crash(me));
            }
            if s.stalls < 1 {
                steps.push(Step::Stall(me));
            }
        }
        for n in 0..s.mail.len() {
            if !s.limiters[KEEPER[s.mail[n].customer]].stalled {
                steps.push(Step::Arrive(n));
            }
            steps.push(Step::Lose(n));
            if s.doubles < 1 {
                steps.push(Step::Double(n));
            }
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        let now = s.now;
        match step {
            Step::Tick => s.now += STEP,
            Step::Ask(from, customer) => {
                let (purse, terms) = (
                    &mut s.limiters[from].purses[customer],
                    terms(from, customer),
                );
                let steps = purse.give(&terms, now);
                s.gifts[from] += 1;
                // As the limiter does: no two of its gifts name the same moment.
                let gift = Gift {
                    steps,
                    at: now + s.gifts[from],
                };
                if self.0 == Variant::KeepsGifts {
                    purse.put_back(&terms, steps.into(), now);
                }
                if gift.steps == 0 {
                    return None;
                }
                s.mail.push(Mail {
                    customer,
                    from,
                    gift,
                    copies: 1,
                });
            }
            Step::Arrive(n) => {
                let m = s.mail[n].clone();
                let keeper = KEEPER[m.customer];
                let (purse, terms) = (
                    &mut s.limiters[keeper].purses[m.customer],
                    terms(keeper, m.customer),
                );
                if self.0 == Variant::TakesTwice {
                    purse.put_back(&terms, m.gift.steps.into(), now);
                } else {
                    purse.take(&terms, m.from as u16, m.gift, now);
                }
                s.mail[n].copies -= 1;
                if s.mail[n].copies == 0 {
                    s.mail.remove(n);
                }
            }
            Step::Double(n) => {
                s.mail[n].copies += 1;
                s.doubles += 1;
            }
            Step::Lose(n) => drop(s.mail.remove(n)),
            Step::Spend(me, customer) => {
                let (purse, terms) = (&mut s.limiters[me].purses[customer], terms(me, customer));
                purse.spend(&terms, 0, now);
                let mut may = purse.held();
                while may > 0 && !purse.may(&terms, me as u64, may, now) {
                    may -= may.min(STEP);
                }
                if may == 0 {
                    return None;
                }
                purse.spend(&terms, may, now);
                s.granted[customer] += may;
            }
            Step::Crash(me) => {
                s.limiters[me] = start(self.0, me, now);
                s.crashes += 1;
            }
            Step::Stall(me) => {
                s.limiters[me].stalled = true;
                s.stalls += 1;
            }
            Step::GoOn(me) => s.limiters[me].stalled = false,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // What was granted and what may still be spent, on the way included, is what the rate brought.
            Property::always("within the quota", |_, s: &State| {
                (0..CUSTOMERS).all(|customer| {
                    let held: Grains = (0..LIMITERS).map(|me| held(s, me, customer)).sum();
                    let mail = s
                        .mail
                        .iter()
                        .filter(|m| m.customer == customer && still_good(s, m));
                    let under_way: Grains = mail.map(|m| Grains::from(m.gift.steps)).sum();
                    s.granted[customer] + held + under_way <= RATE * (s.now - 10 * LATEST)
                })
            }),
            Property::always("within what purses may hold", |_, s: &State| {
                (0..CUSTOMERS).all(|customer| {
                    let held = (0..LIMITERS)
                        .map(|me| held(s, me, customer))
                        .sum::<Grains>();
                    held <= terms(0, 0).most_in_hand(1)
                })
            }),
            // The search gets to where it matters.
            Property::sometimes("the keeper spends what others gave", |_, s: &State| {
                s.granted[0] > RATE * 2 / 3 * (s.now - 10 * LATEST) && s.granted[0] > 0
            }),
            Property::sometimes("a gift outlives its worth", |_, s: &State| {
                s.mail
                    .iter()
                    .any(|m| m.gift.at + LATEST + CLOCK_ERROR < s.now)
            }),
        ]
    }
}

/// With what the rate has brought since it was last touched.
fn held(s: &State, me: usize, customer: usize) -> Grains {
    let mut purse = s.limiters[me].purses[customer].clone();
    purse.spend(&terms(me, customer), 0, s.now);
    purse.held()
}

fn check(variant: Variant) -> impl Checker<Fleet> {
    let checker = Fleet(variant).checker().threads(4).target_max_depth(9);
    let enough = if variant == Variant::Sound {
        HasDiscoveries::All
    } else {
        HasDiscoveries::AnyFailures
    };
    checker.finish_when(enough).spawn_bfs().join()
}

#[test]
fn no_order_of_events_grants_more_than_the_rate_brings() {
    let checker = check(Variant::Sound);
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{} states",
        checker.unique_state_count()
    );
}

#[test]
fn each_broken_purse_is_found() {
    for (name, variant) in [
        ("takes twice", Variant::TakesTwice),
        ("keeps gifts", Variant::KeepsGifts),
        ("starts full", Variant::StartsFull),
        (
            "takes what was given to its earlier life",
            Variant::TakesAnothersLife,
        ),
    ] {
        let found = check(variant).discovery("within the quota");
        assert!(found.is_some(), "a purse that {name} passed");
    }
}
