//! The limiter's configuration: one JSON file, read and checked here, with its defaults.
//!
//! Errors name the faulty key. The settings of the decision engine are read by `aspendrum_core::settings`, which the
//! simulator's adapter uses too.

use crate::clock::duration_from_millis;
use crate::server_list::{LocationNames, ServerList, ServerListError};
use aspendrum_core::api::Settings;
use aspendrum_core::settings::{self, SettingsError, MILLIS_PER_SECOND};
use derive_more::{Display, Error};
use serde_json::Value;
use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that names the configuration file if the command line does not.
pub const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

const DEFAULT_NAME: &str = "limiter";
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// With fewer descriptors there would be none for clients or servers, besides the limiter's own.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
const DEFAULT_KEEPALIVE_S: f64 = 30.0;
/// No time in the settings is as long.
const MAX_SECONDS: f64 = 1e6;

/// Why a configuration is rejected.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The contents of the file are faulty.
    #[display("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: Box<ConfigError>,
    },
    /// The text is not JSON.
    #[display("not JSON: {_0}")]
    NotJson(serde_json::Error),
    /// A key is missing.
    #[display("{_0} is missing")]
    Missing(#[error(not(source))] String),
    /// A setting of the decision engine is missing or faulty.
    #[display("{_0}")]
    Setting(SettingsError),
    /// The value of a key is no address.
    #[display("{key} is not an address: {value}")]
    NoAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// An address cannot be resolved.
    #[display("{key} is not an address: {value}: {source}")]
    UnresolvedAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// Why.
        source: io::Error,
    },
    /// The seed is no number in base 16.
    #[display("seed is not a hexadecimal number: {value}: {source}")]
    InvalidSeed {
        /// The value.
        value: String,
        /// Why.
        source: ParseIntError,
    },
    /// A number is out of its range, or none.
    #[display("{key} is absurd: {value}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// There are more endpoint groups or plans than can be numbered.
    #[display("{_0} is one too many")]
    TooMany(#[error(not(source))] String),
    /// Two endpoint groups, or two plans, have one name.
    #[display("{key} is there twice: {name}")]
    Duplicate {
        /// The key of the second one.
        key: String,
        /// The name.
        name: String,
    },
    /// The list of known servers is faulty.
    #[display("known.{_0}")]
    KnownServers(ServerListError),
}

/// A configuration that was read and found valid.
pub struct Config {
    /// The limiter's name in the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address of the list of servers.
    pub discovery: SocketAddr,
    /// The address of the shared counter, if the settings use one.
    pub counter: Option<SocketAddr>,
    /// Where datagrams of other limiters arrive, if limiters exchange any.
    pub peer_listen: Option<SocketAddr>,
    /// The other limiters' addresses, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all other limiters.
    pub peer_broadcast: Option<SocketAddr>,
    /// The seed of random choices; another one with each start.
    pub seed: u64,
    /// Memory that the limiter may use.
    pub memory_mb: u64,
    /// Descriptors that the limiter may open.
    pub max_descriptors: usize,
    /// A connection to a server that is not up by then has failed.
    pub connect_timeout: Duration,
    /// After this servers close idle connections.
    pub server_keepalive: Duration,
    /// The decision engine's settings.
    pub settings: Settings,
    /// The numbers of endpoint groups, by the names that requests carry.
    pub group_numbers: HashMap<String, u16>,
    /// The numbers of plans, by the names that requests carry.
    pub plan_numbers: HashMap<String, u32>,
    /// The zones and machine kinds of the settings.
    pub location_names: LocationNames,
    /// The servers known before discovery answers.
    pub known_servers: ServerList,
}

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The first fault, with the file's path.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Config::parse(&text).map_err(|error| ConfigError::Invalid {
            path: path.to_path_buf(),
            source: Box::new(error),
        })
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// The first fault, by its key.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let raw = root
            .get("settings")
            .ok_or(ConfigError::Missing("settings".into()))?;
        let settings = settings::read(&as_pairs(raw)).map_err(ConfigError::Setting)?;
        let location_names = LocationNames {
            zones: string_list(raw, "Zones"),
            machine_kinds: string_list(raw, "Kinds"),
        };
        let known_servers = known_servers(&root, &location_names)?;
        let address_if = |is_used: bool, key| is_used.then(|| address(&root, key)).transpose();
        let counter = address_if(settings.has_counter, "counter")?;
        let has_peers = settings.may_send_datagrams && root.get("peer_listen").is_some();
        let peers = if has_peers {
            peer_addresses(&root)?
        } else {
            Vec::new()
        };
        Ok(Config {
            name: name(&root),
            listen: address(&root, "listen")?,
            discovery: address(&root, "discovery")?,
            counter,
            peer_listen: address_if(has_peers, "peer_listen")?,
            peers,
            peer_broadcast: address_if(has_peers, "peers_all").ok().flatten(),
            seed: seed(&root)?,
            memory_mb: limit(&root, "memory_mb", DEFAULT_MEMORY_MB, 1)?,
            max_descriptors: limit(&root, "sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS)?
                as usize,
            connect_timeout: seconds(raw, "ConnectTimeoutS", DEFAULT_CONNECT_TIMEOUT_S)?,
            server_keepalive: seconds(raw, "KeepaliveS", DEFAULT_KEEPALIVE_S)?,
            group_numbers: numbers_by_name(raw, "Profiles")?,
            plan_numbers: numbers_by_name(raw, "TiersOfService")?,
            settings,
            location_names,
            known_servers,
        })
    }
}

