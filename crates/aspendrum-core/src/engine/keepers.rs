//! Which limiter keeps a customer's count, and the words that limiters exchange of it. What a keeper grants
//! it decides as any limiter does (`Control::count`): this only brings the question to the one who can tell.
//!
//! With hundreds of limiters none sees enough of a customer, and the counter bears a call for a third of the
//! queries. The rest, decided without a word of the others, refused a quarter of what had room and let a
//! sixth in beyond the quota. A customer led at one limiter of its set meets the counter as that of a small
//! fleet does.

use super::counting::{ID_BITS, KEPT_FOR, PROBE_EVERY, SPARSE_PART};
use super::GOLDEN;
use crate::api::*;
use crate::state::*;
use crate::word::Word;
use crate::word::{Stamp, Whose};
use aspendrum_token_bucket::{BucketLimits, TokenBucket, TokenTransfer, ONE_TOKEN};

/// Limiters of a customer's set that may keep its count, one after another as those before fall silent.
const KEEPERS: u32 = 3;
/// A keeper answers within its counter's time-out and the way there and back; two silences in a row are no
/// loss on the way. Set beside the counter's, it is asked again after the same pause.
const KEEPER_WAIT: Millis = 100.0;
const KEEPER_MISSES: u32 = 2;
/// A question is asked once more before it counts as missed: datagrams get lost.
const KEEPER_AGAIN: Millis = 50.0;
/// While the breaker is open a probe a second asks the counter: two without a word, and it is silent.
const SILENT_AFTER: Millis = 2.5 * PROBE_EVERY;
/// Of the words that a limiter takes in, those that it may ask for with `Want`, and how many at once.
const WANTED_SHARE: f64 = 0.25;
const WANTS: f64 = 8.0;
/// Answers kept for questions that come again.
const SAID: usize = 64;

/// The keepers' shares of a quota that is thin among its limiters.
const THIN: [f64; KEEPERS as usize] = [0.5, 0.3, 0.2];
/// Of what even shares are told in, each limiter's part of the whole.
const PARTS: f64 = 100.0;

/// Units as purses count them, rounded up.
fn grains(units: f64) -> u64 {
    (units * ONE_TOKEN as f64).ceil() as u64
}

/// Another limiter's question, among all.
fn said_id(from: u16, stamp: Stamp) -> RequestId {
    1 << 63 | u64::from(from) << 32 | u64::from(stamp)
}

impl DecisionEngine {
    /// The least time between two words that ask for gifts.
    pub(super) fn want_every(peer_in_per_s: f64) -> Millis {
        if peer_in_per_s > 0.0 {
            1000.0 / (WANTED_SHARE * peer_in_per_s)
        } else {
            0.0
        }
    }

    /// Where limiters speak to each other, each fills its purse from its start on: whatever it held before it
    /// has forgotten, and it may have spent or given all of that.
    pub(super) fn purse(&self, since: Millis) -> TokenBucket {
        TokenBucket::new(since as u64, self.begun as u64)
    }

    /// Decided. Granted here by whatever word, it is spent: the purse never holds what the counter gave away.
    pub(super) fn settled(&mut self, slot: usize, inside: bool) {
        let q = &mut self.queries[slot];
        q.inside = inside;
        if inside && q.keeper.is_none() && self.fig.keepers {
            let (at, units) = (q.acct, grains(q.units));
            let terms = self.terms(at);
            self.accts[at].purse.spend(&terms, units, self.now as u64);
        }
    }

    /// A client's query: its customer's keeper decides, this limiter if it is that one or nobody can be
    /// reached.
    pub(super) fn begin(&mut self, slot: usize) {
        let acct = self.queries[slot].acct;
        self.accts[acct].asked_at = self.now;
        self.lead(slot, 0);
    }

    /// The first of the keepers from that one on that is heard decides.
    fn lead(&mut self, slot: usize, from: usize) {
        let acct = self.queries[slot].acct;
        match self.keepers(acct).skip(from).find(|p| self.hears(*p)) {
            Some(peer) if peer != self.fig.me => self.ask_keeper(slot, peer),
            keeper => {
                let a = &mut self.accts[acct];
                a.kept_at = if keeper.is_some() {
                    self.now
                } else {
                    a.kept_at
                };
                self.count(slot);
            }
        }
    }

