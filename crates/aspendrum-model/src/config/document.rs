//! The JSON representation of the configuration, and the validation of its rules.

use super::error::ConfigError;
use super::route::{Route, WeightedService};
use serde::Deserialize;
use std::collections::HashSet;

/// A configuration document.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Document {
    #[serde(rename = "gen")]
    pub(super) version: String,
    #[serde(rename = "caps")]
    pub(super) limits: RequestLimits,
    pub(super) tenants: Option<Vec<Tenant>>,
    #[serde(rename = "ports")]
    pub(super) listeners: Vec<Listener>,
    #[serde(rename = "pools")]
    pub(super) services: Vec<Service>,
}

/// A number in a configuration document, with what it belongs to.
struct NamedNumber<'d> {
    field: &'static str,
    owner: &'d str,
    value: f64,
}

impl<'d> NamedNumber<'d> {
    fn all_of<const N: usize>(
        owner: &'d str,
        fields: [(&'static str, f64); N],
    ) -> [NamedNumber<'d>; N] {
        fields.map(|(field, value)| NamedNumber {
            field,
            owner,
            value,
        })
    }
}

impl Document {
    /// Parses a document.
    ///
    /// # Errors
    /// Returns [`ConfigError::Unreadable`] if the text is not JSON of the expected structure.
    pub(super) fn parse(text: &[u8]) -> Result<Document, ConfigError> {
        serde_json::from_slice(text).map_err(|e| ConfigError::Unreadable(e.to_string()))
    }

    /// Checks that the version consists of digits and that no number is negative. Weights have a check of their own.
    ///
    /// # Errors
    /// Returns the first number of another form.
    pub(super) fn check_forms_of_numbers(&self) -> Result<(), ConfigError> {
        // `from_str_radix` accepts a sign as well.
        if !self.version.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ConfigError::Unreadable(format!("gen {}", self.version)));
        }
        let limits = self.limits.numbers().into_iter();
        let tenants = self.tenants.iter().flatten().flat_map(Tenant::numbers);
        let services = self.services.iter().flat_map(Service::numbers);
        let rules = self.listeners.iter().flat_map(|listener| &listener.rules);
        let rules = rules.flat_map(Rule::numbers);
        let mut numbers = limits.chain(tenants).chain(services).chain(rules);
        match numbers.find(|number| number.value < 0.0) {
            None => Ok(()),
            Some(NamedNumber { field, owner, .. }) => Err(ConfigError::NegativeNumber {
                field,
                owner: owner.to_string(),
            }),
        }
    }
}

/// The limits on each client request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct RequestLimits {
    /// The maximum size of the request head, in bytes.
    #[serde(rename = "hdr-bytes")]
    pub header_bytes: u64,
    /// The maximum size of the request body, in bytes.
    #[serde(rename = "body-bytes")]
    pub body_bytes: u64,
    /// The maximum time that a client may take to send a request, in milliseconds.
    #[serde(rename = "hdr-ms")]
    pub header_timeout_ms: f64,
    /// The maximum time that a connection may be idle between requests, in milliseconds.
    #[serde(rename = "idle-ms")]
    pub idle_timeout_ms: f64,
}

impl RequestLimits {
    fn numbers(&self) -> [NamedNumber<'_>; 2] {
        let owner = "caps";
        let fields = [
            ("hdr-ms", self.header_timeout_ms),
            ("idle-ms", self.idle_timeout_ms),
        ];
        NamedNumber::all_of(owner, fields)
    }
}

/// A tenant: a customer to which requests are charged, with a quota.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The credentials of its clients. They are secrets.
    #[serde(default)]
    pub keys: Vec<String>,
    /// The priority of its requests for load shedding; 0 is the highest.
    #[serde(rename = "prio", default)]
    pub priority: f64,
    /// The quota across all proxies, in requests per second; 0 means no quota.
    #[serde(rename = "rate-s", default)]
    pub rate_per_second: f64,
    /// The number of requests that it may send in excess of the rate.
    #[serde(default)]
    pub burst: f64,
    /// The regions in which its requests may be served; empty means all regions.
    #[serde(rename = "homes", default)]
    pub home_regions: Vec<String>,
}

impl Tenant {
    fn numbers(&self) -> [NamedNumber<'_>; 3] {
        let owner = self.name.as_str();
        let fields = [
            ("prio", self.priority),
            ("rate-s", self.rate_per_second),
            ("burst", self.burst),
        ];
        NamedNumber::all_of(owner, fields)
    }
}

/// A service: a set of interchangeable servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: String,
    /// The path of the health check.
    #[serde(rename = "check")]
    pub health_check_path: String,
    /// The maximum number of connections that each server accepts from all callers.
    #[serde(rename = "max-conns", default)]
    pub max_connections: u32,
    /// The duration of slow start after a server has started, in seconds.
    #[serde(rename = "warmup-s", default)]
    pub slow_start_s: f64,
    /// The maximum rate of requests to a server during slow start, in requests per second.
    #[serde(rename = "warm-rate-s", default)]
    pub slow_start_rate: f64,
}

