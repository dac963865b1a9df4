//! A limiter's purse of one customer: units that it may spend without anybody's word.
//!
//! Each limiter of the set fills its own purse with its share of the rate, from its start on and from
//! nothing. Whoever names the shares sees to it that those of all limiters of the set are the whole: even
//! parts, or some more and some none. Whoever asks the customer's keeper gives it all that is in its own purse, in the question
//! itself. A gift is gone from the giver before it is sent, and taken at most once: it names its moment, and
//! the keeper takes only what is later than the last it took from that giver, younger than [`LATEST`], and
//! sent after its own start. What is lost on the way nobody spends.
//!
//! So all purses and gifts on their way together never hold more than what the rate has brought and nobody
//! has spent, and each purse has a cap: what was granted in any time T is at most the rate times T and what
//! all purses held at its beginning.

use crate::{Grains, Ms};

/// A gift that is older when it comes is of no worth. It must be more than datagrams take, and less than what
/// a purse is kept for after its last use.
pub const LATEST: Ms = 1_000;
/// Limiters' clocks differ by no more. A gift sent so soon after its taker's start may have been sent before
/// it.
pub const CLOCK_ERROR: Ms = 50;

/// A customer's quota, the same at all limiters of its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Grains a millisecond, and grains at once, of the whole quota.
    pub rate: Grains,
    pub burst: Grains,
    /// Limiters of the set; at least 1.
    pub ways: u64,
    /// Shares of the whole, in parts of `whole`: this limiter's own, and what each giver's is counted as in
    /// the cap of whoever takes. All limiters' own shares together are the whole.
    pub own: u64,
    pub even: u64,
    pub whole: u64,
    /// What the largest query takes.
    pub largest: Grains,
}

impl Terms {
    /// The time in which the rate fills the burst; 1 at least.
    pub fn window(&self) -> Ms {
        (self.burst / self.rate.max(1)).max(1)
    }

    /// What one step of a gift stands for: gifts up to the burst can be told.
    fn step(&self) -> Grains {
        (self.burst.max(self.largest) / Grains::from(u16::MAX)).max(1)
    }

    fn share(&self, of: Grains, parts: u64) -> Grains {
        let parts = parts.min(self.whole);
        (u128::from(of) * u128::from(parts) / u128::from(self.whole.max(1))) as Grains
    }

    /// Limiters that may each spend a query of that size at one time within what even shares have of the
    /// burst; 1 at least.
    fn seats(&self, grains: Grains) -> u64 {
        let even = self.share(self.burst, self.even.saturating_mul(self.ways));
        (even / grains.max(1)).clamp(1, self.ways.max(1))
    }

    /// What is granted in any time `t` is at most the rate times `t` and this: what the purses may hold when it
    /// begins. Each of `keepers` that were given to in the last window holds a burst at most (a largest query,
    /// where that is more), all others together their parts of one, and each up to a largest query.
    pub fn most_in_hand(&self, keepers: u64) -> Grains {
        self.burst.max(self.largest) * keepers + self.burst + self.ways.max(1) * self.largest
    }
}

fn in_turn(terms: &Terms, place: u64, grains: Grains, now: Ms) -> bool {
    let (ways, seats) = (terms.ways.max(1), terms.seats(grains));
    let first = now / terms.window() % ways * seats % ways;
    (place % ways + ways - first) % ways < seats
}

/// What a limiter gives its keeper along with a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Gift {
    /// Steps of the burst, as [`Purse::give`] tells them.
    pub steps: u16,
    /// When it was given, by the giver's clock. No two gifts of one giver have the same.
    pub at: Ms,
}

/// The last that was taken from a giver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Giver {
    number: u16,
    at: Ms,
    /// By this limiter's own clock.
    taken: Ms,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Purse {
    held: Grains,
    /// `held` is as of then, and the remainder of the filling, in parts of a grain by `whole`.
    as_of: Ms,
    rest: u64,
    begun: Ms,
    givers: Vec<Giver>,
}

impl Purse {
    /// Empty at that moment; `begun`: this limiter's own start, before which it took no gift.
    pub fn empty(since: Ms, begun: Ms) -> Purse {
        Purse {
            held: 0,
            as_of: since,
            rest: 0,
            begun,
            givers: Vec::new(),
        }
    }

    /// Its own part of the burst, and one for each giver of the last window: what these gave they do not
    /// hold.
    fn parts(&self, terms: &Terms, now: Ms) -> Grains {
        let fresh = self
            .givers
            .iter()
            .filter(|g| now.saturating_sub(g.taken) <= terms.window())
            .count() as u64;
        terms.share(terms.burst, terms.own + terms.even * fresh)
    }

