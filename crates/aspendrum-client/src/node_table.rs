//! The printed table of nodes: the decided state of each control node, and the state that each proxy has applied.

use serde_json::Value;
use std::fmt::Write;

/// Returns the node entries of all reports.
pub(crate) fn node_rows(reports: &[Value]) -> impl Iterator<Item = &Value> {
    reports
        .iter()
        .flat_map(|report| report["nodes"].as_array().into_iter().flatten())
}

/// Returns whether every known proxy has applied the decided state, and all control nodes have the same decided state.
pub(crate) fn all_agree(reports: &[Value]) -> bool {
    let all_current = node_rows(reports).all(|node| node["standing"] == "current");
    all_current
        && reports
            .windows(2)
            .all(|pair| pair[0]["decided"] == pair[1]["decided"])
}

/// Returns the table, preceded by a line for each control node.
pub(crate) fn node_table(reports: &[Value]) -> String {
    let mut table = String::new();
    for report in reports {
        write_control_node(&mut table, report);
    }
    // Writing to a string cannot fail, here and below.
    let _ = writeln!(
        table,
        "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} news",
        "node", "zone", "applied", "standing", "off ms", "differs"
    );
    let mut nodes: Vec<&Value> = node_rows(reports).collect();
    nodes.sort_by_key(|node| str_or_empty(&node["host"]));
    for node in nodes {
        write_node(&mut table, node);
    }
    table
}

fn str_or_empty(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// Returns a version of a report, which is null for a state without a configuration.
fn version_or_none(version: &Value) -> &str {
    version.as_str().unwrap_or("none")
}

fn write_control_node(table: &mut String, report: &Value) {
    let majority_age = report["majority-ms-ago"].as_u64();
    let majority_age = majority_age.map_or("never".into(), |ms| format!("{ms} ms ago"));
    let _ = writeln!(
        table,
        "decided {}, evacuation orders {}, majority read {majority_age}{}",
        version_or_none(&report["decided"]["gen"]),
        report["decided"]["evacuations"],
        membership(report)
    );
}

/// Returns the membership part of a control node's line: whether it votes, the epoch and its voters.
fn membership(report: &Value) -> String {
    let Some(voters) = report["voters"].as_array() else {
        return String::new();
    };
    let voters: Vec<&str> = voters.iter().filter_map(Value::as_str).collect();
    let own_vote = if report["joined"] == true {
        "votes"
    } else {
        "does not vote"
    };
    format!(
        ", {own_vote}; epoch {}: {}",
        report["epoch"],
        voters.join(" ")
    )
}

fn write_node(table: &mut String, node: &Value) {
    let differing: Vec<&str> = node["differs"]
        .as_array()
        .into_iter()
        .flatten()
        .map(str_or_empty)
        .collect();
    let _ = writeln!(
        table,
        "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} {}/{}{}",
        str_or_empty(&node["host"]),
        str_or_empty(&node["zone"]),
        version_or_none(&node["applied"]["gen"]),
        str_or_empty(&node["standing"]),
        node["off-ms"].as_u64().unwrap_or(0),
        differing.join(","),
        node["acknowledged"],
        node["told"],
        if node["ready"] == true {
            ""
        } else {
            " not ready"
        }
    );
}
