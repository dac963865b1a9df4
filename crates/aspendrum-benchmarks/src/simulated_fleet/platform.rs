//! A simulated platform. It serves pages of its server list after a delay and under a rate limit shared by all callers.
//! Servers can be set to draining.

use crate::fleet_data::{server_page, SERVERS_PER_PAGE};
use aspendrum_model::servers::ServerInstance;
use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::memory_budget::MemoryBudget;
use aspendrum_net::path_matcher::query_parameter;
use aspendrum_net::threads::lock;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const STACK_BYTES: usize = 128 << 10;
const LIMITS: MessageLimits = MessageLimits {
    head_bytes: 8 << 10,
    body_bytes: 1 << 10,
};
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The rate limit of calls: a token bucket with a capacity of one second's calls.
struct CallLimiter {
    calls_per_s: f64,
    tokens: f64,
    updated_at: Instant,
}

impl CallLimiter {
    fn new(calls_per_s: f64) -> CallLimiter {
        CallLimiter {
            calls_per_s,
            tokens: calls_per_s,
            updated_at: Instant::now(),
        }
    }

    /// Takes a token. Returns whether the call is allowed.
    fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(self.updated_at);
        let refilled = self.tokens + self.calls_per_s * elapsed.as_secs_f64();
        self.tokens = refilled.min(self.calls_per_s);
        self.updated_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Counters of the platform.
#[derive(Default)]
pub(super) struct PlatformCounters {
    pub(super) calls: AtomicU64,
    pub(super) rejected: AtomicU64,
    pub(super) sent_bytes: AtomicU64,
    /// Complete lists sent, counted by their last pages.
    pub(super) lists: AtomicU64,
}

/// The simulated platform.
pub(super) struct Platform {
    servers: Mutex<Vec<ServerInstance>>,
    /// The encoded pages of the server list.
    pages: Mutex<Vec<Vec<u8>>>,
    call_limiter: Mutex<CallLimiter>,
    delay: Duration,
    pub(super) counters: PlatformCounters,
}

impl Platform {
    /// Starts a platform that listens on `addr` and delays each page by `delay`.
    pub(super) fn start(
        addr: SocketAddrV4,
        servers: Vec<ServerInstance>,
        calls_per_s: f64,
        delay: Duration,
    ) -> std::io::Result<Arc<Platform>> {
        let platform = Arc::new(Platform {
            pages: Mutex::new(pages(&servers)),
            servers: Mutex::new(servers),
            call_limiter: Mutex::new(CallLimiter::new(calls_per_s)),
            delay,
            counters: PlatformCounters::default(),
        });
        let options = ServerOptions {
            stack_bytes: STACK_BYTES,
            limits: LIMITS,
            idle_timeout: IDLE_TIMEOUT,
            worker_idle_timeout: IDLE_TIMEOUT,
            memory: MemoryBudget::unlimited(),
        };
        let handler = platform.clone();
        http_server::listen(addr, options, move |request| {
            handler.handle_request(&request)
        })?;
        Ok(platform)
    }

    fn handle_request(&self, request: &Request) -> Reply {
        self.counters.calls.fetch_add(1, Relaxed);
        if !lock(&self.call_limiter).try_acquire() {
            self.counters.rejected.fetch_add(1, Relaxed);
            return Reply::empty(429);
        }
        sleep(self.delay);
        let query = request.path.split_once('?').map_or("", |(_, query)| query);
        let page = requested_page(query);
        let pages = lock(&self.pages);
        let body = pages.get(page).cloned().unwrap_or_default();
        let sent = body.len() as u64;
        self.counters.sent_bytes.fetch_add(sent, Relaxed);
        if page + 1 == pages.len() {
            self.counters.lists.fetch_add(1, Relaxed);
        }
        Reply::json(body)
    }

    /// Sets whether a server is draining.
    pub(super) fn set_draining(&self, number: usize, draining: bool) {
        let mut servers = lock(&self.servers);
        if let Some(server) = servers.get_mut(number) {
            server.is_draining = draining;
        }
        *lock(&self.pages) = pages(&servers);
    }
}

/// Returns the index of the requested page. The token of a page contains the number of its first server.
fn requested_page(query: &str) -> usize {
    let first_server = query_parameter(query, "page-tok")
        .and_then(|token| token.strip_prefix("p-")?.parse::<usize>().ok())
        .unwrap_or(0);
    first_server / SERVERS_PER_PAGE
}

fn pages(servers: &[ServerInstance]) -> Vec<Vec<u8>> {
    let count = servers.len().div_ceil(SERVERS_PER_PAGE);
    let next_page = |page: usize| {
        let next = page + 1;
        (next < count).then(|| format!("p-{}", next * SERVERS_PER_PAGE))
    };
    servers
        .chunks(SERVERS_PER_PAGE)
        .enumerate()
        .map(|(page, part)| server_page(part, next_page(page)).into_bytes())
        .collect()
}
