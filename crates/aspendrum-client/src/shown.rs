//! What the client prints.

use aspendrum_model::config::{Config, Route};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

pub(crate) fn json(told: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(told).unwrap_or_default() + "\n"
}

pub(crate) fn summary(c: &Config) -> String {
    let tenants = c
        .tenants
        .as_ref()
        .map_or("no tenants".to_string(), |t| format!("{} tenants", t.len()));
    format!(
        "version {:08x}: {} routes, {} services, {tenants}",
        c.version,
        c.routes.len(),
        c.services.len()
    )
}

/// Each host and prefix with its route.
fn places(c: &Config) -> BTreeMap<String, &Route> {
    c.places()
        .map(|(host, prefix, n)| (format!("{host}{prefix}"), &c.routes[n]))
        .collect()
}

/// What the new one would change, a line each.
pub(crate) fn changes(old: &Config, new: &Config) -> Vec<String> {
    let (before, after) = (places(old), places(new));
    let mut all = Vec::new();
    for (place, route) in &after {
        match before.get(place) {
            None => all.push(format!("+ {place} -> {:?}", route.services)),
            Some(was) if was != route => {
                let moved = if was.services == route.services {
                    ""
                } else {
                    ", goes elsewhere"
                };
                let once = if was.repeatable == route.repeatable {
                    ""
                } else {
                    ", repeats otherwise"
                };
                all.push(format!("~ {place}{moved}{once}: {was:?} -> {route:?}"));
            }
            Some(_) => {}
        }
    }
    all.extend(
        before
            .keys()
            .filter(|p| !after.contains_key(*p))
            .map(|p| format!("- {p}")),
    );
    let keys = |c: &Config| -> BTreeMap<String, String> {
        let tenants = c.tenants.iter().flatten().enumerate();
        tenants
            .flat_map(|(n, t)| c.keys_of(n).map(|k| (k.clone(), t.name.clone())))
            .collect()
    };
    let (before, after) = (keys(old), keys(new));
    let count =
        |a: &BTreeMap<_, _>, b: &BTreeMap<_, _>| a.keys().filter(|k| !b.contains_key(*k)).count();
    // Keys are secrets: only how many.
    let (taken, given) = (count(&before, &after), count(&after, &before));
    if taken + given > 0 {
        all.push(format!("~ keys: {given} given, {taken} taken away"));
    }
    if old.version != new.version {
        all.push(format!(
            "~ version: {:08x} -> {:08x}",
            old.version, new.version
        ));
    }
    all
}

fn rows(told: &[Value]) -> impl Iterator<Item = &Value> {
    told.iter()
        .flat_map(|t| t["nodes"].as_array().into_iter().flatten())
}

/// Whether every node that is known applies what was decided, and all of control decided the same.
pub(crate) fn agree(told: &[Value]) -> bool {
    let current = rows(told).all(|n| n["standing"] == "current");
    current && told.windows(2).all(|w| w[0]["decided"] == w[1]["decided"])
}

/// Who votes, as that machine of control knows it.
fn membership(machine: &Value) -> String {
    let Some(voters) = machine["voters"].as_array() else {
        return String::new();
    };
    let voters: Vec<&str> = voters.iter().filter_map(Value::as_str).collect();
    let own = if machine["joined"] == true {
        "votes"
    } else {
        "does not vote"
    };
    format!(", {own}; epoch {}: {}", machine["epoch"], voters.join(" "))
}

pub(crate) fn nodes(told: &[Value]) -> String {
    let mut out = String::new();
    let text = |v: &Value| v.as_str().unwrap_or("").to_string();
    // Writing to memory does not fail.
    for machine in told {
        let (gen, age) = (
            text(&machine["decided"]["gen"]),
            machine["majority-ms-ago"].as_u64(),
        );
        let age = age.map_or("never".into(), |ms| format!("{ms} ms ago"));
        let _ = writeln!(
            out,
            "decided {gen}, evacuation orders {}, majority read {age}{}",
            machine["decided"]["evacuations"],
            membership(machine)
        );
    }
    let _ = writeln!(
        out,
        "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} news",
        "node", "zone", "applied", "standing", "off ms", "differs"
    );
    let mut all: Vec<&Value> = rows(told).collect();
    all.sort_by_key(|n| text(&n["host"]));
    for n in all {
        let differs: Vec<String> = n["differs"]
            .as_array()
            .into_iter()
            .flatten()
            .map(&text)
            .collect();
        let _ = writeln!(
            out,
            "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} {}/{}{}",
            text(&n["host"]),
            text(&n["zone"]),
            text(&n["applied"]["gen"]),
            text(&n["standing"]),
            n["off-ms"].as_u64().unwrap_or(0),
            differs.join(","),
            n["acknowledged"],
            n["told"],
            if n["ready"] == true { "" } else { " not ready" }
        );
    }
    out
}

pub(crate) fn explained(told: &Value, nodes: &[Value]) -> String {
    let mut out = String::new();
    for version in told["versions"].as_array().into_iter().flatten() {
        let applying = rows(nodes)
            .filter(|n| n["applied"]["gen"] == version["gen"])
            .count();
        let gen = version["gen"].as_str().unwrap_or("");
        let _ = match &version["route"] {
            Value::Null => writeln!(out, "{gen} ({applying} nodes): no route, 404"),
            r => writeln!(
                out,
                "{gen} ({applying} nodes): {} -> {}; {}; {} tries, {} ms",
                r["name"], r["services"], r["retries"], r["tries"], r["limit-ms"]
            ),
        };
    }
    out
}
