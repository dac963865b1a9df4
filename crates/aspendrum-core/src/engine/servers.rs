//! What is known of servers, and which of them may be used now: credits, standing, cold starts.

use super::GOLDEN;
use crate::api::*;
use crate::state::*;

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
/// More limiters than these probe less often each: hundreds would load what they ask after.
pub(super) const PROBERS: f64 = 16.0;
const CROSS_WEIGHT: f64 = 40.0;
const CREDIT_LEAST: f64 = 0.2;
/// Of the rule's budget for a cold server, and of what a warm one carries for its capacity.
pub(super) const COLD_SHARE: f64 = 0.35;
pub(super) const COLD_FAIR: f64 = 1.0;
/// Under what an idle warm server's fading answer time comes to, in any zone.
const COLD_TURN: f64 = 0.1;
const CARRIED_TIME: Millis = 5000.0;
const BUSY_GAIN: f64 = 0.02;
const BUSY_TOP: f64 = 5.0;

/// A hung server passes probes: it must not get more than one query to prove itself.
const STANDING: [(Standing, Mark, Standing); 5] = [
    (Standing::Ready, Mark::Bad, Standing::Aside),
    (Standing::Trial, Mark::Bad, Standing::Aside),
    (Standing::Trial, Mark::Good, Standing::Ready),
    (Standing::Aside, Mark::Probes, Standing::Trial),
    (Standing::Aside, Mark::Good, Standing::Trial),
];

impl DecisionEngine {
    pub(super) fn cold(&self, started: Millis) -> bool {
        started > 0.0 && self.now - started < self.fig.cold_time
    }

    pub(super) fn usable(&self, s: &Server) -> bool {
        let credit = if s.standing == Standing::Trial {
            1.0
        } else {
            s.credits.max(1.0)
        };
        s.serving()
            && self.now >= s.rest_until
            && f64::from(s.out) < credit
            && (!self.cold(s.started) || s.cold_left >= 1.0)
    }

    /// Seen from here, a server that holds a query for long is as slow as that query says.
    pub(super) fn cost(&self, s: &Server) -> f64 {
        let by_zone = if s.zone == self.fig.zone {
            1.0
        } else {
            1.0 + CROSS_WEIGHT * self.fig.cross
        };
        let zone = if s.far > 0.0 { s.far } else { by_zone };
        // A cold server's turn comes so seldom to one of hundreds that it is taken as it comes.
        let turn = if self.fig.crowd > 1.0 && self.cold(s.started) {
            COLD_TURN
        } else {
            1.0
        };
        s.rtt.max(s.silent(self.now))
            * (1.0 + f64::from(s.out))
            * zone
            * (1.0 + s.busy * s.busy)
            * turn
    }

    /// The free share of the pool's credits: single servers keep a whole credit each, the sum bounds them.
    pub(super) fn spare(&self, pool: u16) -> f64 {
        let (mut all, mut out) = (0.0, 0.0);
        for s in self
            .servers
            .items
            .iter()
            .filter(|s| s.pool == pool && s.serving())
        {
            all += s.credits;
            out += f64::from(s.out);
        }
        1.0 - out / f64::max(all * self.ease, 1.0)
    }

    /// Stands on the least block mean seen lately: under what an idle server needs it would starve the fleet.
    pub(super) fn target(&mut self, group: usize, rtt: Millis) -> f64 {
        let slo = self.fig.groups[group].slo;
        let p = &mut self.paces[group];
        (p.sum, p.n) = (p.sum + rtt, p.n + 1.0);
        if p.n >= 30.0 {
            let (mean, grown) = (
                p.sum / p.n,
                p.base * (1.0 + BASE_GROWTH * (self.now - p.at)),
            );
            p.base = if p.base > 0.0 { mean.min(grown) } else { mean };
            (p.sum, p.n, p.at) = (0.0, 0.0, self.now);
        }
        // A fleet jammed from the start never shows its least time; this much above it always shrinks.
        let base = p.base / slo;
        (BASE_TIMES * base).clamp(AIM_SHARE, TARGET_TOP.max(1.2 * base))
    }

