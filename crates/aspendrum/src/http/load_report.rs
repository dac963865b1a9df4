//! Load reports of servers: `name=value` pairs in a header or in a body.

use super::fields::number;
use aspendrum_core::api::{Load, LoadValue};

/// Reads a report from a response's body.
pub fn parse_load_report(body: &[u8], values: &[LoadValue]) -> Load {
    parse_load(std::str::from_utf8(body).unwrap_or(""), values)
}

/// Reads the given values of a report. A value that cannot be read is NaN and does not invalidate the others; a report
/// without any value is empty.
pub(super) fn parse_load(text: &str, values: &[LoadValue]) -> Load {
    let mut load = Load::default();
    let pairs = text.trim().trim_start_matches("TEXT").trim_start();
    for (slot, value) in values.iter().enumerate().take(load.values.len()) {
        load.values[slot] = find_value(pairs, *value).map_or(f32::NAN, |number| number as f32);
        load.n = slot as u8 + 1;
    }
    if load
        .values
        .iter()
        .take(usize::from(load.n))
        .all(|value| value.is_nan())
    {
        return Load::default();
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
        "inflight" | "busy_reqs" => LoadValue::InHand,
        "queue" | "pending" => LoadValue::Waiting,
        "util" | "cpu_share" => LoadValue::CpuShare,
        "latency_ms" | "svc_ms" => LoadValue::ServiceMs,
        "qps" | "served_ps" => LoadValue::AnsweredPerS,
        "eps" | "failed_ps" => LoadValue::DroppedPerS,
        _ => LoadValue::Unknown,
    }
}