    /// Who may keep the customer's count: told by its id and its set, so that all of the set conclude the
    /// same.
    pub(super) fn keepers(&self, acct: usize) -> impl Iterator<Item = u16> {
        let a = &self.accts[acct];
        let (id, first, spread, instances) = (a.id as f64, a.first, a.spread, self.fig.instances);
        let kept = self.fig.keepers && a.spread > 1.0 && self.fig.plans[a.plan].rate > 0.0;
        (0..if kept { KEEPERS } else { 0 }).map(move |n| {
            let place = ((id + f64::from(n)) * GOLDEN).fract() * spread;
            ((first + place.floor()) % instances) as u16
        })
    }

    fn hears(&self, peer: u16) -> bool {
        peer == self.fig.me || self.peers[usize::from(peer)].silent_until <= self.now
    }

    fn whose(&self, acct: usize) -> Whose {
        let a = &self.accts[acct];
        Whose {
            acct: a.id,
            plan: a.plan as u8,
            first: a.first as u16,
            spread: a.spread as u16,
        }
    }

    fn ask_keeper(&mut self, slot: usize, peer: u16) {
        if self.now < self.accts[self.queries[slot].acct].full_until {
            return self.admit(slot, false);
        }
        let paid = self.queries[slot].paid || self.pay(slot, true, false);
        let (at, units) = (self.queries[slot].acct, self.queries[slot].units as f32);
        // What is given to a keeper that does not hear it is lost, and what one grants that is not heard too.
        let (stamp, whose) = (self.stamp(), self.whose(at));
        let ask = |gift| Word::Ask {
            stamp,
            whose,
            units,
            ceiling: !paid,
            gift,
        };
        let Peer { answers, alone, .. } = self.peers[usize::from(peer)];
        let word = match (answers, alone || self.outage()) {
            (true, true) => ask(self.gift(at)),
            (false, true) => Word::Hello { stamp },
            // The counter makes good what one that is not heard grants, and a keeper that has its word needs no
            // gift: what each holds it has in hand when the counter falls silent.
            (_, false) => ask(0),
        };
        let q = &mut self.queries[slot];
        (q.keeper, q.since, q.paid, q.asked) = (Some(peer), self.now, paid, Some(word));
        self.say(peer, word);
    }

    /// No two words of this limiter name the same moment, also after a restart.
    fn stamp(&mut self) -> Stamp {
        self.stamp = (self.stamp + 1).max(self.now as u64);
        self.stamp as Stamp
    }

    /// The moment that another limiter named, by the clock that all read.
    fn moment(&self, stamp: Stamp) -> u64 {
        let now = self.now as u64;
        now.wrapping_add_signed(i64::from(stamp.wrapping_sub(now as Stamp) as i32))
    }

    /// The quota as purses count it, rounded down, in even parts. Where these are less than a query, hundreds would
    /// have to be fetched before the first is granted: the keepers have it all then, and whoever hears one of them
    /// is served.
    fn terms(&self, at: usize) -> BucketLimits {
        let a = &self.accts[at];
        let plan = &self.fig.plans[a.plan];
        let down = |units: f64| (units * ONE_TOKEN as f64) as u64;
        let (ways, whole) = (a.spread as u64, PARTS as u64 * a.spread as u64);
        let thin = plan.burst < SPARSE_PART * a.spread && self.fig.keepers;
        let (even, own) = if thin {
            let place = self.keepers(at).position(|k| k == self.fig.me);
            (0, place.map_or(0, |n| (THIN[n] * whole as f64) as u64))
        } else {
            (PARTS as u64, PARTS as u64)
        };
        let (rate, burst, largest) = (down(plan.rate), down(plan.burst), down(self.fig.units_top));
        BucketLimits {
            rate,
            burst,
            limiters: ways,
            own_shares: own,
            even_shares: even,
            total_shares: whole,
            largest_request: largest,
        }
    }

    /// All that its purse holds, out of it.
    fn gift(&mut self, at: usize) -> u16 {
        let terms = self.terms(at);
        let a = &mut self.accts[at];
        a.purse.withdraw_all(&terms, self.now as u64)
    }

    fn take_gift(&mut self, at: usize, from: u16, stamp: Stamp, steps: u16) {
        let gift = TokenTransfer {
            steps,
            sent_at: self.moment(stamp),
        };
        let terms = self.terms(at);
        self.accts[at]
            .purse
            .receive(&terms, from, gift, self.now as u64);
    }

