//! The dispatcher: the decision engine, the endpoints that it may use, the counters and the requests in flight, behind
//! one lock. Each thread reports what happened and goes on; nothing under the lock waits for anything.
//!
//! [`Dispatcher`] owns the lock; `state` composes what stands behind it out of the parts that the other modules hold.

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

/// The decision engine's clock does not begin at 0, which means "long ago" to it.
const CLOCK_START: Millis = 1000.0;

/// Each attempt costs one unit.
const ATTEMPT_UNITS: u16 = 1;

/// Where a server is reached, and what it is called.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerAddress {
    /// The address to connect to.
    pub address: SocketAddrV4,
    /// The server's uid.
    pub uid: String,
}

/// What a health check asks.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckTarget {
    /// The server.
    pub server: ServerAddress,
    /// The path that its service names for health checks.
    pub path: String,
}

/// What a health check found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Its round-trip time.
    pub rtt: Millis,
    /// The load that the server reported.
    pub load: LoadReport,
    /// How much of its slow start the server reported as left, in milliseconds.
    pub slow_start_left: Option<Millis>,
}

/// Decides of requests and keeps what decisions rest on.
pub struct Dispatcher {
    state: Mutex<DispatcherState>,
    snapshot: Mutex<Option<Arc<ConfigSnapshot>>>,
    started_at: Instant,
    counter_socket: Arc<CounterSocket>,
    settings: Settings,
}

impl Dispatcher {
    /// Nothing is known yet. `socket`: bound to the counter port.
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

    /// The configuration that is in force; `None` before the first.
    pub fn snapshot(&self) -> Option<Arc<ConfigSnapshot>> {
        lock(&self.snapshot).clone()
    }

    /// The socket over which other proxies are answered.
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

    /// A request came. Decisions on it follow; the first may be there at once.
    pub fn admit(&self, snapshot: &ConfigSnapshot, request: AdmissionRequest) -> RequestId {
        let now = self.now();
        let deadline = self.clock_at(request.deadline);
        lock(&self.state).admit(now, deadline, snapshot, request)
    }

    /// An attempt has ended. `is_answered`: the request is over by it.
    pub fn finish_attempt(
        &self,
        id: RequestId,
        attempt: u8,
        server: ServerId,
        result: AttemptResult,
        is_answered: bool,
    ) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.dispatch(
            now,
            &result.event(id, attempt, server, is_answered, ATTEMPT_UNITS),
        );
        if is_answered {
            state.requests.remove(id);
        }
    }

    /// The request needs no decision any more.
    pub fn finish_request(&self, id: RequestId) {
        let now = self.now();
        let mut state = lock(&self.state);
        state.requests.remove(id);
        state.dispatch(now, &Event::ClientDisconnected { id });
    }

    /// The request's client has left: nothing more is sent for it. Returns how far the request had come; `None`: it is
    /// over.
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

    /// The request's client has left a while ago: a run that may be repeated is aborted.
    pub fn abort_idempotent(&self, id: RequestId) {
        if let Some(handle) = lock(&self.state).requests.forward_handle(id) {
            handle.abort_idempotent();
        }
    }

    /// How far a request has come. `None`: it is over.
    pub fn progress(&self, id: RequestId) -> Option<(RequestKind, Progress)> {
        let state = lock(&self.state);
        state
            .requests
            .forward_handle(id)
            .map(|handle| (handle.kind, handle.progress()))
    }

    /// Where a server is reached.
    pub fn server_address(&self, id: ServerId) -> Option<ServerAddress> {
        let state = lock(&self.state);
        state.endpoints.get(id).map(|endpoint| ServerAddress {
            address: self.settings.dial_addr(endpoint.address()),
            uid: endpoint.server.uid.clone(),
        })
    }

    /// What a health check of that server asks; `None` if the server or its service is not known.
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

    /// A health check has ended.
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

    /// Does what is due; to be called every [`TICK_MS`]. Returns the servers whose health is to be checked.
    pub fn tick(&self) -> Vec<ServerId> {
        let now = self.now();
        lock(&self.state).tick(now)
    }

    /// A datagram of another proxy came. Returns the answer to it, if it asks for one.
    pub fn receive_counter_message(
        &self,
        from: Ipv4Addr,
        message: CounterMessage,
    ) -> Option<CounterMessage> {
        let now = self.now();
        lock(&self.state).receive_counter_message(now, from, message)
    }

    /// Applies one section of what control has decided.
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
                    // Control checked it by the same reader.
                    Err(fault) => {
                        log::error!("event=config_unreadable version={version:08x} why=\"{fault}\"")
                    }
                }
            }
            StateSection::Evacuated { revision, zones } => {
                lock(&self.state).apply_evacuation(now, revision, &zones)
            }
            StateSection::Servers { age_ms, list } => {
                let locate = |zone: &str| ZoneLocation::of(zone, &self.settings);
                lock(&self.state).apply_servers(now, f64::from(age_ms), list, locate);
            }
            StateSection::Proxies(proxies) => {
                let addresses = ProxyAddresses::of(&proxies);
                lock(&self.state).apply_proxies(now, addresses);
            }
            StateSection::Control(_) => {}
        }
    }

    fn apply_config(&self, config: Config) {
        let mut state = lock(&self.state);
        let rebuilds = std::mem::take(&mut state.rebuilds_tables);
        let is_in_force =
            |snapshot: Arc<ConfigSnapshot>| !rebuilds && !snapshot.is_superseded_by(&config);
        if self.snapshot().is_some_and(is_in_force) {
            return;
        }
        let snapshot = state.apply_config(config, &self.settings);
        let (version, routes) = (snapshot.config.version, snapshot.config.routes.len());
        log::info!("event=applied version={version:08x} routes={routes}");
        *lock(&self.snapshot) = Some(Arc::new(snapshot));
    }

    /// Control has heard this proxy, by an answer to a question that was sent at that time.
    pub fn renew_owner_lease(&self, asked_at: Instant) {
        let asked_at = self.clock_at(asked_at);
        lock(&self.state).counters.renew_lease(asked_at);
    }

    /// Control was heard of lately, or not.
    pub fn set_control_silent(&self, is_silent: bool) {
        if lock(&self.state).counters.set_control_silent(is_silent) {
            log::info!(
                "event=control_{}",
                if is_silent { "silent" } else { "heard" }
            );
        }
    }

    /// All that is needed to take requests is known.
    pub fn is_configured(&self) -> bool {
        let state = lock(&self.state);
        // Without the list of proxies each would take the whole of every quota for its share.
        self.snapshot().is_some() && state.proxies_known && !state.endpoints.is_empty()
    }

    /// A digest of what is in force, computed from the tables that requests go by.
    pub fn applied(&self) -> StateDigest {
        let (order, zones) = {
            let state = lock(&self.state);
            (state.evacuation_order, state.endpoints.evacuated_zones())
        };
        state_digest(
            self.snapshot().as_ref().map(|snapshot| &snapshot.config),
            order,
            &zones,
        )
    }

    /// The tables are built again from the next configuration that comes, whatever its version. Until then they serve on.
    pub fn rebuild_tables(&self) {
        log::warn!("event=tables_rebuilt");
        lock(&self.state).rebuilds_tables = true;
    }
}
