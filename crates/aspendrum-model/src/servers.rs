//! The platform's server list: its JSON pages, and the list as stored by a process.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// An instance of a server. It is encoded with postcard, so fields may be renamed but not reordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The unique id of the instance. A server that restarts gets a new id.
    pub uid: String,
    /// The service to which the server belongs.
    pub service: String,
    /// The address at which the server accepts requests.
    pub addr: SocketAddrV4,
    /// The zone in which the server is located.
    pub zone: String,
    /// The number of requests that the server executes concurrently; [`u16::MAX`] also for larger numbers.
    pub slots: u16,
    /// Whether the server accepts no new requests, because it is shutting down gracefully or has terminated.
    pub is_draining: bool,
    /// The remaining time of slow start when the list was sent, in milliseconds; 0 if the server is not in slow start.
    pub slow_start_left_ms: u32,
}

/// A page of the platform's server list.
#[derive(Debug, PartialEq)]
pub struct ServerPage {
    /// The servers on this page.
    pub servers: Vec<ServerInstance>,
    /// The token for requesting the next page; `None` on the last page.
    pub next_page: Option<String>,
}

/// A page of the platform's server list could not be parsed.
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
    slots: u64,
    phase: String,
    #[serde(rename = "warm-left-ms", default)]
    slow_start_left_ms: f64,
}

/// The phase of a server that accepts requests. A server in any other phase is treated as draining.
const PHASE_UP: &str = "up";
/// The upper bound of the remaining slow start time reported by the platform: one day.
const MAX_SLOW_START_MS: f64 = 86_400_000.0;

impl From<ServerEntry> for ServerInstance {
    fn from(entry: ServerEntry) -> ServerInstance {
        ServerInstance {
            is_draining: entry.phase != PHASE_UP,
            uid: entry.uid,
            service: entry.service,
            addr: entry.addr,
            zone: entry.zone,
            slots: u16::try_from(entry.slots).unwrap_or(u16::MAX),
            slow_start_left_ms: entry.slow_start_left_ms.clamp(0.0, MAX_SLOW_START_MS) as u32,
        }
    }
}

/// Parses a page of the platform's server list.
///
/// # Errors
/// Returns [`InvalidServerPage`] if any part of the page is invalid. Such a page is rejected as a whole.
pub fn parse_page(text: &[u8]) -> Result<ServerPage, InvalidServerPage> {
    let page: PageDocument = serde_json::from_slice(text).map_err(InvalidServerPage)?;
    let servers = page.servers.into_iter().map(ServerInstance::from).collect();
    Ok(ServerPage {
        servers,
        next_page: page.next_page,
    })
}

/// A server and the end of its slow start.
#[derive(Clone, Debug, PartialEq)]
struct ListedServer {
    /// The server. Its `slow_start_left_ms` is always 0; `slow_start_end_ms` is used instead.
    server: ServerInstance,
    /// The end of slow start by the monotonic clock of the process, in milliseconds; 0 if the server was never in slow
    /// start.
    slow_start_end_ms: f64,
}

/// The most recent server list that a process has received. Remaining slow start times are converted to points in time
/// by the monotonic clock of the process.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: BTreeMap<String, ListedServer>,
    /// When the poll of the platform began, by the monotonic clock of this process, in milliseconds; `None` if no list
    /// was received.
    pub polled_at: Option<f64>,
}

/// Reported ends of slow start that differ by less than this are considered equal, since transmission delays shift the
/// end slightly in each report.
const SLOW_START_TOLERANCE_MS: f64 = 400.0;

impl ServerList {
    /// Replaces the list with one that was received at `now` and whose poll of the platform began at `polled_at`. A
    /// list that is not newer than the current one is ignored. Returns whether the list changed, apart from the
    /// progress of slow start.
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

    /// Returns the entry of a server that was reported at `now`. Keeps the known end of slow start if it is within
    /// [`SLOW_START_TOLERANCE_MS`] of the reported one, or if slow start has ended.
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

    /// Returns the list with the remaining slow start times at `now`.
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

    /// Whether the list contains no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
