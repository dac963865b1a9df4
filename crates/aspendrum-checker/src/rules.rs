//! The five rules, on what clients and servers saw.

use crate::quota::{self, Grants};
use crate::record::*;
use std::collections::HashMap;

/// A rule that was broken: which, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub at: Ms,
    pub what: String,
}

/// What a path held back may still arrive within this time of its healing.
const HELD: Ms = 1000.0;

/// Every breach, in the order of the rules.
pub fn breaches(record: &Record, grants: &[Grants], cold: &[ColdLoad<'_>]) -> Vec<Breach> {
    let by_id = by_id(record);
    let mut runs: HashMap<u64, Vec<&Forward>> = HashMap::new();
    for f in &record.forwards {
        runs.entry(f.id).or_default().push(f);
    }
    let mut found = Vec::new();
    one_answer(record, &mut found);
    no_effect_twice(record, &by_id, &runs, &mut found);
    drains_kept(record, &by_id, &mut found);
    cold_servers_stand(cold, &mut found);
    ceilings_kept(record, grants, &mut found);
    found
}

fn by_id(record: &Record) -> HashMap<u64, &Query> {
    record.queries.iter().map(|q| (q.id, q)).collect()
}

fn one_answer(record: &Record, found: &mut Vec<Breach>) {
    for q in &record.queries {
        let what = match q.outcome {
            Final::Foreign => "was answered with what no server made for it",
            // What a limiter cannot be reached for, or ends while it is killed or stands still, it never
            // took.
            _ if record.excused(q.limiter, None, q.sent, q.ended) => continue,
            Final::Lost => "lost its connection without an answer",
            Final::Silent => "got no answer",
            _ if q.ended > q.until + record.figures.answer_slack => "was answered too late",
            _ => continue,
        };
        found.push(Breach {
            rule: 1,
            at: q.ended,
            what: format!("query {} at limiter {} {what}", q.id, q.limiter),
        });
    }
}

fn no_effect_twice(
    record: &Record,
    by_id: &HashMap<u64, &Query>,
    runs: &HashMap<u64, Vec<&Forward>>,
    found: &mut Vec<Breach>,
) {
    for f in record.forwards.iter().filter(|f| f.two_lengths) {
        let what = format!("a forward of query {} had two lengths", f.id);
        found.push(Breach {
            rule: 2,
            at: f.whole,
            what,
        });
    }
    let mut ids: Vec<&u64> = runs.keys().collect();
    ids.sort();
    for id in ids {
        let Some(q) = by_id.get(id) else { continue };
        let repeats = record.groups[q.group].repeats;
        let mut ran: Vec<&&Forward> = runs[id].iter().filter(|f| f.fate == Fate::Ran).collect();
        ran.sort_by(|a, b| a.whole.total_cmp(&b.whole));
        if repeats != Repeats::Repeatable && ran.len() > 1 {
            let servers: Vec<usize> = ran.iter().map(|f| f.server).collect();
            let what = format!(
                "{repeats:?} query {id} ran {} times, at servers {servers:?}",
                ran.len()
            );
            found.push(Breach {
                rule: 2,
                at: ran[1].whole,
                what,
            });
        }
        if repeats == Repeats::Mutating && q.outcome == Final::Shed && !ran.is_empty() {
            let what = format!("mutating query {id} was shed and had run");
            found.push(Breach {
                rule: 2,
                at: q.ended,
                what,
            });
        }
    }
}

fn drains_kept(record: &Record, by_id: &HashMap<u64, &Query>, found: &mut Vec<Breach>) {
    let mut told: HashMap<(usize, usize), Vec<(Ms, bool)>> = HashMap::new();
    for t in &record.told {
        told.entry((t.limiter, t.server))
            .or_default()
            .push((t.at, t.well));
    }
    told.values_mut()
        .for_each(|list| list.sort_by(|a, b| a.0.total_cmp(&b.0)));
    for f in &record.forwards {
        let Some(q) = by_id.get(&f.id) else { continue };
        let Some(list) = told.get(&(q.limiter, f.server)) else {
            continue;
        };
        let before = &list[..list.partition_point(|t| t.0 <= f.first)];
        // The first word of a row of the same says since when.
        let row = before.iter().rev().take_while(|t| !t.1).last();
        let Some((at, _)) = row else { continue };
        let late = f.first > at + record.figures.drain_grace;
        if late && !record.excused(q.limiter, Some(f.server), f.first - HELD, f.first) {
            let after = f.first - at;
            let what = format!(
                "limiter {} sent to server {} {after:.0} ms after it was told of its end",
                q.limiter, f.server
            );
            found.push(Breach {
                rule: 3,
                at: f.first,
                what,
            });
        }
    }
}

/// A cold start, and the work sent to the server in the worst window after it, over what the rule allows there.
pub struct ColdLoad<'a> {
    pub life: &'a Life,
    pub load: f64,
    /// The window's beginning.
    pub at: Ms,
}

