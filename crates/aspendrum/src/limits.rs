//! All sizes, counts and times of the limiter's input and output, computed from the configuration at the start.
//!
//! How requests are decided is not here but in `aspendrum_core`.

use crate::clock::duration_from_millis;
use crate::config::Config;
use aspendrum_net::connection::ConnectionOptions;
use aspendrum_net::http1::MessageLimits;
use aspendrum_net::pool::PoolLimits;
use std::time::Duration;

/// All limits.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections of clients.
    pub clients: ClientLimits,
    /// HTTP messages.
    pub messages: MessageLimits,
    /// The buffer of one direction of a connection.
    pub buffers: BufferLimits,
    /// Connections to servers.
    pub servers: ServerLimits,
    /// Calls to the counter.
    pub counter: CounterLimits,
    /// Requests to discovery.
    pub discovery: DiscoveryLimits,
    /// The dispatcher's mailboxes and timers.
    pub dispatcher: DispatcherLimits,
    /// Graceful shutdown.
    pub drain: DrainLimits,
    /// Threads.
    pub threads: ThreadLimits,
    /// No time-out of a socket is shorter: the system accepts no time-out of zero.
    pub min_socket_timeout: Duration,
}

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Connections that are served.
    pub max_connections: usize,
    /// Connections beyond those that are still answered, each with a rejection.
    pub overflow: usize,
    /// Threads that answer these.
    pub overflow_threads: usize,
    /// Connections that the system holds until they are accepted.
    pub backlog: i32,
    /// How long accepting pauses while there are no descriptors.
    pub accept_pause: Duration,
    /// From a connection's start, or a later request's first byte, to the request's last byte.
    pub request_timeout: Duration,
    /// For writing a response.
    pub write_timeout: Duration,
    /// A connection that is idle for so long is closed.
    pub idle_timeout: Duration,
    /// The same while more than half of [`Self::max_connections`] are open.
    pub crowded_idle_timeout: Duration,
    /// How long a connection is read after a final response, so that the client can read that.
    pub linger: Duration,
    /// A connection that was idle for less is not closed to make room, for its client may be about to send a request.
    pub min_idle: Duration,
    /// The same for a connection on which no request has come yet.
    pub min_silent: Duration,
    /// The same for a connection that has had requests, while there are some that have not.
    pub min_idle_beside_silent: Duration,
}

/// Sizes of buffers.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// At the start.
    pub initial_bytes: usize,
    /// A whole message, with what this hop adds to its head.
    pub max_bytes: usize,
}

/// Limits of connections to servers.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Connections to all servers.
    pub max_connections: usize,
    /// For connecting.
    pub connect_timeout: Duration,
    /// For a health check, from connecting to the response's last byte.
    pub health_check_timeout: Duration,
    /// For one write.
    pub write_timeout: Duration,
    /// How long one read waits before the deadline is checked.
    pub read_timeout: Duration,
    /// A connection that is idle for so long is closed.
    pub idle_timeout: Duration,
    /// A connection rests for so long between two requests: bytes that follow a response have arrived by then, and are
    /// not taken for the next response.
    pub min_idle: Duration,
}

/// Limits of calls to the counter.
#[derive(Clone, Debug)]
pub struct CounterLimits {
    /// Connections to the counter.
    pub connections: usize,
    /// Calls that wait for a connection.
    pub max_queued: usize,
    /// For a call.
    pub timeout: Duration,
    /// A connection that is idle for so long is replaced before the next call.
    pub idle_timeout: Duration,
    /// A connection with pending calls on which nothing was read for so long is given up.
    pub silence_timeout: Duration,
}

/// Limits of requests to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// How long discovery may hold a watch.
    pub watch_hold: Duration,
    /// How much later than that its response may arrive.
    pub response_timeout: Duration,
    /// The longest delay after the first failure.
    pub initial_backoff: Duration,
    /// The longest delay after any failure.
    pub max_backoff: Duration,
}

/// Limits of the dispatcher.
#[derive(Clone, Debug)]
pub struct DispatcherLimits {
    /// Events that wait for the dispatcher.
    pub max_queued_events: usize,
    /// Decisions that wait for one request's thread.
    pub max_queued_decisions: usize,
    /// How long after its client's deadline a request ends if no decision comes.
    pub max_lateness: Duration,
    /// Between two searches for expired connections to servers.
    pub expiry_interval: Duration,
}

/// Limits of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct DrainLimits {
    /// How long idle connections stay open.
    pub keep_open: Duration,
    /// Between two checks whether all connections are closed.
    pub check_interval: Duration,
}

/// Limits of threads.
#[derive(Clone, Debug)]
pub struct ThreadLimits {
    /// The stack of each thread.
    pub stack_bytes: usize,
    /// A thread without a connection ends after this.
    pub idle_timeout: Duration,
}

