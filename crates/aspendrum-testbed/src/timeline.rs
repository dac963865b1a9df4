//! A scenario's faults as moments: what begins and what ends when.

use crate::scenario::{Fault, Scenario};
use aspendrum_checker::limiter::FaultPeriod;
use aspendrum_checker::Millis;

/// One fault's beginning or end. `number` tells its occurrences apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// Milliseconds since the traffic's start.
    pub at: Millis,
    pub fault: usize,
    pub number: u32,
    pub begins: bool,
}

/// All moments of the run in the order of time; ends come before beginnings of the same moment, so that what
/// comes again without a pause has never two occurrences at once.
pub fn moments(s: &Scenario) -> Vec<Moment> {
    let (mut all, mut number) = (Vec::new(), 0);
    let end = s.seconds * 1000.0;
    for (fault, told) in s.faults.iter().enumerate() {
        for at in times(told, end) {
            number += 1;
            all.push(Moment {
                at,
                fault,
                number,
                begins: true,
            });
            if let Some(lasts) = told.for_s {
                all.push(Moment {
                    at: at + lasts * 1000.0,
                    fault,
                    number,
                    begins: false,
                });
            }
        }
    }
    all.retain(|m| m.at <= end);
    all.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.begins.cmp(&b.begins)));
    all
}

fn times(fault: &Fault, end: Millis) -> impl Iterator<Item = Millis> {
    let (first, every) = (fault.at_s * 1000.0, fault.every_s.map(|s| s * 1000.0));
    let count = every.map_or(0, |every| ((end - first) / every).max(0.0) as u64);
    (0..=count)
        .map(move |n| first + n as f64 * every.unwrap_or(0.0))
        .filter(move |at| *at < end)
}

/// Each fault from its first beginning to its last end; one that stands to the end leaves nothing to recover
/// in.
pub fn troubles(s: &Scenario, from: Millis) -> Vec<FaultPeriod> {
    let end = s.seconds * 1000.0;
    let trouble = |(n, fault): (usize, &Fault)| {
        if fault.for_s.is_none() && !fault.what.at_once() {
            return None;
        }
        let first = times(fault, end).next()?;
        let last = times(fault, end).last()? + fault.for_s.unwrap_or(0.0) * 1000.0;
        let name = format!("{} {}", n, fault.what.kind());
        (last < end).then_some(FaultPeriod {
            name,
            from: from + first,
            to: from + last,
        })
    };
    s.faults.iter().enumerate().filter_map(trouble).collect()
}

/// From when to when each fault stands, seconds; what happens at once is as long as it can be seen.
pub fn spans(s: &Scenario) -> Vec<(f64, f64)> {
    const SEEN: f64 = 0.05;
    let all = moments(s);
    let end = |m: &Moment| {
        all.iter()
            .find(|e| !e.begins && e.number == m.number)
            .map(|e| e.at / 1000.0)
    };
    let span = |m: &Moment| {
        let (from, fault) = (m.at / 1000.0, &s.faults[m.fault]);
        let to = if fault.what.at_once() {
            from + SEEN
        } else {
            end(m).unwrap_or(s.seconds)
        };
        (from, to.min(s.seconds))
    };
    all.iter().filter(|m| m.begins).map(span).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(faults: &str) -> Scenario {
        let text = format!(
            "name = \"t\"\nabout = \"t\"\nseconds = 10.0\nlimiters = {{ count = 4 }}\n\
             servers = {{ count = 1 }}\nplans = [{{ name = \"p\", rate = 1.0, burst = 1.0 }}]\n\
             customers = [{{ plan = \"p\", queries_per_s = 1.0 }}]\n{faults}"
        );
        Scenario::read(&text).unwrap()
    }

    #[test]
    fn a_fault_that_comes_again_ends_before_it_begins_anew() {
        let s = scenario(
            "[[faults]]\nat_s = 1.0\nfor_s = 4.0\nevery_s = 4.0\nkind = \"stall\"\nof = \"0\"\n",
        );
        let told: Vec<(f64, u32, bool)> = moments(&s)
            .iter()
            .map(|m| (m.at, m.number, m.begins))
            .collect();
        let want = [
            (1000.0, 1, true),
            (5000.0, 1, false),
            (5000.0, 2, true),
            (9000.0, 2, false),
            (9000.0, 3, true),
        ];
        assert_eq!(told, want, "the third outlasts the run");
        assert!(troubles(&s, 0.0).is_empty(), "nothing to recover in");
    }

    #[test]
    fn what_happens_at_once_leaves_the_rest_of_the_run_to_recover_in() {
        let s = scenario("[[faults]]\nat_s = 3.0\nkind = \"counter\"\nemptied = true\n");
        let all = troubles(&s, 500.0);
        assert_eq!((all.len(), all[0].from, all[0].to), (1, 3500.0, 3500.0));
    }
}
