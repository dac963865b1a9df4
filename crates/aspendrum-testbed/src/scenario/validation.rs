//! Validation of a scenario: numbers are within their ranges, names are defined, and selectors match something.

use super::{
    Counter, CounterFault, Customers, Discovery, DiscoveryFault, Fault, FaultKind, Group, Limiters,
    LinkFault, LinkPath, Plan, Rules, Scenario, ScenarioError, Selector, ServerFault, Servers,
};
use std::ops::RangeInclusive;

/// Limited by the capacity of one machine and by the loopback addresses of a run.
const MAX_LIMITERS: usize = 100;
const MAX_SERVERS: usize = 100;
const MIN_SECONDS: f64 = 0.5;
const MAX_SECONDS: f64 = 3600.0;
const MAX_DELAY_MS: f64 = 60_000.0;
/// The maximum delay of the counter's responses and of discovery's lists during a fault: the duration of the longest run.
const MAX_FAULT_DELAY_MS: f64 = MAX_SECONDS * 1000.0;
const MAX_RATE: f64 = 1e6;
const MAX_SOCKETS: f64 = 65_536.0;

impl Scenario {
    pub(super) fn check(&self) -> Result<(), ScenarioError> {
        check_range("seconds", self.seconds, MIN_SECONDS..=MAX_SECONDS)?;
        self.limiters.check()?;
        self.servers.check()?;
        self.counter.check()?;
        self.discovery.check()?;
        self.rules.check()?;
        check_not_empty("groups", &self.groups)?;
        check_not_empty("plans", &self.plans)?;
        check_not_empty("customers", &self.customers)?;
        check_each("groups", &self.groups, Group::check)?;
        check_each("plans", &self.plans, Plan::check)?;
        check_each("customers", &self.customers, |customers, key| {
            self.check_customers(customers, key)
        })?;
        check_each("faults", &self.faults, |fault, key| {
            self.check_fault(fault, key)
        })
    }

    fn check_customers(&self, customers: &Customers, key: &str) -> Result<(), ScenarioError> {
        if self.plans.iter().all(|plan| plan.name != customers.plan) {
            return Err(ScenarioError::UnknownPlan {
                key: format!("{key}.plan"),
                plan: customers.plan.clone(),
            });
        }
        let is_unknown = |name: &&String| self.groups.iter().all(|group| group.name != **name);
        if let Some(group) = customers.groups.iter().find(is_unknown) {
            return Err(ScenarioError::UnknownGroup {
                key: format!("{key}.groups"),
                group: group.clone(),
            });
        }
        customers.check(key)
    }

    fn check_fault(&self, fault: &Fault, key: &str) -> Result<(), ScenarioError> {
        let duration_s = fault.duration_s.unwrap_or(0.0);
        let interval_s = fault.interval_s.unwrap_or(1.0);
        check_range(format!("{key}.at_s"), fault.at_s, 0.0..=self.seconds)?;
        check_range(format!("{key}.for_s"), duration_s, 0.0..=MAX_SECONDS)?;
        check_range(format!("{key}.every_s"), interval_s, 0.05..=MAX_SECONDS)?;
        match &fault.kind {
            FaultKind::Link(fault) => self.check_link_fault(fault, key),
            FaultKind::Kill(fault) | FaultKind::Term(fault) | FaultKind::Stall(fault) => {
                self.check_limiters_selected(format!("{key}.of"), &fault.limiters)
            }
            FaultKind::Server(fault) => {
                self.check_servers_selected(format!("{key}.of"), &fault.servers)?;
                fault.check(key)
            }
            FaultKind::Counter(_) if !self.counter.is_present => Err(ScenarioError::NoCounter {
                key: key.to_string(),
            }),
            FaultKind::Counter(fault) => fault.check(key),
            FaultKind::Discovery(fault) => fault.check(key),
        }
    }

    fn check_link_fault(&self, fault: &LinkFault, key: &str) -> Result<(), ScenarioError> {
        self.check_limiters_selected(format!("{key}.of"), &fault.limiters)?;
        match fault.path {
            LinkPath::Limiters => self.check_limiters_selected(format!("{key}.to"), &fault.to)?,
            LinkPath::Servers if !fault.to.is_empty() => {
                self.check_servers_selected(format!("{key}.to"), &fault.to)?;
            }
            _ => {}
        }
        fault.check(key)
    }

    fn check_limiters_selected(
        &self,
        key: String,
        selector: &Selector,
    ) -> Result<(), ScenarioError> {
        check_selected(
            key,
            selector,
            self.limiters.count,
            &self.select_limiters(selector),
        )
    }

    fn check_servers_selected(
        &self,
        key: String,
        selector: &Selector,
    ) -> Result<(), ScenarioError> {
        check_selected(
            key,
            selector,
            self.servers.count,
            &self.select_servers(selector),
        )
    }
}

impl Limiters {
    fn check(&self) -> Result<(), ScenarioError> {
        let count = self.count as f64;
        check_range("limiters.count", count, 1.0..=MAX_LIMITERS as f64)?;
        check_range("limiters.zones", self.zones as f64, 1.0..=count)?;
        check_range("limiters.sockets", self.sockets as f64, 64.0..=MAX_SOCKETS)?;
        check_range(
            "limiters.datagrams_per_s",
            self.datagrams_per_s,
            0.0..=MAX_RATE,
        )
    }
}

