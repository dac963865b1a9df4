//! LoadReport reports of servers: `name=value` pairs in a header or in a body.

use super::fields::number;
use aspendrum_core::api::{LoadReport, LoadValue};

/// Reads a report from a response's body.
pub fn parse_load_report(body: &[u8], values: &[LoadValue]) -> LoadReport {
    parse_load(std::str::from_utf8(body).unwrap_or(""), values)
}

/// Reads the given values of a report. A value that cannot be read is NaN and does not invalidate the others; a report
/// without any value is empty.
pub(super) fn parse_load(text: &str, values: &[LoadValue]) -> LoadReport {
    let mut load = LoadReport::default();
    let pairs = text.trim().trim_start_matches("TEXT").trim_start();
    for (slot, value) in values.iter().enumerate().take(load.values.len()) {
        load.values[slot] = find_value(pairs, *value).map_or(f32::NAN, |number| number as f32);
        load.count = slot as u8 + 1;
    }
    if load
        .values
        .iter()
        .take(usize::from(load.count))
        .all(|value| value.is_nan())
    {
        return LoadReport::default();
    }
    load
}

fn find_value(pairs: &str, value: LoadValue) -> Option<f64> {
    let pairs = pairs
        .split([',', '\n'])
        .filter_map(|pair| pair.trim().split_once('='));
    pairs
        .filter(|(name, _)| load_value(name) == value)
        .find_map(|(_, text)| number(text))
}

/// Servers name the values as the deployment does; the simulator has names of its own.
fn load_value(name: &str) -> LoadValue {
    match name.trim() {
        "inflight" | "busy_reqs" => LoadValue::RequestsInFlight,
        "queue" | "pending" => LoadValue::RequestsQueued,
        "util" | "cpu_share" => LoadValue::CpuUtilization,
        "latency_ms" | "svc_ms" => LoadValue::ServiceTimeMs,
        "qps" | "served_ps" => LoadValue::ResponsesPerSecond,
        "eps" | "failed_ps" => LoadValue::FailuresPerSecond,
        _ => LoadValue::Unknown,
    }
}
