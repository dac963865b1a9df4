//! A fake of discovery: one list of servers, which an agent beside each limiter passes on, with delays and silences. What
//! each agent wrote to its limiter is recorded.

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
/// Between two checks of a waiting call for a new list.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Calls are counted over so long.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It takes queries.
    InService,
    /// It is draining.
    Terminating,
    /// It is gone.
    Terminated,
}

#[derive(Clone, Debug)]
struct ListedServer {
    server: usize,
    health: Health,
    zone: usize,
    /// When it last started, in Unix milliseconds; 0: long ago.
    started_unix_ms: u64,
}

/// The list after a change.
struct ListVersion {
    changed_at: Millis,
    servers: Vec<ListedServer>,
}

/// The ways of failing that can hold at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscoveryFaults {
    /// It says nothing; calls wait.
    pub is_silent: bool,
    /// Milliseconds until a change is passed on.
    pub delay_ms: f64,
    /// It goes on with the present list, whatever changes.
    pub is_stale: bool,
    /// Calls a second of all limiters together, beyond which it answers 503; 0: no limit.
    pub max_calls_per_second: f64,
}

/// What reached discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscoveryStats {
    /// Calls.
    pub calls: u64,
    /// Calls that got 503.
    pub rejected: u64,
    /// Whole lists and changes that were written.
    pub lists_written: u64,
}

/// The fake discovery.
pub struct Discovery {
    clock: Clock,
    state: Mutex<State>,
    faults: watch::Sender<DiscoveryFaults>,
}

struct State {
    /// All versions of the list; their sequence numbers are their indices + 1.
    versions: Vec<ListVersion>,
    /// The version that it goes on with while it is stale.
    stale_version: Option<usize>,
    /// The calls of the last [`RATE_WINDOW`].
    recent_calls: VecDeque<Instant>,
    updates: Vec<DiscoveryUpdate>,
    stats: DiscoveryStats,
}

/// What a call asks for.
struct ListQuery {
    /// The version that the limiter has.
    from: Option<usize>,
    /// How long the call may wait for a newer one.
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
    /// Discovery of servers in these zones, all in service.
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

    /// Changes how it fails.
    pub fn change_faults(&self, change: impl FnOnce(&mut DiscoveryFaults)) {
        self.faults.send_modify(change);
        let is_stale = self.faults.borrow().is_stale;
        let mut state = lock(&self.state);
        let newest = state.versions.len() - 1;
        state.stale_version = is_stale.then(|| state.stale_version.unwrap_or(newest));
    }

    /// Changes a server. `started_unix_ms`: when it started, if it did anew.
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

    /// All that agents wrote to their limiters.
    pub fn updates(&self) -> Vec<DiscoveryUpdate> {
        lock(&self.state).updates.clone()
    }

    /// What has reached it so far.
    pub fn stats(&self) -> DiscoveryStats {
        lock(&self.state).stats
    }

    /// The list as a limiter has it at its start, in discovery's own form. `dials`: the address by which that limiter reaches
    /// each server.
    pub fn initial_list(&self, dials: &[SocketAddr]) -> Value {
        let state = lock(&self.state);
        let newest = state.versions.len() - 1;
        whole_list(newest, &state.versions[newest].servers, dials)
    }

    /// Starts the agent of one limiter at a free port of that address.
    ///
    /// # Errors
    /// No port is free.
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

    /// Counts a call. False: it is beyond the rate.
    fn take_call(&self) -> bool {
        let limit = self.faults.borrow().max_calls_per_second;
        let mut state = lock(&self.state);
        state.stats.calls += 1;
        let is_old = |at: &Instant| at.elapsed() > RATE_WINDOW;
        while state.recent_calls.front().is_some_and(is_old) {
            state.recent_calls.pop_front();
        }
        let is_beyond = limit > 0.0 && state.recent_calls.len() as f64 >= limit;
        if is_beyond {
            state.stats.rejected += 1;
        } else {
            state.recent_calls.push_back(Instant::now());
        }
        !is_beyond
    }

    /// The newest version that may be passed on now.
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

    /// Waits until there is a newer version than the limiter's, or the call may wait no longer.
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
        // A limiter whose list is newer than a stale one gets the whole list.
        let known = query.from.filter(|from| *from <= version);
        match known.and_then(|from| state.versions.get(from)) {
            None => whole_list(version, &servers, dials),
            Some(known) => changed_list(version, &servers, &known.servers, dials),
        }
    }
}

fn whole_list(version: usize, servers: &[ListedServer], dials: &[SocketAddr]) -> Value {
    let present = servers
        .iter()
        .filter(|listed| listed.health != Health::Terminated);
    let hosts: Vec<Value> = present.map(|listed| host(listed, dials)).collect();
    json!({"seq": version + 1, "whole": true, "hosts": hosts})
}

fn changed_list(
    version: usize,
    servers: &[ListedServer],
    known: &[ListedServer],
    dials: &[SocketAddr],
) -> Value {
    let state = |listed: &ListedServer| (listed.health, listed.started_unix_ms);
    let pairs = servers.iter().zip(known);
    let changed = pairs.filter(|(listed, known)| state(listed) != state(known));
    let hosts: Vec<Value> = changed.map(|(listed, _)| host(listed, dials)).collect();
    json!({"seq": version + 1, "whole": false, "hosts": hosts})
}

fn host(listed: &ListedServer, dials: &[SocketAddr]) -> Value {
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
