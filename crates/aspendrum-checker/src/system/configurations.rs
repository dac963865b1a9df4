//! The rule CONFIG for the responses that operators receive: only an acknowledgement confirms a configuration, each
//! version number has one text, and a refusal is as final as an acknowledgement.

use super::breach::Breach;
use super::record::{ConfigText, ControlCall, OperatorCall, Record};
use crate::Millis;
use std::collections::{HashMap, HashSet};

/// The number of newest version numbers for which the rule of one text per number holds. Control may forget the texts
/// of older ones.
pub const KEPT_VERSIONS: usize = 100;

/// The texts that may be in force: sent, not refused, and without a different acknowledged text under the same number.
pub struct ValidTexts<'a> {
    acknowledged: HashMap<u32, Vec<&'a str>>,
    refused: HashSet<(u32, &'a str)>,
}

impl<'a> ValidTexts<'a> {
    /// Collects the valid texts from the responses to these calls.
    pub fn of(calls: &'a [ControlCall]) -> ValidTexts<'a> {
        let mut acknowledged: HashMap<u32, Vec<&str>> = HashMap::new();
        let mut refused = HashSet::new();
        for sent in sent_texts(calls) {
            let known = acknowledged.entry(sent.number).or_default();
            if sent.call.is_acknowledged() && !known.contains(&sent.text) {
                known.push(sent.text);
            }
            if sent.call.is_refused() {
                refused.insert((sent.number, sent.text));
            }
        }
        ValidTexts {
            acknowledged,
            refused,
        }
    }

    /// Returns whether `text` may be in force under `number`.
    pub fn may_be_in_force(&self, number: u32, text: &str) -> bool {
        let acknowledged = self
            .acknowledged
            .get(&number)
            .map_or(&[][..], Vec::as_slice);
        let is_another = !acknowledged.is_empty() && !acknowledged.contains(&text);
        !is_another && !self.refused.contains(&(number, text))
    }
}

/// A call that sent a configuration text.
#[derive(Clone, Copy)]
struct SentText<'a> {
    number: u32,
    text: &'a str,
    call: &'a ControlCall,
}

/// A call that read the newest configuration.
#[derive(Clone, Copy)]
struct ReadText<'a> {
    /// The configuration in the response, or `None` if it could not be read.
    shown: Option<&'a ConfigText>,
    call: &'a ControlCall,
}

fn sent_texts(calls: &[ControlCall]) -> impl Iterator<Item = SentText<'_>> {
    calls.iter().filter_map(|call| match &call.call {
        OperatorCall::Set { number, text } => Some(SentText {
            number: *number,
            text,
            call,
        }),
        OperatorCall::SetInvalid { .. } | OperatorCall::Show(_) => None,
    })
}

fn read_texts(calls: &[ControlCall]) -> impl Iterator<Item = ReadText<'_>> {
    calls.iter().filter_map(|call| match &call.call {
        OperatorCall::Show(shown) => Some(ReadText {
            shown: shown.as_ref(),
            call,
        }),
        OperatorCall::Set { .. } | OperatorCall::SetInvalid { .. } => None,
    })
}

/// Checks the calls of all operators against each other.
pub fn check_configurations(record: &Record, breaches: &mut Vec<Breach>) {
    let calls = OperatorCalls {
        sent: sent_texts(&record.calls).collect(),
        read: read_texts(&record.calls).collect(),
    };
    breaches.extend(calls.check_acknowledged_texts());
    breaches.extend(record.calls.iter().filter_map(check_invalid));
    for sent in calls.distinct_refused() {
        breaches.extend(calls.check_refusal(sent));
    }
    let mut first_shown: HashMap<u32, &str> = HashMap::new();
    for read in calls.read.iter().filter(|read| read.call.is_acknowledged()) {
        breaches.extend(calls.check_read(read, &mut first_shown));
    }
}

/// An invalid text must never be acknowledged.
fn check_invalid(call: &ControlCall) -> Option<Breach> {
    let OperatorCall::SetInvalid { number, .. } = &call.call else {
        return None;
    };
    let description = format!(
        "an invalid text under {number:08x} is acknowledged by control node {}",
        call.control_node
    );
    call.is_acknowledged()
        .then(|| breach(call.ended_at, description))
}

struct OperatorCalls<'a> {
    sent: Vec<SentText<'a>>,
    read: Vec<ReadText<'a>>,
}

fn breach(at: Millis, description: String) -> Breach {
    Breach::new("CONFIG", at, description)
}

impl<'a> OperatorCalls<'a> {
    /// Returns whether `number` was among the newest [`KEPT_VERSIONS`] numbers sent before `at`.
    fn is_kept(&self, number: u32, at: Millis) -> bool {
        let newer = self
            .sent
            .iter()
            .filter(|sent| sent.number > number && sent.call.sent_at < at);
        let newer: HashSet<u32> = newer.map(|sent| sent.number).collect();
        newer.len() < KEPT_VERSIONS
    }

