//! A scenario for limiters: a fleet, what stands around it, its traffic, and a timeline of faults. Read from TOML and
//! checked whole; a faulty key is refused by its name and place.

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

/// A scenario for limiters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// One sentence for the list.
    pub about: String,
    /// What the traffic is drawn from.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long queries come, from when all limiters are ready.
    pub seconds: f64,
    /// The limiters.
    pub limiters: Limiters,
    /// The servers.
    pub servers: Servers,
    /// The shared counter.
    #[serde(default)]
    pub counter: Counter,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The operators' figures for the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The groups of queries.
    #[serde(default = "default_groups")]
    pub groups: Vec<Group>,
    /// The plans of customers.
    pub plans: Vec<Plan>,
    /// The customers.
    pub customers: Vec<Customers>,
    /// What goes wrong when.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What must hold beside the rules.
    #[serde(default)]
    pub bounds: Bounds,
}

/// The limiters of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limiters {
    /// How many there are.
    pub count: usize,
    /// The zones over which they are spread.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Whether they may send each other datagrams.
    #[serde(default = "default_datagrams", rename = "datagrams")]
    pub may_send_datagrams: bool,
    /// Datagrams a second that one accepts from the others, as its settings say.
    #[serde(default = "default_datagrams_per_s")]
    pub datagrams_per_s: f64,
    /// Sockets that each may hold.
    #[serde(default = "default_sockets")]
    pub sockets: u64,
    /// The testbed's own baseline in their place, which admits everything.
    #[serde(default)]
    pub pass_through: bool,
}

/// The servers of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// How many there are.
    pub count: usize,
    /// Queries that one works on at a time.
    #[serde(default = "default_cores")]
    pub cores: usize,
    /// Queries that wait at one.
    #[serde(default = "default_queue", rename = "queue")]
    pub queue_capacity: usize,
    /// Connections that one takes.
    #[serde(default = "default_connections", rename = "connections")]
    pub max_connections: usize,
    /// What a new connection costs, in milliseconds.
    #[serde(default)]
    pub handshake_ms: f64,
    /// The share of its capacity with which one starts.
    #[serde(default = "default_slow_start_capacity", rename = "cold_share")]
    pub slow_start_capacity: f64,
    /// How long it takes to its full capacity, in seconds.
    #[serde(default = "default_slow_start_s", rename = "ramp_s")]
    pub slow_start_s: f64,
    /// How it reports its load.
    #[serde(default)]
    pub reports: LoadReports,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReports {
    /// On each answer.
    #[default]
    Answers,
    /// On answers to health checks.
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
    /// Calls that it takes in a second.
    pub calls_per_s: f64,
    /// How long a call may wait before it is rejected, in milliseconds.
    #[serde(rename = "busy_after_ms")]
    pub max_wait_ms: f64,
    /// How long limiters wait for an answer, in milliseconds.
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

/// Discovery of a scenario.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Limiters poll it; else an agent on their machine sends them lists.
    #[serde(rename = "asked")]
    pub is_polled: bool,
    /// How late its lists are, in milliseconds.
    #[serde(rename = "late_ms")]
    pub delay_ms: f64,
    /// Calls a second of all limiters together; 0: any number.
    pub calls_per_s: f64,
}

/// The operators' figures for the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long after a drain a server may still get queries, in seconds.
    pub drain_grace_s: f64,
    /// A server in slow start collapses at so many times its capacity.
    #[serde(rename = "fall_multiple")]
    pub collapse_multiple: f64,
    /// The window over which that is counted, in seconds.
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

/// Queries of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Whether one may run more than once.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// What one costs a server, in milliseconds.
    pub work_ms: f64,
    /// The latency target, in seconds.
    pub slo_s: f64,
    /// The time after which a client gives up, in seconds.
    #[serde(rename = "limit_s")]
    pub timeout_s: f64,
    /// Its weight when load is shed.
    #[serde(default = "default_weight")]
    pub importance: f64,
}

