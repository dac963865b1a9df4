//! Server lists in the JSON format used by discovery and the configuration.

use aspendrum_core::api::{Health, Millis, ServerEntry, ServerId};
use derive_more::{Display, Error};
use serde_json::Value;
use std::net::SocketAddr;

/// Why a list is rejected.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ServerListError {
    /// `hosts` is missing or not a list.
    #[display("hosts is no list")]
    NoHosts,
    /// `seq` is missing or not an unsigned integer.
    #[display("seq is no number")]
    NoVersion,
    /// `whole` is missing or not a Boolean.
    #[display("whole is neither true nor false")]
    NoCompleteness,
    /// An entry of `hosts` is invalid.
    #[display("hosts.{index}.{source}")]
    Entry {
        /// The index of the entry.
        index: usize,
        /// The error in the entry.
        source: ServerEntryError,
    },
}

/// Why an entry of a list is rejected.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ServerEntryError {
    /// A key is missing or not a string.
    #[display("{key} is no text")]
    NoText {
        /// The key.
        key: &'static str,
    },
    /// A key is missing, negative or not a number.
    #[display("{key} is no number")]
    NoNumber {
        /// The key.
        key: &'static str,
    },
    /// `health` has an unknown value.
    #[display("health is unknown: {_0}")]
    UnknownHealth(#[error(not(source))] String),
    /// `dial` is missing or not an address, and the server is not terminated.
    #[display("dial is no address")]
    NoAddress,
}

/// The names of zones and machine kinds, indexed by their numbers in the settings.
pub struct LocationNames {
    /// The zone names.
    pub zones: Vec<String>,
    /// The machine kind names.
    pub machine_kinds: Vec<String>,
}

/// A server with its address.
pub struct ListedServer {
    /// The entry for the decision engine.
    pub entry: ServerEntry,
    /// The server's address; always present unless the server is terminated.
    pub address: Option<SocketAddr>,
}

/// A complete list of servers, or the changes since an earlier version.
#[derive(Default)]
pub struct ServerList {
    /// The version of the state after this list is applied.
    pub version: u64,
    /// Whether the list contains all servers rather than only the changed ones.
    pub is_complete: bool,
    /// The servers.
    pub entries: Vec<ListedServer>,
}

impl ServerList {
    /// Parses a list.
    ///
    /// # Errors
    /// Returns the first error. One invalid entry rejects the whole list, because omitting the entry from a complete
    /// list would mean that its server has been removed.
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

/// Returns the number of a name in the settings, or 0 if the name is unknown.
fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).unwrap_or(0) as u8
}

/// Returns the FNV-1a hash of the server's name, so that all limiters use the same id. 32 bits suffice for the few
/// dozen servers of a deployment.
fn server_id(name: &str) -> ServerId {
    const OFFSET_BASIS: ServerId = 0x811c_9dc5;
    const PRIME: ServerId = 0x0100_0193;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
