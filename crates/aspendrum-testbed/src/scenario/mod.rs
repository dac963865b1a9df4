//! A limiter scenario: the fleet, its fake services, the traffic, and a timeline of faults. Scenarios are read from TOML
//! and validated as a whole; an error names the invalid key.

mod error;
mod fault;
mod selector;
mod validation;

pub use error::ScenarioError;
pub use fault::{
    CounterFault, DiscoveryFault, Fault, FaultKind, LinkDirection, LinkFault, LinkPath,
    ProcessFault, ServerFault,
};
pub use selector::{InvalidSelector, Selector};

use aspendrum_checker::limiter::RetrySafety;
use serde::{Deserialize, Serialize};

/// A limiter scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name of the scenario.
    pub name: String,
    /// A one-sentence description for the `list` command.
    pub about: String,
    /// The seed of the traffic, the fake servers and the limiters.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The duration of the traffic, in seconds, from when all limiters are ready.
    pub seconds: f64,
    /// The limiters.
    pub limiters: Limiters,
    /// The servers.
    pub servers: Servers,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// The discovery service.
    #[serde(default)]
    pub discovery: Discovery,
    /// The operator-configured parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The groups of queries.
    #[serde(default = "default_groups")]
    pub groups: Vec<Group>,
    /// The plans of customers.
    pub plans: Vec<Plan>,
    /// The customers.
    pub customers: Vec<Customers>,
    /// The injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Bounds on the outcome, in addition to the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

/// The limiters of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limiters {
    /// The number of limiters.
    pub count: usize,
    /// The number of zones over which limiters and servers are spread round-robin.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Whether limiters may send each other datagrams.
    #[serde(default = "default_datagrams", rename = "datagrams")]
    pub may_send_datagrams: bool,
    /// The number of datagrams per second that a limiter accepts from its peers, as set in its settings.
    #[serde(default = "default_datagrams_per_s")]
    pub datagrams_per_s: f64,
    /// The maximum number of open sockets of a limiter.
    #[serde(default = "default_sockets")]
    pub sockets: u64,
    /// Whether the pass-through baseline, which admits everything, runs in place of the limiters.
    #[serde(default)]
    pub pass_through: bool,
}

/// The servers of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// The number of servers.
    pub count: usize,
    /// The number of queries that a server processes concurrently.
    #[serde(default = "default_cores")]
    pub cores: usize,
    /// The capacity of a server's queue, in queries.
    #[serde(default = "default_queue", rename = "queue")]
    pub queue_capacity: usize,
    /// The maximum number of connections of a server.
    #[serde(default = "default_connections", rename = "connections")]
    pub max_connections: usize,
    /// The time that a new connection costs, in milliseconds.
    #[serde(default)]
    pub handshake_ms: f64,
    /// The share of its capacity that a server has at the beginning of its slow start.
    #[serde(default = "default_slow_start_capacity", rename = "cold_share")]
    pub slow_start_capacity: f64,
    /// The duration of the slow start to full capacity, in seconds.
    #[serde(default = "default_slow_start_s", rename = "ramp_s")]
    pub slow_start_s: f64,
    /// How servers report their load.
    #[serde(default)]
    pub reports: LoadReports,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReports {
    /// In each response.
    #[default]
    Answers,
    /// In responses to health checks.
    Probes,
    /// Not at all.
    Off,
}

/// The shared counter of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Whether the deployment has one.
    #[serde(rename = "there")]
    pub is_present: bool,
    /// The number of calls that it handles per second.
    pub calls_per_s: f64,
    /// The maximum queueing time of a call, in milliseconds; calls that would wait longer are rejected.
    #[serde(rename = "busy_after_ms")]
    pub max_wait_ms: f64,
    /// The time that limiters wait for a response, in milliseconds.
    #[serde(rename = "wait_ms")]
    pub timeout_ms: f64,
}

impl Default for Counter {
    fn default() -> Counter {
        Counter {
            is_present: true,
            calls_per_s: 1000.0,
            max_wait_ms: 200.0,
            timeout_ms: 30.0,
        }
    }
}

/// The discovery service of a scenario.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Whether limiters poll for server lists; otherwise an agent on their machine pushes them.
    #[serde(rename = "asked")]
    pub is_polled: bool,
    /// The delay of its server lists, in milliseconds.
    #[serde(rename = "late_ms")]
    pub delay_ms: f64,
    /// The maximum number of calls per second from all limiters together; 0 means unlimited.
    pub calls_per_s: f64,
}

/// The operator-configured parameters of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a draining server may still receive queries, in seconds.
    pub drain_grace_s: f64,
    /// The multiple of its capacity at which a server in slow start collapses.
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// The window over which the load is measured for `collapse_multiple`, in seconds.
    #[serde(rename = "fall_s")]
    pub collapse_window_s: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            drain_grace_s: 2.0,
            collapse_multiple: 3.0,
            collapse_window_s: 3.0,
        }
    }
}

/// A group of queries with the same cost and deadlines.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The name of the group.
    pub name: String,
    /// Whether a query may be executed more than once.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// The processing time of a query at a server, in milliseconds.
    pub work_ms: f64,
    /// The latency target, in seconds.
    pub slo_s: f64,
    /// The client's timeout, in seconds.
    #[serde(rename = "limit_s")]
    pub timeout_s: f64,
    /// The weight of the group in load shedding.
    #[serde(default = "default_weight")]
    pub importance: f64,
}

/// The quota of a customer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan.
    pub name: String,
    /// The quota rate, in units per second.
    pub rate: f64,
    /// The burst of the quota, in units.
    pub burst: f64,
    /// The rate of the hard limit, in units per second; 0 means none.
    #[serde(default, rename = "ceiling_rate")]
    pub limit_rate: f64,
    /// The burst of the hard limit, in units.
    #[serde(default, rename = "ceiling_burst")]
    pub limit_burst: f64,
}