impl Servers {
    fn check(&self) -> Result<(), ScenarioError> {
        let (cores, connections) = (self.cores as f64, self.max_connections as f64);
        check_range("servers.count", self.count as f64, 1.0..=MAX_SERVERS as f64)?;
        check_range("servers.cores", cores, 1.0..=1024.0)?;
        check_range("servers.cold_share", self.slow_start_capacity, 0.01..=1.0)?;
        check_range("servers.ramp_s", self.slow_start_s, 0.0..=MAX_SECONDS)?;
        check_range("servers.connections", connections, 1.0..=MAX_SOCKETS)?;
        check_range("servers.handshake_ms", self.handshake_ms, 0.0..=10_000.0)
    }
}

impl Counter {
    fn check(&self) -> Result<(), ScenarioError> {
        check_range("counter.calls_per_s", self.calls_per_s, 1.0..=MAX_RATE)?;
        check_range(
            "counter.busy_after_ms",
            self.max_wait_ms,
            0.0..=MAX_DELAY_MS,
        )?;
        check_range("counter.wait_ms", self.timeout_ms, 1.0..=10_000.0)
    }
}

impl Discovery {
    fn check(&self) -> Result<(), ScenarioError> {
        check_range("discovery.late_ms", self.delay_ms, 0.0..=MAX_DELAY_MS)?;
        check_range("discovery.calls_per_s", self.calls_per_s, 0.0..=MAX_RATE)
    }
}

impl Rules {
    fn check(&self) -> Result<(), ScenarioError> {
        check_range("rules.drain_grace_s", self.drain_grace_s, 0.0..=600.0)?;
        check_range("rules.fall_multiple", self.collapse_multiple, 0.1..=1000.0)?;
        check_range("rules.fall_s", self.collapse_window_s, 0.1..=600.0)
    }
}

impl Group {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        check_range(format!("{key}.work_ms"), self.work_ms, 0.0..=MAX_DELAY_MS)?;
        check_range(format!("{key}.slo_s"), self.slo_s, 0.001..=self.timeout_s)?;
        check_range(format!("{key}.limit_s"), self.timeout_s, 0.001..=600.0)
    }
}

impl Plan {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        let values = [
            ("rate", self.rate),
            ("burst", self.burst),
            ("ceiling_rate", self.limit_rate),
            ("ceiling_burst", self.limit_burst),
        ];
        values.into_iter().try_for_each(|(name, value)| {
            check_range(format!("{key}.{name}"), value, 0.0..=MAX_RATE)
        })
    }
}

impl Customers {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        let values = [
            ("count", self.count as f64, 1.0..=10_000.0),
            ("spread", self.limiter_share, 0.0..=1.0),
            ("queries_per_s", self.queries_per_s, 0.0..=100_000.0),
            ("units", self.units, 0.001..=1000.0),
            ("uneven", self.skewed_share, 0.0..=1.0),
            ("moves_s", self.skew_period_s, 0.0..=MAX_SECONDS),
        ];
        values
            .into_iter()
            .try_for_each(|(name, value, range)| check_range(format!("{key}.{name}"), value, range))
    }
}

impl LinkFault {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        check_share(format!("{key}.lose"), self.loss)?;
        check_share(format!("{key}.reorder"), self.reordering)?;
        check_share(format!("{key}.twice"), self.duplication)?;
        check_range(format!("{key}.delay_ms"), self.delay_ms, 0.0..=MAX_DELAY_MS)?;
        let max_jitter_ms = MAX_DELAY_MS - self.delay_ms;
        check_range(
            format!("{key}.jitter_ms"),
            self.jitter_ms,
            0.0..=max_jitter_ms,
        )
    }
}

impl ServerFault {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        check_share(format!("{key}.failing"), self.error_share)?;
        check_share(format!("{key}.resetting"), self.reset_share)?;
        check_range(format!("{key}.slow"), self.slowdown, 0.0..=MAX_RATE)
    }
}

impl CounterFault {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        check_range(
            format!("{key}.slow_ms"),
            self.delay_ms,
            0.0..=MAX_FAULT_DELAY_MS,
        )
    }
}

impl DiscoveryFault {
    fn check(&self, key: &str) -> Result<(), ScenarioError> {
        check_range(
            format!("{key}.late_ms"),
            self.delay_ms,
            0.0..=MAX_FAULT_DELAY_MS,
        )?;
        check_range(
            format!("{key}.calls_per_s"),
            self.calls_per_s,
            0.0..=MAX_RATE,
        )
    }
}

/// Checks each item of a list; the key of an item ends with its index.
fn check_each<T>(
    key: &str,
    items: &[T],
    check: impl Fn(&T, &str) -> Result<(), ScenarioError>,
) -> Result<(), ScenarioError> {
    items
        .iter()
        .enumerate()
        .try_for_each(|(index, item)| check(item, &format!("{key}.{index}")))
}

fn check_not_empty<T>(key: &'static str, items: &[T]) -> Result<(), ScenarioError> {
    if items.is_empty() {
        return Err(ScenarioError::Empty { key });
    }
    Ok(())
}

/// Checks that a value is finite and within a range.
fn check_range(
    key: impl Into<String>,
    value: f64,
    range: RangeInclusive<f64>,
) -> Result<(), ScenarioError> {
    if value.is_finite() && range.contains(&value) {
        return Ok(());
    }
    Err(ScenarioError::OutOfRange {
        key: key.into(),
        value,
        min: *range.start(),
        max: *range.end(),
    })
}

fn check_share(key: String, value: f64) -> Result<(), ScenarioError> {
    check_range(key, value, 0.0..=1.0)
}

fn check_selected(
    key: String,
    selector: &Selector,
    count: usize,
    selected: &[usize],
) -> Result<(), ScenarioError> {
    if !selected.is_empty() {
        return Ok(());
    }
    Err(ScenarioError::NothingSelected {
        key,
        count,
        selector: selector.clone(),
    })
}