    /// A word of the counter's, or none where one was due.
    pub(super) fn told(&mut self, name: u64, outcome: Outcome, total: f64, rtt: Millis) {
        if matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.heard_at = Some(self.now);
        }
        self.counted(name, outcome, total, rtt);
        let acct = self.accts.find(name & ((1 << ID_BITS) - 1));
        if let Some(at) = acct.filter(|_| outcome == Outcome::Ok && self.fig.keepers) {
            self.weigh(at);
        }
    }

    /// As far as this limiter can tell, the counter says nothing. One that is too small turns calls away and fails
    /// them all day, and still has the last word: held against it, purses refused what had room (herd+mass 0.78 ->
    /// 0.38).
    fn outage(&self) -> bool {
        let silent = self.heard_at.is_none_or(|at| self.now - at > SILENT_AFTER);
        !self.fig.counter || silent && (self.breaker == Breaker::Open || self.failures > 0)
    }

    /// The counter has told what is left: this limiter's share of it is in its purse.
    fn weigh(&mut self, at: usize) {
        let terms = self.terms(at);
        let a = &mut self.accts[at];
        a.purse.set_remaining(
            &terms,
            (a.level.max(0.0) * ONE_TOKEN as f64) as u64,
            self.now as u64,
        );
    }

    /// Room without the counter's word. Where it says nothing at all, what was counted with its word before is no
    /// licence: with links cut each side went by the whole quota, 2.3 of it in two halves, and each start handed
    /// out a burst until the breaker opened. What the set's limiters hold and give each other is never more.
    pub(super) fn room(&mut self, slot: usize) -> bool {
        let Query {
            acct: at,
            units,
            asked_by,
            ..
        } = self.queries[slot];
        if !self.fig.keepers || !self.outage() {
            let a = &mut self.accts[at];
            return a.room_here(&self.fig.plans[a.plan], units, self.now);
        }
        let (terms, now) = (self.terms(at), self.now as u64);
        let a = &mut self.accts[at];
        let place = (f64::from(self.fig.me) - a.first).rem_euclid(self.fig.instances) as u64;
        let room = a.purse.can_spend(&terms, place, grains(units), now);
        if !room {
            self.want(at, &terms);
        }
        room || asked_by.is_none() && self.spare_query(at, units)
    }

    /// Nobody's word and nothing in hand: a thin quota's even part is less than a query, and whoever hears nobody
    /// would refuse all (split+mass 0.58 -> 0.41). A limiter that had the counter's word since its start lets one
    /// query of a customer through in each silence of the counter, and no more often than the even part brings it.
    /// A start has none.
    fn spare_query(&mut self, at: usize, units: f64) -> bool {
        let may = self.has_spare(at, units);
        self.accts[at].spare = if may {
            (self.heard_at, self.now)
        } else {
            self.accts[at].spare
        };
        may
    }

    /// What the local count let through before the silence was found is that query.
    fn has_spare(&mut self, at: usize, units: f64) -> bool {
        let terms = self.terms(at);
        let refill =
            terms.largest_request as f64 * terms.limiters as f64 / terms.rate.max(1) as f64;
        let a = &mut self.accts[at];
        let unused =
            a.spare.0 != self.heard_at && (a.spare.0.is_none() || self.now - a.spare.1 >= refill);
        let may = terms.even_shares == 0 && self.heard_at.is_some() && unused;
        may && a.room_here(&self.fig.plans[a.plan], units, self.now)
    }

    /// Out of units, a keeper asks those of the set that have not given lately for what they hold, one after
    /// another, each at most twice in the time that fills the burst: what idle limiters hold goes to where the
    /// traffic is. A part of the words that a limiter takes in is for that.
    fn want(&mut self, at: usize, terms: &BucketLimits) {
        let (a, now) = (&self.accts[at], self.now as u64);
        if self.now - a.kept_at > KEPT_FOR {
            return;
        }
        // A thin quota is all with the keepers.
        let mut holders = [0; KEEPERS as usize];
        let thin = terms.even_shares == 0;
        let count = if thin {
            u64::from(KEEPERS)
        } else {
            terms.limiters
        };
        let pause = (terms.fill_time() as f64 / count as f64).max(self.fig.want_every);
        let due = ((self.now - a.wanted.1) / pause).min(WANTS) as usize;
        if due == 0 {
            return;
        }
        holders
            .iter_mut()
            .zip(self.keepers(at))
            .for_each(|(place, k)| *place = k);
        let a = &mut self.accts[at];
        let peer = |n: u64| {
            let n = (n % count) as usize;
            if thin {
                holders[n]
            } else {
                ((a.first + n as f64) % self.fig.instances) as u16
            }
        };
        let idle = |n: &u64| peer(*n) != self.fig.me && !a.purse.heard_lately(terms, peer(*n), now);
        let places: Vec<u64> = (a.wanted.0..a.wanted.0 + count)
            .filter(idle)
            .take(due)
            .collect();
        let peers: Vec<u16> = places.iter().map(|n| peer(*n)).collect();
        if let Some(last) = places.last() {
            a.wanted = ((last + 1) % count, self.now);
        }
        let whose = self.whose(at);
        peers
            .into_iter()
            .for_each(|to| self.say(to, Word::Want { whose }));
    }

    pub(super) fn say(&mut self, to: u16, word: Word) {
        self.acts.push(Action::SendDatagram {
            to: Some(to.into()),
            data: word.write(),
        });
    }

    /// A datagram from another limiter. What makes no sense is dropped and counted.
    pub(super) fn hear(&mut self, from: u16, data: &[u8]) {
        let known = usize::from(from) < self.peers.len();
        let top = self.fig.units_top.max(1.0) as f32;
        match Word::read(data).filter(|_| known && self.fig.keepers) {
            Some(Word::Ask {
                stamp,
                whose,
                units,
                ceiling,
                gift,
            }) if units <= top => {
                let id = said_id(from, stamp);
                if let Some(said) = self.said.iter().find(|s| s.id == id) {
                    return self.say(from, said.word);
                }
                let Some(at) = self.kept(&whose) else { return };
                if self.queries.find(id).is_some() {
                    return;
                }
                self.take_gift(at, from, stamp, gift);
                let units = f64::from(units);
                let worth = self.fig.plans[self.accts[at].plan].price;
                let (until, asked_by) = (f64::INFINITY, Some((from, stamp as u16)));
                let q = Query {
                    id,
                    acct: at,
                    units,
                    until,
                    worth,
                    asked_by,
                    ..Query::default()
                };
                let slot = self.queries.add(
                    id,
                    Query {
                        wants_lead: ceiling,
                        ..q
                    },
                );
                self.live.push(slot);
                self.accts[at].in_hand += 1;
                self.count(slot);
            }
            Some(Word::Hello { stamp }) => {
                let (seq, alone) = (stamp as u16, self.outage());
                self.say(
                    from,
                    Word::Answer {
                        seq,
                        granted: false,
                        alone,
                        wait: 0.0,
                    },
                );
            }
            // Only what was granted here, and once: it would be handed out as often as it came.
            Some(Word::Back { stamp }) => {
                let id = said_id(from, stamp);
                let Some(said) = self.said.iter_mut().find(|s| s.id == id) else {
                    return;
                };
                let (acct, units) = (said.acct, std::mem::take(&mut said.units));
                let Some(at) = self.accts.find(acct) else {
                    return;
                };
                let terms = self.terms(at);
                let a = &mut self.accts[at];
                let top = self.fig.plans[a.plan].burst;
                (a.level, a.local) = ((a.level + units).min(top), (a.local + units).min(top));
                a.purse.refund(&terms, grains(units), self.now as u64);
                self.owe(at, -units);
            }
            Some(Word::Want { whose }) => {
                let Some(at) = self.member(&whose) else {
                    return;
                };
                // Whoever has queries of its own and no answer may be one that is not heard.
                let idle =
                    self.now - self.accts[at].asked_at > self.fig.plans[self.accts[at].plan].window;
                let gift = if idle || self.peers[usize::from(from)].answers {
                    self.gift(at)
                } else {
                    0
                };
                if gift > 0 {
                    let stamp = self.stamp();
                    self.say(from, Word::Gift { stamp, whose, gift });
                }
            }
            Some(Word::Gift { stamp, whose, gift }) => {
                if let Some(at) = self.member(&whose) {
                    self.take_gift(at, from, stamp, gift);
                }
            }
            Some(Word::Old) => {}
            Some(Word::Answer {
                seq,
                granted,
                alone,
                wait,
            }) => {
                self.peers[usize::from(from)] = Peer {
                    answers: true,
                    alone,
                    ..Peer::default()
                };
                let asks = |q: &Query| {
                    let this = q
                        .asked
                        .and_then(Word::stamp)
                        .is_some_and(|stamp| stamp as u16 == seq);
                    this && q.keeper == Some(from) && q.stage == Stage::Counting
                };
                let Some(&slot) = self.live.iter().find(|s| asks(&self.queries[**s])) else {
                    return;
                };
                let (at, asked) = (self.queries[slot].acct, self.queries[slot].asked);
                if matches!(asked, Some(Word::Hello { .. })) {
                    return self.ask_keeper(slot, from);
                }
                self.accts[at].full_until = if granted { 0.0 } else { self.now + wait };
                self.admit(slot, granted);
            }
            _ => {
                self.strange += 1;
                let text =
                    || Action::Log(format!("datagrams that make no sense: {}", self.strange));
                self.acts.extend(self.strange.is_power_of_two().then(text));
            }
        }
    }

    /// A customer that another limiter asks for, kept here from now on.
    fn kept(&mut self, whose: &Whose) -> Option<usize> {
        let at = self.member(whose)?;
        self.accts[at].kept_at = self.now;
        Some(at)
    }

    /// A customer that another limiter speaks of.
    fn member(&mut self, whose: &Whose) -> Option<usize> {
        let (plan, spread) = (
            usize::from(whose.plan),
            f64::from(whose.spread).min(self.fig.instances),
        );
        let other = self
            .accts
            .find(whose.acct)
            .is_some_and(|at| self.accts[at].plan != plan);
        let sound =
            whose.acct >> ID_BITS == 0 && self.fig.plans.get(plan).is_some_and(|p| p.rate > 0.0);
        let at = (sound && !other).then(|| self.acct(whose.acct, plan, spread))?;
        let a = &mut self.accts[at];
        (a.used_at, a.first) = (self.now, f64::from(whose.first));
        Some(at)
    }

    /// Units that were granted and went to no server.
    pub(super) fn give_back(&mut self, slot: usize) {
        let Query {
            acct: at,
            units,
            keeper,
            asked,
            ..
        } = self.queries[slot];
        if let (Some(peer), Some(Word::Ask { stamp, .. })) = (keeper, asked) {
            return self.say(peer, Word::Back { stamp });
        }
        let terms = self.terms(at);
        let a = &mut self.accts[at];
        a.purse.refund(&terms, grains(units), self.now as u64);
        a.level += units;
        a.local += if a.ways == 1.0 { units } else { 0.0 };
        self.owe(at, -units);
    }

    /// The word on another limiter's question; refused, with the time until the refill makes room.
    pub(super) fn answer(&mut self, slot: usize) {
        let q = &self.queries[slot];
        let (Some((peer, seq)), a, granted) = (q.asked_by, &self.accts[q.acct], q.inside) else {
            return;
        };
        let fig = &self.fig.plans[a.plan];
        let alone = self.outage();
        let held = if alone {
            a.purse.tokens() as f64 / ONE_TOKEN as f64
        } else {
            a.local
        };
        let short = ((q.units - held).max(0.0) / fig.rate.max(1e-9)).min(fig.window);
        let word = Word::Answer {
            seq,
            granted,
            alone,
            wait: if granted { 0.0 } else { short },
        };
        let units = if granted { q.units } else { 0.0 };
        let said = Said {
            id: q.id,
            word,
            acct: a.id,
            units,
        };
        self.said.truncate(SAID - 1);
        self.said.push_front(said);
        self.say(peer, word);
    }

    /// Its keeper has not answered yet: asked again, then given up for this query, and for a while after
    /// silences in a row.
    pub(super) fn watch_keeper(&mut self, slot: usize, peer: u16) {
        let q = &mut self.queries[slot];
        let waited = self.now - q.since;
        if !q.again && waited > KEEPER_AGAIN {
            q.again = true;
            if let Some(word) = q.asked {
                self.say(peer, word);
            }
        } else if waited > KEEPER_WAIT + self.fig.counter_wait {
            (q.keeper, q.again) = (None, false);
            let (acct, units) = (q.acct, q.units);
            let p = &mut self.peers[usize::from(peer)];
            (p.missed, p.answers) = (p.missed + 1, false);
            if p.missed >= KEEPER_MISSES {
                // One more silence after the pause, and it is left alone again.
                (p.missed, p.silent_until) = (KEEPER_MISSES - 1, self.now + PROBE_EVERY);
            }
            // With a spare query it need not wait for the others' silence too: three of them are half of an SLO time.
            if !self.outage() || self.has_spare(acct, units) {
                return self.count(slot);
            }
            // The next may hear what this one does not: counted alone, a query a second of each limiter went to
            // find the first one silent again, and that was most of them where each sees few.
            let next = self
                .keepers(acct)
                .position(|k| k == peer)
                .map_or(0, |n| n + 1);
            self.lead(slot, next);
        }
    }
}
