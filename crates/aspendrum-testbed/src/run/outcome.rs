//! The outcome of a run: its record, the verdict, and the violated bounds.

use super::error::Failure;
use crate::scenario::{Bounds, Scenario};
use aspendrum_checker::limiter::{Breach, Record, Verdict};
use aspendrum_fake_services::{counter, discovery};
use aspendrum_fault_proxy::LinkStats;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The network traffic of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams between limiters: the numbers sent and lost (cut links included), and their bytes.
    pub datagrams: LinkStats,
    /// Calls to the counter.
    pub counter: counter::CounterStats,
    /// Calls to discovery.
    pub discovery: discovery::DiscoveryStats,
}

/// The resources used by the limiters until the end of the traffic.
#[derive(Clone, Debug, Default)]
pub struct ResourceUsage {
    /// The resident memory of each limiter, in KiB.
    pub memory_kb: Vec<u64>,
    /// The CPU time of all limiters together, in seconds.
    pub cpu_s: f64,
}

/// The outcome of a run.
pub struct Outcome {
    /// What clients and servers observed.
    pub record: Record,
    /// The checker's verdict on the record.
    pub verdict: Verdict,
    /// The network traffic.
    pub traffic: Traffic,
    /// The resource usage of the limiters.
    pub usage: ResourceUsage,
    /// Failures of processes, apart from the checker's rules.
    pub failures: Vec<Failure>,
}

impl Outcome {
    /// Returns the duration of the traffic, in seconds.
    pub fn seconds(&self) -> f64 {
        (self.record.to - self.record.from) / MILLIS_PER_SECOND
    }

    /// Describes each failure, broken rule and violated bound.
    pub fn violations(&self, scenario: &Scenario) -> Vec<String> {
        let mut all: Vec<String> = self.failures.iter().map(ToString::to_string).collect();
        let breaches = self.verdict.breaches.iter();
        all.extend(breaches.map(|breach| self.describe_breach(breach)));
        all.extend(self.exceeded_bounds(&scenario.bounds));
        all.extend(self.quota_underuse(&scenario.bounds));
        all
    }

    /// Whether there was no failure, and all rules and bounds held.
    pub fn passed(&self, scenario: &Scenario) -> bool {
        self.violations(scenario).is_empty()
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
        let checks = [
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
                verdict.refused_within_quota(),
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
        checks.into_iter().filter_map(|(name, value, bound)| {
            let bound = bound.filter(|bound| value > *bound)?;
            Some(format!("{name} is {value:.3}, the maximum is {bound}"))
        })
    }

    fn quota_underuse(&self, bounds: &Bounds) -> Option<String> {
        let value = self.verdict.total_use.quota_utilization;
        let bound = bounds.under_quota.filter(|bound| value < *bound)?;
        Some(format!(
            "granted over quota is {value:.3}, the minimum is {bound}"
        ))
    }

    /// Returns the longest recovery time, in seconds; infinite if the fleet did not recover from a fault.
    fn longest_recovery_s(&self) -> f64 {
        let recoveries = self.verdict.recoveries.iter();
        let times = recoveries.map(|recovery| recovery.time.unwrap_or(f64::INFINITY));
        times.fold(0.0, f64::max) / MILLIS_PER_SECOND
    }
}