    /// What it holds at most: its parts, or a whole query where they are less.
    fn cap(&self, terms: &Terms, now: Ms) -> Grains {
        self.parts(terms, now).max(terms.largest)
    }

    fn fill(&mut self, terms: &Terms, now: Ms) {
        let whole = u128::from(terms.whole.max(1));
        let gone = u128::from(now.saturating_sub(self.as_of));
        let parts = u128::from(terms.rate) * gone * u128::from(terms.own) + u128::from(self.rest);
        let more = Grains::try_from(parts / whole).unwrap_or(Grains::MAX);
        (self.rest, self.as_of) = ((parts % whole) as u64, self.as_of.max(now));
        self.held = self.held.saturating_add(more).min(self.cap(terms, now));
    }

    /// Whether the limiter in that place of the set, 0 the first, may spend so much now.
    ///
    /// Where its parts are less than the query, as many limiters as the burst has such queries may spend at a
    /// time, in turn by the clock: all could hold one, and all at once would be many times the burst.
    pub fn may(&mut self, terms: &Terms, place: u64, grains: Grains, now: Ms) -> bool {
        self.fill(terms, now);
        let turn = || self.parts(terms, now) >= grains || in_turn(terms, place, grains, now);
        self.held >= grains && turn()
    }

    /// Takes that out, as far as it is there: what the counter granted is spent here too.
    pub fn spend(&mut self, terms: &Terms, grains: Grains, now: Ms) {
        self.fill(terms, now);
        self.held = self.held.saturating_sub(grains);
    }

    /// The counter's word: so much is left of the whole. Its share of that is what it holds.
    pub fn set(&mut self, terms: &Terms, left: Grains, now: Ms) {
        self.fill(terms, now);
        let parts = self.parts(terms, now);
        self.held = (u128::from(left.min(terms.burst)) * u128::from(parts)
            / u128::from(terms.burst.max(1))) as Grains;
    }

    /// Puts back what was spent and went to no server.
    pub fn put_back(&mut self, terms: &Terms, grains: Grains, now: Ms) {
        self.fill(terms, now);
        self.held = self.held.saturating_add(grains).min(self.cap(terms, now));
    }

    /// Takes all out, to be given to the customer's keeper in a [`Gift`]; how many steps of the burst it is.
    /// What its parts do not hold is nobody's from then on: given away in the end, the whole queries that
    /// limiters hold for the time when they are alone would come to many bursts.
    pub fn give(&mut self, terms: &Terms, now: Ms) -> u16 {
        self.fill(terms, now);
        let steps = self.held.min(self.parts(terms, now)) / terms.step();
        let (steps, over) = (
            steps.min(u16::MAX.into()),
            self.held > self.parts(terms, now),
        );
        self.held = if over {
            0
        } else {
            self.held - steps * terms.step()
        };
        steps as u16
    }

    /// Takes a gift in. False: it is old, has come before, or may have been meant for an earlier start of
    /// this limiter; nothing is taken then.
    pub fn take(&mut self, terms: &Terms, from: u16, gift: Gift, now: Ms) -> bool {
        self.fill(terms, now);
        let late = gift.at + LATEST < now;
        let early = gift.at > now + CLOCK_ERROR || gift.at < self.begun + CLOCK_ERROR;
        let known = self.givers.iter().position(|g| g.number == from);
        if late || early || known.is_some_and(|n| self.givers[n].at >= gift.at) {
            return false;
        }
        // Whoever has not given for so long that nothing of it could be taken twice is forgotten.
        let keep = terms.window().max(LATEST + CLOCK_ERROR);
        self.givers
            .retain(|g| g.number == from || now.saturating_sub(g.taken) <= keep);
        match self.givers.iter_mut().find(|g| g.number == from) {
            Some(giver) => (giver.at, giver.taken) = (gift.at, now),
            None => self.givers.push(Giver {
                number: from,
                at: gift.at,
                taken: now,
            }),
        }
        self.held = self
            .held
            .saturating_add(Grains::from(gift.steps) * terms.step())
            .min(self.cap(terms, now));
        true
    }

    /// Whether that limiter gave within the last half of a window: it need not be asked for what it holds.
    pub fn heard(&self, terms: &Terms, from: u16, now: Ms) -> bool {
        self.givers
            .iter()
            .any(|g| g.number == from && now.saturating_sub(g.taken) <= terms.window() / 2)
    }

    /// What it holds, spent in turn or not.
    pub fn held(&self) -> Grains {
        self.held
    }
}
