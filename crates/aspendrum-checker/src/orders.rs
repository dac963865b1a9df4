//! What an operator was told, held against what he reads back and what servers get: an acknowledgement is the only
//! truth, one number has one text, and a refusal is as final as an acknowledgement.

use crate::record::Ms;
use crate::system::{Breach, Record};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// One number, one text holds for so many of the newest numbers; of older ones control need not know the text.
pub const KEPT: usize = 100;
/// A zone that was taken back gets something in each span of so long, if the others get [`ELSEWHERE`] in it.
const SPAN: Ms = 3000.0;
const ELSEWHERE: usize = 40;

/// One call to one machine of control.
#[derive(Clone, Debug)]
pub struct Call {
    pub core: usize,
    pub sent: Ms,
    pub ended: Ms,
    pub asked: Asked,
    /// `None`: nothing came, or no whole answer.
    pub status: Option<u16>,
}

/// A number and the text under it; `None`: nothing that can be read.
pub type Shown = Option<(u32, Arc<str>)>;

#[derive(Clone, Debug)]
pub enum Asked {
    Set {
        number: u32,
        text: Arc<str>,
    },
    /// What came with a 200.
    Show(Shown),
}

impl Call {
    pub fn acknowledged(&self) -> bool {
        self.status.is_some_and(|s| (200..300).contains(&s))
    }

    /// A final no, or one that its operator may take for one: 408 and 429 ask for another try.
    pub fn refused(&self) -> bool {
        self.status
            .is_some_and(|s| (400..500).contains(&s) && s != 408 && s != 429)
    }
}

/// An operator's order about a zone, with all its calls.
#[derive(Clone, Debug)]
pub struct Evacuation {
    pub zone: String,
    /// Begun, or finished.
    pub on: bool,
    /// When its first call was sent.
    pub sent: Ms,
    pub acked: Option<Ms>,
    /// When its operator heard the answer, or gave up.
    pub ended: Ms,
}

/// A time in which it is known what is in force for a zone: from an acknowledgement until the other is asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub zone: String,
    pub on: bool,
    pub from: Ms,
    pub until: Ms,
}

/// What acknowledgements make known of zones: nothing where Begin and Finish were under way at the same time.
pub fn known(orders: &[Evacuation]) -> Vec<Known> {
    let span = |e: &Evacuation| {
        let (zone, on, from) = (e.zone.clone(), e.on, e.acked?);
        let others = || orders.iter().filter(|o| o.zone == e.zone && o.on != e.on);
        if others().any(|o| o.sent < from && o.ended > e.sent) {
            return None;
        }
        let until = others()
            .map(|o| o.sent)
            .filter(|sent| *sent >= from)
            .fold(f64::INFINITY, f64::min);
        Some(Known {
            zone,
            on,
            from,
            until,
        })
    };
    orders.iter().filter_map(span).collect()
}

/// The texts that may be in force: sent, not refused, and no other text under the number acknowledged. By number and
/// text.
pub struct Texts<'a> {
    acknowledged: HashMap<u32, Vec<&'a str>>,
    refused: HashSet<(u32, &'a str)>,
}

