//! The platform's list of servers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// One life of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInstance {
    pub uid: String,
    pub service: String,
    pub addr: SocketAddrV4,
    pub zone: String,
    pub slots: u16,
    pub draining: bool,
    /// Milliseconds for which it is still cold, from when this was said.
    pub warm_left_ms: u32,
}

/// One page of the list as the platform words it.
#[derive(Debug, Deserialize)]
struct Page {
    servers: Vec<Entry>,
    next: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Entry {
    uid: String,
    svc: String,
    addr: SocketAddrV4,
    az: String,
    #[serde(default)]
    slots: u16,
    phase: String,
    #[serde(default)]
    warm_left_ms: f64,
}

/// A page's servers, and the token of the page that follows. An error says what cannot be read; nothing of
/// such a page is of any use.
pub fn parse_page(text: &[u8]) -> Result<(Vec<ServerInstance>, Option<String>), String> {
    let page: Page = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let servers = page.servers.into_iter().map(|e| ServerInstance {
        draining: e.phase != "up",
        uid: e.uid,
        service: e.svc,
        addr: e.addr,
        zone: e.az,
        slots: e.slots,
        warm_left_ms: e.warm_left_ms.clamp(0.0, 86_400_000.0) as u32,
    });
    Ok((servers.collect(), page.next))
}

/// A list that is kept, each server's cold time as the end of it on the keeper's own steady clock, in
/// milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: BTreeMap<String, (ServerInstance, f64)>,
    /// When the platform was asked for it, by the keeper's clock.
    pub polled_at: Option<f64>,
}

/// The end of a cold time is known to the list's own grain: less than this is no news.
const SAME_END_MS: f64 = 400.0;

impl ServerList {
    /// Takes a whole list in that the platform was asked for at `polled` and that is said now. True: something in
    /// it is new.
    pub fn replace(&mut self, now: f64, list: Vec<ServerInstance>, polled: f64) -> bool {
        if self.polled_at.is_some_and(|last| last >= polled) {
            return false;
        }
        self.polled_at = Some(polled);
        let mut next = BTreeMap::new();
        for mut server in list {
            let left = f64::from(std::mem::take(&mut server.warm_left_ms));
            // Counted from when it was said, not from when the platform was asked.
            let mut end = if left > 0.0 { now + left } else { 0.0 };
            if let Some((_, known)) = self.servers.get(&server.uid) {
                let past = end == 0.0 && *known <= now;
                end = if (end - known).abs() < SAME_END_MS || past {
                    *known
                } else {
                    end
                };
            }
            next.insert(server.uid.clone(), (server, end));
        }
        let changed = next != self.servers;
        self.servers = next;
        changed
    }

    /// The list as it is said now.
    pub fn snapshot(&self, now: f64) -> Vec<ServerInstance> {
        let left = |end: f64| (end - now).max(0.0) as u32;
        self.servers
            .values()
            .map(|(s, end)| ServerInstance {
                warm_left_ms: left(*end),
                ..s.clone()
            })
            .collect()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
