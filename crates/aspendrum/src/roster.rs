//! Lists of servers as discovery words them.

use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use serde_json::Value;
use std::net::SocketAddr;

/// The names of places and machine kinds, in the order of the settings.
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// A list, or the changes to one.
#[derive(Default)]
pub struct Roster {
    pub version: u64,
    pub whole: bool,
    pub entries: Vec<(ServerEntry, Option<SocketAddr>)>,
}

impl Roster {
    /// One entry that makes no sense spoils the answer: left out of a whole list, its server would be gone.
    pub fn read(list: &Value, names: &Names) -> Result<Roster, String> {
        let number = |key: &str| {
            list.get(key)
                .and_then(Value::as_u64)
                .ok_or(format!("{key} is no number"))
        };
        let hosts = list
            .get("hosts")
            .and_then(Value::as_array)
            .ok_or("hosts is no list")?;
        let entry =
            |(i, host): (usize, &Value)| entry(host, names).map_err(|e| format!("hosts.{i}.{e}"));
        Ok(Roster {
            version: number("seq")?,
            whole: list
                .get("whole")
                .and_then(Value::as_bool)
                .ok_or("whole is neither true nor false")?,
            entries: hosts
                .iter()
                .enumerate()
                .map(entry)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn entry(host: &Value, names: &Names) -> Result<(ServerEntry, Option<SocketAddr>), String> {
    let text = |key: &str| {
        host.get(key)
            .and_then(Value::as_str)
            .ok_or(format!("{key} is no text"))
    };
    let number = |key: &str| {
        host.get(key)
            .and_then(Value::as_f64)
            .filter(|n| n.is_finite() && *n >= 0.0)
    };
    let place =
        |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0) as u8;
    let health = match text("health")? {
        "in_service" => Health::Ready,
        "terminating" => Health::Draining,
        "terminated" => Health::Removed,
        other => return Err(format!("health is unknown: {other}")),
    };
    let dial = text("dial").ok().and_then(|d| d.parse().ok());
    if dial.is_none() && health != Health::Removed {
        return Err("dial is no address".into());
    }
    let member = ServerEntry {
        server: server_id(text("host")?),
        pool: 0,
        distance_cost: 0.0,
        health,
        cell: number("block").unwrap_or(0.0) as u16,
        zone: place(&names.zones, text("site").unwrap_or("")),
        capacity: number("share").unwrap_or(1.0) as f32,
        kind: place(&names.kinds, text("class").unwrap_or("")),
        started_at: number("born_ms").ok_or("born_ms is no number")? as Millis,
    };
    Ok((member, dial))
}

/// The same at every limiter, as the module expects it; of a few dozen names no two fall together.
fn server_id(host: &str) -> ServerId {
    host.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
