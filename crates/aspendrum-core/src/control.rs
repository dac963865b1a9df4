//! All decisions of the gateway. Make one `Control` per limiter with `Control::new`, give it each event
//! with the time it happened (`handle`), and carry out the actions it appends, in order. It never looks
//! at a clock: the beat it asks for by `Action::Timer` drives everything that waits. The types of events,
//! actions and settings are in `api.rs`; docs/design.md tells where each rule comes from.

use crate::api::*;
pub use crate::state::Control;
use crate::state::*;
use crate::word::Word;

mod keepers;

const BEAT: Ms = 5.0;
const PROBE_EVERY: Ms = 1000.0;
/// Three, as the source has it, swung open on a counter that still answered most of its calls.
const FAILURES: u32 = 5;
/// A name lives as long as the counter allows: each rebirth hides what others added just before it.
const NAME_TTL: Ms = 60_000.0;
/// Of a ceiling, what limiters split; the rest is slack for grants that wait and go out together.
const CEILING_SHARE: f64 = 0.9;
/// Credits on one server at the start, over all limiters, and what one limiter may come to hold.
const CREDIT_START: f64 = 6.0;
const CREDIT_TOP: f64 = 12.0;
/// The share of the SLO time that an answer should take: less earns credit, more costs it.
const AIM_SHARE: f64 = 0.25;
const CREDIT_GAIN: f64 = 0.3;
/// All credits shrink together: an overdriven fleet gives each server too few answers for its own to follow.
const BASE_TIMES: f64 = 2.0;
const BASE_GROWTH: f64 = 0.000_01;
const TARGET_TOP: f64 = 0.33;
const RTT_FADE: f64 = 0.000_3;
const EASE_GAIN: f64 = 0.1;
/// One of hundreds of limiters gets few answers to learn of a jam from, and none may go on holding many.
const EASE_HASTE: f64 = 4.0;
const EASE_LEAST: f64 = 0.01;
const STRAINED_FOR: Ms = 2000.0;
/// The share of queries that ask the counter: more with each prompt answer and with time, less with each
/// late or missing one. Late is over half of the time-out: the line is seen growing before calls fail.
const ASK_GAIN: f64 = 0.03;
const ASK_GAIN_MS: f64 = 0.000_005;
const ASK_CUT: f64 = 0.2;
const STAKE_GAIN: f64 = 0.05;
const NEED: f64 = 8.0;
const ASK_LEAST: f64 = 0.05;
const LATE: f64 = 0.5;
/// Under this many units in a limiter's even part of the burst it sees a customer too seldom to follow it.
const SPARSE_PART: f64 = 1.0;
const ID_BITS: u32 = 40;
const LATELY: Ms = 5000.0;
/// Of a ceiling, what the first keeper grants from.
const LEAD_PART: f64 = 0.6;
const KEPT_FOR: Ms = 2000.0;
/// A window's name must outlive the window by more than the way to the counter.
const SPARSE_TTL: Ms = 1000.0;
/// More limiters than these probe less often each: hundreds would load what they ask after.
const PROBERS: f64 = 16.0;
const CROSS_WEIGHT: f64 = 40.0;
const SETTLE_AFTER: Ms = 200.0;
const CREDIT_LEAST: f64 = 0.2;
/// Of the rule's budget for a cold server, and of what a warm one carries for its capacity.
const COLD_SHARE: f64 = 0.35;
const COLD_FAIR: f64 = 1.0;
/// Under what an idle warm server's fading answer time comes to, in any zone.
const COLD_TURN: f64 = 0.1;
const GOLDEN: f64 = 0.618_033_988_75;
const CARRIED_TIME: Ms = 5000.0;
const BUSY_GAIN: f64 = 0.02;
const BUSY_TOP: f64 = 5.0;
const IDLE: Ms = 90_000.0;

const BREAKER: [(Breaker, Signal, Breaker, Effect); 2] = [
    (Breaker::Closed, Signal::Failures, Breaker::Open, Effect::ProbeSoon),
    (Breaker::Open, Signal::ProbeAnswered, Breaker::Closed, Effect::Replay),
];

/// Aside on bad marks, back on trial by probes, ready again by an answer: a probe shows only that the
/// process runs, so a hung server passes probes and must not get more than one query to prove itself.
const STANDING: [(Standing, Mark, Standing); 5] = [
    (Standing::Ready, Mark::Bad, Standing::Aside),
    (Standing::Trial, Mark::Bad, Standing::Aside),
    (Standing::Trial, Mark::Good, Standing::Ready),
    (Standing::Aside, Mark::Probes, Standing::Trial),
    (Standing::Aside, Mark::Good, Standing::Trial),
];

