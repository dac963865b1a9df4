//! The ordinary path. Make one `Control` per limiter, give it each event with its time (`handle`), and carry
//! out the actions it appends, in order. It never looks at a clock: the beat that it asks for drives what
//! waits. Types: `api.rs`; reasons: docs/design.md; customers: `counting.rs`; servers: `servers.rs`.

use crate::api::*;
pub use crate::state::DecisionEngine;
use crate::state::*;

use counting::{spend_part, LEAD_PART, PROBE_EVERY};
use servers::{COLD_FAIR, COLD_SHARE, PROBERS};

mod counting;
mod keepers;
mod servers;

const BEAT: Millis = 5.0;
const GOLDEN: f64 = 0.618_033_988_75;
const IDLE: Millis = 90_000.0;

/// Rules 1 and 2: the only place that says whether a query may be sent on again or shed.
const RULES: [(Semantics, Known, Resend, May); 9] = [
    (
        Semantics::Idempotent,
        Known::NeverRan,
        Resend::Anywhere,
        May::Shed,
    ),
    (
        Semantics::Idempotent,
        Known::MayHaveRun,
        Resend::Anywhere,
        May::Shed,
    ),
    (
        Semantics::Idempotent,
        Known::StillOut,
        Resend::No,
        May::Shed,
    ),
    (
        Semantics::Deduplicated,
        Known::NeverRan,
        Resend::Anywhere,
        May::Shed,
    ),
    (
        Semantics::Deduplicated,
        Known::MayHaveRun,
        Resend::InGroup,
        May::ShedIfAll,
    ),
    (
        Semantics::Deduplicated,
        Known::StillOut,
        Resend::No,
        May::ShedIfAll,
    ),
    (
        Semantics::NonIdempotent,
        Known::NeverRan,
        Resend::Anywhere,
        May::Shed,
    ),
    (
        Semantics::NonIdempotent,
        Known::MayHaveRun,
        Resend::No,
        May::Drop,
    ),
    (
        Semantics::NonIdempotent,
        Known::StillOut,
        Resend::No,
        May::Drop,
    ),
];

impl DecisionEngine {
    pub fn new(now: Millis, seed: u64, s: &Settings, out: &mut Vec<Action>) -> Self {
        out.push(Action::Timer {
            token: 0,
            wait: BEAT,
        });
        out.extend(
            s.polls_discovery
                .then_some(Action::WatchServers { on: true }),
        );
        let mut fig = Figures::new(s);
        fig.crowd = (fig.instances / PROBERS).max(1.0);
        (fig.keepers, fig.want_every) = (
            s.may_send_datagrams && fig.crowd > 1.0,
            Self::want_every(s.peer_datagrams_per_second),
        );
        fig.own_part = if fig.keepers { 1.0 - LEAD_PART } else { 1.0 };
        fig.turn = (f64::from(s.instance) * GOLDEN).fract();
        fig.cold_budget = (COLD_SHARE * s.collapse_multiple).min(COLD_FAIR) * s.collapse_window;
        let slo = fig
            .groups
            .iter()
            .map(|g| g.slo)
            .fold(f64::INFINITY, f64::min);
        let (chance, typical) = (Chance::new(seed), slo / 4.0);
        let paces = fig.groups.iter().map(|_| Pace::default()).collect();
        let peers = vec![Peer::default(); s.instances as usize];
        let own = DecisionEngine {
            now,
            begun: now,
            chance,
            paces,
            typical,
            fig,
            peers,
            ..DecisionEngine::default()
        };
        DecisionEngine {
            ease: 1.0,
            ask: 1.0,
            ..own
        }
    }

    pub fn handle(&mut self, now: Millis, event: &Event<'_>, out: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.acts, out);
        match *event {
            Event::ServerList { list, entries, .. } => self.members(list, entries),
            Event::Request(ref new) => self.take(new),
            Event::AttemptEnded {
                id,
                forward,
                outcome,
                rtt,
                is_final: over,
                actual_units: actual,
                load,
                ..
            } => {
                self.ended(
                    id,
                    usize::from(forward),
                    outcome,
                    rtt,
                    over,
                    f64::from(actual),
                    &load,
                );
            }
            Event::StreamStarted { id, .. } => {
                self.queries
                    .find(id)
                    .into_iter()
                    .for_each(|slot| self.queries[slot].streaming = true);
            }
            Event::ClientDisconnected { id } => self
                .queries
                .find(id)
                .into_iter()
                .for_each(|slot| self.close(slot)),
            Event::CounterReplied {
                name,
                outcome,
                total,
                rtt,
            } => self.told(name, outcome, total.into(), rtt),
            Event::ProbeEnded {
                server,
                outcome,
                load,
                ..
            } => self.probed(server, outcome, &load),
            Event::Timer { .. } => self.beat(),
            Event::DatagramReceived { from, data } => self.hear(from, data),
        }
        std::mem::swap(&mut self.acts, out);
    }

