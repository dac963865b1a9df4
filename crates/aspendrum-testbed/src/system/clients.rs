//! Clients that follow the protocol: they cache lookups, choose a random proxy from the result, and retry only where the
//! protocol allows it.

use super::client_exchange::{exchange, AttemptIds, ExchangeResult, RequestPlan};
use super::fleet::{region_name, zone_name, Fleet};
use super::http_call::{call, CALL_TIMEOUT};
use aspendrum_checker::system::{Attempt, AttemptOutcome};
use aspendrum_checker::Millis;
use aspendrum_fake_services::lock;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The client's time limit for a request, including all attempts.
const DEADLINE: Duration = Duration::from_millis(2000);
/// How long a client waits beyond its deadline before it records an attempt as silent.
const SILENCE_GRACE: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: usize = 3;
/// The delay before the next attempt if the response has no `Retry-After` header.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The maximum number of control nodes queried for one lookup.
const MAX_LOOKUP_CALLS: usize = 3;

/// A cached lookup result.
#[derive(Clone)]
struct CachedLookup {
    expires_at: Instant,
    proxies: Vec<SocketAddr>,
}

/// The proxy that an attempt goes to.
struct ChosenProxy {
    address: SocketAddr,
    number: usize,
    /// An open connection to reuse, if any.
    open: Option<TcpStream>,
}

