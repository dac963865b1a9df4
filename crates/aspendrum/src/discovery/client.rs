//! The discovery client: fetches a complete list, then watches for changes.

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
use aspendrum_net::upload::Upload;
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
    AddressChanged,
    #[display("{_0:?}")]
    Exchange(#[error(not(source))] Outcome),
    #[display("status {_0}")]
    Status(#[error(not(source))] u16),
    #[display("{_0}")]
    NotJson(serde_json::Error),
    #[display("{_0}")]
    InvalidList(ServerListError),
}

/// The options of a [`DiscoveryClient`].
pub(crate) struct DiscoveryOptions {
    pub(crate) endpoint: Arc<DiscoveryEndpoint>,
    pub(crate) location_names: LocationNames,
    /// Requests of the decision engine.
    pub(crate) requests: Receiver<DiscoveryRequest>,
    /// Whether discovery is polled: the decision engine requests each list and watch.
    pub(crate) is_polled: bool,
    /// The version of the list in the configuration.
    pub(crate) known_version: u64,
    pub(crate) has_known_servers: bool,
    pub(crate) backoff: Backoff,
}

/// Keeps the server lists of the dispatcher and the connection pool up to date.
pub(crate) struct DiscoveryClient {
    state: Arc<LimiterState>,
    options: DiscoveryOptions,
    version: u64,
    connection: Option<Connection>,
    should_watch: bool,
    should_fetch: bool,
    /// The last error. Consecutive identical errors are logged once.
    last_error: Option<String>,
}

impl DiscoveryClient {
    pub(crate) fn new(state: Arc<LimiterState>, options: DiscoveryOptions) -> DiscoveryClient {
        DiscoveryClient {
            state,
            version: options.known_version,
            connection: None,
            should_watch: !options.is_polled,
            // When discovery is polled and servers are known, the first request is a watch from their version. This
            // saves the fetch, because the request rate of the whole fleet is limited.
            should_fetch: !options.is_polled || !options.has_known_servers,
            last_error: None,
            options,
        }
    }

    /// Sends requests until the limiter stops.
    pub(crate) fn run(mut self) {
        if self.options.is_polled {
            // Spread the first requests of a fleet whose limiters start together.
            self.back_off();
        }
        while !self.state.lifecycle.is_stopped() && self.receive_requests() {
            if self.options.endpoint.take_address_changed() {
                self.reset();
            }
            if self.should_fetch || self.should_watch {
                self.update();
            }
        }
    }

    /// Receives requests of the decision engine, and blocks if there is nothing else to do. Returns false if the
    /// decision engine has ended.
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

    /// Closes the connection and schedules a fetch of the complete list, after the discovery address has changed.
    fn reset(&mut self) {
        self.connection = None;
        self.should_fetch = true;
    }

    fn update(&mut self) {
        match self.request_list() {
            Ok(list) => {
                self.last_error = None;
                self.options.backoff.reset();
                // A delta with a version older than ours cannot be applied, so fetch the complete list.
                self.should_fetch = !list.is_complete && list.version < self.version;
                if !self.should_fetch {
                    self.publish(list);
                }
            }
            // A request that was aborted because the address changed is not a failure.
            Err(_) if self.options.endpoint.take_address_changed() => self.reset(),
            Err(error) => self.handle_failure(&error),
        }
    }

    /// Logs a failure, reports it to the decision engine if discovery is polled, and backs off. The last list stays in
    /// use.
    fn handle_failure(&mut self, error: &DiscoveryError) {
        self.connection = None;
        let text = error.to_string();
        if self.last_error.as_ref() != Some(&text) {
            tracing::warn!(why = %text, "discovery failed; the last list stays");
            self.last_error = Some(text);
        }
        if self.options.is_polled {
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

    /// Waits for the backoff delay while receiving requests of the decision engine. A fetch request ends the delay
    /// early.
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
            return Err(DiscoveryError::AddressChanged);
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
        let mut upload = Upload::without_body();
        connection
            .send(&mut upload)
            .map_err(DiscoveryError::Exchange)?;
        let deadline = Instant::now() + hold + limits.discovery.response_timeout;
        let response = self
            .state
            .receive(&mut connection, &mut upload, deadline)
            .map_err(DiscoveryError::Exchange)?;
        if response.status != OK {
            return Err(DiscoveryError::Status(response.status));
        }
        let json = serde_json::from_slice(&response.body).map_err(DiscoveryError::NotJson)?;
        let list = ServerList::parse(&json, &self.options.location_names)
            .map_err(DiscoveryError::InvalidList)?;
        if !response.close && connection.is_request_sent() {
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