impl<'a> Texts<'a> {
    pub fn of(calls: &'a [Call]) -> Texts<'a> {
        let (mut acknowledged, mut refused) = (HashMap::<u32, Vec<&str>>::new(), HashSet::new());
        for call in calls {
            let Asked::Set { number, text } = &call.asked else {
                continue;
            };
            let known = acknowledged.entry(*number).or_default();
            if call.acknowledged() && !known.contains(&&**text) {
                known.push(text);
            }
            if call.refused() {
                refused.insert((*number, &**text));
            }
        }
        Texts {
            acknowledged,
            refused,
        }
    }

    pub fn may_hold(&self, number: u32, text: &str) -> bool {
        let acknowledged = self
            .acknowledged
            .get(&number)
            .map_or(&[][..], Vec::as_slice);
        let another = !acknowledged.is_empty() && !acknowledged.contains(&text);
        !another && !self.refused.contains(&(number, text))
    }
}

fn broken(at: Ms, what: String) -> Breach {
    Breach {
        rule: "CONFIG",
        at,
        what,
    }
}

/// Holds all calls of operators against each other.
pub fn configurations(record: &Record, breaches: &mut Vec<Breach>) {
    let mut sets: Vec<(u32, &str, &Call)> = Vec::new();
    let mut shows: Vec<(&Shown, &Call)> = Vec::new();
    for call in &record.calls {
        match &call.asked {
            Asked::Set { number, text } => sets.push((*number, text, call)),
            Asked::Show(shown) => shows.push((shown, call)),
        }
    }
    one_text(&sets, breaches);
    refusals(&sets, &shows, breaches);
    read_back(&sets, &shows, breaches);
}

type Sets<'a> = [(u32, &'a str, &'a Call)];
type Shows<'a> = [(&'a Shown, &'a Call)];

/// Whether a number was among the newest that had been sent by then.
fn kept(sets: &Sets<'_>, number: u32, at: Ms) -> bool {
    let above = sets
        .iter()
        .filter(|s| s.0 > number && s.2.sent < at)
        .map(|s| s.0);
    above.collect::<HashSet<u32>>().len() < KEPT
}

/// No two texts under one number are both acknowledged.
fn one_text(sets: &Sets<'_>, breaches: &mut Vec<Breach>) {
    let mut told: HashMap<u32, &str> = HashMap::new();
    let mut acknowledged: Vec<&(u32, &str, &Call)> =
        sets.iter().filter(|s| s.2.acknowledged()).collect();
    acknowledged.sort_by(|a, b| a.2.ended.total_cmp(&b.2.ended));
    let mut doubled = HashSet::new();
    for (number, text, call) in acknowledged {
        let first = *told.entry(*number).or_insert(text);
        if first != *text && kept(sets, *number, call.ended) && doubled.insert(number) {
            let what = format!(
                "two texts under {number:08x} are both acknowledged, one by core {}",
                call.core
            );
            breaches.push(broken(call.ended, what));
        }
    }
}

/// A text is acknowledged or refused, never both; it is refused only for another one, and is never in force then.
fn refusals(sets: &Sets<'_>, shows: &Shows<'_>, breaches: &mut Vec<Breach>) {
    let refused: HashSet<(u32, &str)> = sets
        .iter()
        .filter(|s| s.2.refused())
        .map(|s| (s.0, s.1))
        .collect();
    for (number, text) in &refused {
        let same = || sets.iter().filter(|s| s.0 == *number && s.1 == *text);
        let Some(no) = same().find(|s| s.2.refused()).map(|s| s.2) else {
            continue;
        };
        let status = no.status.unwrap_or(0);
        if let Some((.., yes)) = same().find(|s| s.2.acknowledged()) {
            let what = format!(
                "{number:08x} is acknowledged by core {} and refused with {status}",
                yes.core
            );
            breaches.push(broken(no.ended.max(yes.ended), what));
        }
        let others = || sets.iter().filter(|s| s.0 == *number && s.1 != *text);
        let another =
            |s: &&(u32, &str, &Call)| s.2.sent < no.ended && !refused.contains(&(s.0, s.1));
        if !others().any(|s| another(&s)) {
            let what =
                format!("{number:08x} is refused with {status}, and nothing else may be under it");
            breaches.push(broken(no.ended, what));
        }
        let held = |shown: &Shown| {
            shown
                .as_ref()
                .is_some_and(|s| s.0 == *number && *s.1 == **text)
        };
        if let Some((_, show)) = shows.iter().find(|s| held(s.0)) {
            let what = format!(
                "{number:08x} is in force by core {}, and was refused with {status}",
                show.core
            );
            breaches.push(broken(show.ended, what));
        }
    }
}

/// Whoever reads back gets what was sent, nothing older than what was acknowledged or shown before he asked, and
/// the text that was acknowledged under its number.
fn read_back(sets: &Sets<'_>, shows: &Shows<'_>, breaches: &mut Vec<Breach>) {
    let mut seen: HashMap<u32, &str> = HashMap::new();
    for (shown, call) in shows.iter().filter(|s| s.1.acknowledged()) {
        let core = call.core;
        let Some((number, text)) = shown else {
            breaches.push(broken(
                call.ended,
                format!("core {core} shows what cannot be read"),
            ));
            continue;
        };
        let sent =
            |s: &&(u32, &str, &Call)| s.0 == *number && s.1 == &**text && s.2.sent < call.ended;
        if !sets.iter().any(|s| sent(&s)) {
            let what = format!("core {core} shows a text under {number:08x} that nobody sent");
            breaches.push(broken(call.ended, what));
        }
        let other = |s: &&(u32, &str, &Call)| {
            s.0 == *number && s.1 != &**text && s.2.acknowledged() && kept(sets, s.0, s.2.ended)
        };
        if sets.iter().any(|s| other(&s)) || *seen.entry(*number).or_insert(text) != &**text {
            let what =
                format!("core {core} shows another text under {number:08x} than was told before");
            breaches.push(broken(call.ended, what));
        }
        let before = |c: &Call| c.acknowledged() && c.ended < call.sent;
        let acknowledged = sets.iter().filter(|s| before(s.2)).map(|s| s.0);
        let read = shows
            .iter()
            .filter(|s| before(s.1))
            .filter_map(|s| Some(s.0.as_ref()?.0));
        let least = acknowledged.chain(read).max().unwrap_or(0);
        if *number < least {
            let what = format!("core {core} shows {number:08x}, and {least:08x} was told before");
            breaches.push(broken(call.ended, what));
        }
    }
}

/// A zone that was acknowledged as taken back gets requests again, as long as nothing else was asked.
pub fn taken_back(record: &Record, breaches: &mut Vec<Breach>) {
    for k in known(&record.evacuations).iter().filter(|k| !k.on) {
        let (from, until) = (k.from + record.bounds.evac, k.until.min(record.to));
        let troubled = |a: Ms, b: Ms| {
            record
                .troubles
                .iter()
                .any(|t| t.front.is_none() && t.from <= b && t.to >= a - record.bounds.contact)
        };
        let inside = |at: Ms| at > from && at < until;
        let runs = || record.runs.iter().filter(|r| inside(r.at));
        let mut there: Vec<Ms> = runs().filter(|r| r.zone == k.zone).map(|r| r.at).collect();
        there.sort_by(f64::total_cmp);
        let ends = || {
            std::iter::once(from)
                .chain(there.iter().copied())
                .chain([until])
        };
        for (a, b) in ends().zip(ends().skip(1)).filter(|(a, b)| b - a >= SPAN) {
            let elsewhere = runs()
                .filter(|r| r.at > a && r.at < b && r.zone != k.zone)
                .count();
            if elsewhere >= ELSEWHERE && !troubled(a, b) {
                let what = format!(
                    "{} was taken back, and got nothing for {:.1} s while the others got {elsewhere}",
                    k.zone,
                    (b - a) / 1000.0
                );
                breaches.push(Breach {
                    rule: "EVAC",
                    at: a,
                    what,
                });
            }
        }
    }
}
