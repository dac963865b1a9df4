//! Requests to discovery: a complete list, then one watch after another.

use super::endpoint::DiscoveryEndpoint;
use super::publish::publish;
use crate::backoff::Backoff;
use crate::event::{DiscoveryRequest, DispatcherEvent};
use crate::http::status::OK;
use crate::http::write_get;
use crate::server_list::{LocationNames, ServerList, ServerListError};
use crate::state::LimiterState;
use aspendrum_core::api::{ListKind, Outcome};
use aspendrum_net::connection::Connection;
use crossbeam_channel::Receiver;
use derive_more::{Display, Error};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATH: &str = "/registry/instances";

/// Why a request to discovery failed.
#[derive(Debug, Display, Error)]
enum DiscoveryError {
    #[display("{_0}")]
    Connect(io::Error),
    #[display("its address has changed")]
    Moved,
    #[display("{_0:?}")]
    Exchange(#[error(not(source))] Outcome),
    #[display("status {_0}")]
    Status(#[error(not(source))] u16),
    #[display("{_0}")]
    NotJson(serde_json::Error),
    #[display("{_0}")]
    InvalidList(ServerListError),
}

/// What the client needs from the start on.
pub(crate) struct DiscoveryOptions {
    pub(crate) endpoint: Arc<DiscoveryEndpoint>,
    pub(crate) location_names: LocationNames,
    /// What the decision engine requests.
    pub(crate) requests: Receiver<DiscoveryRequest>,
    /// Discovery pushes nothing: the decision engine requests lists and watches.
    pub(crate) is_on_request: bool,
    /// The version of the list that is known at the start, if it has any servers.
    pub(crate) known_version: u64,
    pub(crate) knows_servers: bool,
    pub(crate) backoff: Backoff,
}

/// Keeps the dispatcher and the pool informed of the servers.
pub(crate) struct DiscoveryClient {
    state: Arc<LimiterState>,
    options: DiscoveryOptions,
    version: u64,
    connection: Option<Connection>,
    should_watch: bool,
    should_fetch: bool,
    /// The last failure, which is logged once.
    last_error: Option<String>,
}

impl DiscoveryClient {
    pub(crate) fn new(state: Arc<LimiterState>, options: DiscoveryOptions) -> DiscoveryClient {
        DiscoveryClient {
            state,
            version: options.known_version,
            connection: None,
            should_watch: !options.is_on_request,
            // Where discovery is asked, a limiter that knows servers begins with a watch from their version: that takes
            // one request of the few that a fleet may make, not two.
            should_fetch: !options.is_on_request || !options.knows_servers,
            last_error: None,
            options,
        }
    }

    /// Sends requests until the limiter stops.
    pub(crate) fn run(mut self) {
        if self.options.is_on_request {
            // A fleet that starts at once must not ask all at once.
            self.back_off();
        }
        while !self.state.lifecycle.is_stopped() && self.receive_requests() {
            if self.options.endpoint.take_has_moved() {
                self.start_over();
            }
            if self.should_fetch || self.should_watch {
                self.update();
            }
        }
    }

    /// Receives what the decision engine requests; waits for it if there is nothing to do. Returns false if there is no
    /// decision engine any more.
    fn receive_requests(&mut self) -> bool {
        if !self.should_fetch && !self.should_watch {
            let Ok(request) = self.options.requests.recv() else {
                return false;
            };
            self.apply_request(request);
        }
        while let Ok(request) = self.options.requests.try_recv() {
            self.apply_request(request);
        }
        true
    }

    fn apply_request(&mut self, request: DiscoveryRequest) {
        match request {
            DiscoveryRequest::Fetch => self.should_fetch = true,
            DiscoveryRequest::Watch(on) => self.should_watch = on,
        }
    }

    /// Discovery has moved: everything is fetched from its new address.
    fn start_over(&mut self) {
        self.connection = None;
        self.should_fetch = true;
    }

    fn update(&mut self) {
        match self.request_list() {
            Ok(list) => {
                self.last_error = None;
                self.options.backoff.reset();
                // Changes of an older version do not apply.
                self.should_fetch = !list.is_complete && list.version < self.version;
                if !self.should_fetch {
                    self.publish(list);
                }
            }
            // A request that was ended by the move is no failure.
            Err(_) if self.options.endpoint.take_has_moved() => self.start_over(),
            Err(error) => self.handle_failure(&error),
        }
    }

    /// A failure leaves the last list in force.
    fn handle_failure(&mut self, error: &DiscoveryError) {
        self.connection = None;
        let text = error.to_string();
        if self.last_error.as_ref() != Some(&text) {
            tracing::warn!(why = %text, "discovery failed; the last list stays");
            self.last_error = Some(text);
        }
        if self.options.is_on_request {
            self.should_watch = false;
            let (list, entries) = (ListKind::Failed, Vec::new());
            self.state.dispatcher.send(DispatcherEvent::Servers {
                list,
                version: 0,
                entries,
            });
        }
        self.back_off();
    }

    /// Waits before the next request, and receives what is requested meanwhile; a request to fetch ends the delay.
    fn back_off(&mut self) {
        let deadline = Instant::now() + self.options.backoff.next_delay();
        while let Ok(request) = self.options.requests.recv_deadline(deadline) {
            self.apply_request(request);
            if request == DiscoveryRequest::Fetch {
                return;
            }
        }
    }

    fn request_list(&mut self) -> Result<ServerList, DiscoveryError> {
        let limits = &self.state.limits;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        if !self.options.endpoint.register(&connection) {
            return Err(DiscoveryError::Moved);
        }
        let (hold, path) = if self.should_fetch {
            (Duration::ZERO, PATH.to_string())
        } else {
            let hold = limits.discovery.watch_hold;
            (
                hold,
                format!("{PATH}?from={}&hold_ms={}", self.version, hold.as_millis()),
            )
        };
        write_get(&mut connection.outgoing, &path);
        connection.send().map_err(DiscoveryError::Exchange)?;
        let deadline = Instant::now() + hold + limits.discovery.response_timeout;
        let response = self
            .state
            .receive(&mut connection, deadline)
            .map_err(DiscoveryError::Exchange)?;
        if response.status != OK {
            return Err(DiscoveryError::Status(response.status));
        }
        let json = serde_json::from_slice(&response.body).map_err(DiscoveryError::NotJson)?;
        let list = ServerList::parse(&json, &self.options.location_names)
            .map_err(DiscoveryError::InvalidList)?;
        if !response.close {
            self.connection = Some(connection);
        }
        Ok(list)
    }

    fn connect(&self) -> Result<Connection, DiscoveryError> {
        let timeout = self.state.limits.servers.connect_timeout;
        let options = self.state.pool.connection_options();
        Connection::open_unpooled(self.options.endpoint.address(), timeout, options)
            .map_err(DiscoveryError::Connect)
    }

    fn publish(&mut self, list: ServerList) {
        self.version = list.version;
        let kind = if list.is_complete {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        if list.is_complete || !list.entries.is_empty() {
            publish(&self.state, kind, list);
        }
    }
}
