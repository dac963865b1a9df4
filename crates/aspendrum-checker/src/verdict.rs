//! A run's figures and what it broke.

use crate::quota::{self, Use, Well};
use crate::record::{Final, Ms, Query, Record, Trouble};
use crate::rules::{self, Breach};
use hdrhistogram::Histogram;
use std::collections::HashSet;

/// After a fault, use is looked at over windows of this length, or of a burst's refill where that is longer.
const WINDOW: Ms = 3000.0;
/// Of what the quotas and the clients allow: from then on the fleet has recovered.
const RECOVERED: f64 = 0.9;

#[derive(Debug)]
pub struct Verdict {
    pub breaches: Vec<Breach>,
    /// By customer, and all customers' quotas together.
    pub uses: Vec<Use>,
    pub whole: Use,
    /// The worst load on a cold server over what the rule allows; 0 where none was cold.
    pub cold_load: f64,
    pub outcomes: Vec<(Final, u64)>,
    /// Answered queries' times as their clients saw them, microseconds.
    pub times: Histogram<u64>,
    /// Each fault, and the time after its end until the quotas were in use again; `None`: not before the end.
    pub recoveries: Vec<(Trouble, Option<Ms>)>,
    /// Forwards that reached servers over queries that did.
    pub forwards_per_query: f64,
}

pub fn judge(record: &Record) -> Verdict {
    let grants = quota::grants(record);
    let mut queries: Vec<Vec<&Query>> = vec![Vec::new(); record.customers.len()];
    record
        .queries
        .iter()
        .for_each(|q| queries[q.customer].push(q));
    let played = record.customers.iter().enumerate().map(|(n, customer)| {
        quota::used(customer, &queries[n], &grants[n], record.from, record.to)
    });
    let (uses, inside): (Vec<Use>, Vec<quota::Grants>) = played.unzip();
    let cold = rules::cold_loads(record);

    let mut times =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds and digits are within range");
    for q in record
        .queries
        .iter()
        .filter(|q| q.outcome == Final::Answered)
    {
        times.saturating_record(((q.ended - q.sent) * 1000.0).max(1.0) as u64);
    }
    let kinds = [
        Final::Answered,
        Final::Foreign,
        Final::Shed,
        Final::Dropped,
        Final::Lost,
        Final::Unreached,
        Final::Silent,
    ];
    let count = |kind| record.queries.iter().filter(|q| q.outcome == kind).count() as u64;
    let refill = record
        .customers
        .iter()
        .map(|c| if c.rate > 0.0 { c.burst / c.rate } else { 0.0 });
    let window = refill.fold(WINDOW, f64::max);
    let allowed: f64 = record.customers.iter().map(|c| c.rate.min(c.asked)).sum();
    let well = |expected| Well {
        expected,
        share: RECOVERED,
        rate: record.customers.iter().map(|c| c.rate).sum(),
        burst: record.customers.iter().map(|c| c.burst).sum(),
        window,
    };
    let recover = |t: &Trouble| {
        // A fleet that did not use it all before has recovered when it uses what it did.
        let first = record
            .troubles
            .iter()
            .map(|t| t.from)
            .fold(f64::INFINITY, f64::min);
        let before = inside
            .iter()
            .flatten()
            .filter(|g| g.0 >= first - window && g.0 < first);
        let whole = first - window >= record.from;
        let used = if whole {
            before.map(|g| g.1).sum::<f64>() / window
        } else {
            allowed
        };
        let after = quota::recovered(&grants, &inside, &well(used.min(allowed)), t.to, record.to);
        (t.clone(), after)
    };
    let reached: HashSet<u64> = record.forwards.iter().map(|f| f.id).collect();
    Verdict {
        breaches: rules::breaches(record, &grants, &cold),
        whole: together(record, &uses),
        uses,
        cold_load: cold.iter().map(|c| c.load).fold(0.0, f64::max),
        outcomes: kinds.map(|kind| (kind, count(kind))).to_vec(),
        times,
        recoveries: record.troubles.iter().map(recover).collect(),
        forwards_per_query: record.forwards.len() as f64 / reached.len().max(1) as f64,
    }
}

/// All customers: sums, and the worst of each peak.
fn together(record: &Record, uses: &[Use]) -> Use {
    let sum = |of: fn(&Use) -> f64| uses.iter().map(of).sum::<f64>();
    let most = |of: fn(&Use) -> f64| uses.iter().map(of).fold(0.0, f64::max);
    let quota: f64 = record
        .customers
        .iter()
        .map(|c| c.burst + c.rate * (record.to - record.from))
        .sum();
    Use {
        asked: sum(|u| u.asked),
        granted: sum(|u| u.granted),
        over_quota: sum(|u| u.granted) / quota.max(f64::MIN_POSITIVE),
        peak_over_burst: most(|u| u.peak_over_burst),
        peak_over_ceiling: most(|u| u.peak_over_ceiling),
        inside: sum(|u| u.inside),
        ideal: sum(|u| u.ideal),
        refused: uses.iter().map(|u| u.refused).sum(),
    }
}

impl Verdict {
    pub fn count(&self, kind: Final) -> u64 {
        self.outcomes
            .iter()
            .find(|o| o.0 == kind)
            .map_or(0, |o| o.1)
    }

    /// Milliseconds; 0 where nothing was answered.
    pub fn time(&self, quantile: f64) -> Ms {
        self.times.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Units refused though there was room, over the units that had room: 0 to 1.
    pub fn refused_with_room(&self) -> f64 {
        let refused: f64 = self.uses.iter().map(Use::refused_with_room).sum();
        refused / self.whole.ideal.max(f64::MIN_POSITIVE)
    }
}