fn name(root: &Value) -> String {
    let name = root.get("name").and_then(Value::as_str);
    name.unwrap_or(DEFAULT_NAME).to_string()
}

fn known_servers(root: &Value, names: &LocationNames) -> Result<ServerList, ConfigError> {
    match root.get("known") {
        Some(list) => ServerList::parse(list, names).map_err(ConfigError::KnownServers),
        None => Ok(ServerList::default()),
    }
}

/// Nested JSON as the `path=value` lines in which the simulator sends settings.
fn as_pairs(settings: &Value) -> String {
    let mut lines = String::new();
    add_pairs("", settings, &mut lines);
    lines
}

fn add_pairs(path: &str, value: &Value, lines: &mut String) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, inner)| add_pairs(&join(path, key), inner, lines)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            add_pairs(&join(path, "count"), &Value::from(items.len()), lines);
            for (index, item) in items.iter().enumerate() {
                add_pairs(&join(path, &index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let list: Vec<String> = items.iter().map(plain).collect();
            let _ = writeln!(lines, "{path}={}", list.join(","));
        }
        Value::Null => {}
        other => {
            let _ = writeln!(lines, "{path}={}", plain(other));
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// A value without the characters that separate values and lines.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        other => other.to_string(),
    }
}

fn string_list(settings: &Value, key: &str) -> Vec<String> {
    let list = settings.get(key).and_then(Value::as_array);
    list.into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .map(str::to_string)
        .collect()
}

/// The index of each item of a list, by its `Name`.
fn numbers_by_name<N: TryFrom<usize>>(
    settings: &Value,
    list: &str,
) -> Result<HashMap<String, N>, ConfigError> {
    let mut numbers = HashMap::new();
    let items = settings.get(list).and_then(Value::as_array);
    for (index, item) in items.into_iter().flatten().enumerate() {
        let key = format!("setting {list}.{index}.Name");
        let name = item.get("Name").and_then(Value::as_str);
        let name = name.ok_or_else(|| ConfigError::Missing(key.clone()))?;
        let number = N::try_from(index).map_err(|_| ConfigError::TooMany(key.clone()))?;
        if numbers.insert(name.to_string(), number).is_some() {
            return Err(ConfigError::Duplicate {
                key,
                name: name.to_string(),
            });
        }
    }
    Ok(numbers)
}

fn peer_addresses(root: &Value) -> Result<Vec<SocketAddr>, ConfigError> {
    let peers = root.get("peers").and_then(Value::as_array);
    peers
        .into_iter()
        .flatten()
        .map(|peer| resolve(peer, "peers"))
        .collect()
}

fn address(root: &Value, key: &'static str) -> Result<SocketAddr, ConfigError> {
    resolve(root.get(key).ok_or(ConfigError::Missing(key.into()))?, key)
}

fn resolve(value: &Value, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let no_address = |value: String| ConfigError::NoAddress { key, value };
    let text = value
        .as_str()
        .ok_or_else(|| no_address(value.to_string()))?;
    let mut addresses =
        text.to_socket_addrs()
            .map_err(|source| ConfigError::UnresolvedAddress {
                key,
                value: text.to_string(),
                source,
            })?;
    addresses.next().ok_or_else(|| no_address(text.to_string()))
}

fn seed(root: &Value) -> Result<u64, ConfigError> {
    let text = root
        .get("seed")
        .and_then(Value::as_str)
        .ok_or(ConfigError::Missing("seed".into()))?;
    u64::from_str_radix(text, 16).map_err(|source| ConfigError::InvalidSeed {
        value: text.to_string(),
        source,
    })
}

fn limit(root: &Value, key: &str, default: u64, min: u64) -> Result<u64, ConfigError> {
    let Some(value) = root.get("limits").and_then(|limits| limits.get(key)) else {
        return Ok(default);
    };
    let out_of_range = || ConfigError::OutOfRange {
        key: format!("limits.{key}"),
        value: value.to_string(),
    };
    value
        .as_u64()
        .filter(|number| *number >= min)
        .ok_or_else(out_of_range)
}

fn seconds(settings: &Value, key: &str, default: f64) -> Result<Duration, ConfigError> {
    let value = settings.get("Limits").and_then(|limits| limits.get(key));
    let seconds = value.map_or(Some(default), Value::as_f64);
    let seconds = seconds.filter(|seconds| *seconds > 0.0 && *seconds < MAX_SECONDS);
    let out_of_range = || ConfigError::OutOfRange {
        key: format!("setting Limits.{key}"),
        value: format!("{value:?}"),
    };
    seconds
        .map(|seconds| duration_from_millis(seconds * MILLIS_PER_SECOND))
        .ok_or_else(out_of_range)
}
