//! The dispatcher: the decision engine, the available endpoints, the counters and the requests in flight, behind one
//! lock. Threads report events to it and return at once; no operation blocks while holding the lock.
//!
//! [`Dispatcher`] owns the lock, and `state` combines the components behind it.

mod admission;
mod attempt;
mod configuration;
mod counters;
mod engine;
mod proxies;
mod state;

pub use admission::{AdmissionRequest, RequestDecision};
pub use attempt::AttemptResult;
pub use configuration::ConfigSnapshot;
pub use engine::TICK_MS;

use crate::counter::{CounterMessage, CounterSocket};
use crate::endpoints::ZoneLocation;
use aspendrum_core::api::{Event, LoadReport, Millis, Outcome, RequestId, ServerId};
use aspendrum_model::compression::decompress;
use aspendrum_model::config::Config;
use aspendrum_model::message::{StateDigest, StateSection};
use aspendrum_model::settings::Settings;
use aspendrum_net::forward::{ForwardStage, Progress, RequestKind};
use aspendrum_net::threads::lock;
use aspendrum_reconcile::state_digest;
use proxies::ProxyAddresses;
use state::DispatcherState;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The start value of the decision engine's clock. It is above 0 because the engine treats 0 as long ago.
const CLOCK_START: Millis = 1000.0;

/// The units consumed by one attempt.
const ATTEMPT_UNITS: u16 = 1;

/// The address and the uid of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerAddress {
    /// The address to connect to.
    pub address: SocketAddrV4,
    /// The server's uid.
    pub uid: String,
}

/// The server and the path of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckTarget {
    /// The server.
    pub server: ServerAddress,
    /// The health check path of the server's service.
    pub path: String,
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// The outcome of the check.
    pub outcome: Outcome,
    /// The round-trip time in milliseconds.
    pub rtt: Millis,
    /// The load that the server reported.
    pub load: LoadReport,
    /// The remaining slow start reported by the server, in milliseconds.
    pub slow_start_left: Option<Millis>,
}

/// Schedules requests on servers, and keeps the state that scheduling depends on.
pub struct Dispatcher {
    state: Mutex<DispatcherState>,
    snapshot: Mutex<Option<Arc<ConfigSnapshot>>>,
    started_at: Instant,
    counter_socket: Arc<CounterSocket>,
    settings: Settings,
}

impl Dispatcher {
    /// Creates a dispatcher without any configuration. `socket` is bound to the counter port.
    pub fn new(settings: &Settings, socket: UdpSocket) -> Dispatcher {
        let counter_socket = Arc::new(CounterSocket::new(socket, settings));
        Dispatcher {
            state: Mutex::new(DispatcherState::new(
                CLOCK_START,
                settings,
                counter_socket.clone(),
            )),
            snapshot: Mutex::default(),
            started_at: Instant::now(),
            counter_socket,
            settings: settings.clone(),
        }
    }

    /// Returns the active configuration, or `None` before the first one.
    pub fn snapshot(&self) -> Option<Arc<ConfigSnapshot>> {
        lock(&self.snapshot).clone()
    }

    /// Returns the socket for counter datagrams.
    pub fn counter_socket(&self) -> &CounterSocket {
        &self.counter_socket
    }

    fn clock_at(&self, instant: Instant) -> Millis {
        CLOCK_START
            + instant
                .saturating_duration_since(self.started_at)
                .as_secs_f64()
                * 1000.0
    }

    fn now(&self) -> Millis {
        self.clock_at(Instant::now())
    }

    /// Admits a request and returns its id. The decisions on it are sent to its mailbox, the first possibly before
    /// this function returns.
    pub fn admit(&self, snapshot: &ConfigSnapshot, request: AdmissionRequest) -> RequestId {
        let now = self.now();
        let deadline = self.clock_at(request.deadline);
        lock(&self.state).admit(now, deadline, snapshot, request)
    }

