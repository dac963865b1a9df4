//! The operators' configuration: parsed and validated completely, then looked up by host, path and credential.

mod document;
mod error;
mod route;

pub use document::{RequestLimits, Service, Tenant};
pub use error::ConfigError;
pub use route::{Route, WeightedService};

use document::{Document, Listener};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A configuration that was parsed and found valid.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its version; the higher one supersedes the lower one.
    pub version: u32,
    /// The limits on each client's request.
    pub limits: RequestLimits,
    /// The tenants; `None` if requests carry no credentials.
    pub tenants: Option<Vec<Tenant>>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// The routes. Other parts of this configuration refer to them by index; another configuration has other indices.
    pub routes: Vec<Route>,
    routing_table: RoutingTable,
    /// The index of each credential's tenant.
    tenant_by_key: HashMap<String, usize>,
}

/// A host, a path prefix, and the index of the route for requests that match both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteEntry<'c> {
    /// The host, in lower case.
    pub host: &'c str,
    /// The prefix of the path.
    pub prefix: &'c str,
    /// The index in [`Config::routes`].
    pub route: usize,
}

/// A path prefix of one host, and the index of its route.
#[derive(Clone, Debug)]
struct PrefixRoute {
    prefix: String,
    route: usize,
}

/// The prefixes of each host, the longest first.
type RoutingTable = HashMap<String, Vec<PrefixRoute>>;

impl Config {
    /// Parses and validates a configuration in JSON.
    ///
    /// # Errors
    /// [`ConfigError`] names the first fault that is found. Nothing of an invalid configuration is ever used.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        let document: Document =
            serde_json::from_slice(text).map_err(|e| ConfigError::Unreadable(e.to_string()))?;
        let version = parse_version(&document.version)?;
        let (routes, routing_table) = build_routes(&document)?;
        let tenant_by_key = index_keys(document.tenants.as_deref().unwrap_or_default())?;
        let Document {
            limits,
            tenants,
            services,
            ..
        } = document;
        Ok(Config {
            version,
            limits,
            tenants,
            services,
            routes,
            routing_table,
            tenant_by_key,
        })
    }

    /// The index of the route with the longest prefix of the path. `host` may carry a port, `path` a query.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let path = path.split('?').next().unwrap_or(path);
        let prefixes = self.routing_table.get(&host)?;
        prefixes
            .iter()
            .find(|entry| path.starts_with(&entry.prefix))
            .map(|entry| entry.route)
    }

    /// Each host and prefix with its route, in no particular order.
    pub fn route_entries(&self) -> impl Iterator<Item = RouteEntry<'_>> {
        self.routing_table.iter().flat_map(|(host, prefixes)| {
            prefixes.iter().map(move |p| RouteEntry {
                host,
                prefix: &p.prefix,
                route: p.route,
            })
        })
    }

    /// The credentials of the tenant with that index, in no particular order.
    pub fn keys_of(&self, tenant: usize) -> impl Iterator<Item = &String> {
        self.tenant_by_key
            .iter()
            .filter(move |(_, owner)| **owner == tenant)
            .map(|(key, _)| key)
    }

    /// The index of the tenant that a credential belongs to.
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenant_by_key.get(key).copied()
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// The number of hexadecimal digits of a version.
const VERSION_DIGITS: usize = 8;

fn parse_version(text: &str) -> Result<u32, ConfigError> {
    let version = u32::from_str_radix(text, 16)
        .ok()
        .filter(|_| text.len() == VERSION_DIGITS);
    version.ok_or_else(|| ConfigError::Unreadable(format!("gen {text}")))
}

fn build_routes(document: &Document) -> Result<(Vec<Route>, RoutingTable), ConfigError> {
    let services: HashSet<&str> = document
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let (mut routes, mut table) = (Vec::new(), RoutingTable::new());
    for listener in &document.listeners {
        add_listener(listener, &services, &mut routes, &mut table)?;
    }
    for prefixes in table.values_mut() {
        prefixes.sort_by_key(|entry| Reverse(entry.prefix.len()));
    }
    Ok((routes, table))
}

fn add_listener(
    listener: &Listener,
    services: &HashSet<&str>,
    routes: &mut Vec<Route>,
    table: &mut RoutingTable,
) -> Result<(), ConfigError> {
    let host = listener.host.to_ascii_lowercase();
    for rule in &listener.rules {
        let route = rule.validate(services)?;
        let prefix = rule.condition.prefix.clone();
        let prefixes = table.entry(host.clone()).or_default();
        if prefixes.iter().any(|entry| entry.prefix == prefix) {
            return Err(ConfigError::DuplicateRoute { host, prefix });
        }
        prefixes.push(PrefixRoute {
            prefix,
            route: routes.len(),
        });
        routes.push(route);
    }
    Ok(())
}

/// The index of each credential's tenant. A tenant may name one of its credentials twice.
fn index_keys(tenants: &[Tenant]) -> Result<HashMap<String, usize>, ConfigError> {
    let mut tenant_by_key = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        for key in &tenant.keys {
            let previous = tenant_by_key.insert(key.clone(), index);
            if previous.is_some_and(|other| other != index) {
                return Err(ConfigError::SharedKey);
            }
        }
    }
    Ok(tenant_by_key)
}
