//! The state shared by the proxy's threads.

use crate::agent_link::AgentLink;
use crate::consistency::ConsistencyStatus;
use crate::dispatcher::Dispatcher;
use crate::drain::DrainSchedule;
use crate::idle_limit::IdleConnectionLimit;
use crate::memory::MemoryBudgets;
use crate::session::SessionRegistry;
use aspendrum_model::message::{Readiness, StateDigest};
use aspendrum_model::settings::Settings;
use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::disconnect_metrics::DisconnectMetrics;
use aspendrum_net::disconnects::DisconnectWatcher;
use aspendrum_net::pool::{Pool, PoolLimits};
use aspendrum_net::threads::lock;
use aspendrum_net::worker_pool::WorkerPool;
use aspendrum_reconcile::{MajorityReport, SyncStatus};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The stack size of the proxy's threads.
pub(crate) const STACK_BYTES: usize = 128 << 10;
/// The idle time after which a worker thread ends.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for connecting to servers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The part of the revocation deadline that a lease on credentials leaves unused, in milliseconds. It covers
/// clock drift and delayed threads.
const LEASE_MARGIN_MS: f64 = 250.0;

/// The state of a proxy process.
pub struct ProxyState {
    /// Schedules requests on servers.
    pub dispatcher: Dispatcher,
    /// The memory for the messages of clients and servers.
    pub memory: MemoryBudgets,
    /// Connections to servers.
    pub server_pool: Pool,
    /// Connections of clients.
    pub sessions: SessionRegistry,
    /// The connection to the agent.
    pub agent_link: AgentLink,
    /// Threads for connections and health checks.
    pub workers: WorkerPool,
    /// Whether the applied state is the decided one.
    pub consistency: ConsistencyStatus,
    /// Detects disconnected clients.
    pub disconnect_watcher: DisconnectWatcher,
    /// Metrics of requests whose clients disconnected.
    pub disconnect_metrics: DisconnectMetrics,
    /// The timeout for connecting to servers.
    pub connect_timeout: Duration,
    idle_limit: Mutex<IdleConnectionLimit>,
    started_at: Instant,
    is_draining: AtomicBool,
    /// Whether clients can connect, or will be able to in a moment.
    is_listening: AtomicBool,
    /// The time from which no new request is accepted, in milliseconds of uptime.
    accepts_until: AtomicU64,
    /// How long a revoked credential may still be accepted, in milliseconds; `None` if credentials need no lease.
    revocation_ms: Option<f64>,
    /// The end of the lease on credentials, in milliseconds of uptime.
    credentials_valid_until: AtomicU64,
    /// The time at which the last connection was accepted, in milliseconds of uptime.
    last_accepted_at: AtomicU64,
    /// The time of the agent's last report that control is reachable, in milliseconds of uptime.
    control_reachable_at: AtomicU64,
}

impl ProxyState {
    /// Creates the state of a proxy without any configuration. `counter_socket` is bound to the counter port.
    pub fn new(settings: &Settings, counter_socket: UdpSocket) -> ProxyState {
        let memory = MemoryBudgets::new(settings);
        ProxyState {
            dispatcher: Dispatcher::new(settings, counter_socket),
            server_pool: Pool::new(pool_limits(settings, &memory)),
            memory,
            sessions: SessionRegistry::default(),
            agent_link: AgentLink::default(),
            workers: WorkerPool::new(STACK_BYTES, WORKER_IDLE_TIMEOUT),
            consistency: ConsistencyStatus::new(
                settings.apply_deadline_ms,
                settings.unsettled_extension_ms,
            ),
            disconnect_watcher: DisconnectWatcher::default(),
            disconnect_metrics: DisconnectMetrics::default(),
            connect_timeout: CONNECT_TIMEOUT,
            idle_limit: Mutex::default(),
            started_at: Instant::now(),
            is_draining: AtomicBool::new(false),
            is_listening: AtomicBool::new(false),
            accepts_until: AtomicU64::new(u64::MAX),
            revocation_ms: settings
                .enforces_revocation
                .then_some(settings.revocation_deadline_ms),
            credentials_valid_until: AtomicU64::new(0),
            last_accepted_at: AtomicU64::new(0),
            control_reachable_at: AtomicU64::new(0),
        }
    }

