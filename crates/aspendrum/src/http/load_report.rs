//! Load reports of servers: `name=value` pairs in a header or a body.

use super::fields::parse_number;
use aspendrum_core::api::{LoadReport, LoadValue};

/// Parses a load report from the body of a response.
pub fn parse_load_report(body: &[u8], values: &[LoadValue]) -> LoadReport {
    parse_load(std::str::from_utf8(body).unwrap_or(""), values)
}

/// Parses the given values of a load report. A missing or invalid value becomes NaN and does not invalidate the others.
/// If all values are invalid, the report is empty.
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
        .filter(|(name, _)| load_value_by_name(name) == value)
        .find_map(|(_, text)| parse_number(text))
}

/// Maps the name of a value. Each value has two names: one used by deployed servers and one used by the simulator.
fn load_value_by_name(name: &str) -> LoadValue {
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
