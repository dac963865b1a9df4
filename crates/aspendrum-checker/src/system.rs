//! The record of a run of the whole system, and its judge: what its clients, its operator and its servers saw.
//! After the operators' rules: nothing doubled, nothing refused that ran, nothing mixed up, nothing astray,
//! nothing lost where only planned work went on, no quota passed.

use crate::departures::departures;
use crate::orders::{configurations, known, taken_back, Call, Evacuation, Known, Texts};
use crate::record::Ms;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

/// How a try ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    /// 200, sealed, with the body that a server made for this try.
    Answered,
    /// 200 with anything else.
    Foreign,
    /// 408, 421, 429 or 503: it has not run and never will.
    Promise(u16),
    /// Any other answer.
    Said(u16),
    /// The connection ended without a whole answer.
    Lost,
    /// No connection came up.
    Unreached,
    /// Nothing came until well after the client's time.
    Silent,
    /// Its client closed the connection without waiting for an answer.
    Left,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: u64,
    /// The first try of the same wish.
    pub wish: u64,
    /// Of the configurations' routes.
    pub route: usize,
    pub tenant: usize,
    /// The machine it was sent to.
    pub front: usize,
    pub sent: Ms,
    /// When its client had its answer, gave up, or left.
    pub ended: Ms,
    pub end: End,
}

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    pub uid: String,
    pub service: String,
    pub zone: String,
    pub tenant: Option<String>,
    /// When it reached the server, and when the server began to work on it.
    pub arrived: Ms,
    pub at: Ms,
    /// When the server was done with it, by its work's end or because its connection closed.
    pub ended: Ms,
    /// When the work would have ended by itself.
    pub whole: Ms,
    /// The server drops a run when its connection closes, as most do.
    pub drops: bool,
}

/// What one configuration allows, as the operator sent it.
#[derive(Clone, Debug, Default)]
pub struct Version {
    pub number: u32,
    pub sent: Ms,
    /// When its acknowledgement came, if it did.
    pub acked: Option<Ms>,
    /// The very text that was sent. Two operators may have sent two under one number.
    pub text: Arc<str>,
    /// By route: the service, and whether it is once-only.
    pub routes: Vec<(String, bool)>,
    /// By tenant: the name, and whether its key is there.
    pub tenants: Vec<(String, bool)>,
}

/// A time in which a machine, or all, could not do as they should.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// `None`: all of them.
    pub front: Option<usize>,
    pub from: Ms,
    pub to: Ms,
}

/// What the terms say.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub contact: Ms,
    pub apply: Ms,
    /// Keys that were taken away bind every machine, in touch or not.
    pub revoke: Option<Ms>,
    pub evac: Ms,
    pub loss: Ms,
    /// By tenant: requests a second, burst.
    pub quota: (f64, f64),
    pub quota_win: Ms,
    pub quota_excess: f64,
    pub quota_slack: f64,
}

#[derive(Clone, Debug)]
pub struct Record {
    pub from: Ms,
    pub to: Ms,
    pub bounds: Bounds,
    pub tries: Vec<Try>,
    pub runs: Vec<Run>,
    pub versions: Vec<Version>,
    pub evacuations: Vec<Evacuation>,
    /// What operators asked and were told.
    pub calls: Vec<Call>,
    pub troubles: Vec<Trouble>,
    /// What the operator read back in the end, if he could.
    pub read_back: Option<u32>,
}

/// A broken rule, by the operators' name for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: &'static str,
    pub at: Ms,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {:.2} s: {}",
            self.rule,
            self.at / 1000.0,
            self.what
        )
    }
}

#[derive(Clone, Debug)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// Wishes that every configuration which may have been in force allows, and those that were served.
    pub wishes: usize,
    pub served: usize,
    /// The same of once-only routes.
    pub once: (usize, usize),
    pub ends: Vec<(End, usize)>,
    /// Runs that nothing promised away and no client heard of: the price of losses, not a broken rule.
    pub unheard: usize,
}

impl Record {
    /// Whether every configuration that may have been in force at the time allows the try.
    pub fn owed(&self, t: &Try) -> bool {
        let settled = |v: &&Version| v.acked.is_some_and(|at| t.sent > at + self.bounds.apply);
        let least = self
            .versions
            .iter()
            .filter(settled)
            .map(|v| v.number)
            .max()
            .unwrap_or(0);
        let mut may = self
            .versions
            .iter()
            .filter(|v| v.number >= least && v.sent <= t.ended);
        may.all(|v| v.tenants.get(t.tenant).is_some_and(|k| k.1))
    }
}

impl Verdict {
    pub fn share(&self) -> f64 {
        self.served as f64 / self.wishes.max(1) as f64
    }

    pub fn share_once(&self) -> f64 {
        self.once.1 as f64 / self.once.0.max(1) as f64
    }