    fn take(&mut self, new: &NewRequest) {
        let (group, plan) = (usize::from(new.group), new.plan as usize);
        let known = self.queries.find(new.id).is_some();
        if known || group >= self.fig.groups.len() || plan >= self.fig.plans.len() {
            return self.acts.push(Action::Drop { id: new.id });
        }
        let acct = self.acct(new.tenant, plan, f64::from(new.instances).max(1.0));
        let (g, mut query) = (&self.fig.groups[group], Query::new(new, acct, self.now));
        (query.slo_at, query.worth) = (self.now + g.slo, g.importance * self.fig.plans[plan].price);
        let slot = self.queries.add(new.id, query);
        self.live.push(slot);
        (self.accts[acct].in_hand, self.accts[acct].used_at) =
            (self.accts[acct].in_hand + 1, self.now);
        self.accts[acct].first = f64::from(new.first_instance);
        self.begin(slot);
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
        let never = q.stage == Stage::Over
            || q.streaming
            || q.sent >= self.fig.most.min(q.most)
            || self.too_late(q);
        Some(self.rule(q).0)
            .filter(|_| !never)
            .unwrap_or(Resend::No)
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
        q.tries[q.sent] = Try {
            server,
            sent: self.now,
            end: None,
        };
        q.sent += 1;
        q.stage = Stage::Out;
        self.accts[q.acct].out += u32::from(q.sent == 1);
        let s = &mut self.servers[server];
        s.cold_left -= if cold { 1.0 } else { 0.0 };
        s.sent_at = if s.out == 0 { self.now } else { s.sent_at };
        s.out += 1;
        self.acts.push(Action::Forward {
            id: q.id,
            server: s.id,
            timeout: 0.0,
        });
    }

    /// Most important first, of equals the one with least time left, for as long as credits are left.
    fn dispatch(&mut self) {
        // Pools without a server that may be used now, and the last pool's free share.
        let (mut stuck, mut spare) = (0_u64, None);
        while !self.waiting.is_empty() {
            let mut order: Option<(f64, Millis, usize)> = None;
            for (i, &slot) in self.waiting.iter().enumerate() {
                let q = &self.queries[slot];
                let a = &self.accts[q.acct];
                let open = f64::from(self.fig.plans[a.plan].open);
                let held = q.sent == 0
                    && open > 0.0
                    && f64::from(a.out) >= (open / a.spread).ceil().max(1.0);
                let next = order.is_none_or(|o| (q.worth, -q.slo_at) > (o.0, o.1));
                if held || !next || stuck >> (q.pool & 63) & 1 == 1 {
                    continue;
                }
                let known = spare.filter(|s: &(u16, f64)| s.0 == q.pool);
                let (_, share) =
                    *spare.insert(known.unwrap_or_else(|| (q.pool, self.spare(q.pool))));
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

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        id: RequestId,
        n: usize,
        how: Outcome,
        rtt: Millis,
        over: bool,
        actual: f64,
        load: &LoadReport,
    ) {
        let Some(slot) = self.queries.find(id) else {
            return;
        };
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
        } else if self.queries[slot].stage == Stage::Out
            && self.queries[slot].known() != Known::StillOut
        {
            self.queries[slot].stage = Stage::Waiting;
            self.waiting.push(slot);
        }
        self.let_go(slot);
        self.dispatch();
    }

    /// The one place for final answers given here.
    fn give_up(&mut self, slot: usize, advice: Millis) {
        let q = &self.queries[slot];
        let all = self.fig.groups[q.group].repeat_group == RepeatGroup::All;
        // Who comes back past the SLO time spends quota and servers on an answer that is worth nothing.
        let useful = self.now + 2.0 * (advice + self.typical) < q.slo_at;
        let retry_after = if useful {
            advice.min(self.fig.advice)
        } else {
            0.0
        };
        let (id, may) = (q.id, self.rule(q).1);
        let shed = may == May::Shed || may == May::ShedIfAll && all;
        let beyond_quota = !q.inside;
        self.acts.push(if shed {
            Action::Shed {
                id,
                retry_after,
                beyond_quota,
            }
        } else {
            Action::Drop { id }
        });
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

    fn beat(&mut self) {
        self.acts.push(Action::Timer {
            token: 0,
            wait: BEAT,
        });
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

    fn watch_query(&mut self, slot: usize) {
        let q = &self.queries[slot];
        if q.stage == Stage::Over || q.streaming {
            return;
        }
        if self.too_late(q) {
            return self.give_up(slot, 0.0);
        }
        let last =
            self.now >= q.slo_at - (3.0 * self.typical).min(0.9 * self.fig.groups[q.group].slo);
        let keeper = q.keeper.filter(|_| q.stage == Stage::Counting);
        if let Some(peer) = keeper {
            self.watch_keeper(slot, peer);
        } else if q.stage == Stage::Counting
            && self.now - q.since > self.fig.counter_wait + 4.0 * BEAT
        {
            self.decide_locally(slot, false);
        } else if q.stage == Stage::Waiting && (last || q.sent > 0 && self.pick(slot).is_none()) {
            self.give_up(slot, 2.0 * self.typical);
        }
    }
}
