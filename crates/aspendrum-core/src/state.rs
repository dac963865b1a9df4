//! What the decision module remembers: plain data and a slab. Nothing here decides.

use crate::api::*;
use crate::word::Word;
use aspendrum_token_bucket::TokenBucket;
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Breaker {
    #[default]
    Closed,
    Open,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Signal {
    Failures,
    ProbeAnswered,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Effect {
    ProbeSoon,
    Replay,
}

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Standing {
    #[default]
    Ready,
    Aside,
    Trial,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Mark {
    Good,
    Bad,
    Probes,
}

/// What is known of a query's earlier forwards.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Known {
    NeverRan,
    MayHaveRun,
    StillOut,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Resend {
    Anywhere,
    InGroup,
    No,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum May {
    Shed,
    ShedIfAll,
    Drop,
}

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub(crate) enum Stage {
    #[default]
    Counting,
    Waiting,
    Out,
    Over,
}

#[derive(Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub pool: u16,
    pub health: Health,
    pub standing: Standing,
    pub cell: u16,
    pub zone: u8,
    pub far: f64,
    pub size: f64,
    pub started: Millis,
    pub credits: f64,
    pub out: u32,
    pub rtt: Millis,
    pub answered_at: Millis,
    pub sent_at: Millis,
    pub bad: f64,
    pub rest_until: Millis,
    pub probed_at: Millis,
    pub probing: bool,
    pub probes: u32,
    pub aside_for: Millis,
    pub aside_at: Millis,
    pub busy: f64,
    pub cold_left: f64,
    pub cold_at: Millis,
}

impl Server {
    pub(crate) fn serving(&self) -> bool {
        self.health == Health::Ready && self.standing != Standing::Aside
    }

    /// How long it has held something without any answer.
    pub(crate) fn silent(&self, now: Millis) -> Millis {
        if self.out > 0 {
            now - self.answered_at.max(self.sent_at)
        } else {
            0.0
        }
    }
}

/// Who waits for a counter call's answer.
#[derive(Clone, Copy)]
pub(crate) enum Asker {
    Query(usize),
    Settle,
    Probe,
}

pub(crate) struct Call {
    pub asker: Asker,
    pub add: f64,
    pub name: u64,
}

/// What is left of a part of a ceiling, and when.
#[derive(Clone, Copy, Default)]
pub(crate) struct Part {
    pub left: f64,
    pub at: Millis,
}

#[derive(Default)]
pub(crate) struct Acct {
    pub id: TenantId,
    pub plan: usize,
    pub spread: f64,
    /// The limiters among which its local count is split: all of its set, or this one that keeps it for them.
    pub ways: f64,
    /// The number of the first limiter of its set.
    pub first: f64,
    /// When another limiter last asked here for it.
    pub kept_at: Millis,
    /// Its keeper said that it has no room until then.
    pub full_until: Millis,
    /// Seen by each of its limiters too seldom to be followed.
    pub sparse: bool,
    pub window: f64,
    pub level: f64,
    pub at: Millis,
    pub total: f64,
    pub seen: bool,
    pub carry: f64,
    pub local: f64,
    pub local_at: Millis,
    /// This limiter's even part of the ceiling, and the keeper's part, which counts at the keeper alone.
    pub part: Part,
    pub lead: Part,
    /// What it may spend without the counter's word, where limiters speak to each other.
    pub purse: TokenBucket,
    /// The last sign of life of the counter before its spare query was granted, and when that was.
    pub spare: (Option<Millis>, Millis),
    /// When a client last asked for it here.
    pub asked_at: Millis,
    /// Whom of its set it asked last for what they hold, and when.
    pub wanted: (u64, Millis),
    pub log: VecDeque<(Millis, f64)>,
    pub calls: VecDeque<Call>,
    pub out: u32,
    pub in_hand: u32,
    pub used_at: Millis,
}

#[derive(Clone, Copy, Default)]
pub(crate) struct Try {
    pub server: usize,
    pub sent: Millis,
    pub end: Option<Outcome>,
}

pub(crate) const MOST_FORWARDS: usize = 8;

#[derive(Default)]
pub(crate) struct Query {
    pub id: RequestId,
    pub group: usize,
    /// Whose servers may run it, in which zones, and how many of them may be tried.
    pub pool: u16,
    pub zones: u64,
    pub most: usize,
    pub acct: usize,
    pub units: f64,
    pub stage: Stage,
    pub since: Millis,
    pub until: Millis,
    pub slo_at: Millis,
    pub counting: bool,
    pub added: f64,
    pub inside: bool,
    pub streaming: bool,
    pub tries: [Try; MOST_FORWARDS],
    pub sent: usize,
    pub worth: f64,
    /// The limiter whose word it waits for or has.
    pub keeper: Option<u16>,
    /// What its keeper was asked, to be asked again in the same words: a gift counts once.
    pub asked: Option<Word>,
    /// Not a client's query: another limiter's question, and its number there.
    pub asked_by: Option<(u16, u16)>,
    /// The keeper was asked a second time.
    pub again: bool,
    /// Its units are out of this limiter's part of the ceiling already.
    pub paid: bool,
    /// Another's question: they are to come out of the keeper's part.
    pub wants_lead: bool,
}

/// Another limiter, as a keeper of customers.
#[derive(Clone, Copy, Default)]
pub(crate) struct Peer {
    pub missed: u32,
    pub silent_until: Millis,
    /// It has answered the last question that is over.
    pub answers: bool,
    /// It said that it has no word of the counter's.
    pub alone: bool,
}

pub(crate) struct Said {
    pub id: RequestId,
    pub word: Word,
    pub acct: TenantId,
    /// Granted, and not given back.
    pub units: f64,
}

impl Try {
    /// It has not ended, or not in a way that proves it never ran.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self.end,
            Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

impl Query {
    pub(crate) fn new(new: &NewRequest, acct: usize, now: Millis) -> Self {
        let (group, units) = (usize::from(new.group), f64::from(new.units).max(0.0));
        let (id, until, since, inside) = (new.id, new.deadline, now, true);
        let (pool, zones, most) = (new.pool, new.allowed_zones, usize::from(new.max_attempts));
        Query {
            id,
            group,
            pool,
            zones,
            most,
            acct,
            units,
            since,
            until,
            inside,
            ..Query::default()
        }
    }

    pub(crate) fn known(&self) -> Known {
        match (
            self.tries().iter().any(|t| t.end.is_none()),
            self.tries().iter().any(Try::may_have_run),
        ) {
            (true, _) => Known::StillOut,
            (_, true) => Known::MayHaveRun,
            _ => Known::NeverRan,
        }
    }

    pub(crate) fn tries(&self) -> &[Try] {
        &self.tries[..self.sent]
    }
}

/// Answer times of one endpoint group: a block in the making and the least block mean.
#[derive(Default)]
pub(crate) struct Pace {
    pub sum: Millis,
    pub n: f64,
    pub base: Millis,
    pub at: Millis,
}

pub(crate) struct GroupFig {
    pub slo: Millis,
    pub semantics: Semantics,
    pub repeat_group: RepeatGroup,
    pub window: Millis,
    pub importance: f64,
}

pub(crate) struct PlanFig {
    pub windowed: bool,
    pub rate: f64,
    pub burst: f64,
    pub window: Millis,
    pub price: f64,
    pub over_worth: f64,
    pub over_cost: f64,
    pub open: u32,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
}

impl GroupFig {
    fn of(g: &GroupSettings) -> GroupFig {
        GroupFig {
            slo: g.latency_target,
            semantics: g.semantics,
            repeat_group: g.repeat_group,
            window: g.repeat_window,
            importance: g.importance,
        }
    }
}

impl PlanFig {
    fn of(p: &PlanSettings) -> PlanFig {
        PlanFig {
            windowed: p.is_windowed,
            rate: p.rate / 1000.0,
            burst: p.burst,
            window: if p.rate > 0.0 {
                p.burst / p.rate * 1000.0
            } else {
                0.0
            },
            price: p.price,
            over_worth: p.overage_value,
            over_cost: p.overage_cost,
            open: p.max_in_flight,
            ceiling_rate: p.ceiling_rate / 1000.0,
            ceiling_burst: p.ceiling_burst,
        }
    }
}

/// The figures that decisions use, worked out of the settings at start.
#[derive(Default)]
pub(crate) struct Figures {
    pub groups: Vec<GroupFig>,
    pub plans: Vec<PlanFig>,
    pub report_busy: Option<usize>,
    pub report_probes: bool,
    pub asks: bool,
    pub counter: bool,
    pub counter_wait: Millis,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub most: usize,
    pub advice: Millis,
    pub zone: u8,
    pub cross: f64,
    pub units_top: f64,
    pub settles: bool,
    pub instances: f64,
    pub me: u16,
    pub keepers: bool,
    /// The least time between two words that ask for gifts.
    pub want_every: Millis,
    pub own_part: f64,
    pub cold_budget: f64,
    pub turn: f64,
    pub crowd: f64,
    pub cold_share: f64,
    pub cold_time: Millis,
    pub fall_window: Millis,
}

impl Figures {
    pub(crate) fn new(s: &Settings) -> Self {
        Figures {
            groups: s.groups.iter().map(GroupFig::of).collect(),
            plans: s.plans.iter().map(PlanFig::of).collect(),
            report_busy: s
                .load_values
                .iter()
                .position(|v| *v == LoadValue::CpuUtilization),
            report_probes: s.load_reports == LoadReportChannel::Probes,
            asks: s.polls_discovery,
            counter: s.has_counter,
            counter_wait: s.counter_timeout,
            may_cancel: s.may_cancel,
            may_probe: s.may_probe,
            most: (s.max_attempts as usize).clamp(1, MOST_FORWARDS),
            advice: if s.sends_retry_after {
                s.max_retry_after
            } else {
                0.0
            },
            zone: s.zone,
            cross: s.cross_zone_price,
            units_top: s.max_units,
            settles: s.cost_known_after,
            instances: f64::from(s.instances),
            me: s.instance as u16,
            cold_share: s.slow_start_capacity,
            cold_time: s.slow_start_time,
            fall_window: s.collapse_window,
            ..Figures::default()
        }
    }
}

/// One limiter: all that it remembers. What it does with it stands in `control`.
#[derive(Default)]
pub struct DecisionEngine {
    pub(crate) now: Millis,
    pub(crate) begun: Millis,
    pub(crate) acts: Vec<Action>,
    pub(crate) fig: Figures,
    pub(crate) chance: Chance,
    pub(crate) breaker: Breaker,
    pub(crate) failures: u32,
    /// When the counter last gave a sign of life, be it that it turned a call away.
    pub(crate) heard_at: Option<Millis>,
    pub(crate) ask: f64,
    /// What a query stakes on its decision, on average.
    pub(crate) stake: f64,
    pub(crate) asked_at: Millis,
    pub(crate) strained_until: Millis,
    pub(crate) probe_acct: usize,
    pub(crate) counter_probe_at: Millis,
    pub(crate) counter_probing: bool,
    /// Calls made before this are part of a failure that the share was cut for already.
    pub(crate) cut_at: Millis,
    pub(crate) servers: Slab<Server>,
    pub(crate) accts: Slab<Acct>,
    pub(crate) queries: Slab<Query>,
    pub(crate) logged: Vec<usize>,
    pub(crate) owed: VecDeque<(usize, Millis)>,
    pub(crate) waiting: Vec<usize>,
    pub(crate) live: Vec<usize>,
    pub(crate) paces: Vec<Pace>,
    pub(crate) typical: Millis,
    /// The load report of a typical server.
    pub(crate) busy: f64,
    pub(crate) ease: f64,
    pub(crate) answered_rate: f64,
    pub(crate) answered_at: Millis,
    pub(crate) swept_at: Millis,
    pub(crate) peers: Vec<Peer>,
    /// The last answers given to other limiters, to be given again, with whose units were granted and how
    /// many.
    pub(crate) said: VecDeque<Said>,
    /// The last moment that a word of this limiter named.
    pub(crate) stamp: u64,
    /// Datagrams that made no sense.
    pub(crate) strange: u64,
}

impl DecisionEngine {
    /// A new configuration: endpoint groups and plans keep their numbers, and more may follow behind them.
    /// Fewer than before are not taken.
    pub fn configure(&mut self, groups: &[GroupSettings], plans: &[PlanSettings]) {
        if groups.len() < self.fig.groups.len() || plans.len() < self.fig.plans.len() {
            return;
        }
        self.fig.groups = groups.iter().map(GroupFig::of).collect();
        self.fig.plans = plans.iter().map(PlanFig::of).collect();
        self.paces.resize_with(groups.len(), Pace::default);
    }

    /// Where a server's record stands; a server that started again gets the fresh one.
    pub(crate) fn place(&mut self, fresh: Server) -> usize {
        let id = u64::from(fresh.id);
        match self.servers.find(id) {
            Some(at) if fresh.started <= self.servers[at].started => at,
            Some(at) => {
                self.servers[at] = Server {
                    out: self.servers[at].out,
                    ..fresh
                };
                at
            }
            None => self.servers.add(id, fresh),
        }
    }

    pub(crate) fn cancel_rest(&mut self, slot: usize) {
        let q = &self.queries[slot];
        for (n, t) in q.tries().iter().enumerate() {
            if t.end.is_none() {
                self.acts.push(Action::Cancel {
                    id: q.id,
                    forward: n as u8,
                });
            }
        }
    }

    /// Lets go of customers idle for that long and of servers gone for good, once nothing names them.
    pub(crate) fn forget_idle(&mut self, idle: Millis) {
        if self.now - self.swept_at < idle / 10.0 {
            return;
        }
        self.swept_at = self.now;
        for at in 0..self.accts.items.len() {
            let a = &self.accts[at];
            let quiet = a.in_hand == 0 && a.calls.is_empty() && a.log.is_empty() && a.carry == 0.0;
            let (id, old) = (a.id, self.now - a.used_at > idle);
            if quiet && old && self.breaker == Breaker::Closed && self.accts.find(id) == Some(at) {
                self.accts.remove(id);
            }
        }
        for at in 0..self.servers.items.len() {
            let id = u64::from(self.servers[at].id);
            let named = |slot: &usize| self.queries[*slot].tries().iter().any(|t| t.server == at);
            let left = self.servers[at].health == Health::Removed && !self.live.iter().any(named);
            if left && self.servers.find(id) == Some(at) {
                self.servers.remove(id);
            }
        }
    }

    /// Frees the place once nothing can come for it any more.
    pub(crate) fn let_go(&mut self, slot: usize) {
        let q = &self.queries[slot];
        if q.stage != Stage::Over || q.counting || q.known() == Known::StillOut {
            return;
        }
        let (id, acct, sent) = (q.id, q.acct, q.sent);
        if !self.queries.remove(id) {
            return;
        }
        self.accts[acct].in_hand -= 1;
        self.accts[acct].out -= u32::from(sent > 0);
        self.live.retain(|l| *l != slot);
    }
}

impl Acct {
    pub(crate) fn log_grant(&mut self, now: Millis, units: f64, window: Millis) {
        self.log.push_back((now, units));
        while self.log.front().is_some_and(|g| g.0 < now - window) {
            self.log.pop_front();
        }
    }
}

/// Places found by id and used again once freed.
pub(crate) struct Slab<T> {
    pub items: Vec<T>,
    by_id: HashMap<u64, usize>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            items: Vec::new(),
            by_id: HashMap::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub(crate) fn find(&self, id: u64) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn add(&mut self, id: u64, item: T) -> usize {
        let at = self.free.pop().unwrap_or(self.items.len());
        if at < self.items.len() {
            self.items[at] = item;
        } else {
            self.items.push(item);
        }
        self.by_id.insert(id, at);
        at
    }

    /// False if the id holds no place.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        let at = self.by_id.remove(&id);
        self.free.extend(at);
        at.is_some()
    }
}

impl<T> std::ops::Index<usize> for Slab<T> {
    type Output = T;
    fn index(&self, at: usize) -> &T {
        &self.items[at]
    }
}

impl<T> std::ops::IndexMut<usize> for Slab<T> {
    fn index_mut(&mut self, at: usize) -> &mut T {
        &mut self.items[at]
    }
}

/// Multiply with carry.
#[derive(Default)]
pub(crate) struct Chance(u64);

impl Chance {
    pub(crate) fn new(seed: u64) -> Self {
        Chance((seed | 1) & 0x7fff_ffff_ffff_ffff)
    }

    pub(crate) fn roll(&mut self) -> f64 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
