//! Whether a customer has room: its count, the breaker, the local count, the log and the replay.

use super::{GOLDEN, IDLE};
use crate::api::*;
use crate::state::*;

/// A name lives as long as the counter allows: each rebirth hides what others added just before it.
const NAME_TTL: Millis = 60_000.0;
/// Of a ceiling, what limiters split; the rest is slack for grants that wait and go out together.
const CEILING_SHARE: f64 = 0.9;
/// The share of queries that ask: more with each prompt answer and with time, less with each late one.
const ASK_GAIN: f64 = 0.03;
const ASK_GAIN_MS: f64 = 0.000_005;
const ASK_CUT: f64 = 0.2;
const STAKE_GAIN: f64 = 0.05;
const NEED: f64 = 8.0;
const ASK_LEAST: f64 = 0.05;
const LATE: f64 = 0.5;
/// Under this many units in a limiter's even part of the burst it sees a customer too seldom to follow it.
pub(super) const SPARSE_PART: f64 = 1.0;
pub(super) const ID_BITS: u32 = 40;
const LATELY: Millis = 5000.0;
/// Of a ceiling, what the first keeper grants from.
pub(super) const LEAD_PART: f64 = 0.6;
pub(super) const KEPT_FOR: Millis = 2000.0;
/// A window's name must outlive the window by more than the way to the counter.
const SPARSE_TTL: Millis = 1000.0;
pub(super) const SETTLE_AFTER: Millis = 200.0;
const STRAINED_FOR: Millis = 2000.0;
/// Three, as the source has it, swung open on a counter that still answered most of its calls.
const FAILURES: u32 = 5;
pub(super) const PROBE_EVERY: Millis = 1000.0;

const BREAKER: [(Breaker, Signal, Breaker, Effect); 2] = [
    (
        Breaker::Closed,
        Signal::Failures,
        Breaker::Open,
        Effect::ProbeSoon,
    ),
    (
        Breaker::Open,
        Signal::ProbeAnswered,
        Breaker::Closed,
        Effect::Replay,
    ),
];

/// A ceiling holds by this part alone, which starts with nothing: `share` of the whole; `keep` of it stays.
pub(super) fn spend_part(
    part: &mut Part,
    fig: &PlanFig,
    share: f64,
    units: f64,
    keep: f64,
    now: Millis,
) -> bool {
    let share = CEILING_SHARE * share;
    part.left =
        (part.left + share * fig.ceiling_rate * (now - part.at)).min(share * fig.ceiling_burst);
    part.at = now;
    let can = fig.ceiling_rate <= 0.0 || part.left - units >= keep * share * fig.ceiling_burst;
    part.left -= if can { units } else { 0.0 };
    can
}

/// Sparse customers' names: one a window of burst over rate, by the clock, set apart lest all turn at once.
impl Acct {
    pub(super) fn turn(&self, now: Millis, fig: &PlanFig) -> f64 {
        now / fig.window.max(1.0) + (self.id as f64 * GOLDEN).fract()
    }

    pub(super) fn turn_window(&mut self, now: Millis, fig: &PlanFig) {
        let window = self.turn(now, fig).floor();
        if self.sparse && window != self.window {
            (self.window, self.carry, self.seen) = (window, 0.0, false);
        }
    }

    /// The local count: even parts of rate and burst, and whatever the last read left it.
    pub(super) fn room_here(&mut self, fig: &PlanFig, units: f64, now: Millis) -> bool {
        let cap = fig.burst / self.ways;
        let top = if self.sparse {
            cap
        } else {
            cap.max(self.local)
        };
        self.local =
            (self.local + fig.rate / self.ways * (now - self.local_at)).min(top.max(units));
        self.local_at = now;
        self.local >= units
    }

    /// A count that goes over to one limiter, or back to all, knows nothing yet of what the others used.
    pub(super) fn split(&mut self, fig: &PlanFig, ways: f64, now: Millis) {
        let known = fig.windowed && self.ways > 0.0;
        (self.ways, self.sparse) = (ways, fig.windowed || fig.burst < SPARSE_PART * ways);
        if known {
            return; // Limiters that come and go hand nobody a fresh part.
        }
        // Parts under a whole query would let nobody send: each limiter of a sparse customer may send one.
        self.local = if self.sparse {
            fig.burst
        } else {
            fig.burst / ways
        };
        (self.level, self.at, self.local_at) = (fig.burst, now, now);
        (self.seen, self.total, self.carry, self.window) = (false, 0.0, 0.0, 0.0);
    }