    /// At most one text per number may be acknowledged.
    fn check_acknowledged_texts(&self) -> Vec<Breach> {
        let mut acknowledged: Vec<&SentText<'_>> = self
            .sent
            .iter()
            .filter(|sent| sent.call.is_acknowledged())
            .collect();
        acknowledged.sort_by(|a, b| a.call.ended_at.total_cmp(&b.call.ended_at));
        let mut first: HashMap<u32, &str> = HashMap::new();
        let mut reported = HashSet::new();
        let mut breaches = Vec::new();
        for SentText { number, text, call } in acknowledged {
            let is_second = *first.entry(*number).or_insert(text) != *text;
            if is_second && self.is_kept(*number, call.ended_at) && reported.insert(number) {
                let node = call.control_node;
                let description = format!(
                    "two texts under {number:08x} are both acknowledged, one by control node {node}"
                );
                breaches.push(breach(call.ended_at, description));
            }
        }
        breaches
    }

    /// Returns the first refused call for each number and text.
    fn distinct_refused(&self) -> Vec<SentText<'a>> {
        let mut known = HashSet::new();
        let refused = self.sent.iter().filter(|sent| sent.call.is_refused());
        refused
            .filter(|sent| known.insert((sent.number, sent.text)))
            .copied()
            .collect()
    }

    fn is_text_refused(&self, number: u32, text: &str) -> bool {
        let mut same = self
            .sent
            .iter()
            .filter(|sent| sent.number == number && sent.text == text);
        same.any(|sent| sent.call.is_refused())
    }

    /// A refused text must never be acknowledged or in force, and may be refused only because of another text with its
    /// number.
    fn check_refusal(&self, refused: SentText<'_>) -> Vec<Breach> {
        let SentText {
            number,
            text,
            call: refusal,
        } = refused;
        let status = refusal.status.unwrap_or(0);
        let mut breaches = Vec::new();
        let with_number = || self.sent.iter().filter(|sent| sent.number == number);
        let acknowledgement = with_number().find(|s| s.text == text && s.call.is_acknowledged());
        if let Some(SentText { call, .. }) = acknowledgement {
            let node = call.control_node;
            let description = format!(
                "{number:08x} is acknowledged by control node {node} and refused with {status}"
            );
            breaches.push(breach(refusal.ended_at.max(call.ended_at), description));
        }
        let may_be_reason = |other: &SentText<'_>| {
            other.text != text
                && other.call.sent_at < refusal.ended_at
                && !self.is_text_refused(number, other.text)
        };
        if !with_number().any(may_be_reason) {
            let description =
                format!("{number:08x} is refused with {status}, but no other text can be under it");
            breaches.push(breach(refusal.ended_at, description));
        }
        let is_refused_text = |shown: &ConfigText| shown.number == number && *shown.text == *text;
        if let Some(read) = self
            .read
            .iter()
            .find(|read| read.shown.is_some_and(is_refused_text))
        {
            let node = read.call.control_node;
            let description = format!(
                "{number:08x} is in force by control node {node}, but was refused with {status}"
            );
            breaches.push(breach(read.call.ended_at, description));
        }
        breaches
    }

    /// A read must return a text that was sent, no older than any that was acknowledged or read before, and the one
    /// that was acknowledged under its number. `first_shown` holds the first text read under each number.
    fn check_read(
        &self,
        read: &ReadText<'a>,
        first_shown: &mut HashMap<u32, &'a str>,
    ) -> Vec<Breach> {
        let (call, node) = (read.call, read.call.control_node);
        let at = call.ended_at;
        let Some(ConfigText { number, text }) = read.shown else {
            return vec![breach(
                at,
                format!("control node {node} returned an unreadable configuration"),
            )];
        };
        let mut breaches = Vec::new();
        let with_number = || self.sent.iter().filter(|sent| sent.number == *number);
        if !with_number().any(|sent| sent.text == &**text && sent.call.sent_at < at) {
            let description = format!(
                "control node {node} returned a text under {number:08x} that was never sent"
            );
            breaches.push(breach(at, description));
        }
        let is_other_acknowledged = |sent: &SentText<'_>| {
            sent.text != &**text
                && sent.call.is_acknowledged()
                && self.is_kept(*number, sent.call.ended_at)
        };
        let is_other = with_number().any(is_other_acknowledged)
            || *first_shown.entry(*number).or_insert(text) != &**text;
        if is_other {
            let description = format!(
                "control node {node} returned a different text under {number:08x} than before"
            );
            breaches.push(breach(at, description));
        }
        let newest = self.newest_known_before(call.sent_at);
        if let Some(newest) = newest.filter(|newest| number < newest) {
            let description = format!(
                "control node {node} returned {number:08x}, but {newest:08x} was known before"
            );
            breaches.push(breach(at, description));
        }
        breaches
    }

    /// Returns the newest number that operators had seen acknowledged or had read before `at`.
    fn newest_known_before(&self, at: Millis) -> Option<u32> {
        let is_before = |call: &ControlCall| call.is_acknowledged() && call.ended_at < at;
        let acknowledged = self.sent.iter().filter(|sent| is_before(sent.call));
        let shown = self.read.iter().filter(|read| is_before(read.call));
        let shown = shown.filter_map(|read| read.shown.map(|config| config.number));
        acknowledged.map(|sent| sent.number).chain(shown).max()
    }
}
