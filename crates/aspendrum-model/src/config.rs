//! The operators' configuration: parsing, validation, and lookup by host, path and credential.

mod document;
mod error;
mod route;

pub use document::{RequestLimits, Service, Tenant};
pub use error::ConfigError;
pub use route::{Route, WeightedService};

use document::{Document, Listener};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The version. A configuration supersedes those with lower versions.
    pub version: u32,
    /// The limits on each client request.
    pub limits: RequestLimits,
    /// The tenants; `None` if requests carry no credentials.
    pub tenants: Option<Vec<Tenant>>,
    /// The services to which routes forward requests.
    pub services: Vec<Service>,
    /// The routes. The routing table refers to them by index. Indices are only valid within one configuration.
    pub routes: Vec<Route>,
    routing_table: RoutingTable,
    /// The tenant index of each credential.
    tenant_by_key: HashMap<String, usize>,
}

/// A host, a path prefix, and the index of the route for matching requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteEntry<'c> {
    /// The host, in lower case.
    pub host: &'c str,
    /// The path prefix.
    pub prefix: &'c str,
    /// The index in [`Config::routes`].
    pub route: usize,
}

/// A path prefix of a host, and the index of its route.
#[derive(Clone, Debug)]
struct PrefixRoute {
    prefix: String,
    route: usize,
}

/// The path prefixes of each host, the longest first.
type RoutingTable = HashMap<String, Vec<PrefixRoute>>;

impl Config {
    /// Parses and validates a configuration in JSON that was decided before, possibly by an earlier program version.
    ///
    /// # Errors
    /// Returns [`ConfigError`] with the first error found. An invalid configuration is rejected as a whole.
    pub fn read(text: &[u8]) -> Result<Config, ConfigError> {
        Config::from_document(Document::parse(text)?)
    }

    /// Parses and validates a configuration in JSON that an operator submits. In addition to [`Config::read`], rejects
    /// forms of numbers that earlier program versions accepted: a version with a sign, and negative numbers.
    ///
    /// # Errors
    /// Returns [`ConfigError`] with the first error found.
    pub fn read_submitted(text: &[u8]) -> Result<Config, ConfigError> {
        let document = Document::parse(text)?;
        document.check_forms_of_numbers()?;
        Config::from_document(document)
    }

    fn from_document(document: Document) -> Result<Config, ConfigError> {
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

    /// Returns the index of the route with the longest matching path prefix. `host` may include a port, and `path` a
    /// query.
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

    /// Returns all hosts and prefixes with their routes, in no particular order.
    pub fn route_entries(&self) -> impl Iterator<Item = RouteEntry<'_>> {
        self.routing_table.iter().flat_map(|(host, prefixes)| {
            prefixes.iter().map(move |p| RouteEntry {
                host,
                prefix: &p.prefix,
                route: p.route,
            })
        })
    }

    /// Returns the credentials of the tenant with the given index, in no particular order.
    pub fn keys_of(&self, tenant: usize) -> impl Iterator<Item = &String> {
        self.tenant_by_key
            .iter()
            .filter(move |(_, owner)| **owner == tenant)
            .map(|(key, _)| key)
    }

    /// Returns the index of the tenant to which a credential belongs.
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenant_by_key.get(key).copied()
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// The number of hexadecimal digits in a version.
const VERSION_DIGITS: usize = 8;

/// Returns a version as eight hexadecimal digits, or `none`. For logs.
pub fn format_version(version: Option<u32>) -> String {
    version.map_or("none".into(), |version| format!("{version:08x}"))
}

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

/// Maps each credential to the index of its tenant. A tenant may list the same credential more than once.
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
