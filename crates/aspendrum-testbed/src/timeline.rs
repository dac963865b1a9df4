//! The timeline of a scenario's faults.

use crate::scenario::{Fault, Scenario};
use aspendrum_checker::limiter::FaultPeriod;
use aspendrum_checker::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// The width at which an instantaneous fault is drawn in charts, in seconds, so that it is visible.
const INSTANT_FAULT_WIDTH_S: f64 = 0.05;

/// The start or the end of one occurrence of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultTransition {
    /// The time since the traffic began.
    pub at: Millis,
    /// The index of the fault in the scenario.
    pub fault: usize,
    /// The number of the occurrence, unique across all faults.
    pub occurrence: u32,
    /// Whether the occurrence begins; otherwise it ends.
    pub begins: bool,
}

/// The time span of an occurrence, in seconds since the traffic began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultSpan {
    /// The start.
    pub from_s: f64,
    /// The end.
    pub to_s: f64,
}

/// Returns all transitions of a run in order of time. At the same time, ends come before starts, so that a fault which
/// repeats without a pause never has two active occurrences.
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
            if let Some(duration_s) = fault.duration_s {
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
    let interval = fault.interval_s.map(|seconds| seconds * MILLIS_PER_SECOND);
    let repeats = interval.map_or(0, |interval| ((end - first) / interval).max(0.0) as u64);
    let at = move |n| first + n as f64 * interval.unwrap_or(0.0);
    (0..=repeats).map(at).filter(move |at| *at < end)
}

/// Returns the period of each fault, from its first start to its last end. Faults that last until the end of the run are
/// left out, since no time remains for a recovery. `from` is the start of the traffic.
pub fn fault_periods(scenario: &Scenario, from: Millis) -> Vec<FaultPeriod> {
    let end = scenario.seconds * MILLIS_PER_SECOND;
    let period = |(index, fault): (usize, &Fault)| {
        if fault.duration_s.is_none() && !fault.kind.is_instant() {
            return None;
        }
        let first = start_times(fault, end).next()?;
        let duration = fault.duration_s.unwrap_or(0.0) * MILLIS_PER_SECOND;
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

/// Returns the time span of each occurrence of each fault.
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
            from_s + INSTANT_FAULT_WIDTH_S
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