/// Customers with the same plan and traffic.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// The number of these customers.
    #[serde(default = "default_customer_count")]
    pub count: usize,
    /// The name of their plan.
    pub plan: String,
    /// The share of the limiters that each customer sends its queries to; 1 means all.
    #[serde(default = "default_spread", rename = "spread")]
    pub limiter_share: f64,
    /// The query rate of each customer, per second, with exponentially distributed gaps. Each query goes to one limiter.
    pub queries_per_s: f64,
    /// The cost of a query, in units.
    #[serde(default = "default_units")]
    pub units: f64,
    /// The groups from which queries are drawn; empty means all groups.
    #[serde(default)]
    pub groups: Vec<String>,
    /// The share of queries that are concentrated on one limiter, which changes every `skew_period_s`.
    #[serde(default, rename = "uneven")]
    pub skewed_share: f64,
    /// The time after which the concentrated queries move to another limiter, in seconds; 0 means never.
    #[serde(default, rename = "moves_s")]
    pub skew_period_s: f64,
}

/// Bounds on the outcome of a run, in addition to the five rules. Only the bounds that are set are checked.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The maximum ratio of the granted units to the quota (burst plus rate times duration), over all customers.
    pub over_quota: Option<f64>,
    /// The minimum of the same ratio.
    pub under_quota: Option<f64>,
    /// The maximum ratio, in any window, of the units granted beyond the rate to the burst.
    pub peak_over_burst: Option<f64>,
    /// The maximum share of the units within the quota that were refused.
    pub refused_with_room: Option<f64>,
    /// The maximum time from the end of any fault until the fleet is back at 0.9 of what it granted before the first fault,
    /// or of what quotas and demand allow if that is less, in seconds.
    pub recovery_s: Option<f64>,
    /// The maximum ratio of forwards to queries that reached servers.
    pub forwards_per_query: Option<f64>,
}

fn default_seed() -> u64 {
    1
}

fn default_zones() -> usize {
    1
}

fn default_datagrams() -> bool {
    true
}

fn default_datagrams_per_s() -> f64 {
    60.0
}

fn default_sockets() -> u64 {
    256
}

fn default_cores() -> usize {
    4
}

fn default_queue() -> usize {
    64
}

fn default_connections() -> usize {
    256
}

fn default_slow_start_capacity() -> f64 {
    0.16
}

fn default_slow_start_s() -> f64 {
    6.0
}

fn default_groups() -> Vec<Group> {
    vec![Group {
        name: "look".to_string(),
        retry_safety: RetrySafety::Idempotent,
        work_ms: 5.0,
        slo_s: 0.4,
        timeout_s: 2.0,
        importance: default_weight(),
    }]
}

fn default_weight() -> f64 {
    1.0
}

fn default_customer_count() -> usize {
    1
}

fn default_spread() -> f64 {
    1.0
}

fn default_units() -> f64 {
    1.0
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`] with the invalid key if the text isn't a valid scenario.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable(Box::new(source));
        let scenario: Scenario = toml::from_str(text).map_err(unreadable)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Like [`Scenario::read`], with the value of one key replaced. The key is a dotted path such as `limiters.count` or
    /// `plans.0.rate`. It may be absent from the text if the scenario supports it.
    ///
    /// # Errors
    /// [`ScenarioError`] if the key doesn't exist, or the scenario is invalid with the value.
    pub fn with_value(text: &str, key: &str, value: &str) -> Result<Scenario, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable(Box::new(source));
        let mut root: toml::Value = toml::from_str(text).map_err(unreadable)?;
        replace_value(&mut root, key, parse_value(value))?;
        let read = Scenario::deserialize(root);
        let scenario = read.map_err(|source| ScenarioError::InvalidValue {
            key: key.to_string(),
            source: Box::new(source),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the zone of the limiter or the server with a number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.limiters.zones
    }

    /// Returns the numbers of the selected limiters.
    pub fn select_limiters(&self, selector: &Selector) -> Vec<usize> {
        selector.select(self.limiters.count, self.limiters.zones)
    }

    /// Returns the numbers of the selected servers.
    pub fn select_servers(&self, selector: &Selector) -> Vec<usize> {
        selector.select(self.servers.count, self.limiters.zones)
    }
}

/// Parses a value as an integer, a float or a boolean, or else takes it as a string.
fn parse_value(text: &str) -> toml::Value {
    if let Ok(number) = text.parse::<i64>() {
        return toml::Value::Integer(number);
    }
    if let Ok(number) = text.parse::<f64>() {
        return toml::Value::Float(number);
    }
    match text.parse::<bool>() {
        Ok(boolean) => toml::Value::Boolean(boolean),
        Err(_) => toml::Value::String(text.to_string()),
    }
}

/// Replaces the value at a dotted key. Missing tables on the path are created, missing list items are an error.
fn replace_value(
    root: &mut toml::Value,
    key: &str,
    value: toml::Value,
) -> Result<(), ScenarioError> {
    let mut target = root;
    for part in key.split('.') {
        let missing = || ScenarioError::UnknownKey {
            key: key.to_string(),
            part: part.to_string(),
        };
        target = match target {
            toml::Value::Table(table) => table
                .entry(part)
                .or_insert_with(|| toml::Value::Table(toml::Table::new())),
            toml::Value::Array(items) => part
                .parse::<usize>()
                .ok()
                .and_then(|index| items.get_mut(index))
                .ok_or_else(missing)?,
            _ => return Err(missing()),
        };
    }
    *target = value;
    Ok(())
}