    pub(super) fn name(&mut self, now: Millis, fig: &PlanFig) -> (u64, Millis) {
        self.turn_window(now, fig);
        let window = (self.window as u64 + 1) & ((1 << (64 - ID_BITS)) - 1);
        let (sparse, plain) = (
            (window << ID_BITS | self.id, fig.window + SPARSE_TTL),
            (self.id, NAME_TTL),
        );
        [plain, sparse][usize::from(self.sparse)]
    }
}

impl DecisionEngine {
    /// This limiter's own part of the ceiling, or the keeper's where it is the first of the keepers.
    pub(super) fn pay(&mut self, slot: usize, own: bool, lead: bool) -> bool {
        let Query {
            acct: at, units, ..
        } = self.queries[slot];
        let lead = lead && self.keepers(at).next() == Some(self.fig.me);
        let (a, now) = (&mut self.accts[at], self.now);
        let fig = &self.fig.plans[a.plan];
        own && spend_part(
            &mut a.part,
            fig,
            self.fig.own_part / a.spread,
            units,
            0.0,
            now,
        ) || lead && spend_part(&mut a.lead, fig, LEAD_PART, units, 0.0, now)
    }

    /// Another limiter's question is of the quota, and of the ceiling only where its own part is spent.
    pub(super) fn pay_once(&mut self, slot: usize) -> bool {
        let q = &self.queries[slot];
        match q.asked_by {
            Some(_) => !q.wants_lead || self.pay(slot, false, true),
            None => q.paid || self.pay(slot, true, true),
        }
    }

    /// Decides by the counter, or by the local count.
    pub(super) fn count(&mut self, slot: usize) {
        let acct = self.queries[slot].acct;
        let (plan, units) = (self.accts[acct].plan, self.queries[slot].units);
        self.queries[slot].since = self.now;
        let a = &mut self.accts[acct];
        let kept = self.now - a.kept_at < KEPT_FOR && self.fig.keepers;
        let ways = if kept { 1.0 } else { a.spread };
        if a.ways != ways {
            a.split(&self.fig.plans[plan], ways, self.now);
        }
        a.turn_window(self.now, &self.fig.plans[plan]);
        if self.fig.plans[plan].rate <= 0.0 {
            self.admit(slot, true);
        } else if self.fig.counter && self.breaker == Breaker::Closed {
            let fig = &self.fig.plans[plan];
            let room = a.level
                + if a.sparse {
                    0.0
                } else {
                    fig.rate * (self.now - a.at)
                };
            // A counter that just failed is short of calls. A keeper's own count is the customer's.
            let sure = if kept {
                !a.room_here(fig, units, self.now)
            } else {
                self.now < self.strained_until
            };
            let room = if kept { a.local } else { room };
            if sure && a.seen && room < units {
                return self.admit(slot, false);
            }
            // First of all those that the local count would turn away, and a sparse customer's first.
            let here = a.room_here(fig, units, self.now) && (a.seen || !a.sparse);
            let stake = self.queries[slot].worth * units * if here { 1.0 } else { NEED };
            self.stake += STAKE_GAIN * (stake - self.stake);
            // Counters shared out over limiters bear a call for each query.
            let chance = if fig.windowed {
                1.0
            } else {
                self.ask_chance(stake)
            };
            if self.chance.roll() >= chance {
                return self.decide_locally(slot, false);
            }
            let a = &mut self.accts[acct];
            // Seldom asked for, it stands for the queries that did not ask.
            let stands_for = if a.sparse { 1.0 / chance } else { 1.0 };
            let add = units * stands_for + std::mem::take(&mut a.carry);
            (self.queries[slot].counting, self.queries[slot].added) = (true, units);
            self.call(acct, Asker::Query(slot), add);
        } else {
            self.decide_locally(slot, true);
        }
    }

