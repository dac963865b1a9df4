//! Discovery: one list of servers, told to each limiter by an agent of its own, with the agent's delays and
//! silences. What each agent wrote to its limiter is recorded.

use crate::{http, lock, Clock};
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
const LONGEST_HOLD: Millis = 60_000.0;
/// How often a waiting watch looks for what has become visible.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    InService,
    Terminating,
    Terminated,
}

#[derive(Clone, Debug)]
struct Entry {
    server: usize,
    health: Health,
    zone: usize,
    /// Unix milliseconds of its last start; 0 for long ago.
    born: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ails {
    /// Says nothing; calls wait.
    pub silent: bool,
    /// Milliseconds until a change is told.
    pub late_ms: f64,
    /// The list stays as it is now, whatever changes.
    pub stale: bool,
    /// Calls a second of all limiters together beyond which it answers 503; 0: none.
    pub calls_per_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    pub calls: u64,
    pub turned_away: u64,
    /// Whole lists and changes that were written.
    pub lists: u64,
}

pub struct Discovery {
    clock: Clock,
    state: Mutex<State>,
    ails: watch::Sender<Ails>,
}

struct State {
    /// The list after each change, and when the change was made.
    versions: Vec<(Millis, Vec<Entry>)>,
    /// The version that a stale one goes on telling.
    frozen: Option<usize>,
    lately: VecDeque<Instant>,
    told: Vec<DiscoveryUpdate>,
    seen: Seen,
}

impl Discovery {
    /// All servers in service, with their zones.
    pub fn new(clock: Clock, zones: &[usize]) -> Arc<Discovery> {
        let entry = |(server, zone): (usize, &usize)| Entry {
            server,
            health: Health::InService,
            zone: *zone,
            born: 0,
        };
        let list = zones.iter().enumerate().map(entry).collect();
        let state = State {
            versions: vec![(0.0, list)],
            frozen: None,
            lately: VecDeque::new(),
            told: Vec::new(),
            seen: Seen::default(),
        };
        Arc::new(Discovery {
            clock,
            state: Mutex::new(state),
            ails: watch::Sender::default(),
        })
    }

    pub fn ail(&self, how: impl FnOnce(&mut Ails)) {
        self.ails.send_modify(how);
        let latest = lock(&self.state).versions.len() - 1;
        let stale = self.ails.borrow().stale;
        let mut state = lock(&self.state);
        state.frozen = if stale {
            state.frozen.or(Some(latest))
        } else {
            None
        };
    }

    /// A server's process changes; `born` is Unix milliseconds, where it has started anew.
    pub fn change(&self, server: usize, health: Health, born: Option<u64>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let mut list = state.versions.last().map_or(Vec::new(), |v| v.1.clone());
        if let Some(entry) = list.iter_mut().find(|e| e.server == server) {
            (entry.health, entry.born) = (health, born.unwrap_or(entry.born));
        }
        state.versions.push((now, list));
    }

    pub fn told(&self) -> Vec<DiscoveryUpdate> {
        lock(&self.state).told.clone()
    }

    pub fn seen(&self) -> Seen {
        lock(&self.state).seen
    }

    /// The list as a limiter holds it at its start, in discovery's own form. `dials`: by server, the address
    /// that this limiter reaches it by.
    pub fn known(&self, dials: &[SocketAddr]) -> Value {
        let state = lock(&self.state);
        let version = state.versions.len() - 1;
        whole(version, &state.versions[version].1, dials)
    }

