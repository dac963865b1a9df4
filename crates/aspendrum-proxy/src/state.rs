//! What the proxy's threads share.

use crate::agent_link::AgentLink;
use crate::consistency::ConsistencyStatus;
use crate::dispatcher::Dispatcher;
use crate::drain::DrainSchedule;
use crate::idle_limit::IdleConnectionLimit;
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

/// Of the proxy's threads.
pub(crate) const STACK_BYTES: usize = 128 << 10;
/// A worker thread without work ends after that.
const WORKER_IDLE: Duration = Duration::from_secs(5);
/// Connect time-out of servers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Of the time in which a revoked credential must be unknown everywhere, what a lease leaves for clocks that drift and
/// threads that wake late.
const LEASE_MARGIN_MS: f64 = 250.0;

/// The state of a proxy process.
pub struct ProxyState {
    /// Decides of requests.
    pub dispatcher: Dispatcher,
    /// Connections to servers.
    pub server_pool: Pool,
    /// Connections of clients.
    pub sessions: SessionRegistry,
    /// The connection to the agent.
    pub agent_link: AgentLink,
    /// Threads for connections and health checks.
    pub workers: WorkerPool,
    /// Whether what is applied is what was decided.
    pub consistency: ConsistencyStatus,
    /// Whether clients are still there.
    pub disconnect_watcher: DisconnectWatcher,
    /// What became of requests whose clients had left.
    pub disconnect_metrics: DisconnectMetrics,
    /// How long to wait for a connection to a server.
    pub connect_timeout: Duration,
    idle_limit: Mutex<IdleConnectionLimit>,
    started_at: Instant,
    is_draining: AtomicBool,
    /// Clients can connect, or will be able to in a moment.
    is_listening: AtomicBool,
    /// From then on no new request is taken, in milliseconds of uptime.
    accepts_until: AtomicU64,
    /// How long a revoked credential may be believed; `None`: credentials need no lease.
    revocation_ms: Option<f64>,
    /// Credentials are known to be valid until then, in milliseconds of uptime.
    credentials_valid_until: AtomicU64,
    /// When the last connection was accepted, in milliseconds of uptime.
    last_accepted_at: AtomicU64,
    /// When the agent last reported that control is heard of, in milliseconds of uptime.
    control_reachable_at: AtomicU64,
}