    /// Returns the time since the start of the process, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Whether new requests are accepted, which includes the first stage of a graceful shutdown.
    pub fn accepts_requests(&self) -> bool {
        self.uptime_ms() < self.accepts_until.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown and returns its schedule. The platform kills the process after `grace_period`.
    pub fn begin_drain(&self, grace_period: Duration) -> DrainSchedule {
        let snapshot = self.dispatcher.snapshot();
        let routes = snapshot.iter().flat_map(|snapshot| &snapshot.config.routes);
        let longest_request = routes.map(|route| route.timeout_ms).fold(0.0, f64::max);
        let schedule = DrainSchedule::new(grace_period.as_secs_f64() * 1000.0, longest_request);
        let accepts_until = self.uptime_ms() + schedule.accepts_until as u64;
        self.accepts_until.store(accepts_until, Ordering::Release);
        self.is_draining.store(true, Ordering::Release);
        schedule
    }

    /// Stops accepting new requests.
    pub(crate) fn stop_accepting(&self) {
        self.accepts_until
            .fetch_min(self.uptime_ms(), Ordering::AcqRel);
    }

    /// Records that clients will be able to connect in a moment.
    pub(crate) fn record_listening(&self) {
        self.is_listening.store(true, Ordering::Release);
    }

    /// Records that the listener is closed, and that all accepted connections have sessions.
    pub(crate) fn record_listener_closed(&self) {
        self.is_listening.store(false, Ordering::Release);
    }

    /// Whether clients cannot connect.
    pub(crate) fn is_listener_closed(&self) -> bool {
        !self.is_listening.load(Ordering::Acquire)
    }

    /// Whether credentials may be accepted, since none can have been revoked without this proxy's knowledge.
    pub fn has_credential_lease(&self) -> bool {
        let valid_until = || self.credentials_valid_until.load(Ordering::Acquire);
        self.revocation_ms.is_none() || self.uptime_ms() < valid_until()
    }

    /// Handles the agent's reply to a heartbeat that was sent at `sent_at_ms` of uptime. A reply to a heartbeat of the future
    /// is ignored: this process has not sent it, and what it extends would hardly expire.
    pub fn record_heartbeat_reply(
        &self,
        sent_at_ms: u64,
        majority_age: Option<u32>,
        decided: StateDigest,
        control_reachable: bool,
        half_of_agents_isolated: bool,
    ) {
        if sent_at_ms > self.uptime_ms() {
            log::warn!("event=reply_of_the_future sent_at_ms={sent_at_ms}");
            return;
        }
        self.record_control_report(sent_at_ms, majority_age, decided, half_of_agents_isolated);
        self.record_control_reachable(sent_at_ms, control_reachable);
    }

    /// Records the agent's report that `age` milliseconds before its reply, a majority of control's disks held
    /// no state above `decided`. The age is counted from `sent_at_ms`, when the heartbeat was sent, so that a
    /// delayed reply does not extend the report's validity.
    pub fn record_control_report(
        &self,
        sent_at_ms: u64,
        age: Option<u32>,
        decided: StateDigest,
        half_of_agents_isolated: bool,
    ) {
        let as_of = |age: u32| sent_at_ms as f64 - f64::from(age);
        let report = age.map(|age| MajorityReport {
            decided,
            as_of: as_of(age),
        });
        let now = self.uptime_ms() as f64;
        let status = self
            .consistency
            .record_report(now, report, half_of_agents_isolated);
        // Only the active state authenticates credentials, so the report must match it.
        let (Some(age), Some(revocation_ms), SyncStatus::Current) =
            (age, self.revocation_ms, status)
        else {
            return;
        };
        let valid_until = as_of(age) + revocation_ms - LEASE_MARGIN_MS;
        self.credentials_valid_until
            .fetch_max(valid_until.max(0.0) as u64, Ordering::AcqRel);
    }

    /// Recomputes the digest of the tables that requests use.
    pub fn update_applied_digest(&self) {
        self.consistency
            .record_applied(self.uptime_ms() as f64, self.dispatcher.applied());
    }

    /// Whether the active state is known to be the decided one, up to the time that a change may take. Only
    /// then may a non-idempotent request be sent to a server, or a request be rejected with a permanent error.
    pub fn is_current(&self) -> bool {
        self.consistency.is_current(self.uptime_ms() as f64)
    }

    /// Returns the maximum idle time of a connection used for a non-idempotent request.
    pub fn max_idle_for_non_idempotent(&self) -> Duration {
        let max_idle = lock(&self.idle_limit).max_idle(self.uptime_ms() as f64);
        max_idle.map_or(Duration::MAX, |ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// Records that a request on a reused connection was reset before any response byte.
    pub fn record_idle_reset(&self, idle_for: Duration) {
        let idle_for_ms = idle_for.as_secs_f64() * 1000.0;
        lock(&self.idle_limit).record_reset(self.uptime_ms() as f64, idle_for_ms);
    }

    /// Records the agent's report whether control is reachable, in reply to a heartbeat sent at `sent_at_ms` of
    /// uptime.
    pub fn record_control_reachable(&self, sent_at_ms: u64, is_reachable: bool) {
        if is_reachable {
            self.control_reachable_at
                .store(self.uptime_ms(), Ordering::Release);
            let sent_at = self.started_at + Duration::from_millis(sent_at_ms);
            self.dispatcher.renew_owner_lease(sent_at);
        }
    }

    /// Returns the time since control was last known to be reachable, in milliseconds.
    pub(crate) fn ms_since_control_contact(&self) -> u64 {
        self.uptime_ms()
            .saturating_sub(self.control_reachable_at.load(Ordering::Acquire))
    }

    /// Returns the readiness reported to the agent.
    pub(crate) fn readiness(&self) -> Readiness {
        let can_serve = self.dispatcher.is_configured() && self.has_credential_lease();
        match (self.is_draining(), can_serve) {
            (false, true) => Readiness::Ready,
            (true, true) if self.accepts_requests() => Readiness::Draining,
            _ => Readiness::Closed,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    /// Records that a client connection was accepted.
    pub(crate) fn record_accept(&self) {
        self.last_accepted_at
            .store(self.uptime_ms(), Ordering::Release);
    }

    /// Returns the time since the last client connection was accepted, in milliseconds.
    pub(crate) fn ms_since_last_accept(&self) -> u64 {
        self.uptime_ms()
            .saturating_sub(self.last_accepted_at.load(Ordering::Acquire))
    }
}

/// Returns the limits of the pool of connections to servers.
fn pool_limits(settings: &Settings, memory: &MemoryBudgets) -> PoolLimits {
    PoolLimits {
        max_connections: settings.max_open_files as usize / 3,
        min_idle: Duration::from_millis(2),
        connection: ConnectionOptions {
            initial_buffer_bytes: 4 << 10,
            max_buffer_bytes: 128 << 20,
            min_timeout: Duration::from_millis(1),
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(4),
            memory: memory.responses.clone(),
        },
    }
}
