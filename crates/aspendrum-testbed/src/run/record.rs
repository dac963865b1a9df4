//! Builds the record of a run for the checker.

use super::fleet::Fleet;
use super::outcome::Traffic;
use crate::clients::Customer;
use crate::config::HARD_LIMIT_SLACK;
use crate::scenario::{Group, Scenario};
use crate::timeline;
use aspendrum_checker::limiter::{self, Query, Record, RuleLimits};
use aspendrum_checker::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;
/// Added to the configured drain grace period: the time for a drain notice to reach a limiter.
const DRAIN_SLACK: Millis = 50.0;

impl Fleet {
    /// Returns what clients and servers observed, from the start to the end of the traffic.
    pub(super) fn record(
        &self,
        customers: &[Customer],
        queries: Vec<Query>,
        from: Millis,
        to: Millis,
    ) -> Record {
        let scenario = &self.scenario;
        let servers = &self.services.servers;
        Record {
            limits: rule_limits(scenario),
            groups: scenario.groups.iter().map(record_group).collect(),
            customers: customers
                .iter()
                .enumerate()
                .map(|(number, customer)| record_customer(scenario, number, customer))
                .collect(),
            servers: vec![record_server(scenario); servers.len()],
            queries,
            forwards: self.services.server_log.forwards(),
            discovery_updates: self.services.discovery.updates(),
            incarnations: servers.iter().flat_map(|s| s.incarnations()).collect(),
            exempt_periods: self.exemptions.periods(),
            faults: timeline::fault_periods(scenario, from),
            from,
            to,
        }
    }

    /// Returns the network traffic of the run.
    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            datagrams: self.links.datagram_stats(),
            counter: self.services.counter.stats(),
            discovery: self.services.discovery.stats(),
        }
    }
}

fn rule_limits(scenario: &Scenario) -> RuleLimits {
    let rules = &scenario.rules;
    RuleLimits {
        drain_grace: rules.drain_grace_s * MILLIS_PER_SECOND + DRAIN_SLACK,
        collapse_multiple: rules.collapse_multiple,
        collapse_window: rules.collapse_window_s * MILLIS_PER_SECOND,
        limit_slack: HARD_LIMIT_SLACK,
        ..RuleLimits::default()
    }
}

fn record_group(group: &Group) -> limiter::Group {
    limiter::Group {
        name: group.name.clone(),
        retry_safety: group.retry_safety,
        mean_work: group.work_ms,
    }
}

fn record_customer(scenario: &Scenario, number: usize, customer: &Customer) -> limiter::Customer {
    let plan = &scenario.plans[customer.plan];
    let entry = &scenario.customers[customer.entry];
    limiter::Customer {
        name: format!("{}-{number}", plan.name),
        rate: plan.rate / MILLIS_PER_SECOND,
        burst: plan.burst,
        limit_rate: plan.limit_rate / MILLIS_PER_SECOND,
        limit_burst: plan.limit_burst,
        demand_rate: entry.queries_per_s * entry.units / MILLIS_PER_SECOND,
    }
}

fn record_server(scenario: &Scenario) -> limiter::Server {
    let servers = &scenario.servers;
    limiter::Server {
        cores: servers.cores as f64,
        slow_start_capacity: servers.slow_start_capacity,
        slow_start: servers.slow_start_s * MILLIS_PER_SECOND,
    }
}