    pub(super) fn acct(&mut self, id: TenantId, plan: usize, spread: f64) -> usize {
        if let Some(at) = self.accts.find(id) {
            self.accts[at].spread = spread;
            return at;
        }
        let kept_at = f64::NEG_INFINITY;
        let part = Part {
            left: 0.0,
            at: self.begun.max(self.now - IDLE),
        };
        let purse = self.purse(part.at);
        let mut new = Acct {
            id,
            plan,
            spread,
            kept_at,
            part,
            lead: part,
            purse,
            ..Acct::default()
        };
        new.split(&self.fig.plans[plan], spread, self.now);
        // Started again, it may have granted its part just before.
        let lately = self.fig.plans[plan].windowed && self.now - self.begun < LATELY;
        new.local = if lately { 0.0 } else { new.local };
        self.accts.add(id, new)
    }

    /// A counter past its limit turns most calls away: then only a share of the queries asks.
    pub(super) fn ask_chance(&mut self, stake: f64) -> f64 {
        self.ask = (self.ask + ASK_GAIN_MS * (self.now - self.asked_at)).min(1.0);
        self.asked_at = self.now;
        // What is worth most asks first.
        let chance = (self.ask * stake / self.stake.max(1e-9)).clamp(ASK_LEAST, 1.0);
        f64::max(chance, self.ask.floor())
    }

    pub(super) fn call(&mut self, acct: usize, asker: Asker, add: f64) {
        let a = &mut self.accts[acct];
        let (name, ttl) = a.name(self.now, &self.fig.plans[a.plan]);
        a.calls.push_back(Call { asker, add, name });
        self.acts.push(Action::AddToCounter {
            name,
            units: add as f32,
            ttl,
        });
    }

    pub(super) fn counted(&mut self, name: u64, outcome: Outcome, total: f64, rtt: Millis) {
        let Some(at) = self.accts.find(name & ((1 << ID_BITS) - 1)) else {
            return;
        };
        let Some(n) = self.accts[at].calls.iter().position(|c| c.name == name) else {
            return;
        };
        let Some(call) = self.accts[at].calls.remove(n) else {
            return;
        };
        let (answered, news) = (outcome == Outcome::Ok, self.now - rtt >= self.cut_at);
        if answered && rtt < LATE * self.fig.counter_wait {
            self.ask = (self.ask * (1.0 + ASK_GAIN)).min(1.0);
        } else {
            // Calls that were out together fail together, from one cause, and count once.
            if news && self.breaker == Breaker::Closed {
                (self.ask, self.cut_at) = ((self.ask * (1.0 - ASK_CUT)).max(ASK_LEAST), self.now);
            }
            self.strained_until = self.now + STRAINED_FOR;
        }
        if answered {
            self.failures = 0;
            self.read(at, &call, total);
        } else {
            // What a counter answers too late it has added.
            let a = &mut self.accts[at];
            if outcome != Outcome::TimedOut {
                self.owe(at, call.add);
            } else if a.ways == 1.0 {
                a.total += call.add;
            }
            self.failures += u32::from(news);
            if self.failures >= FAILURES && self.breaker == Breaker::Closed {
                self.probe_acct = at;
                self.signal(Signal::Failures);
            }
        }
        match call.asker {
            Asker::Query(slot) => {
                self.queries[slot].counting = false;
                match self.queries[slot].stage {
                    Stage::Counting if answered => self.decide(slot),
                    Stage::Counting => self.decide_locally(slot, false),
                    _ => self.let_go(slot),
                }
            }
            Asker::Settle => {}
            Asker::Probe => {
                self.counter_probing = false;
                answered.then(|| self.signal(Signal::ProbeAnswered));
            }
        }
    }

    pub(super) fn signal(&mut self, signal: Signal) {
        let Some(row) = BREAKER
            .iter()
            .find(|r| r.0 == self.breaker && r.1 == signal)
        else {
            return;
        };
        self.breaker = row.2;
        match row.3 {
            Effect::ProbeSoon => self.counter_probe_at = self.now + PROBE_EVERY,
            Effect::Replay => self.replay(),
        }
    }

    /// Each sum rides on its customer's next add, or settles alone where none comes soon.
    pub(super) fn replay(&mut self) {
        self.failures = 0;
        for at in std::mem::take(&mut self.logged) {
            let a = &mut self.accts[at];
            let fig = &self.fig.plans[a.plan];
            a.turn_window(self.now, fig);
            let window = if a.sparse {
                a.turn(self.now, fig).fract() * fig.window
            } else {
                fig.window
            };
            let sum: f64 = a
                .log
                .drain(..)
                .filter(|g| g.0 >= self.now - window)
                .map(|g| g.1)
                .sum();
            a.carry += if a.sparse { sum } else { 0.0 };
            a.level -= if a.sparse { 0.0 } else { sum };
            self.owe(at, sum);
        }
    }

