//! The table of nodes: what each control node decided, and what each proxy applied.

use serde_json::Value;
use std::fmt::Write;

/// The rows of all proxies in the reports of control nodes.
pub(crate) fn node_rows(reports: &[Value]) -> impl Iterator<Item = &Value> {
    reports
        .iter()
        .flat_map(|report| report["nodes"].as_array().into_iter().flatten())
}

/// Whether every known proxy applies what was decided, and all control nodes decided the same.
pub(crate) fn all_agree(reports: &[Value]) -> bool {
    let all_current = node_rows(reports).all(|node| node["standing"] == "current");
    all_current
        && reports
            .windows(2)
            .all(|pair| pair[0]["decided"] == pair[1]["decided"])
}

/// The table, with a line for each control node above it.
pub(crate) fn node_table(reports: &[Value]) -> String {
    let mut table = String::new();
    for report in reports {
        write_control_node(&mut table, report);
    }
    // Writing to memory does not fail, here and below.
    let _ = writeln!(
        table,
        "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} news",
        "node", "zone", "applied", "standing", "off ms", "differs"
    );
    let mut nodes: Vec<&Value> = node_rows(reports).collect();
    nodes.sort_by_key(|node| text(&node["host"]));
    for node in nodes {
        write_node(&mut table, node);
    }
    table
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn write_control_node(table: &mut String, report: &Value) {
    let majority_age = report["majority-ms-ago"].as_u64();
    let majority_age = majority_age.map_or("never".into(), |ms| format!("{ms} ms ago"));
    let _ = writeln!(
        table,
        "decided {}, evacuation orders {}, majority read {majority_age}{}",
        text(&report["decided"]["gen"]),
        report["decided"]["evacuations"],
        membership(report)
    );
}

/// Who votes, as that control node knows it.
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
        .map(text)
        .collect();
    let _ = writeln!(
        table,
        "{:<24} {:<14} {:<8} {:<9} {:>9} {:<24} {}/{}{}",
        text(&node["host"]),
        text(&node["zone"]),
        text(&node["applied"]["gen"]),
        text(&node["standing"]),
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
