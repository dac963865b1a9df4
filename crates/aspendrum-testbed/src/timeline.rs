//! A scenario's faults as points in time: what begins and what ends when.

use crate::scenario::{Fault, Scenario};
use aspendrum_checker::limiter::FaultPeriod;
use aspendrum_checker::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// A fault without duration is drawn as long as this, in seconds, so that it can be seen.
const VISIBLE_S: f64 = 0.05;

/// The beginning or the end of one occurrence of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTransition {
    /// When, since the traffic began.
    pub at: Millis,
    /// The fault, by its index in the scenario.
    pub fault: usize,
    /// The number of the occurrence, among those of all faults.
    pub occurrence: u32,
    /// Whether it begins; else it ends.
    pub begins: bool,
}

/// From when to when an occurrence lasts, in seconds since the traffic began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultSpan {
    /// Its beginning.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
}

/// All transitions of a run in the order of time. At the same time ends come before beginnings, so that a fault which
/// repeats without a pause never has two occurrences at once.
pub fn transitions(scenario: &Scenario) -> Vec<FaultTransition> {
    let (mut all, mut occurrence) = (Vec::new(), 0);
    let end = scenario.seconds * MILLIS_PER_SECOND;
    for (index, fault) in scenario.faults.iter().enumerate() {
        for at in start_times(fault, end) {
            occurrence += 1;
            let begin = FaultTransition {
                at,
                fault: index,
                occurrence,
                begins: true,
            };
            all.push(begin);
            if let Some(duration_s) = fault.for_s {
                let at = at + duration_s * MILLIS_PER_SECOND;
                all.push(FaultTransition {
                    at,
                    begins: false,
                    ..begin
                });
            }
        }
    }
    all.retain(|transition| transition.at <= end);
    all.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    all
}

fn start_times(fault: &Fault, end: Millis) -> impl Iterator<Item = Millis> {
    let first = fault.at_s * MILLIS_PER_SECOND;
    let interval = fault.every_s.map(|seconds| seconds * MILLIS_PER_SECOND);
    let repeats = interval.map_or(0, |interval| ((end - first) / interval).max(0.0) as u64);
    let at = move |n| first + n as f64 * interval.unwrap_or(0.0);
    (0..=repeats).map(at).filter(move |at| *at < end)
}

/// Each fault from its first beginning to its last end, but for those that last until the end of the run: nothing remains
/// to recover in. `from`: when the traffic began.
pub fn fault_periods(scenario: &Scenario, from: Millis) -> Vec<FaultPeriod> {
    let end = scenario.seconds * MILLIS_PER_SECOND;
    let period = |(index, fault): (usize, &Fault)| {
        if fault.for_s.is_none() && !fault.kind.is_instant() {
            return None;
        }
        let first = start_times(fault, end).next()?;
        let duration = fault.for_s.unwrap_or(0.0) * MILLIS_PER_SECOND;
        let last_end = start_times(fault, end).last()? + duration;
        let name = format!("{index} {}", fault.kind.name());
        let (from, to) = (from + first, from + last_end);
        (last_end < end).then_some(FaultPeriod { name, from, to })
    };
    scenario
        .faults
        .iter()
        .enumerate()
        .filter_map(period)
        .collect()
}

/// When each occurrence of a fault lasts.
pub fn fault_spans(scenario: &Scenario) -> Vec<FaultSpan> {
    let all = transitions(scenario);
    let end_of = |begin: &FaultTransition| {
        let end = all
            .iter()
            .find(|t| !t.begins && t.occurrence == begin.occurrence);
        end.map(|end| end.at / MILLIS_PER_SECOND)
    };
    let span = |begin: &FaultTransition| {
        let from_s = begin.at / MILLIS_PER_SECOND;
        let to_s = if scenario.faults[begin.fault].kind.is_instant() {
            from_s + VISIBLE_S
        } else {
            end_of(begin).unwrap_or(scenario.seconds)
        };
        FaultSpan {
            from_s,
            to_s: to_s.min(scenario.seconds),
        }
    };
    all.iter()
        .filter(|transition| transition.begins)
        .map(span)
        .collect()
}
