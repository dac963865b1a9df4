//! The limiter's configuration: parsing and validation of its JSON file, and default values.
//!
//! Errors name the invalid key. The settings of the decision engine are parsed by `aspendrum_core::settings`, which is
//! shared with the simulator adapter.

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

/// The environment variable with the path of the configuration file, used if the command line does not give one.
pub const CONFIG_VARIABLE: &str = "EDGE_CONFIG";

const DEFAULT_NAME: &str = "limiter";
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// With fewer file descriptors, too few would remain for clients and servers besides the reserved ones.
const MIN_DESCRIPTORS: u64 = 64;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;
const DEFAULT_KEEPALIVE_S: f64 = 30.0;
/// The exclusive upper bound of times in the settings, in seconds.
const MAX_SECONDS: f64 = 1e6;

/// Why a configuration is rejected.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[display("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The contents of the file are invalid.
    #[display("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in the contents.
        source: Box<ConfigError>,
    },
    /// The text is not JSON.
    #[display("not JSON: {_0}")]
    NotJson(serde_json::Error),
    /// A key is missing.
    #[display("{_0} is missing")]
    Missing(#[error(not(source))] String),
    /// A setting of the decision engine is missing or invalid.
    #[display("{_0}")]
    Setting(SettingsError),
    /// The value of a key is not an address.
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
        /// The cause.
        source: io::Error,
    },
    /// The seed is not a hexadecimal number.
    #[display("seed is not a hexadecimal number: {value}: {source}")]
    InvalidSeed {
        /// The value.
        value: String,
        /// The cause.
        source: ParseIntError,
    },
    /// A value is out of range or not a number.
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
    /// Two endpoint groups or two plans have the same name.
    #[display("{key} is there twice: {name}")]
    Duplicate {
        /// The key of the second occurrence.
        key: String,
        /// The name.
        name: String,
    },
    /// The list of known servers is invalid.
    #[display("known.{_0}")]
    KnownServers(ServerListError),
}

/// A valid configuration.
pub struct Config {
    /// The limiter's name in the log.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the shared counter, if the settings use one.
    pub counter: Option<SocketAddr>,
    /// The address for datagrams from other limiters, if limiters exchange any.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the other limiters, indexed by limiter number.
    pub peers: Vec<SocketAddr>,
    /// The broadcast address that reaches all other limiters.
    pub peer_broadcast: Option<SocketAddr>,
    /// The seed of random choices. It should differ with each start.
    pub seed: u64,
    /// The memory that the limiter may use, in MiB.
    pub memory_mb: u64,
    /// The number of file descriptors that the limiter may open.
    pub max_descriptors: usize,
    /// The timeout for connecting to a server.
    pub connect_timeout: Duration,
    /// How long servers keep idle connections open.
    pub server_keepalive: Duration,
    /// The decision engine's settings.
    pub settings: Settings,
    /// The numbers of endpoint groups by name.
    pub group_numbers: HashMap<String, u16>,
    /// The numbers of plans by name.
    pub plan_numbers: HashMap<String, u32>,
    /// The zone and machine kind names of the settings.
    pub location_names: LocationNames,
    /// The servers used until discovery responds.
    pub known_servers: ServerList,
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// Returns the first error, with the path of the file.
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

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    /// Returns the first error, with the invalid key.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let root: Value = serde_json::from_str(text).map_err(ConfigError::NotJson)?;
        let raw = root
            .get("settings")
            .ok_or(ConfigError::Missing("settings".into()))?;
        let settings = settings::parse(&flatten_settings(raw)).map_err(ConfigError::Setting)?;
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

/// Flattens nested JSON into `path=value` lines, the format in which the simulator sends settings.
fn flatten_settings(settings: &Value) -> String {
    let mut lines = String::new();
    append_setting_lines("", settings, &mut lines);
    lines
}

fn append_setting_lines(path: &str, value: &Value, lines: &mut String) {
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, inner)| append_setting_lines(&join_path(path, key), inner, lines)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            append_setting_lines(&join_path(path, "count"), &Value::from(items.len()), lines);
            for (index, item) in items.iter().enumerate() {
                append_setting_lines(&join_path(path, &index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let list: Vec<String> = items.iter().map(scalar_text).collect();
            let _ = writeln!(lines, "{path}={}", list.join(","));
        }
        Value::Null => {}
        other => {
            let _ = writeln!(lines, "{path}={}", scalar_text(other));
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}

/// Formats a value, replacing the characters that separate values and lines.
fn scalar_text(value: &Value) -> String {
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

/// Maps the `Name` of each item of a list to its index.
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
