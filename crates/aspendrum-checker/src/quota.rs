//! Units granted against a quota, by the first forward of each query that reached a server whole.

use crate::record::{Customer, Final, Ms, Query, Record};
use std::collections::HashMap;

/// Units taken from a quota: when, and how many.
pub type Grants = Vec<(Ms, f64)>;

/// What each customer's queries took, in the order of time.
pub fn grants(record: &Record) -> Vec<Grants> {
    let mut first: HashMap<u64, Ms> = HashMap::new();
    for f in &record.forwards {
        first
            .entry(f.id)
            .and_modify(|at| *at = at.min(f.whole))
            .or_insert(f.whole);
    }
    let mut grants = vec![Grants::new(); record.customers.len()];
    for q in &record.queries {
        if let Some(at) = first.get(&q.id) {
            grants[q.customer].push((*at, q.units));
        }
    }
    grants
        .iter_mut()
        .for_each(|g| g.sort_by(|a, b| a.0.total_cmp(&b.0)));
    grants
}

/// The most that any window of time held beyond what `rate` brings in it: at most the burst where the quota
/// is kept at every moment.
pub fn peak(grants: &Grants, rate: f64) -> f64 {
    let (mut held, mut last, mut most) = (0.0f64, 0.0, 0.0f64);
    for (at, units) in grants {
        held = (held - rate * (at - last)).max(0.0) + units;
        (last, most) = (*at, most.max(held));
    }
    most
}

/// A customer's use of its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Use {
    /// Units that its clients asked for, and that reached servers.
    pub asked: f64,
    pub granted: f64,
    /// Units granted over the burst and what the rate brings in the whole time.
    pub over_quota: f64,
    /// The same in the worst window, as a share of the burst.
    pub peak_over_burst: f64,
    /// The same against the ceiling's burst; 0 without a ceiling.
    pub peak_over_ceiling: f64,
    /// Units granted while a bucket of the quota had room for them.
    pub inside: f64,
    /// Units that such a bucket would have granted, had it decided alone.
    pub ideal: f64,
    /// Queries refused.
    pub refused: u64,
}

impl Use {
    /// Units refused though there was room: what one bucket would have granted beyond what was granted
    /// inside.
    pub fn refused_with_room(&self) -> f64 {
        (self.ideal - self.inside).max(0.0)
    }
}

/// What a bucket of the quota gives of these in turn.
fn bucket(customer: &Customer, asked: &Grants, from: Ms) -> Grants {
    let (mut level, mut last, mut given) = (customer.burst, from, Grants::new());
    for (at, units) in asked {
        level = (level + customer.rate * (at - last).max(0.0)).min(customer.burst);
        last = last.max(*at);
        if level >= *units {
            level -= units;
            given.push((*at, *units));
        }
    }
    given
}

/// One bucket of the whole quota, played over what servers saw, and over all that clients asked for.
pub fn used(
    customer: &Customer,
    queries: &[&Query],
    grants: &Grants,
    from: Ms,
    to: Ms,
) -> (Use, Grants) {
    let mut asked: Grants = queries.iter().map(|q| (q.sent, q.units)).collect();
    asked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let inside = bucket(customer, grants, from);
    let mut used = Use {
        ideal: bucket(customer, &asked, from).iter().map(|g| g.1).sum(),
        ..Use::default()
    };
    used.asked = queries.iter().map(|q| q.units).sum();
    used.granted = grants.iter().map(|g| g.1).sum();
    used.inside = inside.iter().map(|g| g.1).sum();
    used.refused = queries.iter().filter(|q| q.outcome == Final::Shed).count() as u64;
    used.over_quota =
        used.granted / (customer.burst + customer.rate * (to - from)).max(f64::MIN_POSITIVE);
    used.peak_over_burst = peak(grants, customer.rate) / customer.burst.max(f64::MIN_POSITIVE);
    if customer.ceiling_rate > 0.0 {
        used.peak_over_ceiling =
            peak(grants, customer.ceiling_rate) / customer.ceiling_burst.max(f64::MIN_POSITIVE);
    }
    (used, inside)
}

/// What "recovered" asks of all customers together.
#[derive(Clone, Copy, Debug)]
pub struct Well {
    /// Units a millisecond that were in use before, or that quotas and clients allow, and the share of them
    /// that must be in use again.
    pub expected: f64,
    pub share: f64,
    /// Units a millisecond and at once of all quotas: what a window grants must fit.
    pub rate: f64,
    pub burst: f64,
    pub window: Ms,
}

/// The time after `from` until a window from then on holds the share that it should and no more than the
/// quotas; `None`: not before the end. `all` and `inside`: what was granted, and of it what one bucket would
/// have given.
pub fn recovered(all: &[Grants], inside: &[Grants], well: &Well, from: Ms, to: Ms) -> Option<Ms> {
    let sorted = |grants: &[Grants]| {
        let mut sum: Grants = grants.iter().flatten().copied().collect();
        sum.sort_by(|a, b| a.0.total_cmp(&b.0));
        sum
    };
    let held = |grants: &Grants, start: Ms| -> f64 {
        let place = |at: Ms| grants.partition_point(|g| g.0 < at);
        grants[place(start)..place(start + well.window)]
            .iter()
            .map(|g| g.1)
            .sum()
    };
    let (all, inside) = (sorted(all), sorted(inside));
    // Looked at where use can have changed: at the fault's end, and at each grant after it.
    let starts = std::iter::once(from).chain(all.iter().map(|g| g.0).filter(|at| *at > from));
    let mut fits = starts.filter(|start| start + well.window <= to);
    let enough = |start: Ms| held(&inside, start) >= well.share * well.expected * well.window;
    let sound = |start: Ms| held(&all, start) <= well.rate * well.window + well.burst;
    fits.find(|start| enough(*start) && sound(*start))
        .map(|start| start - from)
}

/// Whether units passed a hard ceiling within some window, and the window's start.
pub fn passed(
    customer: &Customer,
    grants: &Grants,
    largest: f64,
    slack: f64,
    time: Ms,
) -> Option<(Ms, f64, f64)> {
    for (i, (start, _)) in grants.iter().enumerate() {
        let mut units = 0.0;
        for (at, more) in &grants[i..] {
            units += more;
            let plain = customer.ceiling_burst + customer.ceiling_rate * (at - start);
            let may = plain + (slack * plain).max(largest) + customer.ceiling_rate * time;
            if units > may + 1e-9 {
                return Some((*start, units, may));
            }
        }
    }
    None
}
