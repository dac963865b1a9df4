//! The operator's configuration: read whole, checked whole, and looked up by host, path and key.

use derive_more::{Display, Error};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};

/// Why a configuration is refused.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ConfigError {
    #[display("it cannot be read whole: {_0}")]
    Unreadable(#[error(not(source))] String),
    #[display("route {route} names the service {service}, which is not there")]
    UnknownService { route: String, service: String },
    #[display("two routes have the host {host} and the prefix {prefix}")]
    SamePlace { host: String, prefix: String },
    #[display("the weights of route {_0} come to nothing")]
    NoWeight(#[error(not(source))] String),
    #[display("the aim of route {_0} is a minute or more above its limit")]
    AimOver(#[error(not(source))] String),
    #[display("route {_0} has no tries")]
    NoTries(#[error(not(source))] String),
    #[display("the prefix {_0} does not begin with a slash")]
    BarePrefix(#[error(not(source))] String),
    #[display("two tenants have one key")]
    SharedKey,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Doc {
    gen: String,
    caps: Caps,
    tenants: Option<Vec<Tenant>>,
    ports: Vec<Port>,
    pools: Vec<Service>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Caps {
    pub hdr_bytes: u64,
    pub body_bytes: u64,
    pub hdr_ms: f64,
    pub idle_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub keys: Vec<String>,
    #[serde(default)]
    pub prio: f64,
    #[serde(default)]
    pub rate_s: f64,
    #[serde(default)]
    pub burst: f64,
    #[serde(default)]
    pub homes: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Port {
    vhost: String,
    rules: Vec<Rule>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rule {
    name: String,
    #[serde(rename = "type")]
    kind: String,
    goal_ms: f64,
    #[serde(default)]
    prio: f64,
    #[serde(default)]
    public: bool,
    #[serde(rename = "match")]
    place: Place,
    action: Action,
}

#[derive(Clone, Debug, Deserialize)]
struct Place {
    pfx: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Action {
    svc: Option<String>,
    split: Option<Vec<Part>>,
    limit_ms: f64,
    tries: u32,
    #[serde(default)]
    homes: Vec<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Part {
    svc: String,
    wt: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    pub name: String,
    pub check: String,
    #[serde(default)]
    pub max_conns: u32,
    #[serde(default)]
    pub warmup_s: f64,
    #[serde(default)]
    pub warm_rate_s: f64,
}

/// An endpoint group: the queries of one host under one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub repeatable: bool,
    pub goal_ms: f64,
    pub limit_ms: f64,
    pub prio: f64,
    pub public: bool,
    pub tries: u32,
    pub homes: Vec<String>,
    /// Services and their weights, which come to more than nothing.
    pub services: Vec<(String, f64)>,
}

/// A configuration that was read and found valid.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u32,
    pub caps: Caps,
    /// None: requests carry no keys.
    pub tenants: Option<Vec<Tenant>>,
    pub services: Vec<Service>,
    pub routes: Vec<Route>,
    /// Each host's prefixes, the longest first, and the number of the route.
    places: HashMap<String, Vec<(String, usize)>>,
    /// The number of each key's tenant.
    keys: HashMap<String, usize>,
}

impl Config {
    /// Reads and checks. Nothing of an invalid one is of any use.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let doc: Doc =
            serde_json::from_slice(text).map_err(|e| ConfigError::Unreadable(e.to_string()))?;
        let version = u32::from_str_radix(&doc.gen, 16)
            .ok()
            .filter(|_| doc.gen.len() == 8);
        let version = version.ok_or_else(|| ConfigError::Unreadable(format!("gen {}", doc.gen)))?;
        let known: HashSet<&str> = doc.pools.iter().map(|s| s.name.as_str()).collect();
        let (mut routes, mut places) = (Vec::new(), HashMap::<String, Vec<(String, usize)>>::new());
        for port in &doc.ports {
            for rule in &port.rules {
                let route = rule.check(&known)?;
                let (host, prefix) = (port.vhost.to_ascii_lowercase(), rule.place.pfx.clone());
                let at = places.entry(host.clone()).or_default();
                if at.iter().any(|p| p.0 == prefix) {
                    return Err(ConfigError::SamePlace { host, prefix });
                }
                at.push((prefix, routes.len()));
                routes.push(route);
            }
        }
        for at in places.values_mut() {
            at.sort_by_key(|p| std::cmp::Reverse(p.0.len()));
        }
        let mut keys = HashMap::new();
        for (n, tenant) in doc.tenants.iter().flatten().enumerate() {
            for key in &tenant.keys {
                if keys.insert(key.clone(), n).is_some_and(|other| other != n) {
                    return Err(ConfigError::SharedKey);
                }
            }
        }
        let (caps, tenants, services) = (doc.caps, doc.tenants, doc.pools);
        Ok(Config {
            version,
            caps,
            tenants,
            services,
            routes,
            places,
            keys,
        })
    }

    /// The number of the route with the longest prefix that begins the path. `host` may carry a port.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        self.places
            .get(&host)?
            .iter()
            .find(|p| path.starts_with(&p.0))
            .map(|p| p.1)
    }

    /// Each host and prefix, and the number of the route there, in no order.
    pub fn places(&self) -> impl Iterator<Item = (&str, &str, usize)> {
        self.places
            .iter()
            .flat_map(|(host, at)| at.iter().map(|p| (host.as_str(), p.0.as_str(), p.1)))
    }

    /// The keys by which that tenant is found, in no order.
    pub fn keys_of(&self, tenant: usize) -> impl Iterator<Item = &String> {
        self.keys
            .iter()
            .filter(move |k| *k.1 == tenant)
            .map(|k| k.0)
    }

    /// The number of the tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.keys.get(key).copied()
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}

impl Rule {
    fn check(&self, known: &HashSet<&str>) -> Result<Route, ConfigError> {
        let (name, action) = (self.name.clone(), &self.action);
        let services: Vec<(String, f64)> = match (&action.svc, &action.split) {
            (Some(service), _) => vec![(service.clone(), 1.0)],
            (None, Some(parts)) => parts.iter().map(|p| (p.svc.clone(), p.wt)).collect(),
            (None, None) => {
                return Err(ConfigError::Unreadable(format!(
                    "route {name} goes nowhere"
                )))
            }
        };
        if let Some((service, _)) = services.iter().find(|s| !known.contains(s.0.as_str())) {
            return Err(ConfigError::UnknownService {
                route: name,
                service: service.clone(),
            });
        }
        if services.iter().any(|s| s.1.is_nan() || s.1 < 0.0)
            || services.iter().map(|s| s.1).sum::<f64>() <= 0.0
        {
            return Err(ConfigError::NoWeight(name));
        }
        if !self.place.pfx.starts_with('/') {
            return Err(ConfigError::BarePrefix(self.place.pfx.clone()));
        }
        if action.tries == 0 {
            return Err(ConfigError::NoTries(name));
        }
        // So the protocol words it: a typing error of a unit, not a matter of taste.
        if self.goal_ms >= action.limit_ms + 60_000.0 {
            return Err(ConfigError::AimOver(name));
        }
        let repeatable = match self.kind.as_str() {
            "idem" => true,
            "mutating" => false,
            other => {
                return Err(ConfigError::Unreadable(format!(
                    "route {name} is of the type {other}"
                )))
            }
        };
        Ok(Route {
            name,
            repeatable,
            goal_ms: self.goal_ms,
            limit_ms: action.limit_ms,
            prio: self.prio,
            public: self.public,
            tries: action.tries,
            homes: action.homes.clone(),
            services,
        })
    }
}

impl Route {
    /// The service that a query goes to; `chance` is between 0 and 1.
    pub fn service(&self, chance: f64) -> &str {
        let mut left = chance * self.services.iter().map(|s| s.1).sum::<f64>();
        for (name, weight) in &self.services {
            left -= weight;
            if left < 0.0 {
                return name;
            }
        }
        // Weightless ones get nothing, also where the chance was rounded up to one.
        let weighty = self.services.iter().rev().find(|s| s.1 > 0.0);
        weighty.map_or("", |s| &s.0)
    }
}