/// Rules 1 and 2: the only place that says whether a query may be sent on again or shed.
const RULES: [(Semantics, Known, Resend, May); 9] = [
    (Semantics::Repeatable, Known::NeverRan, Resend::Anywhere, May::Shed),
    (Semantics::Repeatable, Known::MayHaveRun, Resend::Anywhere, May::Shed),
    (Semantics::Repeatable, Known::StillOut, Resend::No, May::Shed),
    (Semantics::Keyed, Known::NeverRan, Resend::Anywhere, May::Shed),
    (Semantics::Keyed, Known::MayHaveRun, Resend::InGroup, May::ShedIfAll),
    (Semantics::Keyed, Known::StillOut, Resend::No, May::ShedIfAll),
    (Semantics::Mutating, Known::NeverRan, Resend::Anywhere, May::Shed),
    (Semantics::Mutating, Known::MayHaveRun, Resend::No, May::Drop),
    (Semantics::Mutating, Known::StillOut, Resend::No, May::Drop),
];

/// A ceiling is held without the others' word or the counter's: each grant comes out of a part that only this
/// limiter spends, which starts with nothing. `share` of it is this part; `keep` of the part stays.
fn spend_part(part: &mut Part, fig: &PlanFig, share: f64, units: f64, keep: f64, now: Ms) -> bool {
    let share = CEILING_SHARE * share;
    part.left = (part.left + share * fig.ceiling_rate * (now - part.at)).min(share * fig.ceiling_burst);
    part.at = now;
    let can = fig.ceiling_rate <= 0.0 || part.left - units >= keep * share * fig.ceiling_burst;
    part.left -= if can { units } else { 0.0 };
    can
}

/// Sparse customers' names: one a window of burst over rate, by the clock, set apart lest all turn at once.
impl Acct {
    fn turn(&self, now: Ms, fig: &PlanFig) -> f64 {
        now / fig.window.max(1.0) + (self.id as f64 * GOLDEN).fract()
    }

    fn turn_window(&mut self, now: Ms, fig: &PlanFig) {
        let window = self.turn(now, fig).floor();
        if self.sparse && window != self.window {
            (self.window, self.carry, self.seen) = (window, 0.0, false);
        }
    }

    /// The local count: even parts of rate and burst, and whatever the last read left it.
    fn room_here(&mut self, fig: &PlanFig, units: f64, now: Ms) -> bool {
        let cap = fig.burst / self.ways;
        let top = if self.sparse { cap } else { cap.max(self.local) };
        self.local = (self.local + fig.rate / self.ways * (now - self.local_at)).min(top.max(units));
        self.local_at = now;
        self.local >= units
    }

    /// A count that goes over to one limiter, or back to all, knows nothing yet of what the others used.
    fn split(&mut self, fig: &PlanFig, ways: f64, now: Ms) {
        let known = fig.windowed && self.ways > 0.0;
        (self.ways, self.sparse) = (ways, fig.windowed || fig.burst < SPARSE_PART * ways);
        if known {
            return; // Limiters that come and go hand nobody a fresh part.
        }
        // Parts under a whole query would let nobody send: each limiter of a sparse customer may send one.
        self.local = if self.sparse { fig.burst } else { fig.burst / ways };
        (self.level, self.at, self.local_at) = (fig.burst, now, now);
        (self.seen, self.total, self.carry, self.window) = (false, 0.0, 0.0, 0.0);
    }

    fn name(&mut self, now: Ms, fig: &PlanFig) -> (u64, Ms) {
        self.turn_window(now, fig);
        let window = (self.window as u64 + 1) & ((1 << (64 - ID_BITS)) - 1);
        let (sparse, plain) = ((window << ID_BITS | self.id, fig.window + SPARSE_TTL), (self.id, NAME_TTL));
        [plain, sparse][usize::from(self.sparse)]
    }
}

impl Control {
    pub fn new(now: Ms, seed: u64, s: &Settings, out: &mut Vec<Action>) -> Self {
        out.push(Action::Timer { token: 0, wait: BEAT });
        out.extend(s.discovery_asks.then_some(Action::Watch { on: true }));
        let mut fig = Figures::new(s);
        fig.crowd = (fig.instances / PROBERS).max(1.0);
        (fig.keepers, fig.want_every) = (s.may_tell && fig.crowd > 1.0, Self::want_every(s.peer_in_per_s));
        fig.own_part = if fig.keepers { 1.0 - LEAD_PART } else { 1.0 };
        fig.turn = (f64::from(s.me) * GOLDEN).fract();
        fig.cold_budget = (COLD_SHARE * s.fall_multiple).min(COLD_FAIR) * s.fall_window;
        let slo = fig.groups.iter().map(|g| g.slo).fold(f64::INFINITY, f64::min);
        let (chance, typical) = (Chance::new(seed), slo / 4.0);
        let paces = fig.groups.iter().map(|_| Pace::default()).collect();
        let peers = vec![Peer::default(); s.instances as usize];
        let own = Control { now, begun: now, chance, paces, typical, fig, peers, ..Control::default() };
        Control { ease: 1.0, ask: 1.0, ..own }
    }