/// The clients of a run.
pub struct Clients {
    fleet: Arc<Fleet>,
    next_id: AtomicU64,
    /// Cached lookups by zone.
    lookups: Mutex<HashMap<usize, CachedLookup>>,
    /// Idle connections by proxy address.
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Clients {
    /// Creates the clients of a fleet.
    pub fn new(fleet: Arc<Fleet>) -> Clients {
        Clients {
            fleet,
            next_id: AtomicU64::new(1),
            lookups: Mutex::default(),
            idle: Mutex::default(),
            attempts: Mutex::default(),
        }
    }

    /// Returns all attempts that have ended.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    fn next_attempt_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends one request, retrying where the protocol allows it.
    pub async fn request(&self, plan: RequestPlan) {
        let until = Instant::now() + DEADLINE;
        let (mut request, mut failed) = (None, Vec::new());
        for _ in 0..MAX_ATTEMPTS {
            let id = self.next_attempt_id();
            let is_first = request.is_none();
            let number = *request.get_or_insert(id);
            let chosen = self.choose_proxy(plan, is_first, &failed, until).await;
            let Some(chosen) = chosen else {
                self.record_unreached(plan, id, number);
                sleep(RETRY_DELAY).await;
                continue;
            };
            let address = chosen.address;
            let result = self.attempt(plan, chosen, id, number, until).await;
            let left = until.saturating_duration_since(Instant::now());
            if !may_retry(plan, result.outcome) || left.is_zero() {
                return;
            }
            if result.outcome != AttemptOutcome::NotRun(429) {
                failed.push(address);
            }
            sleep(result.retry_after.unwrap_or(RETRY_DELAY).min(left / 3)).await;
        }
    }

    /// Makes one attempt at one proxy and records it.
    async fn attempt(
        &self,
        plan: RequestPlan,
        chosen: ChosenProxy,
        id: u64,
        request: u64,
        until: Instant,
    ) -> ExchangeResult {
        let sent_at = self.now();
        let ids = AttemptIds {
            first: id,
            pipelined: plan.is_pipelined.then(|| self.next_attempt_id()),
        };
        let ChosenProxy {
            address,
            number: proxy,
            open,
        } = chosen;
        let ended = timeout_at(
            until + SILENCE_GRACE,
            self.exchange(address, open, ids, plan, until),
        );
        let no_response = |_| ExchangeResult::without_response(AttemptOutcome::Silent, ids);
        let result = ended.await.unwrap_or_else(no_response);
        let disconnected_for = result.disconnected_at.map(|at| at.elapsed());
        let ended_at = self.now() - disconnected_for.unwrap_or_default().as_secs_f64() * 1000.0;
        let attempt = |id: u64, request: u64, outcome: AttemptOutcome| Attempt {
            id,
            request,
            route: plan.route,
            tenant: plan.tenant,
            proxy,
            sent_at,
            ended_at,
            outcome,
        };
        self.record(attempt(id, request, result.outcome));
        if let (Some(id), Some(outcome)) = (ids.pipelined, result.pipelined) {
            self.record(attempt(id, id, outcome));
        }
        result
    }

    /// Sends a single request for an idempotent route to one proxy. Returns the outcome and the time at which the request was
    /// sent.
    pub async fn probe(&self, proxy: usize, route: usize) -> (AttemptOutcome, Millis) {
        let address = self.fleet.proxy_addr(proxy);
        let chosen = ChosenProxy {
            address,
            number: proxy,
            open: self.take_idle(address),
        };
        let (id, until) = (self.next_attempt_id(), Instant::now() + DEADLINE);
        let sent_at = self.now();
        let plan = RequestPlan::simple(route);
        let result = self.attempt(plan, chosen, id, id, until).await;
        (result.outcome, sent_at)
    }

    /// Makes an exchange on the open connection, or on a new one. A reusable connection returns to the idle pool.
    async fn exchange(
        &self,
        address: SocketAddr,
        open: Option<TcpStream>,
        ids: AttemptIds,
        plan: RequestPlan,
        until: Instant,
    ) -> ExchangeResult {
        let connected = match open {
            Some(stream) => Ok(Ok(stream)),
            None => timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await,
        };
        let Ok(Ok(stream)) = connected else {
            return ExchangeResult {
                pipelined: None,
                ..ExchangeResult::without_response(AttemptOutcome::Unreached, ids)
            };
        };
        let mut result = exchange(stream, ids, plan, until).await;
        if let Some(stream) = result.kept.take() {
            lock(&self.idle).entry(address).or_default().push(stream);
        }
        result
    }

    /// Chooses the proxy for an attempt. Returns `None` if no proxy is known.
    async fn choose_proxy(
        &self,
        plan: RequestPlan,
        is_first: bool,
        failed: &[SocketAddr],
        until: Instant,
    ) -> Option<ChosenProxy> {
        if plan.reuses_any_connection && is_first {
            if let Some(chosen) = self.take_any_idle() {
                return Some(chosen);
            }
        }
        let proxies = if plan.ignores_lookups && is_first {
            let all = 0..self.fleet.scenario.edges;
            all.map(|proxy| self.fleet.proxy_addr(proxy)).collect()
        } else {
            self.look_up(plan.zone, until).await
        };
        let untried = proxies.iter().filter(|proxy| !failed.contains(proxy));
        let untried: Vec<SocketAddr> = untried.copied().collect();
        let address = untried
            .choose(&mut rand::rng())
            .or(proxies.choose(&mut rand::rng()))
            .copied()?;
        let open = if plan.keeps_connection {
            self.take_idle(address)
        } else {
            None
        };
        Some(ChosenProxy {
            address,
            number: self.fleet.edge_by_addr(address)?,
            open,
        })
    }

    /// Takes an idle connection to any proxy.
    fn take_any_idle(&self) -> Option<ChosenProxy> {
        let addresses: Vec<SocketAddr> = lock(&self.idle).keys().copied().collect();
        addresses.into_iter().find_map(|address| {
            let open = Some(self.take_idle(address)?);
            let number = self.fleet.edge_by_addr(address)?;
            Some(ChosenProxy {
                address,
                number,
                open,
            })
        })
    }

    /// Takes an idle connection to a proxy, skipping those that the proxy has closed.
    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = lock(&self.idle);
        let streams = idle.get_mut(&address)?;
        loop {
            let stream = streams.pop()?;
            let read = stream.try_read(&mut [0; 1]);
            if read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
                return Some(stream);
            }
        }
    }

    /// Looks up the proxies for a zone. Caches the result for the time to live that the directory returns, and falls back to an
    /// expired result if no control node responds.
    async fn look_up(&self, of_zone: usize, until: Instant) -> Vec<SocketAddr> {
        let cached = lock(&self.lookups).get(&of_zone).cloned();
        let is_fresh = |cached: &&CachedLookup| cached.expires_at > Instant::now();
        if let Some(cached) = cached.as_ref().filter(is_fresh) {
            return cached.proxies.clone();
        }
        let path = format!(
            "/api/lookup?name=a.example&geo={}&az={}",
            region_name(of_zone),
            zone_name(of_zone)
        );
        let members = self.fleet.members();
        let first = rand::rng().random_range(0..members.len());
        let nodes = members.iter().cycle().skip(first).take(members.len());
        for node in nodes.take(MAX_LOOKUP_CALLS) {
            let lookup = call(
                self.fleet.directory_addr(*node),
                "GET",
                &path,
                "",
                CALL_TIMEOUT,
            );
            let Ok(Some((200, body))) = timeout_at(until, lookup).await else {
                continue;
            };
            let Some((proxies, ttl)) = parse_lookup(&body) else {
                continue;
            };
            let cached = CachedLookup {
                expires_at: Instant::now() + ttl,
                proxies: proxies.clone(),
            };
            lock(&self.lookups).insert(of_zone, cached);
            return proxies;
        }
        cached.map_or(Vec::new(), |cached| cached.proxies)
    }

    fn record_unreached(&self, plan: RequestPlan, id: u64, request: u64) {
        let now = self.now();
        self.record(Attempt {
            id,
            request,
            route: plan.route,
            tenant: plan.tenant,
            proxy: usize::MAX,
            sent_at: now,
            ended_at: now,
            outcome: AttemptOutcome::Unreached,
        });
    }

    fn record(&self, attempt: Attempt) {
        lock(&self.attempts).push(attempt);
    }
}

/// Whether the protocol allows another attempt after that one.
fn may_retry(plan: RequestPlan, outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered
        | AttemptOutcome::ClientDisconnected
        | AttemptOutcome::OtherStatus(400 | 401 | 404 | 413 | 431) => false,
        AttemptOutcome::NotRun(_) | AttemptOutcome::Unreached => true,
        AttemptOutcome::Foreign
        | AttemptOutcome::OtherStatus(_)
        | AttemptOutcome::Lost
        | AttemptOutcome::Silent => !plan.is_once_only,
    }
}

/// Parses the proxies and the time to live of a lookup response.
fn parse_lookup(body: &[u8]) -> Option<(Vec<SocketAddr>, Duration)> {
    let response: serde_json::Value = serde_json::from_slice(body).ok()?;
    let proxies = response["ips"]
        .as_array()?
        .iter()
        .map(|address| address.as_str()?.parse().ok())
        .collect::<Option<_>>()?;
    let ttl_s = response["ttl-s"].as_f64()?.clamp(0.0, 60.0);
    Some((proxies, Duration::from_secs_f64(ttl_s)))
}
