//! The configuration as operators write it, in JSON, and the validation of each of its rules.

use super::error::ConfigError;
use super::route::{Route, WeightedService};
use serde::Deserialize;
use std::collections::HashSet;

/// A whole configuration.
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

/// The limits on each request of a client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct RequestLimits {
    /// The most bytes of a request's head.
    #[serde(rename = "hdr-bytes")]
    pub header_bytes: u64,
    /// The most bytes of a request's body.
    #[serde(rename = "body-bytes")]
    pub body_bytes: u64,
    /// How long a client may take to send a request, in milliseconds.
    #[serde(rename = "hdr-ms")]
    pub header_timeout_ms: f64,
    /// How long a connection may be idle between requests, in milliseconds.
    #[serde(rename = "idle-ms")]
    pub idle_timeout_ms: f64,
}

/// A tenant: a customer to whom requests are charged, with its quota.
#[derive(Clone, Debug, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// The credentials that clients present on its behalf. They are secrets.
    #[serde(default)]
    pub keys: Vec<String>,
    /// The rank of its requests when load is shed; 0 is the highest.
    #[serde(rename = "prio", default)]
    pub priority: f64,
    /// Its quota over all proxies together, in requests a second; 0: none.
    #[serde(rename = "rate-s", default)]
    pub rate_per_second: f64,
    /// How many requests it may send on top of the rate.
    #[serde(default)]
    pub burst: f64,
    /// The only regions in which its requests may be served; empty: all.
    #[serde(rename = "homes", default)]
    pub home_regions: Vec<String>,
}

/// A service: a set of servers of which each can run the same requests.
#[derive(Clone, Debug, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its health check.
    #[serde(rename = "check")]
    pub health_check_path: String,
    /// The most connections that one of its servers accepts from all callers together.
    #[serde(rename = "max-conns", default)]
    pub max_connections: u32,
    /// How long a server is in slow start after its start, in seconds.
    #[serde(rename = "warmup-s", default)]
    pub slow_start_s: f64,
    /// How many requests a second a server takes during slow start.
    #[serde(rename = "warm-rate-s", default)]
    pub slow_start_rate: f64,
}

/// The rules of one host.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Listener {
    #[serde(rename = "vhost")]
    pub(super) host: String,
    pub(super) rules: Vec<Rule>,
}

/// A route as operators write it.
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

/// Which requests of the host a rule is for.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct MatchCondition {
    #[serde(rename = "pfx")]
    pub(super) prefix: String,
}

/// The services and the terms for the requests that a rule matches.
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

/// One service's share of the requests.
#[derive(Clone, Debug, Deserialize)]
struct Split {
    #[serde(rename = "svc")]
    service: String,
    #[serde(rename = "wt")]
    weight: f64,
}

/// The protocol defines a latency target that exceeds the time-out by this much as invalid: it must be in the wrong
/// unit. A smaller excess is allowed.
const MAX_TARGET_ABOVE_TIMEOUT_MS: f64 = 60_000.0;

impl Rule {
    /// The route of this rule. `known_services` are the names of the services that the configuration defines.
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
            idempotent: self.is_idempotent()?,
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
            return Err(ConfigError::NoWeight(self.name.clone()));
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
