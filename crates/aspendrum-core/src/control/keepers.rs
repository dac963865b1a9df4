//! Which limiter keeps a customer's count, and the words that limiters exchange of it. What a keeper grants
//! it decides as any limiter does (`Control::count`): this only brings the question to the one who can tell.
//!
//! With hundreds of limiters none sees enough of a customer, and the counter bears a call for a third of the
//! queries. The rest, decided without a word of the others, refused a quarter of what had room and let a
//! sixth in beyond the quota. A customer led at one limiter of its set meets the counter as that of a small
//! fleet does.

use super::*;
use crate::word::Whose;

/// Limiters of a customer's set that may keep its count, one after another as those before fall silent.
const KEEPERS: u32 = 3;
/// A keeper answers within its counter's time-out and the way there and back; two silences in a row are no
/// loss on the way. Set beside the counter's, it is asked again after the same pause.
const KEEPER_WAIT: Ms = 100.0;
const KEEPER_MISSES: u32 = 2;
/// A question is asked once more before it counts as missed: datagrams get lost.
const KEEPER_AGAIN: Ms = 50.0;
/// Answers kept for questions that come again.
const SAID: usize = 64;

impl Control {
    /// A client's query: its customer's keeper decides, this limiter if it is that one or nobody can be
    /// reached.
    pub(super) fn begin(&mut self, slot: usize) {
        let acct = self.queries[slot].acct;
        match self.keepers(acct).find(|p| self.hears(*p)) {
            Some(peer) if peer != self.fig.me => self.ask_keeper(slot, peer),
            keeper => {
                let a = &mut self.accts[acct];
                a.kept_at = if keeper.is_some() { self.now } else { a.kept_at };
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
        Whose { acct: a.id, plan: a.plan as u8, first: a.first as u16, spread: a.spread as u16 }
    }

    fn ask_keeper(&mut self, slot: usize, peer: u16) {
        if self.now < self.accts[self.queries[slot].acct].full_until {
            return self.admit(slot, false);
        }
        let paid = self.pay(slot, true, false);
        let q = &mut self.queries[slot];
        (q.keeper, q.since, q.paid) = (Some(peer), self.now, paid);
        self.put(slot, peer);
    }

    fn put(&mut self, slot: usize, peer: u16) {
        let q = &self.queries[slot];
        let (seq, units, ceiling) = (q.id as u16, q.units as f32, !q.paid);
        self.say(peer, Word::Ask { seq, whose: self.whose(q.acct), units, ceiling });
    }

    pub(super) fn say(&mut self, to: u16, word: Word) {
        self.acts.push(Action::Tell { to: Some(to.into()), data: word.write() });
    }

    /// A datagram from another limiter. What makes no sense is dropped and counted.
    pub(super) fn hear(&mut self, from: u16, data: &[u8]) {
        let known = usize::from(from) < self.peers.len();
        let top = self.fig.units_top.max(1.0) as f32;
        match Word::read(data).filter(|_| known && self.fig.keepers) {
            Some(Word::Ask { seq, whose, units, ceiling }) if units <= top => {
                let id = 1 << 63 | u64::from(from) << 16 | u64::from(seq);
                if let Some(&(_, word)) = self.said.iter().find(|s| s.0 == id) {
                    return self.say(from, word);
                }
                let Some(at) = self.kept(&whose) else { return };
                if self.queries.find(id).is_some() {
                    return;
                }
                let units = f64::from(units);
                let worth = self.fig.plans[self.accts[at].plan].price;
                let (until, asked_by) = (f64::INFINITY, Some((from, seq)));
                let q = Query { id, acct: at, units, until, worth, asked_by, ..Query::default() };
                let slot = self.queries.add(id, Query { wants_lead: ceiling, ..q });
                self.live.push(slot);
                self.accts[at].in_hand += 1;
                self.count(slot);
            }
            Some(Word::Back { whose, units }) if units <= top => {
                let Some(at) = self.kept(&whose) else { return };
                let (a, units) = (&mut self.accts[at], f64::from(units));
                let top = self.fig.plans[a.plan].burst;
                (a.level, a.local) = ((a.level + units).min(top), (a.local + units).min(top));
                self.owe(at, -units);
            }
            Some(Word::Answer { seq, granted, wait }) => {
                self.peers[usize::from(from)] = Peer::default();
                let asks =
                    |q: &Query| q.keeper == Some(from) && q.id as u16 == seq && q.stage == Stage::Counting;
                let Some(&slot) = self.live.iter().find(|s| asks(&self.queries[**s])) else { return };
                let at = self.queries[slot].acct;
                self.accts[at].full_until = if granted { 0.0 } else { self.now + wait };
                self.admit(slot, granted);
            }
            _ => {
                self.strange += 1;
                let text = || Action::Log(format!("datagrams that make no sense: {}", self.strange));
                self.acts.extend(self.strange.is_power_of_two().then(text));
            }
        }
    }

    /// A customer that another limiter asks for, kept here from now on.
    fn kept(&mut self, whose: &Whose) -> Option<usize> {
        let (plan, spread) = (usize::from(whose.plan), f64::from(whose.spread).min(self.fig.instances));
        let other = self.accts.find(whose.acct).is_some_and(|at| self.accts[at].plan != plan);
        let sound = whose.acct >> ID_BITS == 0 && self.fig.plans.get(plan).is_some_and(|p| p.rate > 0.0);
        let at = (sound && !other).then(|| self.acct(whose.acct, plan, spread))?;
        let a = &mut self.accts[at];
        (a.kept_at, a.used_at, a.first) = (self.now, self.now, f64::from(whose.first));
        Some(at)
    }

    /// Units that were granted and went to no server.
    pub(super) fn give_back(&mut self, slot: usize) {
        let Query { acct: at, units, keeper, .. } = self.queries[slot];
        if let Some(peer) = keeper {
            return self.say(peer, Word::Back { whose: self.whose(at), units: units as f32 });
        }
        let a = &mut self.accts[at];
        a.level += units;
        a.local += if a.ways == 1.0 { units } else { 0.0 };
        self.owe(at, -units);
    }

    /// The word on another limiter's question; refused, with the time until the refill makes room.
    pub(super) fn answer(&mut self, slot: usize) {
        let q = &self.queries[slot];
        let (Some((peer, seq)), a, granted) = (q.asked_by, &self.accts[q.acct], q.inside) else { return };
        let fig = &self.fig.plans[a.plan];
        let short = ((q.units - a.local).max(0.0) / fig.rate.max(1e-9)).min(fig.window);
        let word = Word::Answer { seq, granted, wait: if granted { 0.0 } else { short } };
        self.said.truncate(SAID - 1);
        self.said.push_front((q.id, word));
        self.say(peer, word);
    }

    /// Its keeper has not answered yet: asked again, then given up for this query, and for a while after
    /// silences in a row.
    pub(super) fn watch_keeper(&mut self, slot: usize, peer: u16) {
        let q = &mut self.queries[slot];
        let waited = self.now - q.since;
        if !q.again && waited > KEEPER_AGAIN {
            q.again = true;
            self.put(slot, peer);
        } else if waited > KEEPER_WAIT + self.fig.counter_wait {
            q.keeper = None;
            let p = &mut self.peers[usize::from(peer)];
            p.missed += 1;
            if p.missed >= KEEPER_MISSES {
                // One more silence after the pause, and it is left alone again.
                (p.missed, p.silent_until) = (KEEPER_MISSES - 1, self.now + PROBE_EVERY);
            }
            self.count(slot);
        }
    }
}
