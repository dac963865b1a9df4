//! What the decision module remembers: plain data and a slab. Nothing here decides.

use crate::api::*;
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Breaker {
    Closed,
    Open,
    Replaying,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Signal {
    Failures,
    ProbeAnswered,
    Settled,
    ReplayLost,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Effect {
    ProbeSoon,
    Replay,
    Nothing,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Standing {
    Ready,
    Aside,
    Trial,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mark {
    Good,
    Bad,
    Probes,
}

/// What is known of a query's earlier forwards.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Known {
    NeverRan,
    MayHaveRun,
    StillOut,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Resend {
    Anywhere,
    Copy,
    InGroup,
    GroupCopy,
    No,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum May {
    Shed,
    ShedIfAll,
    Drop,
}

#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub enum Stage {
    #[default]
    Counting,
    Waiting,
    Out,
    Over,
}

pub struct Server {
    pub id: ServerId,
    pub health: Health,
    pub standing: Standing,
    pub cell: u16,
    pub zone: u8,
    pub size: f64,
    pub started: Ms,
    pub credits: f64,
    pub out: u32,
    pub rtt: Ms,
    pub answered_at: Ms,
    pub sent_at: Ms,
    pub bad: f64,
    pub rest_until: Ms,
    pub probed_at: Ms,
    pub probing: bool,
    pub probes: u32,
    pub aside_for: Ms,
    pub aside_at: Ms,
    pub busy: f64,
    pub cold_left: f64,
    pub cold_at: Ms,
}

/// Who waits for a counter call's answer.
#[derive(Clone, Copy)]
pub enum Asker {
    Query(usize),
    Replay(f64),
    Settle,
    Probe,
}

pub struct Call {
    pub asker: Asker,
    pub add: f64,
}

#[derive(Default)]
pub struct Acct {
    pub id: AcctId,
    pub plan: usize,
    pub spread: f64,
    pub level: f64,
    pub at: Ms,
    pub total: f64,
    pub seen: bool,
    pub carry: f64,
    pub carry_at: Ms,
    pub unsure: f64,
    pub mine: f64,
    pub all: f64,
    pub share: f64,
    pub local: f64,
    pub local_at: Ms,
    pub proof: f64,
    pub over: f64,
    pub over_at: Ms,
    pub log: VecDeque<(Ms, f64)>,
    pub calls: VecDeque<Call>,
    /// Servers (by place, modulo 64) that turned this customer away lately.
    pub shunned: u64,
    pub shunned_until: Ms,
    pub out: u32,
    pub in_hand: u32,
    pub used_at: Ms,
}

#[derive(Clone, Copy, Default)]
pub struct Try {
    pub server: usize,
    pub sent: Ms,
    pub end: Option<Outcome>,
}

pub const MOST_FORWARDS: usize = 8;

#[derive(Default)]
pub struct Query {
    pub id: QueryId,
    pub group: usize,
    pub acct: usize,
    pub units: f64,
    pub stage: Stage,
    pub since: Ms,
    pub until: Ms,
    pub slo_at: Ms,
    pub counting: bool,
    pub added: f64,
    pub inside: bool,
    pub streaming: bool,
    pub tries: [Try; MOST_FORWARDS],
    pub sent: usize,
    pub worth: f64,
}

impl Query {
    pub fn tries(&self) -> &[Try] {
        &self.tries[..self.sent]
    }
}

/// Answer times of one endpoint group: a block in the making and the least block mean.
#[derive(Default)]
pub struct Pace {
    pub sum: Ms,
    pub n: f64,
    pub base: Ms,
}

pub struct GroupFig {
    pub slo: Ms,
    pub semantics: Semantics,
    pub repeat_group: RepeatGroup,
    pub window: Ms,
    pub importance: f64,
}

pub struct PlanFig {
    pub rate: f64,
    pub burst: f64,
    pub window: Ms,
    pub price: f64,
    pub over_worth: f64,
    pub open: u32,
    pub over_rate: f64,
    pub over_burst: f64,
    pub proof_rate: f64,
    pub proof_burst: f64,
    pub ceiling: bool,
}

/// The figures that decisions use, worked out of the settings at start.
pub struct Figures {
    pub groups: Vec<GroupFig>,
    pub plans: Vec<PlanFig>,
    pub report_busy: Option<usize>,
    pub report_probes: bool,
    pub asks: bool,
    pub counter: bool,
    pub counter_wait: Ms,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub copies: bool,
    pub most: usize,
    pub advice: Ms,
    pub zone: u8,
    pub cross: f64,
    pub units_top: f64,
    pub settles: bool,
    pub credit_start: f64,
    pub cold_budget: f64,
    pub cold_share: f64,
    pub cold_time: Ms,
    pub fall_window: Ms,
}

/// Places found by id and used again once freed.
pub struct Slab<T> {
    pub items: Vec<T>,
    by_id: HashMap<u64, usize>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { items: Vec::new(), by_id: HashMap::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    pub fn find(&self, id: u64) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn add(&mut self, id: u64, item: T) -> usize {
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
    pub fn remove(&mut self, id: u64) -> bool {
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
pub struct Chance(pub u64);

impl Chance {
    pub fn roll(&mut self) -> f64 {
        self.0 = 4_294_957_665 * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}
