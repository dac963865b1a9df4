//! A fake of the servers behind rate limiters, with cores, a queue, a slow start, load reports, and faults.

use crate::fake_process::FakeProcess;
use crate::http::{encode_response, read_message, Message, MessageKind};
use crate::{lock, Clock, MILLIS_PER_SECOND};
use aspendrum_checker::limiter::{Forward, ForwardOutcome, RetrySafety, ServerIncarnation};
use aspendrum_checker::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use socket2::SockRef;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, sleep_until, Instant};

/// The configuration of a server.
#[derive(Clone, Debug)]
pub struct RateServerOptions {
    /// The number of queries that run concurrently.
    pub cores: usize,
    /// The number of queries that may wait for a core. Further ones are rejected.
    pub queue_capacity: usize,
    /// The number of connections that the server serves. Queries on further ones are rejected.
    pub max_connections: usize,
    /// The additional time of the first query on a connection, which stands for a handshake.
    pub handshake_time: Millis,
    /// The share of the capacity that is available right after a restart.
    pub slow_start_capacity: f64,
    /// The time from a restart until the full capacity is available.
    pub slow_start: Millis,
    /// The multiple of its capacity that the server can receive within the collapse window before it collapses, during
    /// slow start.
    pub collapse_multiple: f64,
    /// The window over which the load in slow start is measured.
    pub collapse_window: Millis,
    /// Whether responses carry load reports; otherwise only probe responses do.
    pub reports_load_in_responses: bool,
    /// Whether the server responds to probes.
    pub responds_to_probes: bool,
    /// By endpoint group, the work of a query in milliseconds of one core, and whether a query may run more than once.
    pub groups: HashMap<String, (Millis, RetrySafety)>,
    /// The time for which repeats of a query with a key are dropped.
    pub deduplication_window: Millis,
}

/// The faults of a server, which can be combined. Shares are of queries, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateServerFaults {
    /// The factor by which work takes longer; values below 1 count as 1.
    pub slowdown: f64,
    /// The share of queries that get a 500 response after the work.
    pub error_share: f64,
    /// The share of queries whose connection is reset in the middle of the response.
    pub reset_share: f64,
    /// Accepts queries without responding.
    pub is_silent: bool,
    /// Completes accepted queries and rejects new ones.
    pub is_draining: bool,
}

/// The state shared by all servers of a run: the record of received queries, and the keys of those that have run.
pub struct ServerLog {
    /// The clock of the run.
    pub clock: Clock,
    forwards: Mutex<Vec<Forward>>,
    /// The time at which the query with each key ran.
    keys: Mutex<HashMap<String, Millis>>,
}

impl ServerLog {
    /// Creates an empty record.
    pub fn new(clock: Clock) -> Arc<ServerLog> {
        Arc::new(ServerLog {
            clock,
            forwards: Mutex::default(),
            keys: Mutex::default(),
        })
    }

    /// Returns all queries that reached servers so far.
    pub fn forwards(&self) -> Vec<Forward> {
        lock(&self.forwards).clone()
    }

    /// Returns whether a query with that key ran within the window. If not, records that it runs now.
    fn check_and_record_key(&self, key: &str, now: Millis, window: Millis) -> bool {
        let mut keys = lock(&self.keys);
        if keys.get(key).is_some_and(|at| now - at < window) {
            return true;
        }
        keys.insert(key.to_string(), now);
        false
    }
}

/// A fake server.
pub struct RateServer {
    number: usize,
    process: FakeProcess,
    options: RateServerOptions,
    log: Arc<ServerLog>,
    state: Mutex<State>,
    cores: Semaphore,
    faults: watch::Sender<RateServerFaults>,
}

/// Work that arrived at the server.
struct Work {
    at: Millis,
    core_ms: Millis,
}

struct State {
    started_at: Millis,
    is_cold_start: bool,
    incarnations: Vec<ServerIncarnation>,
    /// The number of queries that run or wait for a core.
    in_progress: usize,
    connections: usize,
    /// The work that arrived within the last collapse window.
    recent_work: VecDeque<Work>,
    rng: SmallRng,
}

/// The range of a query's duration, as multiples of the mean.
const WORK_SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// A query received on a connection.
struct ReceivedQuery<'c> {
    id: u64,
    call: &'c Message,
    received_at: Millis,
    /// Whether the connection exceeds the limit of connections.
    is_excess: bool,
    /// Whether the query is the first one on its connection.
    is_first: bool,
}

