//! A fake of discovery. One agent per limiter serves the list of servers, with delays and periods of silence. Every
//! update that an agent sent to its limiter is recorded.

use crate::http::{encode_response, read_message, Message, MessageKind};
use crate::{lock, Clock, MILLIS_PER_SECOND};
use aspendrum_checker::limiter::DiscoveryUpdate;
use aspendrum_checker::Millis;
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

const PATH: &str = "/registry/instances";
const MAX_HOLD_MS: Millis = 60_000.0;
/// The interval at which a waiting call checks for a new list.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The window over which the rate of calls is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The health of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server receives queries.
    InService,
    /// The server is draining.
    Terminating,
    /// The server is gone.
    Terminated,
}

#[derive(Clone, Debug)]
struct ListedServer {
    server: usize,
    health: Health,
    zone: usize,
    /// The time of the last start, in Unix milliseconds; 0 if it was long ago.
    started_unix_ms: u64,
}

/// One version of the list.
struct ListVersion {
    changed_at: Millis,
    servers: Vec<ListedServer>,
}

/// The faults of discovery, which can be combined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscoveryFaults {
    /// Does not respond; calls wait.
    pub is_silent: bool,
    /// The time until a change becomes visible, in milliseconds.
    pub delay_ms: f64,
    /// Serves the present list, regardless of later changes.
    pub is_stale: bool,
    /// The maximum rate of calls of all limiters together, per second. Calls beyond it get a 503 response. 0 means no
    /// limit.
    pub max_calls_per_second: f64,
}

/// The calls that reached discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscoveryStats {
    /// The number of calls.
    pub calls: u64,
    /// The number of calls with a 503 response.
    pub rejected: u64,
    /// The number of complete and incremental lists that were sent.
    pub lists_written: u64,
}

/// The fake discovery.
pub struct Discovery {
    clock: Clock,
    state: Mutex<State>,
    faults: watch::Sender<DiscoveryFaults>,
}

struct State {
    /// All versions of the list. The sequence number of a version is its index + 1.
    versions: Vec<ListVersion>,
    /// The version that is served while discovery is stale.
    stale_version: Option<usize>,
    /// The calls of the last [`RATE_WINDOW`].
    recent_calls: VecDeque<Instant>,
    updates: Vec<DiscoveryUpdate>,
    stats: DiscoveryStats,
}

/// The parameters of a call for the list.
struct ListQuery {
    /// The index of the version that the limiter has.
    from: Option<usize>,
    /// The time for which the call may wait for a newer version, in milliseconds.
    hold_ms: Millis,
}

impl ListQuery {
    fn parse(query: &str) -> ListQuery {
        let number = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut values = pairs.filter(|(name, _)| *name == key);
            values.find_map(|(_, value)| value.parse::<f64>().ok())
        };
        ListQuery {
            from: number("from").and_then(|sequence| (sequence as usize).checked_sub(1)),
            hold_ms: number("hold_ms").unwrap_or(0.0).clamp(0.0, MAX_HOLD_MS),
        }
    }
}

