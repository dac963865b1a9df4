//! Units granted against quotas. A query counts at the time at which a server first received it completely.

use super::record::{Customer, Query, QueryOutcome, Record, RuleLimits};
use crate::Millis;
use std::collections::HashMap;

/// Units taken from a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// When the units were granted.
    pub at: Millis,
    /// The number of units.
    pub units: f64,
}

/// The grants of one customer, ordered by time.
pub type Grants = Vec<Grant>;

/// Returns the grants of each customer: the queries that reached a server.
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

fn total_units(grants: &[Grant]) -> f64 {
    grants.iter().map(|grant| grant.units).sum()
}

/// Returns the maximum, over all windows of time, of the units granted in excess of `rate`. This is at most the burst
/// if the quota is kept at every moment.
pub fn peak(grants: &[Grant], rate: f64) -> f64 {
    let (mut level, mut last, mut peak) = (0.0f64, 0.0, 0.0f64);
    for grant in grants {
        level = (level - rate * (grant.at - last)).max(0.0) + grant.units;
        (last, peak) = (grant.at, peak.max(level));
    }
    peak
}

/// How far a customer's quota was used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaUse {
    /// The units that the customer's clients requested.
    pub requested: f64,
    /// The units that reached servers.
    pub granted: f64,
    /// The units granted, relative to what the burst and the rate allow over the whole run.
    pub quota_utilization: f64,
    /// The peak of units granted in excess of the rate, relative to the burst.
    pub peak_burst_ratio: f64,
    /// The same ratio for the hard limit; 0 if there is none.
    pub peak_limit_ratio: f64,
    /// The part of the granted units that a token bucket with the quota's rate and burst would have granted.
    pub granted_within_quota: f64,
    /// The units that such a token bucket would have granted of all requests.
    pub ideally_granted: f64,
    /// The number of queries refused.
    pub refused: u64,
}

impl QuotaUse {
    /// Returns the units refused although tokens were available: what one token bucket would have granted, less what
    /// was granted within the quota.
    pub fn refused_within_quota(&self) -> f64 {
        (self.ideally_granted - self.granted_within_quota).max(0.0)
    }
}

/// Returns the requests that a token bucket with the customer's quota grants, one after another.
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

/// Returns how far a customer's quota was used, and the grants within the quota: those of `grants` that one token
/// bucket with the whole quota would have let pass.
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
    let granted = total_units(grants);
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
        granted_within_quota: total_units(&within_quota),
        ideally_granted: total_units(&bucket_grants(customer, &requests, from)),
        refused: queries
            .iter()
            .filter(|query| query.outcome == QueryOutcome::Shed)
            .count() as u64,
    };
    (quota_use, within_quota)
}

/// The criterion for the recovery of all customers together after a fault.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryCriterion {
    /// The expected rate, in units per millisecond: the rate used before the fault, or the one that quotas and clients
    /// allow.
    pub expected: f64,
    /// The share of the expected rate that must be in use again.
    pub required_share: f64,
    /// The rate of all quotas together, in units per millisecond. The grants in a window must not exceed it.
    pub rate: f64,
    /// The burst of all quotas together, in units.
    pub burst: f64,
    /// The length of the window.
    pub window: Millis,
}

/// Returns the time after `from` until the start of the first window that holds the required share and does not exceed
/// the quotas, or `None` if no such window ends before `to`. `all` are all grants; `within_quota` are those that one
/// token bucket would have granted.
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
        total_units(&grants[index(start)..index(start + window)])
    };
    let (all, within_quota) = (merged(all), merged(within_quota));
    // The measured use can only change at the end of the fault and at each grant after it.
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

/// A customer's hard limit, with the tolerances.
pub(super) struct HardLimit {
    rate: f64,
    burst: f64,
    slack: f64,
    grace: Millis,
    largest_query: f64,
}

/// A window in which a hard limit was exceeded.
pub(super) struct Excess {
    /// When the window began.
    pub(super) from: Millis,
    /// The units granted in it.
    pub(super) units: f64,
    /// The units allowed in it.
    pub(super) allowed: f64,
}

/// Tolerance for rounding errors of sums.
const ROUNDING: f64 = 1e-9;

impl HardLimit {
    pub(super) fn of(customer: &Customer, limits: &RuleLimits, largest_query: f64) -> HardLimit {
        HardLimit {
            rate: customer.limit_rate,
            burst: customer.limit_burst,
            slack: limits.limit_slack,
            grace: limits.limit_grace,
            largest_query,
        }
    }

    /// Returns the units allowed in a window of length `duration`.
    fn allowed(&self, duration: Millis) -> f64 {
        let limit = self.burst + self.rate * duration;
        limit + (self.slack * limit).max(self.largest_query) + self.rate * self.grace
    }
}

/// Returns the first window in which the limit was exceeded.
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
