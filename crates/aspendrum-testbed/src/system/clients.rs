//! The clients of a run, as the protocol defines them: lookups that are held, proxies drawn among the answers, further
//! attempts only where they may be made.

use super::client_exchange::{exchange, AttemptIds, ExchangeResult, RequestPlan};
use super::fleet::{region, zone, Fleet};
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
/// The time that a client has for a request, with all attempts.
const DEADLINE: Duration = Duration::from_millis(2000);
/// What a client waits beyond its deadline before an attempt counts as silent.
const SILENCE_GRACE: Duration = Duration::from_millis(700);
const MAX_ATTEMPTS: usize = 3;
/// Before the next attempt where an answer does not say when.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// So many control nodes are asked for one lookup.
const MAX_LOOKUP_CALLS: usize = 3;

/// The answer to a lookup, and until when it is held.
#[derive(Clone)]
struct HeldLookup {
    until: Instant,
    proxies: Vec<SocketAddr>,
}

/// The proxy that an attempt goes to.
struct ChosenProxy {
    address: SocketAddr,
    number: usize,
    /// An open connection to it, where the client uses one.
    open: Option<TcpStream>,
}

/// The clients of a run.
pub struct Clients {
    fleet: Arc<Fleet>,
    next_id: AtomicU64,
    /// By zone.
    lookups: Mutex<HashMap<usize, HeldLookup>>,
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Clients {
    /// Clients of that fleet that have sent nothing yet.
    pub fn new(fleet: Arc<Fleet>) -> Clients {
        Clients {
            fleet,
            next_id: AtomicU64::new(1),
            lookups: Mutex::default(),
            idle: Mutex::default(),
            attempts: Mutex::default(),
        }
    }

    /// All attempts that have ended.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    fn now(&self) -> Millis {
        self.fleet.clock.now()
    }

    fn draw_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// One request, with all its attempts.
    pub async fn request(&self, plan: RequestPlan) {
        let until = Instant::now() + DEADLINE;
        let (mut request, mut failed) = (None, Vec::new());
        for _ in 0..MAX_ATTEMPTS {
            let id = self.draw_id();
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

    /// One attempt at one proxy, and what it leaves in the record.
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
            pipelined: plan.is_pipelined.then(|| self.draw_id()),
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
        let silent = |_| ExchangeResult::without_answer(AttemptOutcome::Silent, ids);
        let result = ended.await.unwrap_or_else(silent);
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

    /// Asks one proxy for a route that may be repeated, once: how that ended, and when it was sent.
    pub async fn probe(&self, proxy: usize, route: usize) -> (AttemptOutcome, Millis) {
        let address = self.fleet.front(proxy);
        let chosen = ChosenProxy {
            address,
            number: proxy,
            open: self.take_idle(address),
        };
        let (id, until) = (self.draw_id(), Instant::now() + DEADLINE);
        let sent_at = self.now();
        let plan = RequestPlan::simple(route);
        let result = self.attempt(plan, chosen, id, id, until).await;
        (result.outcome, sent_at)
    }

    /// Exchanges on the open connection, or on a new one. A connection that can be used again is kept.
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
                ..ExchangeResult::without_answer(AttemptOutcome::Unreached, ids)
            };
        };
        let mut result = exchange(stream, ids, plan, until).await;
        if let Some(stream) = result.kept.take() {
            lock(&self.idle).entry(address).or_default().push(stream);
        }
        result
    }

    /// The proxy that an attempt goes to; `None`: no proxy is known.
    async fn choose_proxy(
        &self,
        plan: RequestPlan,
        is_first: bool,
        failed: &[SocketAddr],
        until: Instant,
    ) -> Option<ChosenProxy> {
        if plan.reuses_any_connection && is_first {
            if let Some(chosen) = self.any_idle() {
                return Some(chosen);
            }
        }
        let proxies = if plan.ignores_lookups && is_first {
            let all = 0..self.fleet.scenario.edges;
            all.map(|proxy| self.fleet.front(proxy)).collect()
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
            number: self.fleet.edge_at(address)?,
            open,
        })
    }

    /// Whatever connection is open.
    fn any_idle(&self) -> Option<ChosenProxy> {
        let addresses: Vec<SocketAddr> = lock(&self.idle).keys().copied().collect();
        addresses.into_iter().find_map(|address| {
            let open = Some(self.take_idle(address)?);
            let number = self.fleet.edge_at(address)?;
            Some(ChosenProxy {
                address,
                number,
                open,
            })
        })
    }

    /// A connection that is idle, and that the proxy has not closed as far as can be seen.
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

    /// What the directory answers for a zone, held for as long as it says; an old answer where none can be had.
    async fn look_up(&self, of_zone: usize, until: Instant) -> Vec<SocketAddr> {
        let held = lock(&self.lookups).get(&of_zone).cloned();
        if let Some(held) = held.as_ref().filter(|held| held.until > Instant::now()) {
            return held.proxies.clone();
        }
        let path = format!(
            "/api/lookup?name=a.example&geo={}&az={}",
            region(of_zone),
            zone(of_zone)
        );
        let members = self.fleet.members();
        let first = rand::rng().random_range(0..members.len());
        let asked = members.iter().cycle().skip(first).take(members.len());
        for node in asked.take(MAX_LOOKUP_CALLS) {
            let asked = call(self.fleet.dir(*node), "GET", &path, "", CALL_TIMEOUT);
            let Ok(Some((200, body))) = timeout_at(until, asked).await else {
                continue;
            };
            let Some((proxies, ttl)) = parse_lookup(&body) else {
                continue;
            };
            let held = HeldLookup {
                until: Instant::now() + ttl,
                proxies: proxies.clone(),
            };
            lock(&self.lookups).insert(of_zone, held);
            return proxies;
        }
        held.map_or(Vec::new(), |held| held.proxies)
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

/// The proxies and the time to live that the directory answers.
fn parse_lookup(body: &[u8]) -> Option<(Vec<SocketAddr>, Duration)> {
    let answer: serde_json::Value = serde_json::from_slice(body).ok()?;
    let proxies = answer["ips"]
        .as_array()?
        .iter()
        .map(|address| address.as_str()?.parse().ok())
        .collect::<Option<_>>()?;
    let ttl_s = answer["ttl-s"].as_f64()?.clamp(0.0, 60.0);
    Some((proxies, Duration::from_secs_f64(ttl_s)))
}