/// Header fields of one message at most.
pub const MAX_HEADERS: usize = 64;
/// What one client with the largest request and response takes at most: bodies, buffers, two stacks.
const CLIENT_KB: usize = 160;
/// The limiter's own descriptors: standard streams, listener, signals, counter, discovery, peers, and spare ones.
const OWN_DESCRIPTORS: usize = 40;
const HEAD_BYTES: usize = 8 << 10;
const BODY_BYTES: usize = 64 << 10;
/// What this hop adds to a message's head at most.
const ADDED_HEAD_BYTES: usize = 512;
/// What one limiter's first request may take of a discovery that a whole fleet shares.
const DISCOVERY_SHARE: Duration = Duration::from_millis(10);
const MAX_SHARED_DISCOVERY_BACKOFF: Duration = Duration::from_millis(10_000);
/// Where discovery pushes its lists, the agent on this machine answers requests at no cost.
const LOCAL_DISCOVERY_BACKOFF: Duration = Duration::from_millis(100);

impl Limits {
    /// The limits that follow from a configuration.
    pub fn new(config: &Config) -> Limits {
        let own_descriptors = OWN_DESCRIPTORS.min(config.max_descriptors / 4);
        let descriptors = config.max_descriptors - own_descriptors;
        Limits {
            clients: ClientLimits::new(descriptors, config.memory_mb as usize),
            messages: MessageLimits {
                head_bytes: HEAD_BYTES,
                body_bytes: BODY_BYTES,
            },
            buffers: BufferLimits {
                initial_bytes: 1 << 10,
                max_bytes: HEAD_BYTES + BODY_BYTES + ADDED_HEAD_BYTES,
            },
            servers: ServerLimits::new(descriptors, config),
            counter: CounterLimits {
                connections: 2,
                max_queued: 1024,
                timeout: duration_from_millis(config.settings.counter_timeout),
                idle_timeout: Duration::from_millis(2000),
                silence_timeout: Duration::from_millis(1000),
            },
            discovery: DiscoveryLimits::new(config),
            dispatcher: DispatcherLimits {
                max_queued_events: 4096,
                max_queued_decisions: 8,
                max_lateness: Duration::from_millis(20),
                expiry_interval: Duration::from_millis(1000),
            },
            drain: DrainLimits {
                keep_open: Duration::from_millis(450),
                check_interval: Duration::from_millis(10),
            },
            threads: ThreadLimits {
                stack_bytes: 128 << 10,
                idle_timeout: Duration::from_millis(3000),
            },
            min_socket_timeout: Duration::from_millis(1),
        }
    }

    /// The limits of the pool of connections to servers.
    pub fn pool_limits(&self) -> PoolLimits {
        PoolLimits {
            max_connections: self.servers.max_connections,
            min_idle: self.servers.min_idle,
            connection: ConnectionOptions {
                initial_buffer_bytes: self.buffers.initial_bytes,
                max_buffer_bytes: self.buffers.max_bytes,
                min_timeout: self.min_socket_timeout,
                write_timeout: self.servers.write_timeout,
                read_timeout: self.servers.read_timeout,
                idle_timeout: self.servers.idle_timeout,
            },
        }
    }
}

impl ClientLimits {
    fn new(descriptors: usize, memory_mb: usize) -> ClientLimits {
        ClientLimits {
            max_connections: (descriptors / 2).min(memory_mb * 1024 / CLIENT_KB),
            overflow: descriptors / 16,
            overflow_threads: 4,
            backlog: 4096,
            accept_pause: Duration::from_millis(5),
            request_timeout: Duration::from_millis(2000),
            write_timeout: Duration::from_millis(10_000),
            idle_timeout: Duration::from_millis(4000),
            crowded_idle_timeout: Duration::from_millis(500),
            linger: Duration::from_millis(200),
            min_idle: Duration::from_millis(150),
            min_silent: Duration::from_millis(100),
            min_idle_beside_silent: Duration::from_millis(2000),
        }
    }
}

impl ServerLimits {
    fn new(descriptors: usize, config: &Config) -> ServerLimits {
        ServerLimits {
            max_connections: descriptors / 8 * 3,
            connect_timeout: config.connect_timeout,
            health_check_timeout: config.connect_timeout,
            write_timeout: config.connect_timeout,
            read_timeout: Duration::from_millis(500),
            idle_timeout: config.server_keepalive / 2,
            min_idle: Duration::from_millis(10),
        }
    }
}

impl DiscoveryLimits {
    fn new(config: &Config) -> DiscoveryLimits {
        let settings = &config.settings;
        let (initial_backoff, max_backoff) = if settings.polls_discovery {
            let fleet_share = DISCOVERY_SHARE.mul_f64(f64::from(settings.instances));
            (
                LOCAL_DISCOVERY_BACKOFF.max(fleet_share),
                MAX_SHARED_DISCOVERY_BACKOFF,
            )
        } else {
            (LOCAL_DISCOVERY_BACKOFF, LOCAL_DISCOVERY_BACKOFF)
        };
        let has_deadline = settings.discovery_poll_limit > 0.0;
        let deadline = duration_from_millis(settings.discovery_poll_limit);
        DiscoveryLimits {
            watch_hold: Duration::from_millis(5000),
            response_timeout: Duration::from_millis(1000),
            initial_backoff,
            max_backoff: if has_deadline {
                max_backoff.min(deadline)
            } else {
                max_backoff
            },
        }
    }
}