    pub fn handle(&mut self, now: Ms, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.acts, out);
        match *event {
            Event::Members { list, entries, .. } => self.members(list, entries),
            Event::Query(ref new) => self.take(new),
            Event::ForwardEnded { id, forward, outcome, rtt, over, actual, load, .. } => {
                self.ended(id, usize::from(forward), outcome, rtt, over, f64::from(actual), &load);
            }
            Event::StreamStarted { id, .. } => {
                self.queries.find(id).into_iter().for_each(|slot| self.queries[slot].streaming = true);
            }
            Event::ClientLeft { id } => self.queries.find(id).into_iter().for_each(|slot| self.close(slot)),
            Event::Counted { name, outcome, total, rtt } => self.told(name, outcome, total.into(), rtt),
            Event::Probed { server, outcome, load, .. } => self.probed(server, outcome, &load),
            Event::Timer { .. } => self.beat(),
            Event::PeerSaid { from, data } => self.hear(from, data),
        }
        std::mem::swap(&mut self.acts, out);
    }

    fn take(&mut self, new: &NewQuery) {
        let (group, plan) = (usize::from(new.group), new.plan as usize);
        let known = self.queries.find(new.id).is_some();
        if known || group >= self.fig.groups.len() || plan >= self.fig.plans.len() {
            return self.acts.push(Action::Drop { id: new.id });
        }
        let acct = self.acct(new.acct, plan, f64::from(new.spread).max(1.0));
        let (g, mut query) = (&self.fig.groups[group], Query::new(new, acct, self.now));
        (query.slo_at, query.worth) = (self.now + g.slo, g.importance * self.fig.plans[plan].price);
        let slot = self.queries.add(new.id, query);
        self.live.push(slot);
        (self.accts[acct].in_hand, self.accts[acct].used_at) = (self.accts[acct].in_hand + 1, self.now);
        self.accts[acct].first = f64::from(new.first);
        self.begin(slot);
    }

    /// This limiter's own part of the ceiling, or the keeper's where it is the first of the keepers.
    fn pay(&mut self, slot: usize, own: bool, lead: bool) -> bool {
        let Query { acct: at, units, .. } = self.queries[slot];
        let lead = lead && self.keepers(at).next() == Some(self.fig.me);
        let (a, now) = (&mut self.accts[at], self.now);
        let fig = &self.fig.plans[a.plan];
        own && spend_part(&mut a.part, fig, self.fig.own_part / a.spread, units, 0.0, now)
            || lead && spend_part(&mut a.lead, fig, LEAD_PART, units, 0.0, now)
    }

    /// Another limiter's question is of the quota, and of the ceiling only where its own part is spent.
    fn pay_once(&mut self, slot: usize) -> bool {
        let q = &self.queries[slot];
        match q.asked_by {
            Some(_) => !q.wants_lead || self.pay(slot, false, true),
            None => q.paid || self.pay(slot, true, true),
        }
    }

    /// Decides by the counter, or by the local count.
    fn count(&mut self, slot: usize) {
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
            let room = a.level + if a.sparse { 0.0 } else { fig.rate * (self.now - a.at) };
            // A counter that just failed is short of calls. A keeper's own count is the customer's.
            let sure = if kept { !a.room_here(fig, units, self.now) } else { self.now < self.strained_until };
            let room = if kept { a.local } else { room };
            if sure && a.seen && room < units {
                return self.admit(slot, false);
            }
            // First of all those that the local count would turn away, and a sparse customer's first.
            let here = a.room_here(fig, units, self.now) && (a.seen || !a.sparse);
            let stake = self.queries[slot].worth * units * if here { 1.0 } else { NEED };
            self.stake += STAKE_GAIN * (stake - self.stake);
            // Counters shared out over limiters bear a call for each query.
            let chance = if fig.windowed { 1.0 } else { self.ask_chance(stake) };
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

    fn acct(&mut self, id: AcctId, plan: usize, spread: f64) -> usize {
        if let Some(at) = self.accts.find(id) {
            self.accts[at].spread = spread;
            return at;
        }
        let kept_at = f64::NEG_INFINITY;
        let part = Part { left: 0.0, at: self.begun.max(self.now - IDLE) };
        let purse = self.purse(part.at);
        let mut new = Acct { id, plan, spread, kept_at, part, lead: part, purse, ..Acct::default() };
        new.split(&self.fig.plans[plan], spread, self.now);
        // Started again, it may have granted its part just before.
        let lately = self.fig.plans[plan].windowed && self.now - self.begun < LATELY;
        new.local = if lately { 0.0 } else { new.local };
        self.accts.add(id, new)
    }

    /// A counter past its limit turns most calls away or answers too late, and all limiters would swing
    /// between all calls and none: then only a share of the queries asks. All do until the first sign.
    fn ask_chance(&mut self, stake: f64) -> f64 {
        self.ask = (self.ask + ASK_GAIN_MS * (self.now - self.asked_at)).min(1.0);
        self.asked_at = self.now;
        // What is worth most asks first.
        let chance = (self.ask * stake / self.stake.max(1e-9)).clamp(ASK_LEAST, 1.0);
        f64::max(chance, self.ask.floor())
    }

    fn call(&mut self, acct: usize, asker: Asker, add: f64) {
        let a = &mut self.accts[acct];
        let (name, ttl) = a.name(self.now, &self.fig.plans[a.plan]);
        a.calls.push_back(Call { asker, add, name });
        self.acts.push(Action::Count { name, add: add as f32, ttl });
    }

    fn counted(&mut self, name: u64, outcome: Outcome, total: f64, rtt: Ms) {
        let Some(at) = self.accts.find(name & ((1 << ID_BITS) - 1)) else { return };
        let Some(n) = self.accts[at].calls.iter().position(|c| c.name == name) else { return };
        let Some(call) = self.accts[at].calls.remove(n) else { return };
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
                // Its own, not another's, when the next total holds it.
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

    fn signal(&mut self, signal: Signal) {
        let Some(row) = BREAKER.iter().find(|r| r.0 == self.breaker && r.1 == signal) else { return };
        self.breaker = row.2;
        match row.3 {
            Effect::ProbeSoon => self.counter_probe_at = self.now + PROBE_EVERY,
            Effect::Replay => self.replay(),
        }
    }

    /// Each sum rides on its customer's next add, or settles alone where none comes soon: calls of their own,
    /// four at a time, filled the line of a small counter, failed, and kept the breaker open all day.
    fn replay(&mut self) {
        self.failures = 0;
        for at in std::mem::take(&mut self.logged) {
            let a = &mut self.accts[at];
            let fig = &self.fig.plans[a.plan];
            a.turn_window(self.now, fig);
            let window = if a.sparse { a.turn(self.now, fig).fract() * fig.window } else { fig.window };
            let sum: f64 = a.log.drain(..).filter(|g| g.0 >= self.now - window).map(|g| g.1).sum();
            a.carry += if a.sparse { sum } else { 0.0 };
            a.level -= if a.sparse { 0.0 } else { sum };
            self.owe(at, sum);
        }
    }

    /// Follows the customer's store from the totals, as if others had added evenly since the last read.
    fn read(&mut self, at: usize, call: &Call, total: f64) {
        let (a, add) = (&mut self.accts[at], call.add);
        let fig = &self.fig.plans[a.plan];
        if a.sparse != (call.name >> ID_BITS > 0) {
            return;
        }
        if a.sparse {
            (a.level, a.seen) = (fig.burst - total + add, true);
            (a.local, a.local_at) = if a.level <= 0.0 { (0.0, self.now) } else { (a.local, a.local_at) };
            return;
        }
        let mut others = total - a.total - add;
        if a.ways == 1.0 {
            // Its own count is the customer's: the total tells what others added beside it, and nothing if
            // the name was lost.
            a.room_here(fig, 0.0, self.now);
            let most = if a.seen { f64::INFINITY } else { fig.burst / 2.0 };
            a.local -= others.clamp(0.0, most);
            (a.level, a.at, a.total, a.seen) = (a.local, self.now, total, true);
            return;
        }
        // A total far below what this limiter has read betrays a lost name: the level goes on.
        let noise = self.fig.units_top * a.spread;
        let reborn = !a.seen || others < -noise;
        others = if reborn { (total - add).max(0.0) } else { others };
        if !a.seen && others > fig.burst {
            others = fig.burst / 2.0;
        }
        a.level = (a.level + fig.rate * (self.now - a.at) - others).clamp(-noise, fig.burst);
        (a.at, a.total, a.seen) = (self.now, total, true);
        // Traffic is uneven and the next read soon: up to twice the even part until then.
        (a.local, a.local_at) = (a.level.max(0.0) * 2.0 / (a.ways + 1.0), self.now);
    }

    fn decide(&mut self, slot: usize) {
        let Query { acct: at, units, .. } = self.queries[slot];
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

    /// The local count. `log`: the add was never sent (breaker open); else the call failed, and what
    /// of its units was not added `carry` already holds.
    fn decide_locally(&mut self, slot: usize, log: bool) {
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

    fn admit(&mut self, slot: usize, inside: bool) {
        self.settled(slot, inside);
        let q = &mut self.queries[slot];
        let a = &mut self.accts[q.acct];
        let fig = &self.fig.plans[a.plan];
        if q.paid && !inside {
            (q.paid, a.part.left) = (false, a.part.left + q.units);
        }
        if q.asked_by.is_some() {
            self.answer(slot);
            return self.close(slot);
        }
        if !inside {
            q.worth *= fig.over_worth;
            let pays = fig.over_worth > fig.over_cost && self.breaker == Breaker::Closed;
            let share = self.fig.own_part / a.spread;
            if !pays || !spend_part(&mut a.part, fig, share, q.units, 0.5, self.now) {
                let left = (1.0 - a.turn(self.now, fig).fract()) * fig.window;
                let refill = (q.units - a.level).max(0.0) / fig.rate.max(1e-9);
                let told = a.full_until - self.now;
                let wait = if told > 0.0 {
                    told
                } else if a.sparse {
                    left
                } else {
                    refill
                };
                return self.give_up(slot, wait);
            }
        }
        (self.queries[slot].stage, self.queries[slot].since) = (Stage::Waiting, self.now);
        self.waiting.push(slot);
        self.dispatch();
    }

    fn cold(&self, started: Ms) -> bool {
        started > 0.0 && self.now - started < self.fig.cold_time
    }

    fn usable(&self, s: &Server) -> bool {
        let credit = if s.standing == Standing::Trial { 1.0 } else { s.credits.max(1.0) };
        s.serving()
            && self.now >= s.rest_until
            && f64::from(s.out) < credit
            && (!self.cold(s.started) || s.cold_left >= 1.0)
    }

    /// Seen from here, a server that holds a query for long is as slow as that query says.
    fn cost(&self, s: &Server) -> f64 {
        let by_zone = if s.zone == self.fig.zone { 1.0 } else { 1.0 + CROSS_WEIGHT * self.fig.cross };
        let zone = if s.far > 0.0 { s.far } else { by_zone };
        // A cold server's turn comes so seldom to one of hundreds that it is taken as it comes.
        let turn = if self.fig.crowd > 1.0 && self.cold(s.started) { COLD_TURN } else { 1.0 };
        s.rtt.max(s.silent(self.now)) * (1.0 + f64::from(s.out)) * zone * (1.0 + s.busy * s.busy) * turn
    }

    fn pick(&mut self, slot: usize) -> Option<usize> {
        let q = &self.queries.items[slot];
        let resend = self.resend(q);
        let (mut best, mut least) = (None, f64::INFINITY);
        for i in 0..self.servers.items.len() {
            let s = &self.servers.items[i];
            if s.pool != q.pool || q.zones >> (s.zone & 63) & 1 == 0 {
                continue;
            }
            let cost = self.cost(s) * (0.95 + 0.1 * self.chance.roll());
            if cost < least && self.usable(s) && self.reaches(q, resend, i) {
                (best, least) = (Some(i), cost);
            }
        }
        best
    }

    fn rule(&self, q: &Query) -> (Resend, May) {
        let (semantics, known) = (self.fig.groups[q.group].semantics, q.known());
        let row = RULES.iter().find(|r| r.0 == semantics && r.1 == known);
        row.map_or((Resend::No, May::Drop), |r| (r.2, r.3))
    }

    fn too_late(&self, q: &Query) -> bool {
        self.now >= q.until - 2.0 * BEAT
    }

    /// How this query may be sent on now, by rules 1 and 2.
    fn resend(&self, q: &Query) -> Resend {
        let never =
            q.stage == Stage::Over || q.streaming || q.sent >= self.fig.most.min(q.most) || self.too_late(q);
        Some(self.rule(q).0).filter(|_| !never).unwrap_or(Resend::No)
    }

    fn reaches(&self, q: &Query, resend: Resend, server: usize) -> bool {
        let (g, there) = (&self.fig.groups[q.group], &self.servers[server]);
        let in_group = |t: &Try| {
            let home = &self.servers[t.server];
            let same = match g.repeat_group {
                RepeatGroup::All => true,
                RepeatGroup::Zone => home.zone == there.zone,
                RepeatGroup::Cell => home.cell == there.cell,
            };
            !t.may_have_run() || same && self.now < t.sent + g.window - 2.0 * BEAT
        };
        match resend {
            Resend::Anywhere => q.tries().iter().all(|t| t.server != server),
            Resend::InGroup => q.tries().iter().all(in_group),
            Resend::No => false,
        }
    }

    fn send(&mut self, slot: usize, server: usize) {
        let cold = self.cold(self.servers[server].started);
        let q = &mut self.queries[slot];
        q.tries[q.sent] = Try { server, sent: self.now, end: None };
        q.sent += 1;
        q.stage = Stage::Out;
        self.accts[q.acct].out += u32::from(q.sent == 1);
        let s = &mut self.servers[server];
        s.cold_left -= if cold { 1.0 } else { 0.0 };
        s.sent_at = if s.out == 0 { self.now } else { s.sent_at };
        s.out += 1;
        self.acts.push(Action::Forward { id: q.id, server: s.id, timeout: 0.0 });
    }

    /// Most important first, of equals the one with least time left, for as long as credits are left.
    fn dispatch(&mut self) {
        // Pools without a server that may be used now, and the last pool's free share.
        let (mut stuck, mut spare) = (0_u64, None);
        while !self.waiting.is_empty() {
            let mut order: Option<(f64, Ms, usize)> = None;
            for (i, &slot) in self.waiting.iter().enumerate() {
                let q = &self.queries[slot];
                let a = &self.accts[q.acct];
                let open = f64::from(self.fig.plans[a.plan].open);
                let held = q.sent == 0 && open > 0.0 && f64::from(a.out) >= (open / a.spread).ceil().max(1.0);
                let next = order.is_none_or(|o| (q.worth, -q.slo_at) > (o.0, o.1));
                if held || !next || stuck >> (q.pool & 63) & 1 == 1 {
                    continue;
                }
                let known = spare.filter(|s: &(u16, f64)| s.0 == q.pool);
                let (_, share) = *spare.insert(known.unwrap_or_else(|| (q.pool, self.spare(q.pool))));
                if share > if q.inside { 0.0 } else { 0.5 } {
                    order = Some((q.worth, -q.slo_at, i));
                }
            }
            let Some((_, _, i)) = order else { return };
            let slot = self.waiting[i];
            spare = None;
            let Some(server) = self.pick(slot) else {
                stuck |= 1 << (self.queries[slot].pool & 63);
                continue;
            };
            self.waiting.remove(i);
            self.send(slot, server);
        }
    }

    /// The free share of the pool's credits: single servers keep a whole credit each, the sum bounds them.
    fn spare(&self, pool: u16) -> f64 {
        let (mut all, mut out) = (0.0, 0.0);
        for s in self.servers.items.iter().filter(|s| s.pool == pool && s.serving()) {
            all += s.credits;
            out += f64::from(s.out);
        }
        1.0 - out / f64::max(all * self.ease, 1.0)
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(&mut self, id: QueryId, n: usize, how: Outcome, rtt: Ms, over: bool, actual: f64, load: &Load) {
        let Some(slot) = self.queries.find(id) else { return };
        let q = &mut self.queries[slot];
        if n >= q.sent || q.tries[n].end.replace(how).is_some() {
            return;
        }
        let (server, acct, group) = (q.tries[n].server, q.acct, q.group);
        if self.fig.settles && how == Outcome::Ok && q.inside && q.stage != Stage::Over {
            self.accts[acct].carry += actual - q.units;
            self.accts[acct].level -= actual - q.units;
        }
        self.report(server, load);
        self.learn(server, how, rtt, group);
        if over {
            self.close(slot);
        } else if self.queries[slot].stage == Stage::Out && self.queries[slot].known() != Known::StillOut {
            self.queries[slot].stage = Stage::Waiting;
            self.waiting.push(slot);
        }
        self.let_go(slot);
        self.dispatch();
    }

    /// A target under what an idle server needs would starve the fleet, so it stands on the least block mean
    /// seen lately; that grows slowly, to follow a lasting change of the work.
    fn target(&mut self, group: usize, rtt: Ms) -> f64 {
        let slo = self.fig.groups[group].slo;
        let p = &mut self.paces[group];
        (p.sum, p.n) = (p.sum + rtt, p.n + 1.0);
        if p.n >= 30.0 {
            let (mean, grown) = (p.sum / p.n, p.base * (1.0 + BASE_GROWTH * (self.now - p.at)));
            p.base = if p.base > 0.0 { mean.min(grown) } else { mean };
            (p.sum, p.n, p.at) = (0.0, 0.0, self.now);
        }
        // A fleet jammed from the start never shows its least time; this much above it always shrinks.
        let base = p.base / slo;
        (BASE_TIMES * base).clamp(AIM_SHARE, TARGET_TOP.max(1.2 * base))
    }

    fn learn(&mut self, server: usize, how: Outcome, rtt: Ms, group: usize) {
        let slo = self.fig.groups[group].slo;
        let target = if how == Outcome::Ok { self.target(group, rtt) } else { AIM_SHARE };
        let s = &mut self.servers[server];
        s.out = s.out.saturating_sub(1);
        let used = f64::from(s.out) + 1.0 >= s.credits.floor() && s.busy < 0.98;
        let bad = match how {
            Outcome::Ok => {
                s.answered_at = self.now;
                s.rtt += 0.1 * (rtt - s.rtt);
                self.typical += 0.02 * (rtt - self.typical);
                let step = target - (rtt / slo).min(1.0);
                let gain = EASE_GAIN * self.fig.crowd.min(EASE_HASTE);
                self.ease = (self.ease * (1.0 + gain * step)).clamp(EASE_LEAST, 1.0);
                if used || step < 0.0 {
                    s.credits = (s.credits + CREDIT_GAIN * step).clamp(CREDIT_LEAST, CREDIT_TOP);
                }
                s.bad = 0.0;
                self.answered_rate = self.carried() + 1.0 / CARRIED_TIME;
                self.answered_at = self.now;
                return self.mark(server, Mark::Good);
            }
            Outcome::Cancelled | Outcome::Moot => 0.0,
            Outcome::Full => {
                // Turned away unseen costs little and tells only that the server holds enough: it rests
                // for about as long as a place takes to come free, and keeps its credits.
                s.rest_until = self.now + 0.5 * self.typical;
                0.2
            }
            Outcome::TimedOut | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
                s.rtt = s.rtt.max(slo / 4.0);
                s.credits = (s.credits * 0.7).max(CREDIT_LEAST);
                1.0
            }
        };
        s.bad += bad;
        if bad > 0.0 && (s.bad >= 3.0 || s.standing == Standing::Trial) {
            self.set_aside(server);
        }
    }

    /// Where a third of a pool is aside the trouble is not single servers': the rest is not set aside too.
    fn set_aside(&mut self, server: usize) {
        let pool = self.servers[server].pool;
        let ready = self.servers.items.iter().filter(|s| s.pool == pool && s.health == Health::Ready);
        let (all, aside) =
            ready.fold((0, 0), |n, s| (n.0 + 1, n.1 + u32::from(s.standing != Standing::Ready)));
        if 3 * aside < all || self.servers[server].standing == Standing::Trial {
            self.mark(server, Mark::Bad);
        }
    }

    fn mark(&mut self, server: usize, mark: Mark) {
        let s = &mut self.servers[server];
        let Some(row) = STANDING.iter().find(|r| r.0 == s.standing && r.1 == mark) else { return };
        (s.standing, s.bad, s.probes) = (row.2, 0.0, 0);
        s.rtt = if row.2 == Standing::Trial { self.typical } else { s.rtt };
        if row.2 == Standing::Aside {
            (s.aside_at, s.aside_for) = (self.now, (s.aside_for * 2.0).clamp(500.0, 8000.0));
        }
        (s.credits, s.aside_for) = if row.2 == Standing::Ready { (2.0, 0.0) } else { (1.0, s.aside_for) };
    }

    fn report(&mut self, server: usize, load: &Load) {
        let known = |at: &usize| *at < usize::from(load.n) && !load.values[*at].is_nan();
        let Some(at) = self.fig.report_busy.filter(known) else { return };
        let busy = f64::from(load.values[at]).clamp(0.0, BUSY_TOP);
        self.servers[server].busy = busy;
        self.busy += BUSY_GAIN * (busy - self.busy);
    }

    fn probed(&mut self, id: ServerId, outcome: Outcome, load: &Load) {
        let Some(at) = self.servers.find(u64::from(id)) else { return };
        self.report(at, load);
        let s = &mut self.servers[at];
        (s.probing, s.probes) = (false, if outcome == Outcome::Ok { s.probes + 1 } else { 0 });
        if s.probes >= 2 && self.now - s.aside_at >= s.aside_for {
            self.mark(at, Mark::Probes);
        }
    }

    /// The one place for final answers given here.
    fn give_up(&mut self, slot: usize, advice: Ms) {
        let q = &self.queries[slot];
        let all = self.fig.groups[q.group].repeat_group == RepeatGroup::All;
        // Who comes back past the SLO time spends quota and servers on an answer that is worth nothing.
        let useful = self.now + 2.0 * (advice + self.typical) < q.slo_at;
        let retry_after = if useful { advice.min(self.fig.advice) } else { 0.0 };
        let (id, may) = (q.id, self.rule(q).1);
        let shed = may == May::Shed || may == May::ShedIfAll && all;
        let beyond = !q.inside;
        self.acts.push(if shed { Action::Shed { id, retry_after, beyond } } else { Action::Drop { id } });
        if q.sent == 0 && q.stage == Stage::Waiting && q.inside {
            self.give_back(slot);
        }
        self.close(slot);
    }

    fn close(&mut self, slot: usize) {
        let q = &mut self.queries[slot];
        if q.stage == Stage::Over {
            return;
        }
        q.stage = Stage::Over;
        self.waiting.retain(|w| *w != slot);
        if self.fig.may_cancel && !q.streaming {
            self.cancel_rest(slot);
        }
        self.let_go(slot);
    }

    fn members(&mut self, list: ListKind, entries: &[Member]) {
        if list == ListKind::Failed {
            return self.acts.extend(self.fig.asks.then_some(Action::Watch { on: true }));
        }
        if list != ListKind::Delta {
            let absent = |s: &&mut Server| !entries.iter().any(|m| m.server == s.id);
            self.servers.items.iter_mut().filter(absent).for_each(|s| s.health = Health::Gone);
        }
        for m in entries {
            let at = self.place(self.fresh(m));
            let s = &mut self.servers[at];
            s.health = m.health;
            (s.cell, s.zone, s.size, s.pool) = (m.cell, m.zone, f64::from(m.size), m.pool);
            s.far = m.far.into();
        }
        self.dispatch();
    }

    fn fresh(&self, m: &Member) -> Server {
        let credits = if self.cold(m.started) { 1.0 } else { CREDIT_START / self.fig.instances };
        // Each limiter starts at another part of a query, so that hundreds come to a cold server in turn.
        let cold_left = (self.fig.turn + f64::from(m.server) * GOLDEN).fract();
        let (started, rtt, busy) = (m.started, self.typical, self.busy);
        let mut s = Server { id: m.server, started, credits, rtt, cold_left, busy, ..Server::default() };
        (s.sent_at, s.probed_at, s.cold_at) = (self.now, self.now, self.now);
        s
    }

    /// Answers a millisecond that this limiter has been getting lately.
    fn carried(&self) -> f64 {
        self.answered_rate * (-(self.now - self.answered_at) / CARRIED_TIME).exp()
    }

    /// The least that the rules promise of a server's capacity now, as a share of the whole.
    fn present_share(&self, started: Ms) -> f64 {
        let age = ((self.now - started) / self.fig.cold_time.max(1.0)).clamp(0.0, 1.0);
        self.fig.cold_share + (1.0 - self.fig.cold_share) * age
    }

    /// Rule 4: for each window, this limiter's part of the work a cold server stands, measured by what
    /// warm ones are seen to carry from here. The parts add up to less than the rule's budget.
    fn refill_cold(&mut self) {
        let ready = self.servers.items.iter().filter(|s| s.health == Health::Ready);
        let (n, sizes, warm) = ready
            .fold((0.0, 0.0, 0.0), |n, s| (n.0 + 1.0, n.1 + s.size, n.2 + self.present_share(s.started)));
        // A cold server counts for what it can do, not as a whole one.
        let carried = self.carried() / f64::max(warm, 1.0);
        let mean = if sizes > 0.0 { sizes / n } else { 1.0 };
        for i in 0..self.servers.items.len() {
            let share = self.present_share(self.servers[i].started);
            if !self.cold(self.servers[i].started) {
                continue;
            }
            let s = &mut self.servers[i];
            let half = self.fig.cold_budget * share * carried * (s.size / mean).min(1.0);
            s.cold_left =
                (s.cold_left + half * (self.now - s.cold_at) / self.fig.fall_window).min(half.max(1.0));
            s.cold_at = self.now;
        }
    }

    fn beat(&mut self) {
        self.acts.push(Action::Timer { token: 0, wait: BEAT });
        let due = !self.counter_probing && self.now >= self.counter_probe_at;
        if self.breaker == Breaker::Open && due {
            (self.counter_probing, self.counter_probe_at) = (true, self.now + PROBE_EVERY);
            self.call(self.probe_acct, Asker::Probe, 0.0);
        }
        self.settle();
        self.refill_cold();
        self.watch_servers();
        let mut i = 0;
        while i < self.live.len() {
            let slot = self.live[i];
            self.watch_query(slot);
            i += usize::from(self.live.get(i) == Some(&slot));
        }
        self.dispatch();
        self.forget_idle(IDLE);
    }

    /// A refund waits a moment for the customer's next add; if none comes it goes by itself, lest the other
    /// limiters take refused units for use for as long as this one hears nothing of the customer.
    fn settle(&mut self) {
        while let Some(&(at, _)) =
            self.owed.front().filter(|o| o.1 <= self.now && self.breaker == Breaker::Closed)
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

    fn owe(&mut self, at: usize, units: f64) {
        let a = &mut self.accts[at];
        // What a sparse customer is refused stays counted until the window ends, as in the source: a call
        // more for each would fill the counter. Without a counter nothing is owed.
        if !a.sparse && self.fig.counter {
            a.carry += units;
            self.owed.push_back((at, self.now + SETTLE_AFTER / self.ask));
        }
    }

    fn watch_servers(&mut self) {
        for i in 0..self.servers.items.len() {
            let s = &self.servers[i];
            // A hang answers nothing while the fleet goes on.
            if s.standing != Standing::Aside && s.silent(self.now) > 8.0 * self.typical {
                self.set_aside(i);
            }
            let cold = self.cold(self.servers[i].started);
            let s = &mut self.servers[i];
            // What never answered is as quick as the others, whatever was guessed at the start. What nobody
            // asks cannot show that it is well again: an idle server fades to quick.
            s.rtt = if s.answered_at > 0.0 { s.rtt } else { self.typical };
            s.rtt += if s.out == 0 { RTT_FADE * (0.5 * self.typical - s.rtt) } else { 0.0 };
            // An old or missing report does not make a server idle.
            s.busy += RTT_FADE * (self.busy - s.busy);
            let every = if s.standing == Standing::Aside { 250.0 } else { 500.0 } * self.fig.crowd;
            // A report that one of hundreds hears steers too little of the load to pay for the probe.
            let wanted =
                s.standing == Standing::Aside || cold && self.fig.report_probes && self.fig.crowd <= 1.0;
            let can = self.fig.may_probe && !s.probing && s.health == Health::Ready;
            if can && wanted && self.now - s.probed_at >= every {
                (s.probed_at, s.probing) = (self.now, true);
                self.acts.push(Action::Probe { server: s.id });
            }
        }
    }

    fn watch_query(&mut self, slot: usize) {
        let q = &self.queries[slot];
        if q.stage == Stage::Over || q.streaming {
            return;
        }
        if self.too_late(q) {
            return self.give_up(slot, 0.0);
        }
        let last = self.now >= q.slo_at - (3.0 * self.typical).min(0.9 * self.fig.groups[q.group].slo);
        let keeper = q.keeper.filter(|_| q.stage == Stage::Counting);
        if let Some(peer) = keeper {
            self.watch_keeper(slot, peer);
        } else if q.stage == Stage::Counting && self.now - q.since > self.fig.counter_wait + 4.0 * BEAT {
            self.decide_locally(slot, false);
        } else if q.stage == Stage::Waiting && (last || q.sent > 0 && self.pick(slot).is_none()) {
            self.give_up(slot, 2.0 * self.typical);
        }
    }
}
