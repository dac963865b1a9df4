//! The proxies that control nodes know of.

use crate::directory::Directory;
use aspendrum_consensus::Millis;
use aspendrum_model::message::ProxyEndpoint;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, RwLock};

/// A proxy as one control node knows it. Sent between control nodes: the order of the fields must not change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProxyEntry {
    /// The proxy.
    pub proxy: ProxyEndpoint,
    /// Whether its agent is connected to that control node. If not, the agent was until a moment ago and is connecting
    /// to another one.
    pub is_connected: bool,
}

/// Merges the tables of several control nodes. The entry of the node that the proxy's agent is connected to replaces
/// that of a node that the agent has left. While an agent moves, two nodes may be connected to it: the better readiness
/// counts then.
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

/// The merged proxy table of all reachable control nodes. Each change is passed on to the [`Directory`].
pub struct MergedProxies {
    proxies: Vec<ProxyEndpoint>,
    directory: Arc<RwLock<Directory>>,
}

impl MergedProxies {
    /// An empty table. `directory`: read by the threads that answer lookups.
    pub fn new(directory: Arc<RwLock<Directory>>) -> MergedProxies {
        MergedProxies {
            proxies: Vec::new(),
            directory,
        }
    }

    /// All known proxies, in order.
    pub fn proxies(&self) -> &[ProxyEndpoint] {
        &self.proxies
    }

    /// Merges the tables of all reachable control nodes. Returns whether anything changed.
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