    pub fn broke(&self, rule: &str) -> usize {
        self.breaches.iter().filter(|b| b.rule == rule).count()
    }

    pub fn count(&self, end: End) -> usize {
        self.ends.iter().find(|e| e.0 == end).map_or(0, |e| e.1)
    }
}

/// Judges a run. O(tries + runs), but for windows of quotas.
pub fn judge(record: &Record) -> Verdict {
    let mut breaches = Vec::new();
    let texts = Texts::of(&record.calls);
    let may_hold = |v: &&Version| texts.may_hold(v.number, &v.text);
    let versions: Vec<&Version> = record.versions.iter().filter(may_hold).collect();
    let emptied: Vec<Known> = known(&record.evacuations)
        .into_iter()
        .filter(|k| k.on)
        .collect();
    let tries: HashMap<u64, &Try> = record.tries.iter().map(|t| (t.id, t)).collect();
    let mut runs: HashMap<u64, Vec<&Run>> = HashMap::new();
    record
        .runs
        .iter()
        .for_each(|r| runs.entry(r.id).or_default().push(r));
    for run in &record.runs {
        match tries.get(&run.id) {
            None => breaches.push(broken(
                "UNASKED",
                run.at,
                format!("{:x} was sent by no client", run.id),
            )),
            Some(t) => astray(record, &versions, &emptied, t, run, &mut breaches),
        }
    }
    for t in &record.tries {
        let ran = runs.get(&t.id).map_or(0, Vec::len);
        let once = once_only(record, t.route);
        if once && ran > 1 {
            breaches.push(broken(
                "TWICE",
                t.sent,
                format!("{:x} ran {ran} times", t.id),
            ));
        }
        if let (true, End::Promise(status), true) = (once, t.end, ran > 0) {
            breaches.push(broken(
                "REFUSED",
                t.sent,
                format!("{:x} got {status} and ran", t.id),
            ));
        }
        if t.end == End::Foreign {
            breaches.push(broken(
                "MIXED",
                t.ended,
                format!("{:x} got another's answer", t.id),
            ));
        }
        if t.end == End::Unreached && ran > 0 {
            let what = format!(
                "{:x} ran, and its client was told that nobody had read it",
                t.id
            );
            breaches.push(broken("REFUSED", t.sent, what));
        }
        let cut_off = t.end == End::Lost && (ran > 0 || t.ended - t.sent > record.bounds.loss);
        if cut_off && !troubled(record, t.front, t.sent - record.bounds.contact, t.ended) {
            breaches.push(broken(
                "LOST",
                t.sent,
                format!(
                    "{:x} of {:x} at {} got no answer in {:.0} ms, and ran {ran} times",
                    t.id,
                    t.wish,
                    t.front,
                    t.ended - t.sent
                ),
            ));
        }
    }
    departures(record, &tries, &mut breaches);
    quotas(record, &tries, &mut breaches);
    configurations(record, &mut breaches);
    taken_back(record, &mut breaches);
    let newest = record
        .versions
        .iter()
        .filter(|v| v.acked.is_some())
        .map(|v| v.number)
        .max();
    if record.read_back < newest {
        let what = format!(
            "{:?} was read back, {newest:?} was acknowledged",
            record.read_back
        );
        breaches.push(broken("CONFIG", record.to, what));
    }
    tally(record, &runs, breaches)
}

pub(crate) fn once_only(record: &Record, route: usize) -> bool {
    record
        .versions
        .iter()
        .all(|v| v.routes.get(route).is_some_and(|r| r.1))
}

pub(crate) fn broken(rule: &'static str, at: Ms, what: String) -> Breach {
    Breach { rule, at, what }
}

pub(crate) fn troubled(record: &Record, front: usize, from: Ms, to: Ms) -> bool {
    let binds = |t: &&Trouble| t.front.is_none_or(|f| f == front) && t.from <= to && t.to >= from;
    record.troubles.iter().any(|t| binds(&t))
}