impl ProxyState {
    /// A proxy that knows nothing yet. `counter_socket`: bound to the counter port.
    pub fn new(settings: &Settings, counter_socket: UdpSocket) -> ProxyState {
        ProxyState {
            dispatcher: Dispatcher::new(settings, counter_socket),
            server_pool: Pool::new(pool_limits(settings)),
            sessions: SessionRegistry::default(),
            agent_link: AgentLink::default(),
            workers: WorkerPool::new(STACK_BYTES, WORKER_IDLE),
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

    /// Milliseconds since the start.
    pub(crate) fn uptime_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// A graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// New requests are taken: the proxy does not drain, or has only begun to.
    pub fn accepts_requests(&self) -> bool {
        self.uptime_ms() < self.accepts_until.load(Ordering::Acquire)
    }

    /// Begins a graceful shutdown. `grace_period`: the process is killed after that.
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

    /// No new request is taken from now on.
    pub(crate) fn stop_accepting(&self) {
        self.accepts_until
            .fetch_min(self.uptime_ms(), Ordering::AcqRel);
    }

    /// Clients will be able to connect in a moment.
    pub(crate) fn record_listening(&self) {
        self.is_listening.store(true, Ordering::Release);
    }

    /// Clients cannot connect any more, and those that did have sessions.
    pub(crate) fn record_listener_closed(&self) {
        self.is_listening.store(false, Ordering::Release);
    }

    /// Clients cannot connect.
    pub(crate) fn is_closed(&self) -> bool {
        !self.is_listening.load(Ordering::Acquire)
    }

    /// Credentials may be believed: none of them has been revoked without this proxy's knowledge.
    pub fn credentials_are_valid(&self) -> bool {
        let valid_until = || self.credentials_valid_until.load(Ordering::Acquire);
        self.revocation_ms.is_none() || self.uptime_ms() < valid_until()
    }

    /// The agent reports that `age` milliseconds before it answered, a majority of control's disks held nothing above
    /// `decided`. Counted from `sent_at_ms`, when it was asked, so that an answer which came late does not count for more.
    pub fn record_control_report(
        &self,
        sent_at_ms: u64,
        age: Option<u32>,
        decided: StateDigest,
        most_agents_isolated: bool,
    ) {
        let as_of = |age: u32| sent_at_ms as f64 - f64::from(age);
        let report = age.map(|age| MajorityReport {
            decided,
            as_of: as_of(age),
        });
        let now = self.uptime_ms() as f64;
        let status = self
            .consistency
            .record_report(now, report, most_agents_isolated);
        // Credentials are valid by what is in force here, not by what was sent.
        let (Some(age), Some(revocation_ms), SyncStatus::Current) =
            (age, self.revocation_ms, status)
        else {
            return;
        };
        let valid_until = as_of(age) + revocation_ms - LEASE_MARGIN_MS;
        self.credentials_valid_until
            .fetch_max(valid_until.max(0.0) as u64, Ordering::AcqRel);
    }

    /// Computes the digest of the tables that requests go by again.
    pub fn update_applied(&self) {
        self.consistency
            .record_applied(self.uptime_ms() as f64, self.dispatcher.applied());
    }

    /// Whether what is in force is known to be what was decided, up to the time that a change may take. Only then may a
    /// request that must run at most once leave for a server, and may one be refused for good by what is in force.
    pub fn is_current(&self) -> bool {
        self.consistency.is_current(self.uptime_ms() as f64)
    }

    /// How long a connection may have been idle for a request that must run at most once.
    pub fn max_idle_for_once_only(&self) -> Duration {
        let max_idle = lock(&self.idle_limit).max_idle(self.uptime_ms() as f64);
        max_idle.map_or(Duration::MAX, |ms| Duration::from_secs_f64(ms / 1000.0))
    }

    /// A request on a kept connection was reset before a byte came back.
    pub fn record_idle_reset(&self, idle_for: Duration) {
        let idle_for_ms = idle_for.as_secs_f64() * 1000.0;
        lock(&self.idle_limit).record_reset(self.uptime_ms() as f64, idle_for_ms);
    }

    /// The agent reports whether control has heard it lately, in answer to a heartbeat that was sent at `sent_at_ms` of uptime.
    pub fn record_control_reachable(&self, sent_at_ms: u64, has_heard: bool) {
        if has_heard {
            self.control_reachable_at
                .store(self.uptime_ms(), Ordering::Release);
            let sent_at = self.started_at + Duration::from_millis(sent_at_ms);
            self.dispatcher.renew_owner_lease(sent_at);
        }
    }

    /// How long control has not been heard of.
    pub(crate) fn control_silent_ms(&self) -> u64 {
        self.uptime_ms()
            .saturating_sub(self.control_reachable_at.load(Ordering::Acquire))
    }

    /// Whether clients may be sent here.
    pub(crate) fn readiness(&self) -> Readiness {
        let is_able = self.dispatcher.is_configured() && self.credentials_are_valid();
        match (self.is_draining(), is_able) {
            (false, true) => Readiness::Ready,
            (true, true) if self.accepts_requests() => Readiness::Draining,
            _ => Readiness::Closed,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    /// A client's connection was accepted.
    pub(crate) fn record_accept(&self) {
        self.last_accepted_at
            .store(self.uptime_ms(), Ordering::Release);
    }

    /// How long no client's connection has been accepted.
    pub(crate) fn quiet_ms(&self) -> u64 {
        self.uptime_ms()
            .saturating_sub(self.last_accepted_at.load(Ordering::Acquire))
    }
}

/// Of connections to servers.
fn pool_limits(settings: &Settings) -> PoolLimits {
    PoolLimits {
        max_connections: settings.max_open_files as usize / 3,
        min_idle: Duration::from_millis(2),
        connection: ConnectionOptions {
            initial_buffer_bytes: 4 << 10,
            max_buffer_bytes: 128 << 20,
            min_timeout: Duration::from_millis(1),
            write_timeout: Duration::from_secs(2),
            read_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(4),
        },
    }
}