    /// Follows the customer's store from the totals, as if others had added evenly since the last read.
    pub(super) fn read(&mut self, at: usize, call: &Call, total: f64) {
        let (a, add) = (&mut self.accts[at], call.add);
        let fig = &self.fig.plans[a.plan];
        if a.sparse != (call.name >> ID_BITS > 0) {
            return;
        }
        if a.sparse {
            (a.level, a.seen) = (fig.burst - total + add, true);
            (a.local, a.local_at) = if a.level <= 0.0 {
                (0.0, self.now)
            } else {
                (a.local, a.local_at)
            };
            return;
        }
        let mut others = total - a.total - add;
        if a.ways == 1.0 {
            // Its own count is the customer's: the total tells what others added beside it.
            a.room_here(fig, 0.0, self.now);
            let most = if a.seen {
                f64::INFINITY
            } else {
                fig.burst / 2.0
            };
            a.local -= others.clamp(0.0, most);
            (a.level, a.at, a.total, a.seen) = (a.local, self.now, total, true);
            return;
        }
        // A total far below what this limiter has read betrays a lost name: the level goes on.
        let noise = self.fig.units_top * a.spread;
        let reborn = !a.seen || others < -noise;
        others = if reborn {
            (total - add).max(0.0)
        } else {
            others
        };
        if !a.seen && others > fig.burst {
            others = fig.burst / 2.0;
        }
        a.level = (a.level + fig.rate * (self.now - a.at) - others).clamp(-noise, fig.burst);
        (a.at, a.total, a.seen) = (self.now, total, true);
        // Traffic is uneven and the next read soon: up to twice the even part until then.
        (a.local, a.local_at) = (a.level.max(0.0) * 2.0 / (a.ways + 1.0), self.now);
    }

    pub(super) fn decide(&mut self, slot: usize) {
        let Query {
            acct: at, units, ..
        } = self.queries[slot];
        let inside = self.accts[at].level >= units && self.pay_once(slot);
        if inside {
            let a = &mut self.accts[at];
            a.level -= units;
            a.local -= if a.ways == 1.0 { units } else { 0.0 };
        } else {
            self.owe(at, -units);
        }
        self.admit(slot, inside);
    }

    /// The local count. `log`: the add was never sent; else `carry` holds what of it was not added.
    pub(super) fn decide_locally(&mut self, slot: usize, log: bool) {
        let acct = self.queries[slot].acct;
        let inside = self.room(slot) && self.pay_once(slot);
        let (q, a) = (&self.queries[slot], &mut self.accts[acct]);
        let fig = &self.fig.plans[a.plan];
        if inside {
            a.local -= q.units;
            if log {
                self.logged.extend(a.log.is_empty().then_some(q.acct));
                a.log_grant(self.now, q.units, fig.window);
            } else if !a.sparse {
                a.level -= q.units;
            }
        }
        let (at, owed) = (q.acct, if inside { q.units } else { 0.0 } - q.added);
        if !log && owed != 0.0 {
            self.owe(at, owed);
        }
        self.admit(slot, inside);
    }

    /// A refund waits a moment for the customer's next add, then goes by itself.
    pub(super) fn settle(&mut self) {
        while let Some(&(at, _)) = self
            .owed
            .front()
            .filter(|o| o.1 <= self.now && self.breaker == Breaker::Closed)
        {
            if self.accts[at].carry != 0.0 {
                let chance = self.ask_chance(self.stake);
                if self.chance.roll() >= chance {
                    return;
                }
                let add = std::mem::take(&mut self.accts[at].carry);
                self.call(at, Asker::Settle, add);
            }
            self.owed.pop_front();
        }
    }

    pub(super) fn owe(&mut self, at: usize, units: f64) {
        let a = &mut self.accts[at];
        // What a sparse customer is refused stays counted until the window ends, as in the source.
        if !a.sparse && self.fig.counter {
            a.carry += units;
            self.owed
                .push_back((at, self.now + SETTLE_AFTER / self.ask));
        }
    }
}
