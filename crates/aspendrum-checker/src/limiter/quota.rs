//! Units granted against a quota: each query's, when it first reached a server completely.

use super::record::{Customer, Query, QueryOutcome, Record, RuleLimits};
use crate::Millis;
use std::collections::HashMap;

/// Units taken from a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// When.
    pub at: Millis,
    /// How many.
    pub units: f64,
}

/// A customer's grants, in the order of time.
pub type Grants = Vec<Grant>;

/// What each customer's queries took.
pub fn grants(record: &Record) -> Vec<Grants> {
    let mut reached_at: HashMap<u64, Millis> = HashMap::new();
    for forward in &record.forwards {
        let arrived = forward.last_byte_at;
        reached_at
            .entry(forward.id)
            .and_modify(|at| *at = at.min(arrived))
            .or_insert(arrived);
    }
    let mut grants = vec![Grants::new(); record.customers.len()];
    for query in &record.queries {
        if let Some(at) = reached_at.get(&query.id) {
            grants[query.customer].push(Grant {
                at: *at,
                units: query.units,
            });
        }
    }
    grants.iter_mut().for_each(sort_by_time);
    grants
}

fn sort_by_time(grants: &mut Grants) {
    grants.sort_by(|a, b| a.at.total_cmp(&b.at));
}

fn units_of(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.units).sum()
}

/// The most units that any window of time held beyond what `rate` brings in it: at most the burst where the quota is kept
/// at every moment.
pub fn peak(grants: &[Grant], rate: f64) -> f64 {
    let (mut level, mut last, mut peak) = (0.0f64, 0.0, 0.0f64);
    for grant in grants {
        level = (level - rate * (grant.at - last)).max(0.0) + grant.units;
        (last, peak) = (grant.at, peak.max(level));
    }
    peak
}

/// A customer's use of its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaUse {
    /// Units that its clients asked for.
    pub requested: f64,
    /// Units that reached servers.
    pub granted: f64,
    /// Units granted, over the burst and what the rate brings in the whole time.
    pub quota_utilization: f64,
    /// The worst window's units beyond the rate, over the burst.
    pub peak_burst_ratio: f64,
    /// The same against the hard limit; 0 without one.
    pub peak_limit_ratio: f64,
    /// Units granted while a token bucket of the quota had tokens for them.
    pub granted_within_quota: f64,
    /// Units that such a bucket would have granted, had it decided alone.
    pub ideally_granted: f64,
    /// Queries refused.
    pub refused: u64,
}

impl QuotaUse {
    /// Units refused though there were tokens: what one bucket would have granted beyond what was granted within the quota.
    pub fn refused_with_room(&self) -> f64 {
        (self.ideally_granted - self.granted_within_quota).max(0.0)
    }
}

/// What a token bucket of the quota grants of these requests in turn.
fn bucket_grants(customer: &Customer, requests: &[Grant], from: Millis) -> Grants {
    let (mut level, mut last, mut granted) = (customer.burst, from, Grants::new());
    for request in requests {
        level = (level + customer.rate * (request.at - last).max(0.0)).min(customer.burst);
        last = last.max(request.at);
        if level >= request.units {
            level -= request.units;
            granted.push(*request);
        }
    }
    granted
}

/// A customer's use of its quota, and its grants within the quota: what one token bucket of the whole quota would have let
/// pass of what reached servers.
pub fn measure_use(
    customer: &Customer,
    queries: &[&Query],
    grants: &Grants,
    from: Millis,
    to: Millis,
) -> (QuotaUse, Grants) {
    let requests = queries.iter().map(|query| Grant {
        at: query.sent_at,
        units: query.units,
    });
    let mut requests: Grants = requests.collect();
    sort_by_time(&mut requests);
    let within_quota = bucket_grants(customer, grants, from);
    let granted = units_of(grants);
    let whole_quota = (customer.burst + customer.rate * (to - from)).max(f64::MIN_POSITIVE);
    let ratio = |rate: f64, burst: f64| peak(grants, rate) / burst.max(f64::MIN_POSITIVE);
    let has_limit = customer.limit_rate > 0.0;
    let quota_use = QuotaUse {
        requested: queries.iter().map(|query| query.units).sum(),
        granted,
        quota_utilization: granted / whole_quota,
        peak_burst_ratio: ratio(customer.rate, customer.burst),
        peak_limit_ratio: if has_limit {
            ratio(customer.limit_rate, customer.limit_burst)
        } else {
            0.0
        },
        granted_within_quota: units_of(&within_quota),
        ideally_granted: units_of(&bucket_grants(customer, &requests, from)),
        refused: queries
            .iter()
            .filter(|query| query.outcome == QueryOutcome::Shed)
            .count() as u64,
    };
    (quota_use, within_quota)
}