/// Every cold start's.
pub fn cold_loads(record: &Record) -> Vec<ColdLoad<'_>> {
    let by_id = by_id(record);
    let cold = record.lives.iter().filter(|l| l.cold);
    cold.map(|life| cold_load(record, life, &cold_work(record, &by_id, life)))
        .collect()
}

fn cold_load<'a>(record: &Record, life: &'a Life, work: &[(Ms, Ms)]) -> ColdLoad<'a> {
    let (server, figures) = (&record.servers[life.server], &record.figures);
    // Capacity in the window by its middle: the ramp is straight, and flat once warm, so that this is never
    // less.
    let may = |start: Ms| {
        let middle = server.capacity(start - life.from + figures.fall_window / 2.0);
        figures.fall_multiple * middle * figures.fall_window
    };
    let (mut sum, mut end, mut worst) = (
        0.0,
        0,
        ColdLoad {
            life,
            load: 0.0,
            at: 0.0,
        },
    );
    for (i, (start, _)) in work.iter().enumerate() {
        while end < work.len() && work[end].0 < start + figures.fall_window {
            sum += work[end].1;
            end += 1;
        }
        let load = sum / may(*start);
        if load > worst.load {
            worst = ColdLoad {
                life,
                load,
                at: *start,
            };
        }
        sum -= work[i].1;
    }
    worst
}

/// The work that reached a server in one of its lives while it was cold: when, and core milliseconds.
fn cold_work(record: &Record, by_id: &HashMap<u64, &Query>, life: &Life) -> Vec<(Ms, Ms)> {
    let until = life.from + record.servers[life.server].ramp;
    let here = |f: &&Forward| f.server == life.server && f.whole >= life.from && f.whole < until;
    let mut work: Vec<(Ms, Ms)> = record
        .forwards
        .iter()
        .filter(here)
        .filter_map(|f| {
            by_id
                .get(&f.id)
                .map(|q| (f.whole, record.groups[q.group].work))
        })
        .collect();
    work.sort_by(|a, b| a.0.total_cmp(&b.0));
    work
}

fn cold_servers_stand(cold: &[ColdLoad<'_>], found: &mut Vec<Breach>) {
    for ColdLoad { life, load, at } in cold {
        if *load > 1.0 {
            let what = format!(
                "cold server {} was sent {load:.2} of what the rule allows",
                life.server
            );
            found.push(Breach {
                rule: 4,
                at: *at,
                what,
            });
        } else if let Some(at) = life.fell {
            let what = format!("cold server {} fell over", life.server);
            found.push(Breach { rule: 4, at, what });
        }
    }
}

fn ceilings_kept(record: &Record, grants: &[Grants], found: &mut Vec<Breach>) {
    let largest = record.queries.iter().map(|q| q.units).fold(0.0, f64::max);
    let (slack, time) = (record.figures.ceiling_slack, record.figures.ceiling_time);
    for (customer, grants) in record.customers.iter().zip(grants) {
        if customer.ceiling_rate <= 0.0 {
            continue;
        }
        if let Some((at, units, may)) = quota::passed(customer, grants, largest, slack, time) {
            let what = format!(
                "customer {} had {units:.1} units where {may:.1} were allowed",
                customer.name
            );
            found.push(Breach { rule: 5, at, what });
        }
    }
}
