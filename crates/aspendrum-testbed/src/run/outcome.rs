//! What came of a run: the record, the verdict, and the bounds that it did not keep.

use super::error::Failure;
use crate::scenario::{Bounds, Scenario};
use aspendrum_checker::limiter::{Breach, Record, Verdict};
use aspendrum_fake_services::{counter, discovery};
use aspendrum_fault_proxy::LinkStats;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// What passed between the parts of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams between limiters: sent, bytes, lost or cut off.
    pub datagrams: LinkStats,
    /// Calls of the counter.
    pub counter: counter::CounterStats,
    /// Calls of discovery.
    pub discovery: discovery::DiscoveryStats,
}

/// What the limiters used by the end of the traffic.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// Memory of each limiter, in KiB.
    pub memory_kb: Vec<u64>,
    /// Processor time of all limiters, in seconds.
    pub cpu_s: f64,
}

/// What came of a run.
pub struct Outcome {
    /// What clients and servers saw.
    pub record: Record,
    /// What the checker says of it.
    pub verdict: Verdict,
    /// What went over the network.
    pub traffic: Traffic,
    /// What the limiters used.
    pub usage: ResourceUsage,
    /// What limiters did wrong beside the rules.
    pub failures: Vec<Failure>,
}

impl Outcome {
    /// The length of the traffic, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.record.to - self.record.from) / MILLIS_PER_SECOND
    }

    /// Each failure, broken rule and exceeded bound, in words.
    pub fn broken(&self, scenario: &Scenario) -> Vec<String> {
        let mut all: Vec<String> = self.failures.iter().map(ToString::to_string).collect();
        let breaches = self.verdict.breaches.iter();
        all.extend(breaches.map(|breach| self.describe_breach(breach)));
        all.extend(self.exceeded_bounds(&scenario.bounds));
        all.extend(self.missed_quota_use(&scenario.bounds));
        all
    }

    /// Whether no rule and no bound was broken.
    pub fn is_good(&self, scenario: &Scenario) -> bool {
        self.broken(scenario).is_empty()
    }

    fn describe_breach(&self, breach: &Breach) -> String {
        let at_s = (breach.at - self.record.from) / MILLIS_PER_SECOND;
        format!(
            "rule {} at {at_s:.1} s: {}",
            breach.rule, breach.description
        )
    }

    fn exceeded_bounds(&self, bounds: &Bounds) -> impl Iterator<Item = String> {
        let (verdict, quota) = (&self.verdict, &self.verdict.total_use);
        let figures = [
            (
                "granted over quota",
                quota.quota_utilization,
                bounds.over_quota,
            ),
            (
                "the worst window over burst",
                quota.peak_burst_ratio,
                bounds.peak_over_burst,
            ),
            (
                "refused with room, of what had room,",
                verdict.refused_with_room(),
                bounds.refused_with_room,
            ),
            (
                "forwards a query",
                verdict.forwards_per_query,
                bounds.forwards_per_query,
            ),
            (
                "seconds to recover",
                self.longest_recovery_s(),
                bounds.recovery_s,
            ),
        ];
        figures.into_iter().filter_map(|(name, value, bound)| {
            let bound = bound.filter(|bound| value > *bound)?;
            Some(format!("{name} is {value:.3}, and may be {bound}"))
        })
    }

    fn missed_quota_use(&self, bounds: &Bounds) -> Option<String> {
        let value = self.verdict.total_use.quota_utilization;
        let bound = bounds.under_quota.filter(|bound| value < *bound)?;
        Some(format!(
            "granted over quota is {value:.3}, and must be {bound}"
        ))
    }

    /// Infinite if the fleet did not recover from a fault.
    fn longest_recovery_s(&self) -> f64 {
        let recoveries = self.verdict.recoveries.iter();
        let times = recoveries.map(|recovery| recovery.time.unwrap_or(f64::INFINITY));
        times.fold(0.0, f64::max) / MILLIS_PER_SECOND
    }
}