impl Service {
    fn numbers(&self) -> [NamedNumber<'_>; 2] {
        let owner = self.name.as_str();
        let fields = [
            ("warmup-s", self.slow_start_s),
            ("warm-rate-s", self.slow_start_rate),
        ];
        NamedNumber::all_of(owner, fields)
    }
}

/// The rules of a host.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Listener {
    #[serde(rename = "vhost")]
    pub(super) host: String,
    pub(super) rules: Vec<Rule>,
}

/// A route in the configuration document.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Rule {
    name: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(rename = "goal-ms")]
    latency_target_ms: f64,
    #[serde(rename = "prio", default)]
    priority: f64,
    #[serde(rename = "public", default)]
    is_public: bool,
    #[serde(rename = "match")]
    pub(super) condition: MatchCondition,
    action: Action,
}

/// The condition that selects the requests to which a rule applies.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct MatchCondition {
    #[serde(rename = "pfx")]
    pub(super) prefix: String,
}

/// The services and limits for the requests that match a rule.
#[derive(Clone, Debug, Deserialize)]
struct Action {
    #[serde(rename = "svc")]
    service: Option<String>,
    split: Option<Vec<Split>>,
    #[serde(rename = "limit-ms")]
    timeout_ms: f64,
    #[serde(rename = "tries")]
    max_attempts: u32,
    #[serde(rename = "homes", default)]
    home_regions: Vec<String>,
}

/// The share of the requests that a service receives.
#[derive(Clone, Debug, Deserialize)]
struct Split {
    #[serde(rename = "svc")]
    service: String,
    #[serde(rename = "wt")]
    weight: f64,
}

/// A latency target that exceeds the timeout by at least this much is rejected, because it is likely in the wrong unit.
/// The protocol allows a smaller excess.
const MAX_TARGET_ABOVE_TIMEOUT_MS: f64 = 60_000.0;

impl Rule {
    fn numbers(&self) -> [NamedNumber<'_>; 3] {
        let owner = self.name.as_str();
        let fields = [
            ("goal-ms", self.latency_target_ms),
            ("prio", self.priority),
            ("limit-ms", self.action.timeout_ms),
        ];
        NamedNumber::all_of(owner, fields)
    }

    /// Validates the rule and returns its route. `known_services` contains the names of the services in the
    /// configuration.
    pub(super) fn validate(&self, known_services: &HashSet<&str>) -> Result<Route, ConfigError> {
        let action = &self.action;
        let services = self.services()?;
        self.check_services(&services, known_services)?;
        if !self.condition.prefix.starts_with('/') {
            return Err(ConfigError::RelativePrefix(self.condition.prefix.clone()));
        }
        if action.max_attempts == 0 {
            return Err(ConfigError::NoAttempts(self.name.clone()));
        }
        if self.latency_target_ms >= action.timeout_ms + MAX_TARGET_ABOVE_TIMEOUT_MS {
            return Err(ConfigError::LatencyTargetAboveTimeout(self.name.clone()));
        }
        Ok(Route {
            name: self.name.clone(),
            is_idempotent: self.is_idempotent()?,
            latency_target_ms: self.latency_target_ms,
            timeout_ms: action.timeout_ms,
            priority: self.priority,
            is_public: self.is_public,
            max_attempts: action.max_attempts,
            home_regions: action.home_regions.clone(),
            services,
        })
    }

    fn services(&self) -> Result<Vec<WeightedService>, ConfigError> {
        match (&self.action.service, &self.action.split) {
            (Some(service), _) => Ok(vec![WeightedService {
                service: service.clone(),
                weight: 1.0,
            }]),
            (None, Some(split)) => Ok(split.iter().map(WeightedService::from).collect()),
            (None, None) => Err(ConfigError::Unreadable(format!(
                "route {} goes nowhere",
                self.name
            ))),
        }
    }

    fn check_services(
        &self,
        services: &[WeightedService],
        known: &HashSet<&str>,
    ) -> Result<(), ConfigError> {
        if let Some(unknown) = services
            .iter()
            .find(|s| !known.contains(s.service.as_str()))
        {
            let (route, service) = (self.name.clone(), unknown.service.clone());
            return Err(ConfigError::UnknownService { route, service });
        }
        let has_invalid_weight = services.iter().any(|s| s.weight.is_nan() || s.weight < 0.0);
        if has_invalid_weight || services.iter().map(|s| s.weight).sum::<f64>() <= 0.0 {
            return Err(ConfigError::InvalidWeights(self.name.clone()));
        }
        Ok(())
    }

    fn is_idempotent(&self) -> Result<bool, ConfigError> {
        match self.kind.as_str() {
            "idem" => Ok(true),
            "mutating" => Ok(false),
            other => Err(ConfigError::Unreadable(format!(
                "route {} is of the type {other}",
                self.name
            ))),
        }
    }
}

impl From<&Split> for WeightedService {
    fn from(split: &Split) -> WeightedService {
        WeightedService {
            service: split.service.clone(),
            weight: split.weight,
        }
    }
}
