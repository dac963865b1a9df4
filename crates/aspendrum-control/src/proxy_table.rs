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

/// Merges the tables of several control nodes. The node that an agent is connected to knows better than the one that it
/// was connected to last. If two nodes have an agent's connection, which happens while it changes from one to the
/// other, the better readiness counts.
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

/// The proxies that any reachable control node knows of, also as lookups are answered from them.
pub struct MergedProxies {
    proxies: Vec<ProxyEndpoint>,
    directory: Arc<RwLock<Directory>>,
}

impl MergedProxies {
    /// No proxies. `directory`: read by the threads that answer lookups.
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
