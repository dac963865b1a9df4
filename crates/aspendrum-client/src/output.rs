//! What the client prints of configurations and explanations.

use crate::node_table::node_rows;
use aspendrum_model::config::{Config, Route, WeightedService};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// JSON, indented, as control sent it.
pub(crate) fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

/// What a configuration contains, on one line.
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

/// What the new configuration would change of the old one, one change a line.
pub(crate) fn changes(old: &Config, new: &Config) -> Vec<String> {
    let mut changes = route_changes(&routes_by_place(old), &routes_by_place(new));
    changes.extend(key_changes(old, new));
    if old.version != new.version {
        changes.push(format!(
            "~ version: {:08x} -> {:08x}",
            old.version, new.version
        ));
    }
    changes
}

/// Each host with its prefix, and the route there.
fn routes_by_place(config: &Config) -> BTreeMap<String, &Route> {
    let entries = config.route_entries();
    entries
        .map(|e| (format!("{}{}", e.host, e.prefix), &config.routes[e.route]))
        .collect()
}

fn route_changes(old: &BTreeMap<String, &Route>, new: &BTreeMap<String, &Route>) -> Vec<String> {
    let mut changes = Vec::new();
    for (place, route) in new {
        match old.get(place) {
            None => changes.push(format!("+ {place} -> {}", services_text(&route.services))),
            Some(previous) if previous != route => {
                changes.push(changed_route(place, previous, route))
            }
            Some(_) => {}
        }
    }
    changes.extend(
        old.keys()
            .filter(|place| !new.contains_key(*place))
            .map(|place| format!("- {place}")),
    );
    changes
}

fn changed_route(place: &str, old: &Route, new: &Route) -> String {
    let moved = if old.services == new.services {
        ""
    } else {
        ", goes elsewhere"
    };
    let repeats = if old.idempotent == new.idempotent {
        ""
    } else {
        ", repeats otherwise"
    };
    format!(
        "~ {place}{moved}{repeats}: {} -> {}",
        route_text(old),
        route_text(new)
    )
}

/// All of a route, in the form that operators' scripts know.
fn route_text(route: &Route) -> String {
    let (target, timeout, priority) = (route.latency_target_ms, route.timeout_ms, route.priority);
    format!(
        "Route {{ name: {:?}, repeatable: {}, goal_ms: {target:?}, limit_ms: {timeout:?}, prio: {priority:?}, \
         public: {}, tries: {}, homes: {:?}, services: {} }}",
        route.name,
        route.idempotent,
        route.is_public,
        route.max_attempts,
        route.home_regions,
        services_text(&route.services)
    )
}

fn services_text(services: &[WeightedService]) -> String {
    let pairs: Vec<(&str, f64)> = services
        .iter()
        .map(|s| (s.service.as_str(), s.weight))
        .collect();
    format!("{pairs:?}")
}

/// How many credentials the new configuration adds and removes; they are secrets, so no more than that.
fn key_changes(old: &Config, new: &Config) -> Option<String> {
    let (old, new) = (tenants_by_key(old), tenants_by_key(new));
    let missing_in = |these: &BTreeMap<_, _>, those: &BTreeMap<_, _>| {
        these.keys().filter(|key| !those.contains_key(*key)).count()
    };
    let (removed, added) = (missing_in(&old, &new), missing_in(&new, &old));
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

/// What each version would do with a request, and how many nodes apply it.
pub(crate) fn explanation(explanation: &Value, reports: &[Value]) -> String {
    let mut text = String::new();
    for version in explanation["versions"].as_array().into_iter().flatten() {
        let nodes = node_rows(reports)
            .filter(|node| node["applied"]["gen"] == version["gen"])
            .count();
        let number = version["gen"].as_str().unwrap_or("");
        // Writing to memory does not fail.
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
