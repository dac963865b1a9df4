//! The platform's list of servers: its pages in JSON, and the list as a process stores it.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// One incarnation of a server. Encoded with postcard: fields may be renamed, not reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Identifies the incarnation; a server that restarts gets a new one.
    pub uid: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address at which it accepts requests.
    pub addr: SocketAddrV4,
    /// The zone that it is in.
    pub zone: String,
    /// The number of requests that it runs at once.
    pub slots: u16,
    /// Whether it takes no new requests, as it is shutting down gracefully or has ended.
    pub draining: bool,
    /// The rest of its slow start in milliseconds, counted from the sending of the list; 0 if it is not in slow start.
    pub slow_start_left_ms: u32,
}

/// One page of the platform's list.
#[derive(Debug, PartialEq)]
pub struct ServerPage {
    /// The servers on this page.
    pub servers: Vec<ServerInstance>,
    /// The token with which to ask for the next page; `None` on the last one.
    pub next_page: Option<String>,
}

/// A page of the platform's list that is not the expected JSON.
#[derive(Debug, Display, Error)]
#[display("{_0}")]
pub struct InvalidServerPage(serde_json::Error);

#[derive(Debug, Deserialize)]
struct PageDocument {
    servers: Vec<ServerEntry>,
    #[serde(rename = "next")]
    next_page: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ServerEntry {
    uid: String,
    #[serde(rename = "svc")]
    service: String,
    addr: SocketAddrV4,
    #[serde(rename = "az")]
    zone: String,
    #[serde(default)]
    slots: u16,
    phase: String,
    #[serde(rename = "warm-left-ms", default)]
    slow_start_left_ms: f64,
}

/// The phase of a server that takes requests; in any other it is draining.
const PHASE_UP: &str = "up";
/// A slow start that the platform reports as longer than a day counts as a day.
const MAX_SLOW_START_MS: f64 = 86_400_000.0;

impl From<ServerEntry> for ServerInstance {
    fn from(entry: ServerEntry) -> ServerInstance {
        ServerInstance {
            draining: entry.phase != PHASE_UP,
            uid: entry.uid,
            service: entry.service,
            addr: entry.addr,
            zone: entry.zone,
            slots: entry.slots,
            slow_start_left_ms: entry.slow_start_left_ms.clamp(0.0, MAX_SLOW_START_MS) as u32,
        }
    }
}

/// Reads one page of the platform's list.
///
/// # Errors
/// [`InvalidServerPage`] if any part of the page cannot be read; nothing of such a page is used.
pub fn parse_page(text: &[u8]) -> Result<ServerPage, InvalidServerPage> {
    let page: PageDocument = serde_json::from_slice(text).map_err(InvalidServerPage)?;
    let servers = page.servers.into_iter().map(ServerInstance::from).collect();
    Ok(ServerPage {
        servers,
        next_page: page.next_page,
    })
}

/// A server, and when its slow start ends by the list's clock.
#[derive(Clone, Debug, PartialEq)]
struct ListedServer {
    /// Its `slow_start_left_ms` is always 0: `slow_start_end_ms` replaces it.
    server: ServerInstance,
    /// Milliseconds by the monotonic clock of the process; 0 if the server was never in slow start.
    slow_start_end_ms: f64,
}

/// The newest list that a process has received. Remaining times of slow start are kept as points in time by the
/// monotonic clock of this process, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: BTreeMap<String, ListedServer>,
    /// When the poll of the platform began, by the clock of this process, in milliseconds; `None` without a list.
    pub polled_at: Option<f64>,
}

/// Two reports of the end of one slow start that differ by less than this, in milliseconds, count as equal: delays of
/// the list shift the end a little in each report.
const SLOW_START_TOLERANCE_MS: f64 = 400.0;

impl ServerList {
    /// Replaces the list by one that was received at `now` and whose poll of the platform began at `polled_at`. Ignores
    /// a list that is no newer than the present one. Returns whether anything other than the passage of time changed.
    pub fn replace(&mut self, now: f64, servers: Vec<ServerInstance>, polled_at: f64) -> bool {
        if self.polled_at.is_some_and(|last| last >= polled_at) {
            return false;
        }
        self.polled_at = Some(polled_at);
        let listed = servers
            .into_iter()
            .map(|server| (server.uid.clone(), self.listed(now, server)));
        let servers: BTreeMap<String, ListedServer> = listed.collect();
        let changed = servers != self.servers;
        self.servers = servers;
        changed
    }

    /// The entry of a server that was reported at `now`. Keeps the known end of its slow start if the report agrees
    /// with it within [`SLOW_START_TOLERANCE_MS`].
    fn listed(&self, now: f64, mut server: ServerInstance) -> ListedServer {
        let left_ms = f64::from(std::mem::take(&mut server.slow_start_left_ms));
        // The remaining time was computed when the list was sent, not when the platform was polled.
        let mut slow_start_end_ms = if left_ms > 0.0 { now + left_ms } else { 0.0 };
        if let Some(known) = self.servers.get(&server.uid) {
            let known_end_ms = known.slow_start_end_ms;
            let both_over = slow_start_end_ms == 0.0 && known_end_ms <= now;
            if both_over || (slow_start_end_ms - known_end_ms).abs() < SLOW_START_TOLERANCE_MS {
                slow_start_end_ms = known_end_ms;
            }
        }
        ListedServer {
            server,
            slow_start_end_ms,
        }
    }

    /// The list as it is sent at `now`.
    pub fn snapshot(&self, now: f64) -> Vec<ServerInstance> {
        let snapshot = |listed: &ListedServer| {
            let slow_start_left_ms = (listed.slow_start_end_ms - now).max(0.0) as u32;
            ServerInstance {
                slow_start_left_ms,
                ..listed.server.clone()
            }
        };
        self.servers.values().map(snapshot).collect()
    }

    /// Whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
