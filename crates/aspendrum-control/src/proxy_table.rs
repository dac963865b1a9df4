//! The proxy tables of control nodes, and their merge.

use crate::directory::Directory;
use aspendrum_consensus::Millis;
use aspendrum_model::message::ProxyEndpoint;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, RwLock};

/// The entry of a proxy in the table of one control node. It is sent between control nodes with postcard, so the order
/// of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// The proxy.
    pub proxy: ProxyEndpoint,
    /// Whether the proxy's agent is connected to that control node. If not, the agent has just left it and is
    /// connecting to another one.
    pub is_connected: bool,
}

/// Merges the tables of several control nodes. The entry of the node to which the proxy's agent is connected takes
/// precedence over that of a node that the agent has left. While an agent moves, two nodes may have equivalent entries
/// for it; the better readiness then applies, and the proxy is current if either entry is.
pub fn merge_proxy_tables<'a>(
    tables: impl Iterator<Item = &'a Vec<ProxyEntry>>,
) -> Vec<ProxyEndpoint> {
    let mut merged: HashMap<SocketAddrV4, ProxyEntry> = HashMap::new();
    for entry in tables.flatten() {
        let known = merged.entry(entry.proxy.addr);
        let known = known.or_insert_with(|| entry.clone());
        if entry.is_connected && !known.is_connected {
            *known = entry.clone();
        } else if entry.is_connected == known.is_connected {
            known.proxy.readiness = known.proxy.readiness.max(entry.proxy.readiness);
            known.proxy.is_current |= entry.proxy.is_current;
        }
    }
    let mut proxies: Vec<ProxyEndpoint> = merged.into_values().map(|entry| entry.proxy).collect();
    proxies.sort();
    proxies
}

/// The merged proxy table of all reachable control nodes. Every change also updates the [`Directory`].
pub struct MergedProxies {
    proxies: Vec<ProxyEndpoint>,
    directory: Arc<RwLock<Directory>>,
}

impl MergedProxies {
    /// Creates an empty table. `directory` is shared with the threads that answer lookups.
    pub fn new(directory: Arc<RwLock<Directory>>) -> MergedProxies {
        MergedProxies {
            proxies: Vec::new(),
            directory,
        }
    }

    /// Returns all proxies in ascending order.
    pub fn proxies(&self) -> &[ProxyEndpoint] {
        &self.proxies
    }

    /// Merges `tables` and replaces the merged table. Returns whether it has changed.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        tables: impl Iterator<Item = &'a Vec<ProxyEntry>>,
    ) -> bool {
        let proxies = merge_proxy_tables(tables);
        if proxies == self.proxies {
            return false;
        }
        self.proxies = proxies;
        let mut directory = self.directory.write().unwrap_or_else(|e| e.into_inner());
        directory.update(now, &self.proxies);
        true
    }
}