impl RateServer {
    /// Starts a server at a free port of `ip`, with its full capacity.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(
        ip: IpAddr,
        number: usize,
        options: RateServerOptions,
        seed: u64,
        log: Arc<ServerLog>,
    ) -> io::Result<Arc<RateServer>> {
        let (process, listener) = FakeProcess::bind(ip).await?;
        let first = ServerIncarnation {
            server: number,
            from: 0.0,
            is_cold_start: false,
            collapsed_at: None,
        };
        let state = State {
            started_at: 0.0,
            is_cold_start: false,
            incarnations: vec![first],
            in_progress: 0,
            connections: 0,
            recent_work: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed ^ (number as u64) << 32),
        };
        let server = Arc::new(RateServer {
            number,
            process,
            cores: Semaphore::new(options.cores),
            options,
            log,
            state: Mutex::new(state),
            faults: watch::Sender::default(),
        });
        server.listen(listener);
        Ok(server)
    }

    /// Returns the address at which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the record that the server shares with other servers.
    pub fn log(&self) -> &Arc<ServerLog> {
        &self.log
    }

    /// Returns all incarnations of the server so far.
    pub fn incarnations(&self) -> Vec<ServerIncarnation> {
        lock(&self.state).incarnations.clone()
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut RateServerFaults)) {
        self.faults.send_modify(change);
    }

    /// Kills the process: connections are reset and new ones refused.
    pub fn kill(&self) {
        self.process.kill();
    }

    /// Restarts the process at the same address, in slow start. Returns the time of the restart, or `None` if the
    /// process was up.
    ///
    /// # Errors
    /// Fails if the address cannot be bound again.
    pub async fn restart(self: &Arc<RateServer>) -> io::Result<Option<Millis>> {
        let Some(listener) = self.process.begin_restart().await? else {
            return Ok(None);
        };
        let now = self.log.clock.now();
        {
            let mut state = lock(&self.state);
            (state.started_at, state.is_cold_start) = (now, true);
            (state.in_progress, state.connections) = (0, 0);
            state.recent_work.clear();
            state.incarnations.push(ServerIncarnation {
                server: self.number,
                from: now,
                is_cold_start: true,
                collapsed_at: None,
            });
        }
        self.process.complete_restart();
        self.listen(listener);
        Ok(Some(now))
    }

    fn listen(self: &Arc<RateServer>, listener: TcpListener) {
        let served = self.clone();
        self.process.listen(listener, move |stream| {
            served.clone().serve_connection(stream)
        });
    }

    async fn serve_connection(self: Arc<RateServer>, mut stream: TcpStream) {
        let connections = {
            let mut state = lock(&self.state);
            state.connections += 1;
            state.connections
        };
        let is_excess = connections > self.options.max_connections;
        self.serve(&mut stream, is_excess).await;
        let mut state = lock(&self.state);
        state.connections = state.connections.saturating_sub(1);
    }

    async fn serve(&self, stream: &mut TcpStream, is_excess: bool) {
        let (mut unread, mut is_first) = (Vec::new(), true);
        while let Ok(Some(call)) = read_message(stream, &mut unread, MessageKind::Request).await {
            let received_at = self.log.clock.now();
            let id = call
                .header("X-Txn")
                .and_then(|text| u64::from_str_radix(text, 16).ok());
            let response = match id {
                Some(id) => {
                    let is_first = std::mem::take(&mut is_first);
                    let query = ReceivedQuery {
                        id,
                        call: &call,
                        received_at,
                        is_excess,
                        is_first,
                    };
                    self.handle_query(&query).await
                }
                None => Some(self.probe_response(call.target())),
            };
            let Some(response) = response else {
                // The connection is reset after half of a response.
                let half = encode_response(200, &[], b"never whole");
                let _ = stream.write_all(&half[..half.len() / 2]).await;
                return;
            };
            if stream.write_all(&response).await.is_err() || is_excess {
                break;
            }
        }
        // Closes the connection without a reset.
        let _ = SockRef::from(&*stream).set_linger(None);
    }

    fn probe_response(&self, path: &str) -> Vec<u8> {
        let report = self.load_report();
        match path {
            "/health/live" if self.options.responds_to_probes => encode_response(200, &[], b""),
            "/stats" if self.options.responds_to_probes => {
                encode_response(200, &[], report.as_bytes())
            }
            _ => encode_response(404, &[], b""),
        }
    }

    fn load_report(&self) -> String {
        let (in_progress, cores) = (lock(&self.state).in_progress, self.options.cores);
        let queue = in_progress.saturating_sub(cores);
        let utilization = in_progress.min(cores) as f64 / cores as f64;
        format!("inflight={in_progress}, queue={queue}, util={utilization:.2}")
    }

    /// Handles a query. Returns the response, or `None` if the connection must be reset.
    async fn handle_query(&self, query: &ReceivedQuery<'_>) -> Option<Vec<u8>> {
        let faults = *self.faults.borrow();
        let group = query.call.target().split(['/', '?']).nth(1).unwrap_or("");
        let Some(&(work, retry_safety)) = self.options.groups.get(group) else {
            return Some(encode_response(400, &[], b""));
        };
        let outcome = self.classify(query, retry_safety, &faults);
        self.record(query, outcome);
        self.check_collapse(query.received_at, work);
        if outcome == ForwardOutcome::Rejected {
            return Some(encode_response(503, &[("X-Turned-Away", "1")], b""));
        }
        if query.is_first && self.options.handshake_time > 0.0 {
            let handshake = self.options.handshake_time / MILLIS_PER_SECOND;
            sleep(Duration::from_secs_f64(handshake)).await;
        }
        if outcome == ForwardOutcome::Ran {
            self.run_work(work, &faults).await;
        }
        if self.faults.borrow().is_silent {
            // The query gets no response, not even after the server responds to others again.
            let _ = self
                .faults
                .subscribe()
                .wait_for(|faults| !faults.is_silent)
                .await;
            return Some(Vec::new());
        }
        self.response(query.id, &faults)
    }

    fn classify(
        &self,
        query: &ReceivedQuery<'_>,
        retry_safety: RetrySafety,
        faults: &RateServerFaults,
    ) -> ForwardOutcome {
        let capacity = self.options.cores + self.options.queue_capacity;
        let is_full = lock(&self.state).in_progress >= capacity;
        if query.is_excess || is_full || faults.is_draining {
            return ForwardOutcome::Rejected;
        }
        let key = query.call.header("Idempotency-Key").unwrap_or("");
        let window = self.options.deduplication_window;
        let is_keyed = retry_safety == RetrySafety::Deduplicated;
        if is_keyed
            && self
                .log
                .check_and_record_key(key, query.received_at, window)
        {
            return ForwardOutcome::Deduplicated;
        }
        ForwardOutcome::Ran
    }

    fn record(&self, query: &ReceivedQuery<'_>, outcome: ForwardOutcome) {
        let has = |name| query.call.header(name).is_some();
        let forward = Forward {
            id: query.id,
            server: self.number,
            first_byte_at: self.log.clock.at(query.call.first_byte_at),
            last_byte_at: query.received_at,
            outcome,
            has_two_lengths: has("Content-Length") && has("Transfer-Encoding"),
        };
        lock(&self.log.forwards).push(forward);
    }

    fn response(&self, id: u64, faults: &RateServerFaults) -> Option<Vec<u8>> {
        let chance: f64 = lock(&self.state).rng.random();
        if chance < faults.reset_share {
            return None;
        }
        let report = format!("TEXT {}", self.load_report());
        let with_report = [("X-Pressure", report.as_str())];
        let headers = if self.options.reports_load_in_responses {
            &with_report[..]
        } else {
            &[]
        };
        Some(if chance < faults.reset_share + faults.error_share {
            encode_response(500, headers, b"")
        } else {
            encode_response(200, headers, format!("{id:016x}").as_bytes())
        })
    }

    /// Waits for a core and runs the work on it.
    async fn run_work(&self, work: Millis, faults: &RateServerFaults) {
        lock(&self.state).in_progress += 1;
        let in_progress = InProgress(self);
        let Ok(core) = self.cores.acquire().await else {
            return;
        };
        let started_at = Instant::now();
        let spread: f64 = lock(&self.state).rng.random_range(WORK_SPREAD);
        let capacity = self.capacity(self.log.clock.now());
        let duration = work * spread * faults.slowdown.max(1.0) / capacity;
        sleep_until(started_at + Duration::from_secs_f64(duration / MILLIS_PER_SECOND)).await;
        drop((core, in_progress));
    }

    /// Returns the share of the full capacity that is available at `now`.
    fn capacity(&self, now: Millis) -> f64 {
        let state = lock(&self.state);
        if !state.is_cold_start || self.options.slow_start <= 0.0 {
            return 1.0;
        }
        let warm = ((now - state.started_at) / self.options.slow_start).clamp(0.0, 1.0);
        self.options.slow_start_capacity + (1.0 - self.options.slow_start_capacity) * warm
    }

    /// Records work that arrives in slow start. If the work in the window is too much, the server collapses and stays
    /// down.
    fn check_collapse(&self, now: Millis, core_ms: Millis) {
        let capacity = self.capacity(now);
        let window = self.options.collapse_window;
        let mut state = lock(&self.state);
        if !state.is_cold_start || now - state.started_at > self.options.slow_start {
            return;
        }
        state.recent_work.push_back(Work { at: now, core_ms });
        while state
            .recent_work
            .front()
            .is_some_and(|work| now - work.at > window)
        {
            state.recent_work.pop_front();
        }
        let arrived: Millis = state.recent_work.iter().map(|work| work.core_ms).sum();
        let cores = self.options.cores as f64;
        let max_work = self.options.collapse_multiple * capacity * cores * window;
        if arrived > max_work {
            if let Some(incarnation) = state.incarnations.last_mut() {
                incarnation.collapsed_at.get_or_insert(now);
            }
            drop(state);
            self.kill();
        }
    }
}

/// Counts a query as in progress until it is dropped.
struct InProgress<'a>(&'a RateServer);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.0.state);
        state.in_progress = state.in_progress.saturating_sub(1);
    }
}