/// Whether a run was where the configurations that may be in force allow it, and not in a zone that is emptied.
fn astray(
    record: &Record,
    versions: &[&Version],
    emptied: &[Known],
    t: &Try,
    run: &Run,
    breaches: &mut Vec<Breach>,
) {
    let (b, sent) = (&record.bounds, t.sent);
    let allows = |v: &&Version| {
        v.routes.get(t.route).is_some_and(|r| r.0 == run.service)
            && v.tenants.get(t.tenant).is_some_and(|k| k.1)
    };
    let ever: Vec<&Version> = versions
        .iter()
        .copied()
        .filter(|v| v.sent <= run.at)
        .collect();
    if !ever.iter().any(allows) {
        let what = format!("{:x} ran at {} as no configuration says", t.id, run.service);
        return breaches.push(broken("ROUTE", run.at, what));
    }
    if let Some(name) = &run.tenant {
        let own = record
            .versions
            .iter()
            .any(|v| v.tenants.get(t.tenant).is_some_and(|k| k.0 == *name));
        if !own {
            breaches.push(broken(
                "UNASKED",
                run.at,
                format!("{:x} ran for the tenant {name}", t.id),
            ));
        }
    }
    let held = |v: &&Version, after: Ms| v.acked.is_some_and(|at| sent > at + after);
    // What was acknowledged long enough ago rules out whatever is older.
    let least = |after: Ms| {
        ever.iter()
            .filter(|v| held(v, after))
            .map(|v| v.number)
            .max()
            .unwrap_or(0)
    };
    let touched = !troubled(record, t.front, sent - b.contact, run.at);
    // Once-only requests keep to the decided path in touch or not, unless a majority of control is gone for all.
    let deserted = record
        .troubles
        .iter()
        .any(|t| t.front.is_none() && t.from <= run.at && t.to >= sent - b.contact);
    let once = once_only(record, t.route) && !deserted;
    let at_least = least(b.apply);
    if (touched || once) && !ever.iter().filter(|v| v.number >= at_least).any(allows) {
        let what = format!(
            "{:x} ran at {} as only a version before {at_least} says",
            t.id, run.service
        );
        breaches.push(broken("CONFIG", run.at, what));
    }
    if let Some(revoke) = b.revoke {
        let at_least = least(revoke);
        let holds = |v: &&Version| v.tenants.get(t.tenant).is_some_and(|k| k.1);
        if !ever.iter().filter(|v| v.number >= at_least).any(holds) {
            breaches.push(broken(
                "CONFIG",
                run.at,
                format!("{:x} ran with a key taken away", t.id),
            ));
        }
    }
    let empty = |k: &&Known| k.zone == run.zone && run.at > k.from + b.evac && run.at < k.until;
    if touched && emptied.iter().any(|k| empty(&k)) {
        breaches.push(broken(
            "EVAC",
            run.at,
            format!("{:x} ran in the emptied zone {}", t.id, run.zone),
        ));
    }
}

/// No span of the quota's window holds more of a tenant than the terms allow, in touch or not.
fn quotas(record: &Record, tries: &HashMap<u64, &Try>, breaches: &mut Vec<Breach>) {
    let b = &record.bounds;
    let (rate, burst) = b.quota;
    if rate <= 0.0 {
        return;
    }
    let allowed = (rate * b.quota_win / 1000.0 + burst) * (1.0 + b.quota_excess) + b.quota_slack;
    let mut by_tenant: HashMap<usize, Vec<(Ms, Ms)>> = HashMap::new();
    for run in &record.runs {
        if let Some(t) = tries.get(&run.id) {
            by_tenant
                .entry(t.tenant)
                .or_default()
                .push((run.at, t.sent));
        }
    }
    for (tenant, mut at) in by_tenant {
        at.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (n, (end, _)) in at.iter().enumerate() {
            let inside = |r: &&(Ms, Ms)| r.0 > end - b.quota_win && r.1 > end - b.quota_win;
            let ran = at[..=n]
                .iter()
                .rev()
                .take_while(|r| r.0 > end - b.quota_win)
                .filter(inside)
                .count();
            if ran as f64 > allowed {
                let what = format!("tenant {tenant}: {ran} ran where {allowed:.0} may");
                breaches.push(broken("QUOTA", *end, what));
                break;
            }
        }
    }
}

fn tally(record: &Record, runs: &HashMap<u64, Vec<&Run>>, breaches: Vec<Breach>) -> Verdict {
    let (mut wishes, mut served) = (HashMap::new(), HashSet::new());
    // Nothing is owed to a client that left.
    let left: HashSet<u64> = record
        .tries
        .iter()
        .filter(|t| t.end == End::Left)
        .map(|t| t.wish)
        .collect();
    let owed = record
        .tries
        .iter()
        .filter(|t| record.owed(t) && !left.contains(&t.wish));
    let owed: HashSet<u64> = owed.map(|t| t.wish).collect();
    let mut ends: HashMap<End, usize> = HashMap::new();
    let mut unheard = 0;
    for t in &record.tries {
        let counts = owed.contains(&t.wish);
        if counts {
            wishes.insert(t.wish, once_only(record, t.route));
        }
        if counts && t.end == End::Answered {
            served.insert(t.wish);
        }
        *ends.entry(t.end).or_default() += 1;
        unheard +=
            usize::from(!matches!(t.end, End::Answered | End::Left) && runs.contains_key(&t.id));
    }
    let once: Vec<u64> = wishes.iter().filter(|w| *w.1).map(|w| *w.0).collect();
    let mut ends: Vec<(End, usize)> = ends.into_iter().collect();
    ends.sort_unstable();
    Verdict {
        breaches,
        wishes: wishes.len(),
        served: served.len(),
        once: (
            once.len(),
            once.iter().filter(|w| served.contains(w)).count(),
        ),
        ends,
        unheard,
    }
}