    pub(super) fn learn(&mut self, server: usize, how: Outcome, rtt: Millis, group: usize) {
        let slo = self.fig.groups[group].slo;
        let target = if how == Outcome::Ok {
            self.target(group, rtt)
        } else {
            AIM_SHARE
        };
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
            Outcome::Cancelled | Outcome::NotSent => 0.0,
            Outcome::Rejected => {
                // Turned away unseen: it rests for about as long as a place takes to come free.
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
    pub(super) fn set_aside(&mut self, server: usize) {
        let pool = self.servers[server].pool;
        let ready = self
            .servers
            .items
            .iter()
            .filter(|s| s.pool == pool && s.health == Health::Ready);
        let (all, aside) = ready.fold((0, 0), |n, s| {
            (n.0 + 1, n.1 + u32::from(s.standing != Standing::Ready))
        });
        if 3 * aside < all || self.servers[server].standing == Standing::Trial {
            self.mark(server, Mark::Bad);
        }
    }

    pub(super) fn mark(&mut self, server: usize, mark: Mark) {
        let s = &mut self.servers[server];
        let Some(row) = STANDING.iter().find(|r| r.0 == s.standing && r.1 == mark) else {
            return;
        };
        (s.standing, s.bad, s.probes) = (row.2, 0.0, 0);
        s.rtt = if row.2 == Standing::Trial {
            self.typical
        } else {
            s.rtt
        };
        if row.2 == Standing::Aside {
            (s.aside_at, s.aside_for) = (self.now, (s.aside_for * 2.0).clamp(500.0, 8000.0));
        }
        (s.credits, s.aside_for) = if row.2 == Standing::Ready {
            (2.0, 0.0)
        } else {
            (1.0, s.aside_for)
        };
    }

    pub(super) fn report(&mut self, server: usize, load: &LoadReport) {
        let known = |at: &usize| *at < usize::from(load.count) && !load.values[*at].is_nan();
        let Some(at) = self.fig.report_busy.filter(known) else {
            return;
        };
        let busy = f64::from(load.values[at]).clamp(0.0, BUSY_TOP);
        self.servers[server].busy = busy;
        self.busy += BUSY_GAIN * (busy - self.busy);
    }

    pub(super) fn probed(&mut self, id: ServerId, outcome: Outcome, load: &LoadReport) {
        let Some(at) = self.servers.find(u64::from(id)) else {
            return;
        };
        self.report(at, load);
        let s = &mut self.servers[at];
        (s.probing, s.probes) = (
            false,
            if outcome == Outcome::Ok {
                s.probes + 1
            } else {
                0
            },
        );
        if s.probes >= 2 && self.now - s.aside_at >= s.aside_for {
            self.mark(at, Mark::Probes);
        }
    }

    pub(super) fn members(&mut self, list: ListKind, entries: &[ServerEntry]) {
        if list == ListKind::Failed {
            return self
                .acts
                .extend(self.fig.asks.then_some(Action::WatchServers { on: true }));
        }
        if list != ListKind::Delta {
            let absent = |s: &&mut Server| !entries.iter().any(|m| m.server == s.id);
            self.servers
                .items
                .iter_mut()
                .filter(absent)
                .for_each(|s| s.health = Health::Removed);
        }
        for m in entries {
            let at = self.place(self.fresh(m));
            let s = &mut self.servers[at];
            s.health = m.health;
            (s.cell, s.zone, s.size, s.pool) = (m.cell, m.zone, f64::from(m.capacity), m.pool);
            s.far = m.distance_cost.into();
        }
        self.dispatch();
    }

    pub(super) fn fresh(&self, m: &ServerEntry) -> Server {
        let credits = if self.cold(m.started_at) {
            1.0
        } else {
            CREDIT_START / self.fig.instances
        };
        // Each limiter starts at another part of a query, so that hundreds come to a cold server in turn.
        let cold_left = (self.fig.turn + f64::from(m.server) * GOLDEN).fract();
        let (started, rtt, busy) = (m.started_at, self.typical, self.busy);
        let mut s = Server {
            id: m.server,
            started,
            credits,
            rtt,
            cold_left,
            busy,
            ..Server::default()
        };
        (s.sent_at, s.probed_at, s.cold_at) = (self.now, self.now, self.now);
        s
    }

    /// Answers a millisecond that this limiter has been getting lately.
    pub(super) fn carried(&self) -> f64 {
        self.answered_rate * (-(self.now - self.answered_at) / CARRIED_TIME).exp()
    }

    /// The least that the rules promise of a server's capacity now, as a share of the whole.
    pub(super) fn present_share(&self, started: Millis) -> f64 {
        let age = ((self.now - started) / self.fig.cold_time.max(1.0)).clamp(0.0, 1.0);
        self.fig.cold_share + (1.0 - self.fig.cold_share) * age
    }

    /// Rule 4: for each window, this limiter's part of what a cold server stands.
    pub(super) fn refill_cold(&mut self) {
        let ready = self
            .servers
            .items
            .iter()
            .filter(|s| s.health == Health::Ready);
        let (n, sizes, warm) = ready.fold((0.0, 0.0, 0.0), |n, s| {
            (n.0 + 1.0, n.1 + s.size, n.2 + self.present_share(s.started))
        });
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
            s.cold_left = (s.cold_left + half * (self.now - s.cold_at) / self.fig.fall_window)
                .min(half.max(1.0));
            s.cold_at = self.now;
        }
    }

    pub(super) fn watch_servers(&mut self) {
        for i in 0..self.servers.items.len() {
            let s = &self.servers[i];
            // A hang answers nothing while the fleet goes on.
            if s.standing != Standing::Aside && s.silent(self.now) > 8.0 * self.typical {
                self.set_aside(i);
            }
            let cold = self.cold(self.servers[i].started);
            let s = &mut self.servers[i];
            // What never answered is as quick as the others; an idle server fades to quick.
            s.rtt = if s.answered_at > 0.0 {
                s.rtt
            } else {
                self.typical
            };
            s.rtt += if s.out == 0 {
                RTT_FADE * (0.5 * self.typical - s.rtt)
            } else {
                0.0
            };
            // An old or missing report does not make a server idle.
            s.busy += RTT_FADE * (self.busy - s.busy);
            let every = if s.standing == Standing::Aside {
                250.0
            } else {
                500.0
            } * self.fig.crowd;
            // A report that one of hundreds hears steers too little of the load to pay for the probe.
            let wanted = s.standing == Standing::Aside
                || cold && self.fig.report_probes && self.fig.crowd <= 1.0;
            let can = self.fig.may_probe && !s.probing && s.health == Health::Ready;
            if can && wanted && self.now - s.probed_at >= every {
                (s.probed_at, s.probing) = (self.now, true);
                self.acts.push(Action::Probe { server: s.id });
            }
        }
    }
}
