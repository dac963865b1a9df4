//! The one place where the limiter's configuration is read, checked and given defaults. Messages name the
//! faulty key. The module's settings go through the reader that the simulator's adapter uses too.

use crate::clock::ms;
use crate::roster::{Names, Roster};
use aspendrum_core::api::Settings;
use aspendrum_core::settings::{self, MILLIS_PER_SECOND};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::Path;
use std::time::Duration;

/// Where the configuration's path is found if the command line does not say.
pub const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

/// With fewer descriptors there is no room for clients, servers and the limiter's own.
const FEWEST_SOCKETS: u64 = 64;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: usize,
    pub connect_wait: Duration,
    pub keepalive: Duration,
    pub settings: Settings,
    /// Endpoint groups and plans by the names that queries carry, in the order of the settings.
    pub groups: HashMap<String, u16>,
    pub plans: HashMap<String, u32>,
    pub names: Names,
    pub known: Roster,
}

impl Config {
    pub fn load(path: &Path) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::read(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub fn read(text: &str) -> Result<Config, String> {
        let root: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
        let told = root.get("settings").ok_or("settings is missing")?;
        let settings = settings::read(&as_pairs(told)).map_err(|error| error.to_string())?;
        let names = Names {
            zones: words(told, "Zones"),
            kinds: words(told, "Kinds"),
        };
        let known = match root.get("known") {
            Some(list) => Roster::read(list, &names).map_err(|e| format!("known.{e}"))?,
            None => Roster::default(),
        };
        let counter = if settings.has_counter {
            Some(address(&root, "counter")?)
        } else {
            None
        };
        let may_tell = settings.may_send_datagrams && root.get("peer_listen").is_some();
        let peers = match root.get("peers").and_then(Value::as_array) {
            Some(list) if may_tell => list
                .iter()
                .map(|p| resolve(p, "peers"))
                .collect::<Result<_, _>>()?,
            _ => Vec::new(),
        };
        Ok(Config {
            name: root
                .get("name")
                .and_then(Value::as_str)
                .unwrap_or("limiter")
                .to_string(),
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            counter,
            peer_listen: if may_tell {
                Some(address(&root, "peer_listen")?)
            } else {
                None
            },
            peers,
            peers_all: if may_tell {
                address(&root, "peers_all").ok()
            } else {
                None
            },
            seed: seed(&root)?,
            memory_mb: whole(&root, "memory_mb", 192, 1)?,
            sockets: whole(&root, "sockets", 1024, FEWEST_SOCKETS)? as usize,
            connect_wait: seconds(told, "ConnectTimeoutS", 0.25)?,
            keepalive: seconds(told, "KeepaliveS", 30.0)?,
            groups: by_name(told, "Profiles")?,
            plans: by_name(told, "TiersOfService")?,
            settings,
            names,
            known,
        })
    }
}

/// Nested JSON as the path=value lines of the simulator's first message.
fn as_pairs(settings: &Value) -> String {
    fn plain(value: &Value) -> String {
        match value {
            Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
            other => other.to_string(),
        }
    }
    fn add(path: &str, value: &Value, out: &mut String) {
        let under = |key: &str| {
            if path.is_empty() {
                key.to_string()
            } else {
                format!("{path}.{key}")
            }
        };
        match value {
            Value::Object(map) => map
                .iter()
                .for_each(|(key, inner)| add(&under(key), inner, out)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                add(&under("count"), &Value::from(items.len()), out);
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, item)| add(&under(&i.to_string()), item, out));
            }
            Value::Array(items) => {
                let list: Vec<String> = items.iter().map(plain).collect();
                let _ = writeln!(out, "{path}={}", list.join(","));
            }
            Value::Null => {}
            other => {
                let _ = writeln!(out, "{path}={}", plain(other));
            }
        }
    }
    let mut out = String::new();
    add("", settings, &mut out);
    out
}

fn words(settings: &Value, key: &str) -> Vec<String> {
    let list = settings.get(key).and_then(Value::as_array);
    list.into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .map(str::to_string)
        .collect()
}

fn by_name<N: TryFrom<usize>>(settings: &Value, key: &str) -> Result<HashMap<String, N>, String> {
    let mut found = HashMap::new();
    let items = settings.get(key).and_then(Value::as_array);
    for (i, item) in items.into_iter().flatten().enumerate() {
        let at = format!("setting {key}.{i}.Name");
        let name = item
            .get("Name")
            .and_then(Value::as_str)
            .ok_or(format!("{at} is missing"))?;
        let place = N::try_from(i).map_err(|_| format!("{at} is one too many"))?;
        if found.insert(name.to_string(), place).is_some() {
            return Err(format!("{at} is there twice: {name}"));
        }
    }
    Ok(found)
}

fn address(root: &Value, key: &str) -> Result<SocketAddr, String> {
    resolve(root.get(key).ok_or(format!("{key} is missing"))?, key)
}

fn resolve(value: &Value, key: &str) -> Result<SocketAddr, String> {
    let text = value
        .as_str()
        .ok_or(format!("{key} is not an address: {value}"))?;
    let mut found = text
        .to_socket_addrs()
        .map_err(|e| format!("{key} is not an address: {text}: {e}"))?;
    found
        .next()
        .ok_or(format!("{key} is not an address: {text}"))
}

fn seed(root: &Value) -> Result<u64, String> {
    let text = root
        .get("seed")
        .and_then(Value::as_str)
        .ok_or("seed is missing")?;
    u64::from_str_radix(text, 16)
        .map_err(|e| format!("seed is not a hexadecimal number: {text}: {e}"))
}

fn whole(root: &Value, key: &str, default: u64, least: u64) -> Result<u64, String> {
    match root.get("limits").and_then(|l| l.get(key)) {
        None => Ok(default),
        Some(v) => v
            .as_u64()
            .filter(|n| *n >= least)
            .ok_or(format!("limits.{key} is absurd: {v}")),
    }
}

fn seconds(settings: &Value, key: &str, default: f64) -> Result<Duration, String> {
    let value = settings.get("Limits").and_then(|l| l.get(key));
    let s = value
        .map_or(Some(default), Value::as_f64)
        .filter(|s| *s > 0.0 && *s < 1e6);
    s.map(|s| ms(s * MILLIS_PER_SECOND))
        .ok_or(format!("setting Limits.{key} is absurd: {value:?}"))
}
