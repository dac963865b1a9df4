//! Formats configurations, differences and explanations for printing.

use crate::node_table::node_rows;
use aspendrum_model::config::{Config, Route, WeightedService};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Formats a JSON value with indentation.
pub(crate) fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

/// Summarizes a configuration in one line.
pub(crate) fn summary(config: &Config) -> String {
    let (routes, services) = (config.routes.len(), config.services.len());
    let tenants = config
        .tenants
        .as_ref()
        .map_or("no tenants".to_string(), |t| format!("{} tenants", t.len()));
    format!(
        "version {:08x}: {routes} routes, {services} services, {tenants}",
        config.version
    )
}

/// Returns the differences between two configurations, one line each.
pub(crate) fn changes(old: &Config, new: &Config) -> Vec<String> {
    let mut changes = route_changes(&routes_by_prefix(old), &routes_by_prefix(new));
    changes.extend(key_changes(old, new));
    if old.version != new.version {
        changes.push(format!(
            "~ version: {:08x} -> {:08x}",
            old.version, new.version
        ));
    }
    changes
}

/// Returns the route of each prefix, keyed by host and prefix.
fn routes_by_prefix(config: &Config) -> BTreeMap<String, &Route> {
    let entries = config.route_entries();
    entries
        .map(|e| (format!("{}{}", e.host, e.prefix), &config.routes[e.route]))
        .collect()
}

fn route_changes(old: &BTreeMap<String, &Route>, new: &BTreeMap<String, &Route>) -> Vec<String> {
    let mut changes = Vec::new();
    for (prefix, route) in new {
        match old.get(prefix) {
            None => changes.push(format!(
                "+ {prefix} -> {}",
                format_services(&route.services)
            )),
            Some(previous) if previous != route => {
                changes.push(format_route_change(prefix, previous, route))
            }
            Some(_) => {}
        }
    }
    changes.extend(
        old.keys()
            .filter(|prefix| !new.contains_key(*prefix))
            .map(|prefix| format!("- {prefix}")),
    );
    changes
}

fn format_route_change(prefix: &str, old: &Route, new: &Route) -> String {
    let services_change = if old.services == new.services {
        ""
    } else {
        ", goes elsewhere"
    };
    let retry_change = if old.is_idempotent == new.is_idempotent {
        ""
    } else {
        ", repeats otherwise"
    };
    format!(
        "~ {prefix}{services_change}{retry_change}: {} -> {}",
        format_route(old),
        format_route(new)
    )
}

/// Formats all attributes of a route. Operators' scripts parse this format.
fn format_route(route: &Route) -> String {
    let (target, timeout, priority) = (route.latency_target_ms, route.timeout_ms, route.priority);
    format!(
        "Route {{ name: {:?}, repeatable: {}, goal_ms: {target:?}, limit_ms: {timeout:?}, prio: {priority:?}, \
         public: {}, tries: {}, homes: {:?}, services: {} }}",
        route.name,
        route.is_idempotent,
        route.is_public,
        route.max_attempts,
        route.home_regions,
        format_services(&route.services)
    )
}

fn format_services(services: &[WeightedService]) -> String {
    let pairs: Vec<(&str, f64)> = services
        .iter()
        .map(|s| (s.service.as_str(), s.weight))
        .collect();
    format!("{pairs:?}")
}

/// Describes how many credentials were added and removed. Only the counts are shown because credentials are secret.
fn key_changes(old: &Config, new: &Config) -> Option<String> {
    let (old, new) = (tenants_by_key(old), tenants_by_key(new));
    let count_missing = |from: &BTreeMap<_, _>, to: &BTreeMap<_, _>| {
        from.keys().filter(|key| !to.contains_key(*key)).count()
    };
    let (removed, added) = (count_missing(&old, &new), count_missing(&new, &old));
    (removed + added > 0).then(|| format!("~ keys: {added} given, {removed} taken away"))
}

fn tenants_by_key(config: &Config) -> BTreeMap<&str, &str> {
    let tenants = config.tenants.iter().flatten().enumerate();
    tenants
        .flat_map(|(index, tenant)| {
            config
                .keys_of(index)
                .map(|key| (key.as_str(), tenant.name.as_str()))
        })
        .collect()
}

/// Describes how each configuration version routes a request, and how many nodes have applied the version.
pub(crate) fn explanation(explanation: &Value, reports: &[Value]) -> String {
    let mut text = String::new();
    for version in explanation["versions"].as_array().into_iter().flatten() {
        let nodes = node_rows(reports)
            .filter(|node| node["applied"]["gen"] == version["gen"])
            .count();
        let number = version["gen"].as_str().unwrap_or("");
        // Writing to a string cannot fail.
        let _ = match &version["route"] {
            Value::Null => writeln!(text, "{number} ({nodes} nodes): no route, 404"),
            route => writeln!(
                text,
                "{number} ({nodes} nodes): {} -> {}; {}; {} tries, {} ms",
                route["name"],
                route["services"],
                route["retries"],
                route["tries"],
                route["limit-ms"]
            ),
        };
    }
    text
}