/// What a customer may send.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second.
    pub rate: f64,
    /// Units on top of the rate.
    pub burst: f64,
    /// The hard limit, in units a second; 0: none.
    #[serde(default, rename = "ceiling_rate")]
    pub limit_rate: f64,
    /// Units on top of the hard limit.
    #[serde(default, rename = "ceiling_burst")]
    pub limit_burst: f64,
}

/// Customers that are alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customers {
    /// How many there are.
    #[serde(default = "default_customer_count")]
    pub count: usize,
    /// Their plan.
    pub plan: String,
    /// The share of all limiters that the queries of each go to; 1: all.
    #[serde(default = "default_spread", rename = "spread")]
    pub limiter_share: f64,
    /// Queries a second of each, at random times, each to one of its limiters.
    pub queries_per_s: f64,
    /// Units of a query.
    #[serde(default = "default_units")]
    pub units: f64,
    /// The groups that its queries are drawn from; none: all.
    #[serde(default)]
    pub groups: Vec<String>,
    /// The share of its queries that go to one of its limiters, another one every `moves_s`.
    #[serde(default, rename = "uneven")]
    pub skewed_share: f64,
    /// The time after which another limiter gets that share, in seconds; 0: never.
    #[serde(default, rename = "moves_s")]
    pub skew_period_s: f64,
}

/// What the run must keep beside the five rules, each only where it is named.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Units granted over the burst and what the rate brings in the whole time, all customers together.
    pub over_quota: Option<f64>,
    /// The least share of the quotas that is granted.
    pub under_quota: Option<f64>,
    /// The most in any window beyond what the rate brings in it, over the burst.
    pub peak_over_burst: Option<f64>,
    /// Units refused though the quota had room, over the units that had room.
    pub refused_with_room: Option<f64>,
    /// Seconds after the last fault's end until 0.9 of what the quotas allow is in use.
    pub recovery_s: Option<f64>,
    /// Forwards over queries that reached servers.
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
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// [`ScenarioError`], which names the key and its place.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable(Box::new(source));
        let scenario: Scenario = toml::from_str(text).map_err(unreadable)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The same with the value of one key replaced, as `limiters.count` or `plans.0.rate`. The key must be there, or be one
    /// that the scenario may have.
    ///
    /// # Errors
    /// [`ScenarioError`] if it leads nowhere, or the scenario is refused with that value.
    pub fn with_value(text: &str, key: &str, value: &str) -> Result<Scenario, ScenarioError> {
        let unreadable = |source| ScenarioError::Unreadable(Box::new(source));
        let mut root: toml::Value = toml::from_str(text).map_err(unreadable)?;
        replace_value(&mut root, key, read_value(value))?;
        let read = Scenario::deserialize(root);
        let scenario = read.map_err(|source| ScenarioError::InvalidValue {
            key: key.to_string(),
            source: Box::new(source),
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// The zone of a limiter or a server by its number.
    pub fn zone(&self, number: usize) -> usize {
        number % self.limiters.zones
    }

    /// The limiters that a selector names.
    pub fn select_limiters(&self, selector: &Selector) -> Vec<usize> {
        selector.select(self.limiters.count, self.limiters.zones)
    }

    /// The servers that a selector names.
    pub fn select_servers(&self, selector: &Selector) -> Vec<usize> {
        selector.select(self.servers.count, self.limiters.zones)
    }
}

/// A number or a truth value where the text is one, else the text.
fn read_value(text: &str) -> toml::Value {
    if let Ok(number) = text.parse::<i64>() {
        return toml::Value::Integer(number);
    }
    if let Ok(number) = text.parse::<f64>() {
        return toml::Value::Float(number);
    }
    match text.parse::<bool>() {
        Ok(truth) => toml::Value::Boolean(truth),
        Err(_) => toml::Value::String(text.to_string()),
    }
}

/// Replaces the value of a key with dots. Tables on the way are made where they are missing, list items are not.
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
