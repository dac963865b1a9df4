//! Startup, configuration reload and shutdown of a limiter.

use crate::backoff::Backoff;
use crate::clock::Clock;
use crate::config::Config;
use crate::counter::CounterClient;
use crate::discovery::{publish, DiscoveryClient, DiscoveryEndpoint, DiscoveryOptions};
use crate::dispatcher::{Dispatcher, Services};
use crate::dispatcher_handle::DispatcherHandle;
use crate::event::{DiscoveryRequest, DispatcherEvent};
use crate::http::MessageSchema;
use crate::limits::Limits;
use crate::listener::accept_connections;
use crate::peers::{PeerAddresses, PeerSocket};
use crate::shutdown::drain;
use crate::state::LimiterState;
use aspendrum_core::api::ListKind;
use aspendrum_net::mailbox::{self, MailboxReceiver, MailboxSender};
use aspendrum_net::threads::spawn;
use crossbeam_channel::{bounded, Receiver, Sender};
use derive_more::{Display, Error};
use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

/// Why a limiter did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The address for clients could not be bound.
    #[display("listen: {_0}")]
    Listen(io::Error),
    /// The dispatcher thread could not be started.
    #[display("dispatcher: {_0}")]
    Dispatcher(io::Error),
    /// The dispatcher thread has ended.
    #[display("dispatcher: its thread has ended")]
    DispatcherEnded,
    /// The counter thread could not be started.
    #[display("counter: {_0}")]
    Counter(io::Error),
    /// The address for peer datagrams could not be bound, or the peer thread could not be started.
    #[display("peer_listen: {_0}")]
    Peers(io::Error),
    /// The discovery thread could not be started.
    #[display("discovery: {_0}")]
    Discovery(io::Error),
    /// The thread that accepts connections could not be started.
    #[display("accept: {_0}")]
    Accept(io::Error),
}

/// Why a new configuration is rejected while the limiter runs.
#[derive(Debug, Display, Error, PartialEq)]
pub enum ReloadError {
    /// Exactly one of the new and the current configuration uses the counter.
    #[display("setting Specifics.Counter cannot change while the limiter runs")]
    CounterToggled,
}

/// A running limiter.
pub struct Limiter {
    state: Arc<LimiterState>,
    address: SocketAddr,
    discovery: Arc<DiscoveryEndpoint>,
    discovery_requests: Sender<DiscoveryRequest>,
    uses_counter: bool,
}

impl Limiter {
    /// Starts a limiter and begins to accept connections.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(config: Config) -> Result<Limiter, StartError> {
        let limits = Arc::new(Limits::new(&config));
        // Bound first, so that clients can connect during startup. Their connections are served once it completes.
        let listener = listen(config.listen, limits.clients.backlog).map_err(StartError::Listen)?;
        let address = listener.local_addr().map_err(StartError::Listen)?;
        let (start_dispatcher, events) =
            spawn_dispatcher(&limits).map_err(StartError::Dispatcher)?;
        let handle = Arc::new(DispatcherHandle::new(events, Clock::start()));
        let schema = message_schema(&config);
        let state = Arc::new(LimiterState::new(limits, schema, handle));
        let uses_counter = config.counter.is_some();
        let (discovery_requests, requests) = bounded(state.limits.dispatcher.max_queued_decisions);
        let services = Services {
            counter: start_counter(&config, &state)?,
            discovery: discovery_requests.clone(),
            peers: start_peers(&config, &state)?,
        };
        let settings = config.settings.clone();
        let seed = config.seed;
        let name = config.name.clone();
        let discovery = Arc::new(DiscoveryEndpoint::new(config.discovery));
        // The decision engine expects the known servers before any other event.
        let options = publish_known_servers(config, &state, discovery.clone(), requests);
        let dispatcher = Dispatcher::new(state.clone(), &settings, seed, services);
        start_dispatcher
            .send(dispatcher)
            .map_err(|_| StartError::DispatcherEnded)?;
        start_discovery(&state, options)?;
        start_listener(&state, listener)?;
        tracing::info!(limiter = name, addr = %address, "listens");
        Ok(Limiter {
            state,
            address,
            discovery,
            discovery_requests,
            uses_counter,
        })
    }

    /// The address at which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches to the counter and discovery addresses of a new configuration without interrupting service. All other
    /// settings take effect at the next start.
    ///
    /// # Errors
    /// Returns [`ReloadError::CounterToggled`] and changes nothing if only one of the configurations uses the counter.
    pub fn reload(&self, config: &Config) -> Result<(), ReloadError> {
        if config.counter.is_some() != self.uses_counter {
            return Err(ReloadError::CounterToggled);
        }
        if let Some(address) = config.counter {
            self.state
                .dispatcher
                .send(DispatcherEvent::CounterAddressChanged { address });
        }
        if self.discovery.change_address(config.discovery) {
            // When discovery is polled, the client may be blocked waiting for a request.
            let _ = self.discovery_requests.try_send(DiscoveryRequest::Fetch);
        }
        Ok(())
    }

    /// Responds to all accepted requests, then stops.
    pub fn drain(self) {
        drain(&self.state);
        self.stop();
    }

    /// Stops immediately.
    pub fn stop(self) {
        self.state.lifecycle.stop();
        self.state.dispatcher.send(DispatcherEvent::Stop);
        // Wakes the listener thread, which is blocked in `accept`.
        let timeout = self.state.limits.servers.connect_timeout;
        let _ = TcpStream::connect_timeout(&self.address, timeout);
    }
}

fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // The standard library uses a backlog of 128. After a restart all clients connect at once, and a client that does
    // not fit into the backlog retries only a second later.
    let _ = SockRef::from(&listener).listen(backlog);
    Ok(listener)
}

/// Starts the dispatcher thread, which first waits to receive its [`Dispatcher`]: creating the dispatcher requires the
/// handle, and the handle requires the thread's mailbox. Returns the channel for the dispatcher, and the mailbox.
fn spawn_dispatcher(
    limits: &Limits,
) -> io::Result<(Sender<Dispatcher>, MailboxSender<DispatcherEvent>)> {
    let (sender, receiver) = bounded::<Dispatcher>(1);
    let start = |events: MailboxReceiver<DispatcherEvent>| {
        spawn("dispatcher", limits.threads.stack_bytes, move || {
            let exit_on_panic = ExitOnPanic;
            if let Ok(dispatcher) = receiver.recv() {
                dispatcher.run(&events);
            }
            std::mem::forget(exit_on_panic);
        })
    };
    let events = mailbox::spawn_receiver(limits.dispatcher.max_queued_events, start)?;
    Ok((sender, events))
}

fn message_schema(config: &Config) -> MessageSchema {
    let settings = &config.settings;
    MessageSchema {
        group_numbers: config.group_numbers.clone(),
        plan_numbers: config.plan_numbers.clone(),
        semantics: settings
            .groups
            .iter()
            .map(|group| group.semantics)
            .collect(),
        limiters: f64::from(settings.instances),
        max_units: settings.max_units,
        load_values: settings.load_values.clone(),
    }
}

fn start_counter(
    config: &Config,
    state: &LimiterState,
) -> Result<Option<CounterClient>, StartError> {
    let start = |address| CounterClient::start(address, &state.dispatcher, &state.limits);
    config
        .counter
        .map(start)
        .transpose()
        .map_err(StartError::Counter)
}

fn start_peers(config: &Config, state: &LimiterState) -> Result<Option<PeerSocket>, StartError> {
    let Some(listen) = config.peer_listen else {
        return Ok(None);
    };
    let addresses = PeerAddresses {
        peers: config.peers.clone(),
        broadcast: config.peer_broadcast,
    };
    let stack_bytes = state.limits.threads.stack_bytes;
    let peers = PeerSocket::start(listen, addresses, &state.dispatcher, stack_bytes);
    peers.map(Some).map_err(StartError::Peers)
}

/// Publishes the servers listed in the configuration. Returns the options of the discovery client.
fn publish_known_servers(
    config: Config,
    state: &LimiterState,
    endpoint: Arc<DiscoveryEndpoint>,
    requests: Receiver<DiscoveryRequest>,
) -> DiscoveryOptions {
    let limits = &state.limits.discovery;
    let options = DiscoveryOptions {
        endpoint,
        location_names: config.location_names,
        requests,
        is_polled: config.settings.polls_discovery,
        known_version: config.known_servers.version,
        has_known_servers: !config.known_servers.entries.is_empty(),
        backoff: Backoff::new(limits.initial_backoff, limits.max_backoff, config.seed),
    };
    publish(state, ListKind::Cached, config.known_servers);
    options
}

fn start_discovery(state: &Arc<LimiterState>, options: DiscoveryOptions) -> Result<(), StartError> {
    let client = DiscoveryClient::new(state.clone(), options);
    let spawned = spawn("discovery", state.limits.threads.stack_bytes, move || {
        client.run()
    });
    spawned.map(drop).map_err(StartError::Discovery)
}

fn start_listener(state: &Arc<LimiterState>, listener: TcpListener) -> Result<(), StartError> {
    let listener_state = state.clone();
    let accept = move || accept_connections(&listener_state, &listener);
    spawn("listener", state.limits.threads.stack_bytes, accept)
        .map(drop)
        .map_err(StartError::Accept)
}

/// Exits the process if the dispatcher panics, so that it is restarted. Without a dispatcher every request is rejected.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        tracing::error!("the dispatcher panicked");
        std::process::exit(1);
    }
}