    /// Records the result of an attempt. `is_final` means that the request is completed by it.
    pub fn finish_attempt(
        &self,
        id: RequestId,
        attempt: u8,
        server: ServerId,
        result: AttemptResult,
        is_final: bool,
    ) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.dispatch(
            now,
            &result.event(id, attempt, server, is_final, ATTEMPT_UNITS),
        );
        if is_final {
            state.requests.remove(id);
        }
    }

    /// Removes a request that needs no further decisions. The engine is notified as of a client disconnect, which ends
    /// a request without an answer from it.
    pub fn finish_request(&self, id: RequestId) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.requests.remove(id);
        state.dispatch(now, &Event::ClientDisconnected { id });
    }

    /// Handles the disconnect of a request's client: nothing more is forwarded for the request. Returns the stage
    /// that the request had reached, or `None` if it has already finished.
    pub fn client_disconnected(&self, id: RequestId) -> Option<(RequestKind, ForwardStage)> {
        let now = self.now();
        let mut state = lock(&self.state);
        let handle = state.requests.forward_handle(id)?;
        let (kind, stage) = (handle.kind, handle.handle_disconnect());
        state
            .requests
            .notify(id, RequestDecision::ClientDisconnected);
        state.dispatch(now, &Event::ClientDisconnected { id });
        Some((kind, stage))
    }

    /// Aborts the running attempt of an idempotent request whose client has disconnected.
    pub fn abort_idempotent(&self, id: RequestId) {
        if let Some(handle) = lock(&self.state).requests.forward_handle(id) {
            handle.abort_idempotent();
        }
    }

    /// Returns the progress of a request, or `None` if it has finished.
    pub fn progress(&self, id: RequestId) -> Option<(RequestKind, Progress)> {
        let state = lock(&self.state);
        state
            .requests
            .forward_handle(id)
            .map(|handle| (handle.kind, handle.progress()))
    }

    /// Returns the address of a server.
    pub fn server_address(&self, id: ServerId) -> Option<ServerAddress> {
        let state = lock(&self.state);
        state.endpoints.get(id).map(|endpoint| ServerAddress {
            address: self.settings.dial_addr(endpoint.address()),
            uid: endpoint.server.uid.clone(),
        })
    }

    /// Returns the target of a server's health check, or `None` if the server or its service is unknown.
    pub fn health_check_target(&self, id: ServerId) -> Option<HealthCheckTarget> {
        let (server, service) = {
            let state = lock(&self.state);
            let endpoint = state.endpoints.get(id)?;
            let address = self.settings.dial_addr(endpoint.address());
            let server = ServerAddress {
                address,
                uid: endpoint.server.uid.clone(),
            };
            (server, endpoint.server.service.clone())
        };
        let path = self
            .snapshot()?
            .config
            .service(&service)?
            .health_check_path
            .clone();
        Some(HealthCheckTarget { server, path })
    }

    /// Records the result of a health check.
    pub fn record_health_check(&self, server: ServerId, result: &HealthCheckResult) {
        let HealthCheckResult {
            outcome,
            rtt,
            load,
            slow_start_left,
        } = *result;
        let now = self.now();
        let mut state = lock(&self.state);
        if let Some(left) = slow_start_left {
            state.endpoints.report_slow_start(now, server, left);
        }
        state.dispatch(
            now,
            &Event::ProbeEnded {
                server,
                outcome,
                rtt,
                load,
            },
        );
    }

    /// Runs the periodic work and must be called every [`TICK_MS`]. Returns the servers whose health must be checked.
    pub fn tick(&self) -> Vec<ServerId> {
        let now = self.now();
        lock(&self.state).tick(now)
    }

    /// Handles a datagram from another proxy. Returns the reply, if one is due.
    pub fn receive_counter_message(
        &self,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> Option<CounterMessage> {
        let now = self.now();
        lock(&self.state).receive_counter_message(now, from, message)
    }

    /// Applies one section of the state decided by control.
    pub fn apply(&self, section: StateSection) {
        let now = self.now();
        match section {
            StateSection::Config { .. } if !section.has_valid_checksum() => {
                log::warn!("event=corrupt_update")
            }
            StateSection::Config {
                version,
                compressed_text,
                ..
            } => {
                match Config::read(&decompress(&compressed_text).unwrap_or_default()) {
                    Ok(config) => self.apply_config(config),
                    // Control validates each configuration with the same parser, so this is not expected.
                    Err(fault) => {
                        log::error!("event=config_unreadable version={version:08x} why=\"{fault}\"")
                    }
                }
            }
            StateSection::EvacuatedZones { revision, zones } => {
                lock(&self.state).apply_evacuation(now, revision, &zones)
            }
            StateSection::Servers { age_ms, list } => {
                let locate = |zone: &str| ZoneLocation::new(zone, &self.settings);
                lock(&self.state).apply_servers(now, f64::from(age_ms), list, locate);
            }
            StateSection::Proxies(proxies) => {
                let addresses = ProxyAddresses::from_endpoints(&proxies);
                lock(&self.state).apply_proxies(now, addresses);
            }
            StateSection::ControlNodes(_) => {}
        }
    }

    fn apply_config(&self, config: Config) {
        let mut state = lock(&self.state);
        let rebuild_requested = std::mem::take(&mut state.rebuild_requested);
        let is_unchanged = |snapshot: Arc<ConfigSnapshot>| {
            !rebuild_requested && !snapshot.is_superseded_by(&config)
        };
        if self.snapshot().is_some_and(is_unchanged) {
            return;
        }
        let snapshot = state.apply_config(config, &self.settings);
        let (version, routes) = (snapshot.config.version, snapshot.config.routes.len());
        log::info!("event=applied version={version:08x} routes={routes}");
        *lock(&self.snapshot) = Some(Arc::new(snapshot));
    }

    /// Extends the owner lease: the agent has confirmed contact with control in reply to a heartbeat sent at
    /// `heartbeat_sent_at`.
    pub fn renew_owner_lease(&self, heartbeat_sent_at: Instant) {
        let heartbeat_sent_at = self.clock_at(heartbeat_sent_at);
        lock(&self.state).counters.renew_lease(heartbeat_sent_at);
    }

    /// Sets whether control is unreachable from this proxy.
    pub fn set_control_unreachable(&self, is_unreachable: bool) {
        if lock(&self.state)
            .counters
            .set_control_unreachable(is_unreachable)
        {
            log::info!(
                "event=control_{}",
                if is_unreachable { "silent" } else { "heard" }
            );
        }
    }

    /// Whether the configuration, the servers and the proxies are known, so that requests can be served.
    pub fn is_configured(&self) -> bool {
        let state = lock(&self.state);
        // Without the list of proxies, each proxy would use the whole of every quota.
        self.snapshot().is_some() && state.has_proxy_list && !state.endpoints.is_empty()
    }

    /// Returns the digest of the active state, computed from the tables that requests use.
    pub fn applied(&self) -> StateDigest {
        let (revision, zones) = {
            let state = lock(&self.state);
            (state.evacuation_revision, state.endpoints.evacuated_zones())
        };
        state_digest(
            self.snapshot().as_ref().map(|snapshot| &snapshot.config),
            revision,
            &zones,
        )
    }

    /// Requests that the tables are rebuilt from the next configuration received, regardless of its version. The
    /// current tables remain in use until then.
    pub fn rebuild_tables(&self) {
        log::warn!("event=tables_rebuilt");
        lock(&self.state).rebuild_requested = true;
    }
}