impl Discovery {
    /// Creates a discovery with one server in each of `zones`, all in service.
    pub fn new(clock: Clock, zones: &[usize]) -> Arc<Discovery> {
        let listed = |(server, zone): (usize, &usize)| ListedServer {
            server,
            health: Health::InService,
            zone: *zone,
            started_unix_ms: 0,
        };
        let servers = zones.iter().enumerate().map(listed).collect();
        let state = State {
            versions: vec![ListVersion {
                changed_at: 0.0,
                servers,
            }],
            stale_version: None,
            recent_calls: VecDeque::new(),
            updates: Vec::new(),
            stats: DiscoveryStats::default(),
        };
        Arc::new(Discovery {
            clock,
            state: Mutex::new(state),
            faults: watch::Sender::default(),
        })
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut DiscoveryFaults)) {
        self.faults.send_modify(change);
        let is_stale = self.faults.borrow().is_stale;
        let mut state = lock(&self.state);
        let newest = state.versions.len() - 1;
        state.stale_version = is_stale.then(|| state.stale_version.unwrap_or(newest));
    }

    /// Changes the health of a server. `started_unix_ms` is the time of its start if it was restarted.
    pub fn set_health(&self, server: usize, health: Health, started_unix_ms: Option<u64>) {
        let changed_at = self.clock.now();
        let mut state = lock(&self.state);
        let mut servers = state
            .versions
            .last()
            .map_or(Vec::new(), |v| v.servers.clone());
        if let Some(listed) = servers.iter_mut().find(|listed| listed.server == server) {
            listed.health = health;
            listed.started_unix_ms = started_unix_ms.unwrap_or(listed.started_unix_ms);
        }
        state.versions.push(ListVersion {
            changed_at,
            servers,
        });
    }

    /// Returns the recorded updates: for each list that an agent sent to its limiter, the state of every server.
    pub fn updates(&self) -> Vec<DiscoveryUpdate> {
        lock(&self.state).updates.clone()
    }

    /// Returns the number of calls so far.
    pub fn stats(&self) -> DiscoveryStats {
        lock(&self.state).stats
    }

    /// Returns the list that a limiter has at its start, in the format of discovery. `dials` holds the address by which
    /// that limiter reaches each server.
    pub fn initial_list(&self, dials: &[SocketAddr]) -> Value {
        let state = lock(&self.state);
        let newest = state.versions.len() - 1;
        complete_list(newest, &state.versions[newest].servers, dials)
    }

    /// Starts the agent of one limiter at a free port of `ip`.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start_agent(
        self: &Arc<Discovery>,
        ip: IpAddr,
        limiter: usize,
        dials: Vec<SocketAddr>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (served, dials) = (self.clone(), Arc::new(dials));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (served, dials) = (served.clone(), dials.clone());
                tokio::spawn(async move { served.serve(stream, limiter, &dials).await });
            }
        });
        Ok(address)
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        limiter: usize,
        dials: &[SocketAddr],
    ) -> io::Result<()> {
        let mut unread = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut unread, MessageKind::Request).await? {
            let _ = self
                .faults
                .subscribe()
                .wait_for(|faults| !faults.is_silent)
                .await;
            let response = self.response(&call, limiter, dials).await;
            stream.write_all(&response).await?;
        }
        Ok(())
    }

    async fn response(&self, call: &Message, limiter: usize, dials: &[SocketAddr]) -> Vec<u8> {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        if call.method() != "GET" || path != PATH {
            return encode_response(404, &[], b"");
        }
        if !self.take_call() {
            return encode_response(503, &[], b"");
        }
        let list = self.list(&ListQuery::parse(query), dials, limiter).await;
        let headers = [("Content-Type", "application/json")];
        encode_response(200, &headers, list.to_string().as_bytes())
    }

    /// Counts a call. Returns false if it exceeds the rate.
    fn take_call(&self) -> bool {
        let limit = self.faults.borrow().max_calls_per_second;
        let mut state = lock(&self.state);
        state.stats.calls += 1;
        let is_old = |at: &Instant| at.elapsed() > RATE_WINDOW;
        while state.recent_calls.front().is_some_and(is_old) {
            state.recent_calls.pop_front();
        }
        let is_over_limit = limit > 0.0 && state.recent_calls.len() as f64 >= limit;
        if is_over_limit {
            state.stats.rejected += 1;
        } else {
            state.recent_calls.push_back(Instant::now());
        }
        !is_over_limit
    }

    /// Returns the newest version that may be served now.
    fn visible_version(&self) -> usize {
        let (delay_ms, state) = (self.faults.borrow().delay_ms, lock(&self.state));
        let visible_since = self.clock.now() - delay_ms;
        let newest = state
            .versions
            .iter()
            .rposition(|v| v.changed_at <= visible_since);
        let newest = newest.unwrap_or(0);
        state
            .stale_version
            .map_or(newest, |stale| stale.min(newest))
    }

    /// Waits until there is a newer version than the one that the limiter has, or the call has waited for its hold
    /// time.
    async fn wait_for_version(&self, query: &ListQuery) -> usize {
        let hold = Duration::from_secs_f64(query.hold_ms / MILLIS_PER_SECOND);
        let deadline = Instant::now() + hold;
        loop {
            let version = self.visible_version();
            let is_silent = self.faults.borrow().is_silent;
            let is_newer = query.from.is_none_or(|from| version > from);
            if !is_silent && (is_newer || Instant::now() >= deadline) {
                return version;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn list(&self, query: &ListQuery, dials: &[SocketAddr], limiter: usize) -> Value {
        let version = self.wait_for_version(query).await;
        let mut state = lock(&self.state);
        let servers = state.versions[version].servers.clone();
        let at = self.clock.now();
        let updates = servers.iter().map(|listed| DiscoveryUpdate {
            limiter,
            server: listed.server,
            at,
            in_service: listed.health == Health::InService,
        });
        state.updates.extend(updates);
        state.stats.lists_written += 1;
        // A limiter gets the complete list if it has a newer version than the stale one.
        let known = query.from.filter(|from| *from <= version);
        match known.and_then(|from| state.versions.get(from)) {
            None => complete_list(version, &servers, dials),
            Some(known) => incremental_list(version, &servers, &known.servers, dials),
        }
    }
}

fn complete_list(version: usize, servers: &[ListedServer], dials: &[SocketAddr]) -> Value {
    let present = servers
        .iter()
        .filter(|listed| listed.health != Health::Terminated);
    let hosts: Vec<Value> = present.map(|listed| host_entry(listed, dials)).collect();
    json!({"seq": version + 1, "whole": true, "hosts": hosts})
}

fn incremental_list(
    version: usize,
    servers: &[ListedServer],
    known: &[ListedServer],
    dials: &[SocketAddr],
) -> Value {
    let state = |listed: &ListedServer| (listed.health, listed.started_unix_ms);
    let pairs = servers.iter().zip(known);
    let changed = pairs.filter(|(listed, known)| state(listed) != state(known));
    let hosts: Vec<Value> = changed
        .map(|(listed, _)| host_entry(listed, dials))
        .collect();
    json!({"seq": version + 1, "whole": false, "hosts": hosts})
}

fn host_entry(listed: &ListedServer, dials: &[SocketAddr]) -> Value {
    let health = match listed.health {
        Health::InService => "in_service",
        Health::Terminating => "terminating",
        Health::Terminated => "terminated",
    };
    json!({
        "host": format!("s-{}", listed.server), "dial": dials[listed.server].to_string(),
        "site": format!("zone-{}", listed.zone), "class": "plain", "block": listed.zone,
        "health": health, "share": 1.0, "born_ms": listed.started_unix_ms,
    })
}
