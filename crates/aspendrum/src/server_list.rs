//! Lists of servers, as discovery and the configuration write them in JSON.

use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use derive_more::{Display, Error};
use serde_json::Value;
use std::net::SocketAddr;

/// Why a list is rejected.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ServerListError {
    /// `hosts` is missing or no list.
    #[display("hosts is no list")]
    NoHosts,
    /// `seq` is missing, negative or no whole number.
    #[display("seq is no number")]
    NoVersion,
    /// `whole` is missing or no truth value.
    #[display("whole is neither true nor false")]
    NoCompleteness,
    /// An entry of `hosts` is faulty.
    #[display("hosts.{index}.{source}")]
    Entry {
        /// Its index in the list.
        index: usize,
        /// What is wrong with it.
        source: ServerEntryError,
    },
}

/// Why an entry of a list is rejected.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ServerEntryError {
    /// A key is missing or no text.
    #[display("{key} is no text")]
    NoText {
        /// The key.
        key: &'static str,
    },
    /// A key is missing, negative or no number.
    #[display("{key} is no number")]
    NoNumber {
        /// The key.
        key: &'static str,
    },
    /// `health` is none of the known words.
    #[display("health is unknown: {_0}")]
    UnknownHealth(#[error(not(source))] String),
    /// `dial` is missing or no address, and the server is not terminated.
    #[display("dial is no address")]
    NoAddress,
}

/// The names of zones and machine kinds, in the order in which the settings number them.
pub struct LocationNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machines.
    pub machine_kinds: Vec<String>,
}

/// A server, and its address unless it is terminated.
pub struct ListedServer {
    /// What the decision engine needs to know of it.
    pub entry: ServerEntry,
    /// Its address.
    pub address: Option<SocketAddr>,
}

/// A complete list of servers, or the changes since an earlier version.
#[derive(Default)]
pub struct ServerList {
    /// The version that the list brings its reader to.
    pub version: u64,
    /// Whether it names all servers. Otherwise it names those that changed.
    pub is_complete: bool,
    /// The servers.
    pub entries: Vec<ListedServer>,
}

impl ServerList {
    /// Reads a list.
    ///
    /// # Errors
    /// The first fault. One faulty entry rejects the whole list: left out of a complete list, its server would count as
    /// gone.
    pub fn parse(list: &Value, names: &LocationNames) -> Result<ServerList, ServerListError> {
        let hosts = list
            .get("hosts")
            .and_then(Value::as_array)
            .ok_or(ServerListError::NoHosts)?;
        let version = list
            .get("seq")
            .and_then(Value::as_u64)
            .ok_or(ServerListError::NoVersion)?;
        let is_complete = list
            .get("whole")
            .and_then(Value::as_bool)
            .ok_or(ServerListError::NoCompleteness)?;
        let listed = |(index, host)| {
            parse_entry(host, names).map_err(|source| ServerListError::Entry { index, source })
        };
        let entries = hosts
            .iter()
            .enumerate()
            .map(listed)
            .collect::<Result<_, _>>()?;
        Ok(ServerList {
            version,
            is_complete,
            entries,
        })
    }
}

fn parse_entry(host: &Value, names: &LocationNames) -> Result<ListedServer, ServerEntryError> {
    let health = match text(host, "health")? {
        "in_service" => Health::Ready,
        "terminating" => Health::Draining,
        "terminated" => Health::Removed,
        other => return Err(ServerEntryError::UnknownHealth(other.to_string())),
    };
    let address = text(host, "dial")
        .ok()
        .and_then(|address| address.parse().ok());
    if address.is_none() && health != Health::Removed {
        return Err(ServerEntryError::NoAddress);
    }
    let entry = ServerEntry {
        server: server_id(text(host, "host")?),
        pool: 0,
        distance_cost: 0.0,
        health,
        cell: number(host, "block").unwrap_or(0.0) as u16,
        zone: index_of(&names.zones, text(host, "site").unwrap_or("")),
        capacity: number(host, "share").unwrap_or(1.0) as f32,
        kind: index_of(&names.machine_kinds, text(host, "class").unwrap_or("")),
        started_at: number(host, "born_ms")? as Millis,
    };
    Ok(ListedServer { entry, address })
}

fn text<'v>(host: &'v Value, key: &'static str) -> Result<&'v str, ServerEntryError> {
    host.get(key)
        .and_then(Value::as_str)
        .ok_or(ServerEntryError::NoText { key })
}

fn number(host: &Value, key: &'static str) -> Result<f64, ServerEntryError> {
    let number = host.get(key).and_then(Value::as_f64);
    number
        .filter(|number| number.is_finite() && *number >= 0.0)
        .ok_or(ServerEntryError::NoNumber { key })
}

/// The number of a name in the settings; unknown names count as the first.
fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).unwrap_or(0) as u8
}

/// The FNV-1a hash of the server's name, which is the same at every limiter. It distinguishes the few dozen servers of a
/// deployment.
fn server_id(name: &str) -> ServerId {
    const OFFSET_BASIS: ServerId = 0x811c_9dc5;
    const PRIME: ServerId = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