/// When all customers together count as recovered from a fault.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryCriterion {
    /// Units a millisecond that were in use before, or that quotas and clients allow.
    pub expected: f64,
    /// The share of them that must be in use again.
    pub required_share: f64,
    /// The rate of all quotas, in units a millisecond: what a window grants must fit.
    pub rate: f64,
    /// The burst of all quotas, in units.
    pub burst: f64,
    /// The window's length.
    pub window: Millis,
}

/// The time after `from` until a window begins that holds the required share, and no more than the quotas; `None`: not
/// before `to`. `all`: what was granted; `within_quota`: what of it one token bucket would have granted.
pub fn recovery_time(
    all: &[Grants],
    within_quota: &[Grants],
    criterion: &RecoveryCriterion,
    from: Millis,
    to: Millis,
) -> Option<Millis> {
    let merged = |grants: &[Grants]| {
        let mut merged: Grants = grants.iter().flatten().copied().collect();
        sort_by_time(&mut merged);
        merged
    };
    let window = criterion.window;
    let units_in_window = |grants: &Grants, start: Millis| -> f64 {
        let index = |at: Millis| grants.partition_point(|grant| grant.at < at);
        units_of(&grants[index(start)..index(start + window)])
    };
    let (all, within_quota) = (merged(all), merged(within_quota));
    // Use can have changed only at the fault's end and at each grant after it.
    let later = all.iter().map(|grant| grant.at).filter(|at| *at > from);
    let starts = std::iter::once(from).chain(later);
    let mut complete = starts.filter(|start| start + window <= to);
    let is_enough = |start: Millis| {
        units_in_window(&within_quota, start)
            >= criterion.required_share * criterion.expected * window
    };
    let is_allowed =
        |start: Millis| units_in_window(&all, start) <= criterion.rate * window + criterion.burst;
    complete
        .find(|start| is_enough(*start) && is_allowed(*start))
        .map(|start| start - from)
}

/// A customer's hard limit, and by how much it may be exceeded.
pub(super) struct HardLimit {
    rate: f64,
    burst: f64,
    slack: f64,
    time: Millis,
    largest_query: f64,
}

/// A window in which a hard limit was exceeded.
pub(super) struct Excess {
    /// When it began.
    pub(super) from: Millis,
    /// The units granted in it.
    pub(super) units: f64,
    /// The units allowed in it.
    pub(super) allowed: f64,
}

/// Rounding of sums does not count as an excess.
const ROUNDING: f64 = 1e-9;

impl HardLimit {
    pub(super) fn of(customer: &Customer, limits: &RuleLimits, largest_query: f64) -> HardLimit {
        HardLimit {
            rate: customer.limit_rate,
            burst: customer.limit_burst,
            slack: limits.limit_slack,
            time: limits.limit_time,
            largest_query,
        }
    }

    /// The units allowed in a window of that length.
    fn allowed(&self, duration: Millis) -> f64 {
        let limit = self.burst + self.rate * duration;
        limit + (self.slack * limit).max(self.largest_query) + self.rate * self.time
    }
}

/// The first window in which the limit was exceeded.
pub(super) fn find_excess(limit: &HardLimit, grants: &Grants) -> Option<Excess> {
    for (index, first) in grants.iter().enumerate() {
        let mut units = 0.0;
        for grant in &grants[index..] {
            units += grant.units;
            let allowed = limit.allowed(grant.at - first.at);
            if units > allowed + ROUNDING {
                return Some(Excess {
                    from: first.at,
                    units,
                    allowed,
                });
            }
        }
    }
    None
}