    /// An agent for one limiter at that loopback address.
    pub async fn agent(
        self: &Arc<Discovery>,
        at: IpAddr,
        limiter: usize,
        dials: Vec<SocketAddr>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((at, 0)).await?;
        let addr = listener.local_addr()?;
        let (own, dials) = (self.clone(), Arc::new(dials));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (own, dials) = (own.clone(), dials.clone());
                tokio::spawn(async move { own.serve(stream, limiter, &dials).await });
            }
        });
        Ok(addr)
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        limiter: usize,
        dials: &[SocketAddr],
    ) -> io::Result<()> {
        let mut rest = Vec::new();
        while let Some(call) = http::next(&mut stream, &mut rest, true).await? {
            let path = &call.line.1;
            let (place, query) = path.split_once('?').unwrap_or((path, ""));
            let number = |key: &str| {
                let pair = query.split('&').filter_map(|p| p.split_once('='));
                pair.filter(|p| p.0 == key)
                    .find_map(|p| p.1.parse::<f64>().ok())
            };
            let _ = self.ails.subscribe().wait_for(|a| !a.silent).await;
            let answer = if call.line.0 != "GET" || place != PATH {
                http::answer(404, &[], b"")
            } else if self.overbooked() {
                http::answer(503, &[], b"")
            } else {
                // Sequence numbers begin with 1.
                let from = number("from").and_then(|v| (v as usize).checked_sub(1));
                let hold = number("hold_ms").unwrap_or(0.0).clamp(0.0, LONGEST_HOLD);
                let list = self.list(from, hold, dials, limiter).await;
                http::answer(
                    200,
                    &[("Content-Type", "application/json")],
                    list.to_string().as_bytes(),
                )
            };
            stream.write_all(&answer).await?;
        }
        Ok(())
    }

    fn overbooked(&self) -> bool {
        let (most, mut state) = (self.ails.borrow().calls_per_s, lock(&self.state));
        state.seen.calls += 1;
        while state
            .lately
            .front()
            .is_some_and(|at| at.elapsed() > Duration::from_secs(1))
        {
            state.lately.pop_front();
        }
        let over = most > 0.0 && state.lately.len() as f64 >= most;
        if over {
            state.seen.turned_away += 1;
        } else {
            state.lately.push_back(Instant::now());
        }
        over
    }

    /// The newest version that may be told now.
    fn visible(&self) -> usize {
        let (late, state) = (self.ails.borrow().late_ms, lock(&self.state));
        let due = self.clock.now() - late;
        let newest = state.versions.iter().rposition(|v| v.0 <= due).unwrap_or(0);
        state.frozen.map_or(newest, |frozen| frozen.min(newest))
    }

    async fn list(
        &self,
        from: Option<usize>,
        hold: Millis,
        dials: &[SocketAddr],
        limiter: usize,
    ) -> Value {
        let until = Instant::now() + Duration::from_secs_f64(hold / 1000.0);
        let version = loop {
            let version = self.visible();
            let silent = self.ails.borrow().silent;
            let news = from.is_none_or(|from| version > from);
            if !silent && (news || Instant::now() >= until) {
                break version;
            }
            sleep(LOOK).await;
        };
        let mut state = lock(&self.state);
        let list = state.versions[version].1.clone();
        let at = self.clock.now();
        let told = list.iter().map(|e| DiscoveryUpdate {
            limiter,
            server: e.server,
            at,
            in_service: e.health == Health::InService,
        });
        state.told.extend(told);
        state.seen.lists += 1;
        // What a limiter holds is newer than a stale list: it is told the whole of what there is.
        match from
            .filter(|from| *from <= version)
            .and_then(|from| state.versions.get(from))
        {
            None => whole(version, &list, dials),
            Some((_, before)) => {
                let changed = list
                    .iter()
                    .zip(before)
                    .filter(|(e, b)| (e.health, e.born) != (b.health, b.born));
                let hosts: Vec<Value> = changed.map(|(e, _)| host(e, dials)).collect();
                json!({"seq": version + 1, "whole": false, "hosts": hosts})
            }
        }
    }
}

/// Sequence numbers begin with 1.
fn whole(version: usize, list: &[Entry], dials: &[SocketAddr]) -> Value {
    let there = list.iter().filter(|e| e.health != Health::Terminated);
    let hosts: Vec<Value> = there.map(|e| host(e, dials)).collect();
    json!({"seq": version + 1, "whole": true, "hosts": hosts})
}

fn host(e: &Entry, dials: &[SocketAddr]) -> Value {
    let health = match e.health {
        Health::InService => "in_service",
        Health::Terminating => "terminating",
        Health::Terminated => "terminated",
    };
    json!({
        "host": format!("s-{}", e.server), "dial": dials[e.server].to_string(),
        "site": format!("zone-{}", e.zone), "class": "plain", "block": e.zone,
        "health": health, "share": 1.0, "born_ms": e.born,
    })
}
