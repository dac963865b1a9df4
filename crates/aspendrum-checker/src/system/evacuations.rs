//! The known state of zones, derived from the responses to operators, and the rule EVAC for zones after a finished
//! evacuation.

use super::breach::Breach;
use super::record::{Evacuation, Record};
use crate::Millis;

/// The longest time for which a zone may receive no request after its evacuation was finished, ..
const MAX_GAP: Millis = 3000.0;
/// .. if the other zones receive at least this many requests in that time.
const MIN_ELSEWHERE: usize = 40;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// A period in which the state of a zone is certain: from the acknowledgement of an order until the opposite order is
/// sent.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownZoneState {
    /// The zone.
    pub zone: String,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
    /// The start of the period.
    pub from: Millis,
    /// The end of the period.
    pub until: Millis,
}

/// Returns the zone states that acknowledged orders imply. An order that overlaps the opposite order implies none.
pub fn known_zone_states(orders: &[Evacuation]) -> Vec<KnownZoneState> {
    orders
        .iter()
        .filter_map(|order| known_state(order, orders))
        .collect()
}

fn known_state(order: &Evacuation, orders: &[Evacuation]) -> Option<KnownZoneState> {
    let from = order.acknowledged_at?;
    let is_opposite =
        |other: &&Evacuation| other.zone == order.zone && other.is_evacuated != order.is_evacuated;
    let opposite = || orders.iter().filter(is_opposite);
    if opposite().any(|other| other.sent_at < from && other.ended_at > order.sent_at) {
        return None;
    }
    let later = opposite()
        .map(|other| other.sent_at)
        .filter(|sent_at| *sent_at >= from);
    Some(KnownZoneState {
        zone: order.zone.clone(),
        is_evacuated: order.is_evacuated,
        from,
        until: later.fold(f64::INFINITY, f64::min),
    })
}

/// Checks that zones receive requests again after their evacuation was finished, until the next order to evacuate them.
pub(super) fn check_finished_evacuations(record: &Record, breaches: &mut Vec<Breach>) {
    for state in known_zone_states(&record.evacuations) {
        if !state.is_evacuated {
            check_finished(record, &state, breaches);
        }
    }
}

fn check_finished(record: &Record, state: &KnownZoneState, breaches: &mut Vec<Breach>) {
    let (from, until) = (state.from + record.bounds.evac, state.until.min(record.to));
    let executions = || {
        let inside = |at: Millis| at > from && at < until;
        record
            .executions
            .iter()
            .filter(move |execution| inside(execution.started_at))
    };
    let in_zone = executions().filter(|execution| execution.zone == state.zone);
    let mut in_zone: Vec<Millis> = in_zone.map(|execution| execution.started_at).collect();
    in_zone.sort_by(f64::total_cmp);
    let times = || {
        std::iter::once(from)
            .chain(in_zone.iter().copied())
            .chain([until])
    };
    for (start, end) in times()
        .zip(times().skip(1))
        .filter(|(start, end)| end - start >= MAX_GAP)
    {
        let in_gap = |at: Millis| at > start && at < end;
        let elsewhere = executions()
            .filter(|e| in_gap(e.started_at) && e.zone != state.zone)
            .count();
        if elsewhere >= MIN_ELSEWHERE && !record.are_all_faulty(start, end) {
            let seconds = (end - start) / MILLIS_PER_SECOND;
            let description = format!(
                "{} received no request for {seconds:.1} s after its evacuation; other zones received {elsewhere}",
                state.zone
            );
            breaches.push(Breach::new("EVAC", start, description));
        }
    }
}
